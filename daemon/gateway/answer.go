package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/route"
)

// Retry times of refusals. They are short, as the causes last for a fraction of a second.
const (
	retryConfiguration = 500 * time.Millisecond
	retryHistory       = 100 * time.Millisecond
	retryUpstream      = 250 * time.Millisecond
	retryStopping      = 20 * time.Millisecond // Another daemon can take the request at once.
)

// refuse sends the answer of an error kind.
func (c *call) refuse(kind errkind.Kind, detail string, after time.Duration) {
	answer := errkind.Lookup(kind)
	c.status, c.outcome = answer.Status, string(kind)
	if c.headSent {
		c.abort(string(kind))
	}
	body, err := json.Marshal(errkind.NewBody(errkind.New(kind, detail).WithRetryAfter(after)))
	if err != nil {
		body = nil // The status says what matters.
	}
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if after > 0 {
		c.g.cfg.Codec.EncodeRetryAfter(h, after)
	}
	c.w.WriteHeader(answer.Status)
	_, _ = c.w.Write(body) // A caller that has gone needs no answer.
}

// abort ends a response so that it cannot look complete.
func (c *call) abort(outcome string) {
	c.outcome = outcome
	c.finish()
	panic(http.ErrAbortHandler)
}

// stats are the metrics of a gateway.
type stats struct {
	set           *metrics.Set
	settleDropped *metrics.Counter
}

func newStats(set *metrics.Set) *stats {
	return &stats{set: set, settleDropped: set.NewCounter("jackdawbay_settlements_dropped_total")}
}

// refusedTurn counts a turn whose charge or history had no quorum.
func (s *stats) refusedTurn(cause string) {
	s.set.GetOrCreateCounter(`jackdawbay_turns_refused_total{cause="` + cause + `"}`).Inc()
}

// observe counts a request by the kind and the priority of its route, which are few.
func (s *stats) observe(r *route.Route, outcome string, took time.Duration) {
	class := `kind="none"`
	if r != nil {
		class = `kind="` + string(r.Kind) + `",priority="` + strconv.Itoa(r.Priority) + `"`
	}
	s.set.GetOrCreateCounter(`jackdawbay_requests_total{` + class + `,outcome="` + outcome + `"}`).Inc()
	s.set.GetOrCreateHistogram(`jackdawbay_request_seconds{` + class + `}`).Update(took.Seconds())
}
