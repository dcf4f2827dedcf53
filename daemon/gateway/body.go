package gateway

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/errkind"
)

func (c *call) readBody(limit int64) bool {
	if limit <= 0 {
		limit = maxResponseBytes
	}
	callerBody, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		c.respondError(errkind.BodyTooLarge, "", 0)
		return false
	case err != nil:
		c.abort("body_not_received")
	}
	c.upstreamBody, c.callerBody = callerBody, callerBody
	return true
}
