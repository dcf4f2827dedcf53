package client

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
)

// maxEventBytes bounds one server-sent event. The result event contains the whole turn.
const maxEventBytes = 16 << 20

// maxStreamBytes bounds a streamed response. Its text and its result have up to 16 MB each.
const maxStreamBytes = 32 << 20

// readEventStream reads a streamed response until its result or error event. It returns an error if the deltas of the
// stream are not contiguous.
func readEventStream(resp *http.Response, onText func(caller.Delta)) (caller.Result, error) {
	defer func() { _ = resp.Body.Close() }()
	var result caller.Result
	if resp.StatusCode != http.StatusOK {
		data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
		if err != nil {
			return result, errors.Mark(err, ErrNoResponse)
		}
		return result, errkind.Parse(data)
	}
	nextOffset := -1
	for event, err := range sse.Read(io.LimitReader(resp.Body, maxStreamBytes), &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return result, errors.Mark(err, ErrNoResponse)
		}
		switch event.Type {
		case caller.EventDelta:
			var d caller.Delta
			if err := json.Unmarshal([]byte(event.Data), &d); err != nil {
				return result, errors.Mark(err, ErrNoResponse)
			}
			if nextOffset >= 0 && d.Offset != nextOffset {
				return result, errors.Newf("stream delta has offset %d, expected %d", d.Offset, nextOffset)
			}
			nextOffset = d.Offset + len(d.Text)
			onText(d)
		case caller.EventResult:
			err := json.Unmarshal([]byte(event.Data), &result)
			return result, errors.Wrap(err, "decode result")
		case caller.EventError:
			return result, errkind.Parse([]byte(event.Data))
		}
	}
	return result, errors.Wrapf(ErrNoResponse, "stream ended or exceeded %d bytes without a result", maxStreamBytes)
}
