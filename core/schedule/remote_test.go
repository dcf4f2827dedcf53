package schedule

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against paid traffic for a small gain, and against calls that stay at an overloaded data centre or at one without
// engines.
func TestChooseDataCentre(t *testing.T) {
	home := DataCentreLoad{DataCentre: "falls-a", IsHome: true, Slots: 10, MeanServiceTime: 10 * time.Second}
	near := DataCentreLoad{DataCentre: "falls-b", Slots: 10, MeanServiceTime: 10 * time.Second, RoundTrip: 2 * time.Millisecond}
	far := DataCentreLoad{DataCentre: "harbor-a", Slots: 10, MeanServiceTime: 10 * time.Second, RoundTrip: 24 * time.Millisecond, OtherRegion: true}
	cases := []struct {
		name     string
		change   func(loads []DataCentreLoad)
		linkRate int64
		want     int
	}{
		{"home when idle", func([]DataCentreLoad) {}, 250_000, 0},
		{"same region when home is busy", func(s []DataCentreLoad) { s[0].Running, s[0].Waiting = 10, 5 }, 250_000, 1},
		{"follows a long prefix", func(s []DataCentreLoad) { s[1].CachedTokens = 20_000 }, 250_000, 1},
		{"not another region for a small gain", func(s []DataCentreLoad) { s[0].Running, s[1].Running = 1, 2 }, 250_000, 0},
		{"another region when both have long queues", func(s []DataCentreLoad) { s[0].Waiting, s[1].Waiting = 100, 100 }, 250_000, 2},
		{"not another region without budget", func(s []DataCentreLoad) { s[0].Waiting, s[1].Waiting = 100, 101 }, 1, 0},
		{"no engine in any data centre", func(s []DataCentreLoad) { s[0].Slots, s[1].Slots, s[2].Slots = 0, 0, 0 }, 250_000, -1},
	}
	call := RemoteCall{PromptTokens: 21_000, HistoryTokens: 20_000, OutputTokens: 300}
	w := DataCentreWeights{Latency: 1, Cache: 1, PrefillTokensPerSecond: 8000}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			loads := []DataCentreLoad{home, near, far}
			tc.change(loads)
			must.Eq(t, tc.want, ChooseDataCentre(startTime, call, loads, w, NewLinkBudget(tc.linkRate)))
		})
	}
}

// Guards against transferring a KV cache that is faster to recompute.
func TestShouldTransfer(t *testing.T) {
	base := Transfer{Tokens: 50_000, BytesPerToken: 64_000, LinkBytesPerSecond: 1.25e9, PrefillTokensPerSecond: 8000}
	cases := []struct {
		name   string
		change func(*Transfer)
		want   bool
	}{
		{"fast link in the region", func(*Transfer) {}, true},
		{"slow link in the region", func(x *Transfer) { x.LinkBytesPerSecond = 1e7 }, false},
		{"between regions", func(x *Transfer) { x.OtherRegion, x.LinkBytesPerSecond = true, 3.75e6 }, false},
		{"between regions, small cache of a slow model", func(x *Transfer) {
			x.OtherRegion, x.LinkBytesPerSecond, x.BytesPerToken, x.PrefillTokensPerSecond = true, 3.75e6, 20, 100
		}, true},
		{"nothing to transfer", func(x *Transfer) { x.Tokens = 0 }, false},
	}
	w := DataCentreWeights{Latency: 1, Cache: 1}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			x := base
			tc.change(&x)
			must.Eq(t, tc.want, ShouldTransfer(startTime, x, w, NewLinkBudget(250_000)))
		})
	}
}

// Guards against hedging a call that is not idempotent, such as a deposit, and against retries beyond the ratio.
func TestHedgeAndRetryBudget(t *testing.T) {
	slow := Attempt{Idempotent: true, RunningFor: 10 * time.Second, TypicalFirstToken: time.Second}
	full := NewRetryBudget(0.1)
	must.True(t, ShouldHedge(slow, full))
	notIdempotent := slow
	notIdempotent.Idempotent = false
	must.False(t, ShouldHedge(notIdempotent, full))
	must.False(t, ShouldHedge(slow, NewRetryBudget(0)))

	b, retries := full, 0
	for range 1000 {
		b = b.AddFirstAttempt()
		next, ok := b.TakeRetry()
		if ok {
			retries++
		}
		b = next
	}
	must.Between(t, 100, retries, 103)
}

// Guards against counting calls that this dispatcher started or ended after the report as external requests.
func TestObserveLoad(t *testing.T) {
	d := newDispatcher(Config{}, newEngineSpec("e", 4))
	must.NoError(t, d.Enqueue(startTime, newTicket("1", "p")))
	mustGrant(t, d, startTime)
	reportTime := startTime.Add(time.Second)
	d.Release(startTime.Add(2*time.Second), "1", usageOf(1000))
	now := startTime.Add(3 * time.Second)
	d.ObserveLoad(now, "e", 1, 0, reportTime)
	must.Eq(t, 0, d.enginesByName["e"].externalRequests)
	d.ObserveLoad(now, "e", 3, 1, now)
	must.Eq(t, 4, d.enginesByName["e"].externalRequests)
	must.NoError(t, d.Enqueue(now, newTicket("2", "p")))
	_, ok := d.NextGrant(now)
	must.False(t, ok)
	d.ObserveLoad(now, "e", 0, 0, reportTime)
	must.Eq(t, 4, d.enginesByName["e"].externalRequests, must.Sprint("an older report must be ignored"))
}

// Guards against engine memory that is occupied by programs that have ended or paused for too long.
func TestPrefixReleases(t *testing.T) {
	d := newDispatcher(Config{}, newEngineSpec("e", 4))
	runCall(t, d, startTime, newTicket("1", "p"), time.Second)
	must.Eq(t, []Order{{OrderReleaseCache, "e", "p"}}, d.EndProgram("p"))
	runCall(t, d, startTime, newTicket("2", "q"), time.Second)
	must.SliceEmpty(t, d.Tick(startTime.Add(time.Minute)))
	must.Eq(t, []Order{{OrderReleaseCache, "e", "q"}}, d.Tick(startTime.Add(10*time.Minute)))
	must.Eq(t, 0, d.enginesByName["e"].cachedTokens)
}
