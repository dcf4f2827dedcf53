package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/admission"
	"jackdawbay.dev/core/route"
)

// Values of Retry-After in error responses. They are short because the causes last for a fraction of a second.
const (
	retryAfterNoConfiguration    = 500 * time.Millisecond
	retryAfterHistoryUnavailable = 100 * time.Millisecond
	retryAfterNoUpstream         = 250 * time.Millisecond
	retryAfterShutdown           = 20 * time.Millisecond // Another daemon can serve the request immediately.
)

// respondError sends the response that is defined for an error kind. A positive retryAfter is sent as Retry-After. If the
// head of a response has been written already, the response is aborted instead.
func (c *call) respondError(kind errkind.Kind, detail string, retryAfter time.Duration) {
	definition := errkind.Lookup(kind)
	c.status, c.outcome = definition.Status, string(kind)
	if c.headWritten {
		c.abort(string(kind))
	}
	if !c.bodyRead {
		c.g.cfg.Intake.PrepareRejection(c.w, c.r)
		defer c.g.cfg.Intake.Linger(c.w, c.r)
	}
	body, err := json.Marshal(errkind.NewBody(errkind.New(kind, detail).WithRetryAfter(retryAfter)))
	if err != nil {
		body = nil // The status is sufficient without a body.
	}
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if retryAfter > 0 {
		c.g.cfg.Codec.EncodeRetryAfter(h, retryAfter)
	}
	c.w.WriteHeader(definition.Status)
	_, _ = c.w.Write(body) // A write error means that the caller has disconnected.
}

// abort closes the connection of the caller without a regular end of the response, so that the caller cannot take it for
// complete. It does not return.
func (c *call) abort(outcome string) {
	c.outcome = outcome
	c.finish()
	panic(http.ErrAbortHandler)
}

// stats holds the metrics of a gateway.
type stats struct {
	set                *metrics.Set
	settlementsDropped *metrics.Counter
	organisations      *organisationStats
	waiting            *metrics.Gauge // Requests in the queues for upstreams.
	slowReaders        *metrics.Counter
	versionsNotStored  *metrics.Counter // Streams that began before their version was stored, or did not begin for that reason.
	eventsNotStored    *metrics.Counter // Streams whose turn cannot be taken up, since their events were not stored.
}

func newStats(set *metrics.Set) *stats {
	return &stats{
		set: set, settlementsDropped: set.NewCounter("jackdawbay_settlements_dropped_total"), organisations: newOrganisationStats(set),
		waiting:           set.GetOrCreateGauge("jackdawbay_admission_waiting", nil),
		slowReaders:       set.NewCounter("jackdawbay_slow_readers_total"),
		versionsNotStored: set.NewCounter("jackdawbay_stream_versions_not_stored_total"),
		eventsNotStored:   set.NewCounter("jackdawbay_stream_events_not_stored_total"),
	}
}

// countRejectedTurn counts a turn that was rejected because its charge or its history found no quorum.
func (s *stats) countRejectedTurn(cause string) {
	s.set.GetOrCreateCounter(`jackdawbay_turns_refused_total{cause="` + cause + `"}`).Inc()
}

// countTakeUp counts a request for the rest of a stream.
func (s *stats) countTakeUp(result string) {
	s.set.GetOrCreateCounter(`jackdawbay_stream_take_ups_total{result="` + result + `"}`).Inc()
}

// countRetry counts a retry that was made or that the retry budget refused.
func (s *stats) countRetry(result string) {
	s.set.GetOrCreateCounter(`jackdawbay_upstream_retries_total{result="` + result + `"}`).Inc()
}

// observeWait records the time for which a request waited for an upstream.
func (s *stats) observeWait(class string, waited time.Duration, overdue bool) {
	s.set.GetOrCreateHistogram(`jackdawbay_admission_wait_seconds{class="` + class + `"}`).Update(waited.Seconds())
	if overdue {
		s.set.GetOrCreateCounter(`jackdawbay_admission_overdue_total`).Inc()
	}
}

// countNotAdmitted counts a request that was rejected because it could not be served in time.
func (s *stats) countNotAdmitted(cause admission.Cause) {
	s.set.GetOrCreateCounter(`jackdawbay_admission_rejections_total{cause="` + string(cause) + `"}`).Inc()
}

// observeRequest counts a request and its duration, labelled with the kind and the priority of its route. These labels have
// few values.
func (s *stats) observeRequest(r *route.Route, outcome string, duration time.Duration) {
	labels := `kind="none"`
	if r != nil {
		labels = `kind="` + string(r.Kind) + `",priority="` + strconv.Itoa(r.Priority) + `"`
	}
	s.set.GetOrCreateCounter(`jackdawbay_requests_total{` + labels + `,outcome="` + outcome + `"}`).Inc()
	s.set.GetOrCreateHistogram(`jackdawbay_request_seconds{` + labels + `}`).Update(duration.Seconds())
}
