package program

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
)

// rejectionCase is one test case. The function prepare creates the state. The function reject makes a request that must
// be rejected with the given kind and "not run" value, and that must not change the state.
type rejectionCase struct {
	name    string
	config  func(*Config)
	prepare func(t *testing.T, o *Owner, id string)
	reject  func(o *Owner, id string) error
	kind    errkind.Kind
	notRun  errkind.NotRun
}

func checkRejections(t *testing.T, cases []rejectionCase) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o, id := openOwner(c.config), testID(0)
			if c.prepare != nil {
				c.prepare(t, o, id)
			}
			before := snapshot(o)
			mustKind(t, c.reject(o, id), c.kind, c.notRun)
			must.Eq(t, before, snapshot(o))
		})
	}
}

func withProgram(t *testing.T, o *Owner, id string) { create(t, o, id) }

func withTurn(t *testing.T, o *Owner, id string) {
	create(t, o, id)
	runCall(t, o, id, modelCall(o, id, "k1"))
}

func withInFlight(t *testing.T, o *Owner, id string) {
	create(t, o, id)
	admit(t, o, id, modelCall(o, id, "k1"), "a1")
}

func withIntent(t *testing.T, o *Owner, id string) {
	create(t, o, id)
	admit(t, o, id, serviceCall(o, id, "k1"), "a1")
}

func withUnknown(t *testing.T, o *Owner, id string) {
	withIntent(t, o, id)
	o.AbandonIngressAttempts("in-1")
}

func withResolved(t *testing.T, o *Owner, id string) {
	withUnknown(t, o, id)
	must.NoError(t, o.Resolve(id, "k1", true, "seen at the printer"))
}

func withEnded(t *testing.T, o *Owner, id string) {
	create(t, o, id)
	_, err := o.End(testTenant, id, EndedByCaller)
	must.NoError(t, err)
}

// withFullBacklog fills the journal's backlog after prepare, so that the next append is rejected.
func withFullBacklog(prepare func(*testing.T, *Owner, string)) func(*testing.T, *Owner, string) {
	return func(t *testing.T, o *Owner, id string) {
		prepare(t, o, id)
		fillBacklog(o)
	}
}

func fillBacklog(o *Owner) {
	for n := 0; ; n++ {
		if _, err := o.appendEntries(o.programs[testID(0)], chargeEntry(1)); err != nil {
			return
		}
	}
}

func smallBacklog(c *Config) { c.Journal.MaxBacklogBytes = 4096 }

// admitChanged returns a function that sends an admit request for a valid call after applying change to it.
func admitChanged(build func(*Owner, string, string) caller.Call, key string, change func(*AdmitRequest)) func(*Owner, string) error {
	return func(o *Owner, id string) error {
		r := request(id, build(o, id, key), "a9")
		if change != nil {
			change(&r)
		}
		_, err := o.Admit(testStart, r)
		return err
	}
}

func TestAdmitRejections(t *testing.T) {
	const yes, no, unknown = errkind.NotRunTrue, errkind.NotRunFalse, errkind.NotRunUnknown
	checkRejections(t, []rejectionCase{
		{"shard not open", nil, nil, admitChanged(modelCall, "k", func(r *AdmitRequest) { r.Program = "harbor-a.1" }), errkind.NotOwner, yes},
		{"journal sealed", nil, func(t *testing.T, o *Owner, id string) { create(t, o, id); o.writer.Fence() },
			admitChanged(modelCall, "k", nil), errkind.NotOwner, yes},
		{"no such program", nil, nil, admitChanged(modelCall, "k", nil), errkind.ProgramNotFound, yes},
		{"other tenant", nil, withProgram, admitChanged(modelCall, "k", func(r *AdmitRequest) { r.Tenant = "x" }), errkind.ProgramNotFound, yes},
		{"ended", nil, withEnded, admitChanged(modelCall, "k", nil), errkind.ProgramEnded, yes},
		{"no call key", nil, withProgram, admitChanged(modelCall, "", nil), errkind.InvalidValue, yes},
		{"unknown kind", nil, withProgram, admitChanged(modelCall, "k", func(r *AdmitRequest) { r.Call.Kind = "x" }), errkind.InvalidValue, yes},
		{"model call without model", nil, withProgram, admitChanged(modelCall, "k", func(r *AdmitRequest) { r.Call.Model = nil }), errkind.InvalidValue, yes},
		{"service call without service", nil, withProgram, admitChanged(serviceCall, "k", func(r *AdmitRequest) { r.Call.Service = nil }), errkind.InvalidValue, yes},
		{"service body is not JSON", nil, withProgram, admitChanged(serviceCall, "k", func(r *AdmitRequest) { r.Call.Service.Body = json.RawMessage("{") }), errkind.InvalidValue, yes},
		{"negative max_tokens", nil, withProgram, admitChanged(modelCall, "k", func(r *AdmitRequest) { r.Call.Model.MaxTokens = -1 }), errkind.InvalidValue, yes},
		{"max_tokens overflows", nil, withProgram, admitChanged(modelCall, "k", func(r *AdmitRequest) { r.Call.Model.MaxTokens = 1 << 62 }), errkind.InvalidValue, yes},
		{"sequence already used", nil, withTurn, admitChanged(modelCall, "k", func(r *AdmitRequest) { r.Call.Sequence = 1 }), errkind.WrongSequence, yes},
		{"sequence zero", nil, withProgram, admitChanged(modelCall, "k", func(r *AdmitRequest) { r.Call.Sequence = 0 }), errkind.WrongSequence, yes},
		{"sequence too high", nil, withTurn, admitChanged(modelCall, "k", func(r *AdmitRequest) { r.Call.Sequence = 4 }), errkind.HistoryGap, yes},
		{"digest differs", nil, withTurn, admitChanged(modelCall, "k", func(r *AdmitRequest) { r.Call.Digest = "x" }), errkind.DigestMismatch, yes},
		{"key used with another body", nil, withTurn, admitChanged(serviceCall, "k1", nil), errkind.CallKeyReused, yes},
		{"key was used for another sequence", nil, withTurn, admitChanged(modelCall, "k1", nil), errkind.CallKeyReused, no},
		{"another call in flight", nil, withInFlight, admitChanged(modelCall, "k2", nil), errkind.CallInProgress, yes},
		{"in flight with another body", nil, withInFlight, admitChanged(modelCall, "k1", func(r *AdmitRequest) { r.Call.Model.MaxTokens = 3 }), errkind.CallInProgress, yes},
		{"non-idempotent repeat of an idempotent attempt", nil, withInFlight, admitChanged(modelCall, "k1", func(r *AdmitRequest) { r.Idempotent = false }), errkind.CallInProgress, yes},
		{"non-idempotent call in flight", nil, withIntent, admitChanged(serviceCall, "k1", nil), errkind.CallInProgress, unknown},
		{"outcome unknown", nil, withUnknown, admitChanged(serviceCall, "k1", nil), errkind.OutcomeUnknown, unknown},
		{"outcome unknown after the end", nil, func(t *testing.T, o *Owner, id string) {
			withUnknown(t, o, id)
			_, err := o.End(testTenant, id, EndedByCaller)
			must.NoError(t, err)
		}, admitChanged(serviceCall, "k1", nil), errkind.OutcomeUnknown, unknown},
		{"intent with another body", nil, withUnknown, admitChanged(serviceCall, "k1", func(r *AdmitRequest) { r.Call.Service.Path = "/x" }), errkind.CallKeyReused, yes},
		{"same upstream has an unknown outcome", nil, withUnknown, admitChanged(serviceCall, "k2", nil), errkind.OutcomeUnknown, yes},
		{"resolved as ran", nil, withResolved, admitChanged(serviceCall, "k1", nil), errkind.OutcomeUnknown, no},
		{"too many open calls", nil, func(t *testing.T, o *Owner, id string) {
			create(t, o, id)
			for i := range maxUnresolvedCalls {
				o.programs[id].closeIntent(string(rune('a'+i)), true, "")
			}
		}, admitChanged(serviceCall, "k9", nil), errkind.OutcomeUnknown, yes},
		{"cancelled before it was admitted", nil, func(t *testing.T, o *Owner, id string) {
			create(t, o, id)
			c := completion(id, serviceCall(o, id, "k"), "a9")
			c.Outcome = OutcomeNotSent
			_, err := o.Complete(testStart, c)
			must.NoError(t, err)
		}, admitChanged(serviceCall, "k", nil), errkind.CallerGone, yes},
		{"duplicate of an attempt that waits for a reservation", nil, func(t *testing.T, o *Owner, id string) {
			createWithBudget(t, o, id, 200)
			admit(t, o, id, modelCall(o, id, "k"), "a9")
			flush(o)
		}, admitChanged(modelCall, "k", nil), errkind.CallInProgress, unknown},
		{"turn limit", nil, func(t *testing.T, o *Owner, id string) { withTurn(t, o, id); o.programs[id].created.MaxTurns = 1 },
			admitChanged(modelCall, "k", nil), errkind.TurnLimit, yes},
		{"budget", nil, func(t *testing.T, o *Owner, id string) {
			createWithBudget(t, o, id, 179)
			runCall(t, o, id, modelCall(o, id, "k1"))
		},
			admitChanged(modelCall, "k", nil), errkind.ProgramBudgetExhausted, yes},
		{"budget with the replaced attempt", nil, func(t *testing.T, o *Owner, id string) {
			createWithBudget(t, o, id, 199)
			admit(t, o, id, modelCall(o, id, "k1"), "a1")
		}, admitChanged(modelCall, "k1", nil), errkind.ProgramBudgetExhausted, yes},
		{"budget with the reservation of a failed owner", nil, func(t *testing.T, o *Owner, id string) {
			createWithBudget(t, o, id, 113)
			r := replay(t, NewReplay(testShard), flush(o))
			o.OpenShard(testStart, testShard, 2, r)
		}, admitChanged(modelCall, "k", nil), errkind.ProgramBudgetExhausted, yes},
		{"backlog full when journaling an intent", smallBacklog, withFullBacklog(withProgram), admitChanged(serviceCall, "k", nil), errkind.BacklogFull, yes},
		{"backlog full when journaling a reservation", smallBacklog, withFullBacklog(func(t *testing.T, o *Owner, id string) { createWithBudget(t, o, id, 200) }),
			admitChanged(modelCall, "k", nil), errkind.BacklogFull, yes},
		{"backlog full when replacing an attempt", smallBacklog, withFullBacklog(withInFlight), admitChanged(modelCall, "k1", nil), errkind.BacklogFull, yes},
		{"history memory full", func(c *Config) { c.MaxHistoryBytes = 1 }, withTurn, admitChanged(modelCall, "k", nil), errkind.BacklogFull, yes},
	})
}

// TestWindowRejections guards against accepting forged, foreign and inconsistent histories.
func TestWindowRejections(t *testing.T) {
	donor, id := openOwner(nil), testID(0)
	create(t, donor, id)
	first := runCall(t, donor, id, modelCall(donor, id, "k1"))
	second := runCall(t, donor, id, modelCall(donor, id, "k2"))
	next := modelCall(donor, id, "k3")
	next.Receipt, next.Window = second.Receipt, []caller.Turn{first.Turn, second.Turn}
	window := func(change func(*AdmitRequest)) func(*Owner, string) error {
		return func(o *Owner, id string) error {
			r := request(id, next, "a9")
			r.Call.Window = append([]caller.Turn(nil), next.Window...)
			change(&r)
			_, err := o.Admit(testStart, r)
			return err
		}
	}
	const yes = errkind.NotRunTrue
	forged := NewSigner([]byte("other key")).Sign(Receipt{Program: id, Tenant: testTenant, Sequence: 2, Digest: next.Digest})
	other := testSigner.Sign(Receipt{Program: testID(1), Tenant: testTenant, Sequence: 2, Digest: next.Digest})
	cases := []rejectionCase{
		{"no window", nil, withProgram, window(func(r *AdmitRequest) { r.Call.Window = nil }), errkind.HistoryGap, yes},
		{"no receipt", nil, withProgram, window(func(r *AdmitRequest) { r.Call.Receipt = "" }), errkind.HistoryGap, yes},
		{"forged receipt", nil, withProgram, window(func(r *AdmitRequest) { r.Call.Receipt = forged }), errkind.InvalidValue, yes},
		{"receipt without signature", nil, withProgram, window(func(r *AdmitRequest) { r.Call.Receipt = "x" }), errkind.InvalidValue, yes},
		{"receipt of another program", nil, withProgram, window(func(r *AdmitRequest) { r.Call.Receipt = other }), errkind.DigestMismatch, yes},
		{"receipt of an older turn", nil, withProgram, window(func(r *AdmitRequest) { r.Call.Receipt = first.Receipt }), errkind.DigestMismatch, yes},
		{"window starts late", nil, withProgram, window(func(r *AdmitRequest) { r.Call.Window = r.Call.Window[1:] }), errkind.HistoryGap, yes},
		{"window ends early", nil, withProgram, window(func(r *AdmitRequest) { r.Call.Window = r.Call.Window[:1] }), errkind.InvalidValue, yes},
		{"turn changed", nil, withProgram, window(func(r *AdmitRequest) { r.Call.Window[0].CallKey = "x" }), errkind.DigestMismatch, yes},
		{"turns do not follow", nil, withProgram, window(func(r *AdmitRequest) { r.Call.Window[0].Sequence = 0 }), errkind.InvalidValue, yes},
		{"history memory full", func(c *Config) { c.MaxHistoryBytes = 100 }, withProgram, window(func(*AdmitRequest) {}), errkind.BacklogFull, yes},
		{"backlog full", smallBacklog, withFullBacklog(withProgram), window(func(*AdmitRequest) {}), errkind.BacklogFull, yes},
		{"restore for another tenant", nil, nil, window(func(r *AdmitRequest) { r.Tenant = "x" }), errkind.ProgramNotFound, yes},
		{"restore without the first turn", nil, nil, window(func(r *AdmitRequest) { r.Call.Window = r.Call.Window[1:] }), errkind.HistoryGap, yes},
		{"restore with a forged receipt", nil, nil, window(func(r *AdmitRequest) { r.Call.Receipt = forged }), errkind.InvalidValue, yes},
		{"restore beyond the limit of programs", func(c *Config) { c.MaxPrograms = 0 }, nil, window(func(*AdmitRequest) {}), errkind.BacklogFull, yes},
		{"restore with an old receipt", nil, nil, func(o *Owner, id string) error {
			_, err := o.Admit(testStart.Add(2*time.Hour), request(id, next, "a9"))
			return err
		}, errkind.ProgramNotFound, errkind.NotRunUnknown},
	}
	checkRejections(t, cases)
}

func TestCompleteRejections(t *testing.T) {
	const no, unknown, yes = errkind.NotRunFalse, errkind.NotRunUnknown, errkind.NotRunTrue
	done := func(key, attempt string, change func(*Completion)) func(*Owner, string) error {
		return func(o *Owner, id string) error {
			c := completion(id, modelCall(o, id, key), attempt)
			if change != nil {
				change(&c)
			}
			_, err := o.Complete(testStart, c)
			return err
		}
	}
	notSent := func(o *Owner, id string) error {
		c := completion(id, serviceCall(o, id, "k1"), "a1")
		c.Outcome = OutcomeNotSent
		_, err := o.Complete(testStart, c)
		return err
	}
	checkRejections(t, []rejectionCase{
		{"shard not open", nil, nil, done("k1", "a1", func(c *Completion) { c.Program = "harbor-a.1" }), errkind.NotOwner, no},
		{"shard not open, outcome failed", nil, nil, done("k1", "a1", func(c *Completion) { c.Program, c.Outcome = "harbor-a.1", OutcomeFailed }), errkind.NotOwner, unknown},
		{"no such program", nil, nil, done("k1", "a1", nil), errkind.ProgramNotFound, no},
		{"other tenant", nil, withInFlight, done("k1", "a1", func(c *Completion) { c.Tenant = "x" }), errkind.ProgramNotFound, no},
		{"unknown outcome", nil, withInFlight, done("k1", "a1", func(c *Completion) { c.Outcome = "x" }), errkind.InvalidValue, unknown},
		{"replaced attempt", nil, withInFlight, done("k1", "a0", nil), errkind.CallInProgress, no},
		{"nothing in flight", nil, withProgram, done("k1", "a1", nil), errkind.CallInProgress, no},
		{"turn of another call", nil, withInFlight, done("k1", "a1", func(c *Completion) { c.Turn.CallKey = "x" }), errkind.InvalidValue, no},
		{"turn without message", nil, withInFlight, done("k1", "a1", func(c *Completion) { c.Turn.Message = nil }), errkind.InvalidValue, no},
		{"negative usage", nil, withInFlight, done("k1", "a1", func(c *Completion) { c.Turn.Usage.PromptTokens = -1 }), errkind.InvalidValue, no},
		{"digest differs", nil, withInFlight, done("k1", "a1", func(c *Completion) { c.Call.Digest = "x" }), errkind.WrongSequence, no},
		{"sequence too high", nil, withInFlight, done("k1", "a1", func(c *Completion) { c.Call.Sequence, c.Turn.Sequence = 3, 3 }), errkind.HistoryGap, no},
		{"another attempt finished first", nil, withTurn, done("k1", "a2", func(c *Completion) {
			c.Call.Sequence, c.Turn.Sequence, c.Turn.Message.Content = 1, 1, "other"
		}), errkind.CallInProgress, no},
		{"backlog full", smallBacklog, withFullBacklog(withInFlight), done("k1", "a1", nil), errkind.BacklogFull, no},
		{"backlog full, not sent", smallBacklog, withFullBacklog(withIntent), notSent, errkind.BacklogFull, yes},
	})
}

func TestCreateEndResolveRejections(t *testing.T) {
	const yes = errkind.NotRunTrue
	newProgram := func(tenant string, n int) func(*Owner, string) error {
		return func(o *Owner, _ string) error {
			_, err := o.Create(testStart, tenant, testID(n), caller.CreateProgram{}, Limits{MaxTenantPrograms: 1})
			return err
		}
	}
	end := func(tenant string) func(*Owner, string) error {
		return func(o *Owner, id string) error {
			_, err := o.End(tenant, id, "x")
			return err
		}
	}
	resolve := func(o *Owner, id string) error { return o.Resolve(id, "k1", true, "x") }
	sealed := func(t *testing.T, o *Owner, id string) { withUnknown(t, o, id); o.writer.Fence() }
	checkRejections(t, []rejectionCase{
		{"create: sealed", nil, sealed, newProgram(testTenant, 1), errkind.NotOwner, yes},
		{"create: id of another tenant", nil, withProgram, newProgram("x", 0), errkind.ProgramNotFound, yes},
		{"create: too many programs", func(c *Config) { c.MaxPrograms = 1 }, withProgram, newProgram("x", 1), errkind.BacklogFull, yes},
		{"create: too many programs of the tenant", nil, withProgram, newProgram(testTenant, 1), errkind.TenantLimit, yes},
		{"create: backlog full", smallBacklog, withFullBacklog(withProgram), newProgram("x", 1), errkind.BacklogFull, yes},
		{"end: sealed", nil, sealed, end(testTenant), errkind.NotOwner, yes},
		{"end: other tenant", nil, withProgram, end("x"), errkind.ProgramNotFound, yes},
		{"end: backlog full", smallBacklog, withFullBacklog(withProgram), end(testTenant), errkind.BacklogFull, yes},
		{"resolve: sealed", nil, sealed, resolve, errkind.NotOwner, yes},
		{"resolve: no such program", nil, nil, resolve, errkind.ProgramNotFound, yes},
		{"resolve: backlog full", smallBacklog, withFullBacklog(withUnknown), resolve, errkind.BacklogFull, yes},
	})
}
