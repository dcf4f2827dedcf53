package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jackdawbay.dev/core/hedge"
	"jackdawbay.dev/core/placement"
	"jackdawbay.dev/core/route"
	"jackdawbay.dev/core/streamversion"
)

// secondAttempts decides for all calls of a gateway when a late response is requested from a second upstream. It is safe for
// concurrent use.
type secondAttempts struct {
	mu     sync.Mutex
	policy *hedge.Policy

	set             *metrics.Set
	started, won    *metrics.Counter
	upstreamSeconds *metrics.FloatCounter // Time for which upstreams worked on the attempts that were dropped.
}

// newSecondAttempts returns nil if the share of second attempts is zero.
func newSecondAttempts(cfg Config) *secondAttempts {
	if cfg.SecondAttemptShare <= 0 {
		return nil
	}
	s := &secondAttempts{policy: hedge.New(cfg.SecondAttemptShare), set: cfg.Metrics}
	s.started = s.set.NewCounter("jackdawbay_second_attempts_total")
	s.won = s.set.NewCounter("jackdawbay_second_attempts_won_total")
	s.upstreamSeconds = s.set.NewFloatCounter("jackdawbay_second_attempts_dropped_upstream_seconds_total")
	return s
}

// countSkipped counts a request without a second attempt by its reason.
func (s *secondAttempts) countSkipped(reason hedge.Reason) {
	s.set.GetOrCreateCounter(`jackdawbay_second_attempts_skipped_total{reason="` + string(reason) + `"}`).Inc()
}

// delay returns the time after which a second attempt may start, or false if the request gets none.
func (s *secondAttempts) delay(r hedge.Request) (time.Duration, bool) {
	s.mu.Lock()
	s.policy.CountRequest()
	d, reason := s.policy.Delay(time.Now(), r)
	s.mu.Unlock()
	if reason != "" {
		s.countSkipped(reason)
	}
	return d, reason == ""
}

// start takes a second attempt from the limit and reports whether it may start.
func (s *secondAttempts) start(hasCapacity bool) bool {
	s.mu.Lock()
	reason := s.policy.Start(hasCapacity)
	s.mu.Unlock()
	if reason != "" {
		s.countSkipped(reason)
		return false
	}
	s.started.Inc()
	return true
}

func (s *secondAttempts) observe(routeName string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.policy.Observe(time.Now(), routeName, d)
}

// hedgeRequest returns the properties of a call on which a second attempt beside one to the upstream u depends.
func (c *call) hedgeRequest(u placement.Upstream) hedge.Request {
	used := len(c.mayHaveRun)
	if !c.mayHaveRun[u.ID] {
		used++
	}
	return hedge.Request{
		Route:          c.route.Name,
		Repeatable:     c.route.IsRepeatable() && !c.headWritten && c.stream.events == 0,
		UpstreamsLeft:  max(c.route.MaxUpstreams, 1) - used,
		TimeToDeadline: time.Until(c.deadline),
	}
}

// sendWithSecondAttempt sends the request to the chosen upstream. If the head of the response is late and the policy allows
// it, it sends the request to another upstream as well, and takes the first successful response. The exchange that was not
// taken is aborted. The caller calls cancel when it has finished with the response.
//
// The head decides and not the end of the response, because the end of a stream is of no use for the choice, and the plain
// services send head and body together.
func (c *call) sendWithSecondAttempt(first placement.Choice) (a attempt, outcome route.Outcome, hasResponse bool, cancel context.CancelFunc) {
	if c.g.seconds == nil {
		a = c.exchange(c.ctx, first, c.sendState())
		outcome, hasResponse = c.recordAttempt(a)
		return a, outcome, hasResponse, func() {}
	}
	delay, allowed := c.g.seconds.delay(c.hedgeRequest(first.Upstream))
	if !allowed {
		a = c.exchange(c.ctx, first, c.sendState())
		if outcome, hasResponse = c.recordAttempt(a); hasResponse {
			c.g.seconds.observe(c.route.Name, time.Since(a.sentAt))
		}
		return a, outcome, hasResponse, func() {}
	}
	r := &attemptRace{c: c, results: make(chan attempt, 2), cancels: map[string]context.CancelFunc{}, inFlight: map[string]bool{}}
	return r.run(first, delay)
}

// attemptRace runs up to two concurrent exchanges of one request.
type attemptRace struct {
	c        *call
	results  chan attempt
	cancels  map[string]context.CancelFunc // Of all exchanges, by upstream.
	inFlight map[string]bool               // Upstreams of the exchanges without a result.
	second   string                        // Upstream of the second attempt; empty if there is none.
}

func (r *attemptRace) start(choice placement.Choice) {
	ctx, cancel := context.WithCancel(r.c.ctx)
	r.cancels[choice.Upstream.ID] = cancel
	r.inFlight[choice.Upstream.ID] = true
	state := r.c.sendState()
	go func() { r.results <- r.c.exchange(ctx, choice, state) }()
}

func (r *attemptRace) run(first placement.Choice, delay time.Duration) (attempt, route.Outcome, bool, context.CancelFunc) {
	startedAt := time.Now()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	r.start(first)
	for {
		select {
		case <-timer.C:
			r.startSecond(first)
			continue
		case a := <-r.results:
			id := a.choice.Upstream.ID
			delete(r.inFlight, id)
			outcome, hasResponse := r.c.recordAttempt(a)
			isSuccess := hasResponse && a.resp.StatusCode/100 == 2
			if !isSuccess && len(r.inFlight) > 0 {
				r.dropResponse(a, hasResponse)
				continue
			}
			if hasResponse {
				r.c.g.seconds.observe(r.c.route.Name, time.Since(startedAt))
			}
			if isSuccess && id == r.second {
				r.c.g.seconds.won.Inc()
			}
			r.abortOther(id)
			return a, outcome, hasResponse, r.cancels[id]
		}
	}
}

// startSecond sends the request to a second upstream, if another one has capacity and the limit allows it.
func (r *attemptRace) startSecond(first placement.Choice) {
	c := r.c
	excluded := maps.Clone(c.excluded)
	excluded[first.Upstream.ID] = true
	for id := range c.mayHaveRun {
		excluded[id] = true
	}
	request := c.placementRequest(excluded)
	if c.keepsVersion() {
		request.Version = streamversion.To(first.Upstream.Version) // The version that is stored for the stream.
	}
	choice, ok := c.g.upstreams.choose(c.service, request)
	if !c.g.seconds.start(ok && !choice.SlotsBusy) {
		if ok {
			c.g.upstreams.recordEnd(c.service, choice.Upstream.ID, false, 0)
		}
		return
	}
	c.sendCount++
	r.second = choice.Upstream.ID
	r.start(choice)
}

// dropResponse ends the exchange of an attempt that failed while the other one is in flight.
func (r *attemptRace) dropResponse(a attempt, hasResponse bool) {
	if !hasResponse {
		return // recordAttempt has ended the exchange.
	}
	a.resp.Discard()
	r.c.g.upstreams.recordEnd(r.c.service, a.choice.Upstream.ID, true, 0)
}

// abortOther aborts the exchange that is still in flight. Its upstream may have run the request.
func (r *attemptRace) abortOther(winner string) {
	c := r.c
	for id := range r.inFlight {
		c.mayHaveRun[id] = true
		r.cancels[id]()
		go func() {
			a := <-r.results
			if a.resp != nil {
				a.resp.Close(false)
			}
			c.g.upstreams.recordEnd(c.service, id, false, 0)
			c.g.seconds.upstreamSeconds.Add(time.Since(a.sentAt).Seconds())
		}()
	}
	if r.second != "" {
		c.g.cfg.Log.Info("second attempt", "request", c.meta.RequestID, "second", r.second, "taken", winner, "second_won", winner == r.second)
	}
}
