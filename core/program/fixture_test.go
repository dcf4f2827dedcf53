package program

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/journal"
)

const (
	testTenant = "falls-tailors"
	testDC     = "falls-a"
)

var (
	testStart  = time.Unix(1_800_000_000, 0)
	testSigner = NewSigner([]byte("test key"))
)

// testID returns the n-th program id that belongs to the same shard as the id with number 0.
func testID(n int) string {
	first := testDC + ".0"
	for i := 0; ; i++ {
		id := fmt.Sprintf("%s.%d", testDC, i)
		if ShardOf(id) != ShardOf(first) {
			continue
		}
		if n == 0 {
			return id
		}
		n--
	}
}

var testShard = ShardOf(testID(0))

func testConfig(incarnation string) Config {
	return Config{
		Incarnation: incarnation,
		VM:          "vm-1",
		DataCentre:  testDC,
		Signer:      testSigner,
		Journal:     journal.WriterConfig{MaxBacklogBytes: 1 << 20},
		MaxPrograms: 8,
	}
}

// openOwner returns an owner that has opened the test shard under epoch 1.
func openOwner(change func(*Config)) *Owner {
	cfg := testConfig("vm-1-a")
	if change != nil {
		change(&cfg)
	}
	o := NewOwner(cfg)
	o.OpenShard(testStart, testShard, 1, nil)
	return o
}

func testLimits() Limits {
	return Limits{BudgetTokens: 10_000, MaxTurns: 10, Expiry: time.Hour, MaxTenantPrograms: 4}
}

func create(t *testing.T, o *Owner, id string) caller.CreatedProgram {
	t.Helper()
	return createWithBudget(t, o, id, testLimits().BudgetTokens)
}

func createWithBudget(t *testing.T, o *Owner, id string, tokens int64) caller.CreatedProgram {
	t.Helper()
	lim := testLimits()
	lim.BudgetTokens = tokens
	c, err := o.Create(testStart, testTenant, id, caller.CreateProgram{}, lim)
	must.NoError(t, err)
	return c
}

// modelCall returns the next model call of a program. Its upper bound beyond the history is 50 tokens for the message
// and 50 for the output.
func modelCall(o *Owner, id, key string) caller.Call {
	d, _ := o.Describe(testTenant, id)
	m := caller.Message{Role: "user", Content: "012345678901234567890123456789"}
	return caller.Call{Sequence: d.Sequence + 1, Digest: d.Digest, CallKey: key, Kind: caller.CallModel,
		Model: &caller.ModelCall{Messages: []caller.Message{m}, MaxTokens: 50}}
}

func serviceCall(o *Owner, id, key string) caller.Call {
	c := modelCall(o, id, key)
	c.Kind, c.Model = caller.CallService, nil
	c.Service = &caller.ServiceCall{Upstream: "printer", Path: "/orders", Body: json.RawMessage(`{"jerseys":40}`)}
	return c
}

func request(id string, c caller.Call, attempt string) AdmitRequest {
	r := AdmitRequest{Tenant: testTenant, Program: id, Call: c, Attempt: attempt, Ingress: "in-1",
		Idempotent: c.Kind == caller.CallModel, ExpiresAt: testStart.Add(time.Minute)}
	if c.Service != nil {
		r.Upstream = c.Service.Upstream
	}
	return r
}

func completion(id string, c caller.Call, attempt string) Completion {
	turn := caller.Turn{Sequence: c.Sequence, CallKey: c.CallKey, Kind: c.Kind, Model: c.Model, Service: c.Service}
	if c.Kind == caller.CallModel {
		turn.Message = &caller.Message{Role: "assistant", Content: "done"}
		turn.Usage = caller.Usage{PromptTokens: 30, CompletionTokens: 10}
	} else {
		turn.Response = &caller.ServiceResponse{Status: 200}
	}
	return Completion{Tenant: testTenant, Program: id, Attempt: attempt, Call: c, Outcome: OutcomeDone, Turn: turn}
}

func admit(t *testing.T, o *Owner, id string, c caller.Call, attempt string) Admission {
	t.Helper()
	a, err := o.Admit(testStart, request(id, c, attempt))
	must.NoError(t, err)
	return a
}

// runCall admits and completes a call.
func runCall(t *testing.T, o *Owner, id string, c caller.Call) *caller.Result {
	t.Helper()
	admit(t, o, id, c, "run-"+c.CallKey)
	r, err := o.Complete(testStart, completion(id, c, "run-"+c.CallKey))
	must.NoError(t, err)
	return r
}

// flush stores all appended entries and returns the segments.
func flush(o *Owner) []journal.Segment {
	var segments []journal.Segment
	now := testStart
	for {
		at, ok := o.Journal().NextFlushTime()
		if !ok {
			return segments
		}
		if at.After(now) {
			now = at
		}
		s, _ := o.Journal().NextSegment(now)
		segments = append(segments, s)
		o.Journal().CreateSucceeded(0)
	}
}

// replay applies the segments of one incarnation to r.
func replay(t must.T, r *Replay, segments []journal.Segment) *Replay {
	t.Helper()
	if len(segments) == 0 {
		return r
	}
	reader := journal.NewReader(segments[0].Incarnation, segments[0].Slot)
	for _, s := range segments {
		entries, err := reader.Add(s)
		must.NoError(t, err)
		for _, e := range entries {
			must.NoError(t, r.Apply(e))
		}
	}
	return r
}

// takeOver returns an owner of the next epoch that has replayed the segments.
func takeOver(t *testing.T, o *Owner, segments []journal.Segment, incarnation string) *Owner {
	t.Helper()
	next := NewOwner(testConfig(incarnation))
	next.OpenShard(testStart, testShard, o.newestEpochs[testShard]+1, replay(t, NewReplay(testShard), segments))
	return next
}

func mustKind(t *testing.T, err error, k errkind.Kind, n errkind.NotRun) {
	t.Helper()
	must.Error(t, err)
	body := errkind.NewBody(err).Error
	must.Eq(t, k, body.Code, must.Sprint(err))
	must.Eq(t, n, body.NotRun, must.Sprint(err))
}

// snapshot returns the state of an owner as text. It omits pendingTurns, because functions that only read the state
// remove durable turns from them.
func snapshot(o *Owner) string {
	text := fmt.Sprintf("backlog %d appended %d history %d\n", o.writer.BacklogBytes(), o.writer.AppendedLSN(), o.historyBytes)
	for _, p := range o.sortedPrograms(testShard) {
		text += p.durableText() + fmt.Sprintf(" inflight %+v owed %d own %d left %d\n", p.inFlight, p.unjournaledCharge, p.usableReservation, p.handoverReservation)
	}
	return text
}

// durableText returns the durable state of a program as text, with its memory and its unknown outcomes.
func (p *programState) durableText() string {
	entries, _ := json.Marshal(p.stateEntries())
	return fmt.Sprintf("%s bytes %d unknown %v", entries, p.memoryBytes, p.outcomeUnknownByKey())
}

func (p *programState) outcomeUnknownByKey() map[string]bool {
	keys := map[string]bool{}
	for k, in := range p.intents {
		keys[k] = in.outcomeUnknown
	}
	return keys
}

func chargeEntry(tokens int64) journal.Entry {
	return journal.Entry{Charge: &journal.Charge{Tokens: tokens}}
}
