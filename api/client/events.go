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

// maxEventBytes bounds one event. The result event holds the whole turn.
const maxEventBytes = 16 << 20

// readEvents reads a streamed answer and checks that its pieces follow each other without a gap.
func readEvents(resp *http.Response, onText func(caller.Delta)) (caller.Result, error) {
	defer func() { _ = resp.Body.Close() }()
	var result caller.Result
	if resp.StatusCode != http.StatusOK {
		data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
		if err != nil {
			return result, errors.Mark(err, ErrNoResponse)
		}
		return result, errkind.Parse(data)
	}
	next := -1
	for event, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return result, errors.Mark(err, ErrNoResponse)
		}
		switch event.Type {
		case caller.EventDelta:
			var d caller.Delta
			if err := json.Unmarshal([]byte(event.Data), &d); err != nil {
				return result, errors.Mark(err, ErrNoResponse)
			}
			if next >= 0 && d.Offset != next {
				return result, errors.Newf("piece at offset %d follows offset %d", d.Offset, next)
			}
			next = d.Offset + len(d.Text)
			onText(d)
		case caller.EventResult:
			err := json.Unmarshal([]byte(event.Data), &result)
			return result, errors.Wrap(err, "decode result")
		case caller.EventError:
			return result, errkind.Parse([]byte(event.Data))
		}
	}
	return result, errors.Wrap(ErrNoResponse, "stream ended without a result")
}
