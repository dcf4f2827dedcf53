package experiment

import (
	"testing"

	"github.com/shoenig/test/must"
)

func shortRun(p Policy, fault Fault) Run {
	r := DefaultRun(Merrimack(), 7)
	r.WarmupSeconds, r.ArrivalSeconds, r.MaxDrainSeconds = 20, 200, 20_000
	r.ArrivalRates = []float64{1.2, 0.6}
	r.Policy, r.Fault = p, fault
	return r
}

// Guards against results that depend on anything but the settings and the seed, and against programs that never end.
func TestRunsRepeatAndEnd(t *testing.T) {
	for _, p := range append(BaselinePolicies(), DispatcherPolicy()) {
		for _, fault := range []Fault{NoFault, EngineFailure, SitePartition} {
			t.Run(p.Name+" "+string(fault), func(t *testing.T) {
				r := shortRun(p, fault)
				first := Simulate(r)
				must.Eq(t, first, Simulate(r))
				must.Positive(t, first.Programs)
				must.Zero(t, first.Unfinished)
			})
		}
	}
}

// Guards against policies that are compared on different workloads.
func TestSameArrivalsForAllPolicies(t *testing.T) {
	a, b := Simulate(shortRun(BaselinePolicies()[0], NoFault)), Simulate(shortRun(DispatcherPolicy(), NoFault))
	must.Eq(t, a.Programs, b.Programs)
}

func newTestCall(id string, prompt, history, output int64) *call {
	return &call{id: id, program: &program{id: id}, promptTokens: prompt, historyTokens: history, outputTokens: output}
}

// Guards against an engine model that runs faster than its speeds, ignores its cache or exceeds its slots.
func TestEngine(t *testing.T) {
	var c clock
	m := DefaultEngineModel()
	m.Slots = 2
	e := newEngine(&c, m, "e", 0, 0)
	var ended []string
	e.onFinished = func(x *call) { ended = append(ended, x.id) }
	e.onCacheChanged = func(*engine, string, int64, bool) {}
	e.submit(newTestCall("a", 8000, 0, 100))
	e.submit(newTestCall("b", 8000, 0, 50))
	e.submit(newTestCall("c", 100, 0, 1))
	must.Eq(t, 2, e.runningCount())
	for c.runNextEvent() {
		must.LessEq(t, 2, e.runningCount())
	}
	must.Eq(t, []string{"b", "c", "a"}, ended)
	// 16,000 prompt tokens take at least 2 s, and 100 tokens at least 1.5 s.
	must.GreaterEq(t, 2.0, c.now)
	again := newTestCall("a", 8200, 8100, 10)
	e.submit(again)
	must.Eq(t, int64(8100), again.cachedTokens)
	must.Eq(t, e.cachedTokens, e.cache["a"].Value.(*cacheEntry).tokens+e.cache["b"].Value.(*cacheEntry).tokens+e.cache["c"].Value.(*cacheEntry).tokens)
}

// Guards against evicting the prefix of a call in progress, and against a cache that exceeds its capacity.
func TestEngineEvictsLeastRecentlyUsed(t *testing.T) {
	var c clock
	m := DefaultEngineModel()
	m.CacheTokens = 10_000
	e := newEngine(&c, m, "e", 0, 0)
	e.onFinished = func(*call) {}
	e.onCacheChanged = func(*engine, string, int64, bool) {}
	for _, id := range []string{"a", "b", "c"} {
		e.submit(newTestCall(id, 4000, 0, 10))
		for c.runNextEvent() {
			must.LessEq(t, m.CacheTokens, e.cachedTokens)
		}
	}
	must.Less(t, 4010, e.cache["a"].Value.(*cacheEntry).tokens)
	must.Eq(t, int64(4010), e.cache["c"].Value.(*cacheEntry).tokens)
}
