package platformclient

import (
	"net"
	"net/url"

	"github.com/cockroachdb/errors"
)

// isDialError reports whether err occurred while connecting. In this case, the request was not sent and had no effect.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// unwrapURLError returns the cause of a url.Error, whose message contains no URL. It returns other errors unchanged.
func unwrapURLError(err error) error {
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}
