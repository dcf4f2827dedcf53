package load

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"jackdawbay.dev/api/caller"
)

// Guards against runs with the same seed that differ, against steps that exceed the limits, and against duplicate keys.
func TestGeneratorIsDeterministicAndBounded(t *testing.T) {
	params := DefaultProgramParams()
	a, b := NewGenerator(7, DefaultMix(), params), NewGenerator(7, DefaultMix(), params)
	businessKeys := map[string]bool{}
	for range 2000 {
		p := a.NextProgram()
		must.Eq(t, p, b.NextProgram())
		keys := map[string]bool{}
		for _, s := range p.Steps {
			must.LessEq(t, params.MaxPause, s.Pause)
			must.LessEq(t, params.MaxTokens, s.MaxTokens)
			if s.Key != "" {
				must.False(t, keys[s.Key], must.Sprintf("call key %s appears twice in one program", s.Key))
				keys[s.Key] = true
			}
			if s.Kind == StepOrder {
				must.False(t, businessKeys[s.BusinessKey], must.Sprintf("business key %s appears twice", s.BusinessKey))
				businessKeys[s.BusinessKey] = true
			}
		}
		must.LessEq(t, 2*params.MaxTurns+1, len(p.Steps))
	}
}

// Guards against a class mix or an arrival rate that differs from the configured one.
func TestGeneratorMatchesMixAndRate(t *testing.T) {
	g := NewGenerator(1, Mix{ClassAgent: 10, ClassOrder: 20, ClassStock: 70}, DefaultProgramParams())
	count := map[Class]int{}
	var total time.Duration
	const programs = 20_000
	for range programs {
		count[g.NextProgram().Class]++
		total += g.NextArrivalDelay(50)
	}
	for class, percent := range g.mix {
		must.InDelta(t, float64(percent), 100*float64(count[class])/programs, 1.5)
	}
	must.InDelta(t, 1.0/50, total.Seconds()/programs, 0.001)
}

// Guards against an invalid mix that is accepted and runs a different workload.
func TestParseMix(t *testing.T) {
	for _, tc := range []struct {
		text string
		ok   bool
	}{
		{"agent=40,order=20,stock=40", true},
		{"stock=100", true},
		{"agent=40,order=20", false},
		{"agent=40,orders=60", false},
		{"agent=140,stock=-40", false},
		{"agent", false},
	} {
		_, err := ParseMix(tc.text)
		must.Eq(t, tc.ok, err == nil, must.Sprintf("mix %q: %v", tc.text, err))
	}
}

// Guards against sending load to daemons on other machines.
func TestOnlyLoopbackTargets(t *testing.T) {
	for _, tc := range []struct {
		url string
		ok  bool
	}{
		{"http://127.0.0.1:7070", true},
		{"http://127.3.0.9:1", true},
		{"http://10.0.0.1:7070", false},
		{"http://localhost:7070", false},
		{"https://127.0.0.1:7070", false},
	} {
		must.Eq(t, tc.ok, checkLoopback(tc.url) == nil, must.Sprint(tc.url))
	}
}

// Guards against accepting the result of another call, a stream with missing text, or an order that ran twice.
func TestCheckResults(t *testing.T) {
	step := Step{Kind: StepModel, Key: "model-0", Prompt: "hello"}
	model := func(key, prompt, text string) caller.Result {
		return caller.Result{Turn: caller.Turn{
			Sequence: 1, CallKey: key, Kind: caller.CallModel,
			Model:   &caller.ModelCall{Messages: []caller.Message{{Role: "user", Content: caller.Text(prompt)}}},
			Message: &caller.Message{Role: "assistant", Content: caller.Text(text)},
		}}
	}
	must.NoError(t, checkModelResult(step, "abc", true, model("model-0", "hello", "abc")))
	must.NoError(t, checkModelResult(step, "bc", false, model("model-0", "hello", "abc")))
	must.Error(t, checkModelResult(step, "ab", true, model("model-0", "hello", "abc")))
	must.Error(t, checkModelResult(step, "abc", true, model("model-1", "hello", "abc")))
	must.Error(t, checkModelResult(step, "abc", true, model("model-0", "other", "abc")))

	order := Step{Kind: StepOrder, Key: "order-0", Path: "/orders", BusinessKey: "b-1"}
	service := func(body string) caller.Result {
		return caller.Result{Turn: caller.Turn{
			Sequence: 1, CallKey: "order-0", Kind: caller.CallService,
			Service:  &caller.ServiceCall{Path: "/orders"},
			Response: &caller.ServiceResponse{Status: 200, Body: []byte(body)},
		}}
	}
	must.NoError(t, checkServiceResult(order, service(`{"path":"/orders","business_key":"b-1","run":1}`)))
	must.Error(t, checkServiceResult(order, service(`{"path":"/orders","business_key":"b-2","run":1}`)))
	must.Error(t, checkServiceResult(order, service(`{"path":"/orders","business_key":"b-1","run":2}`)))
}

// Guards against accepting a history with a missing or reordered turn, or with a wrong digest.
func TestCheckHistory(t *testing.T) {
	const id = "falls-a.1"
	turns := []caller.Turn{{Sequence: 1, CallKey: "a"}, {Sequence: 2, CallKey: "b"}}
	digest := caller.InitialDigest(id)
	for _, turn := range turns {
		next, err := caller.NextDigest(digest, turn)
		must.NoError(t, err)
		digest = next
	}
	keys := []string{"a", "b"}
	must.NoError(t, checkHistory(id, keys, digest, turns))
	must.Error(t, checkHistory(id, keys, digest, turns[:1]))
	must.Error(t, checkHistory(id, keys, digest, []caller.Turn{turns[1], turns[0]}))
	must.Error(t, checkHistory(id, keys, caller.InitialDigest(id), turns))
}

// Guards against a latency summary with wrong units or percentiles.
func TestReportLatency(t *testing.T) {
	s := NewStats()
	for i := 1; i <= 100; i++ {
		s.Observe(MeasureCall, ClassStock, time.Duration(i)*time.Millisecond)
	}
	l := s.Report().Latency[0]
	must.Eq(t, 100, l.Count)
	must.InDelta(t, 50.5, l.Mean, 0.1)
	must.InDelta(t, 50, l.P50, 0.1)
	must.InDelta(t, 95, l.P95, 0.1)
	must.InDelta(t, 99, l.P99, 0.1)
}
