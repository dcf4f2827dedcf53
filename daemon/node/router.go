package node

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/api/records"
	"jackdawbay.dev/core/membership"
	"jackdawbay.dev/core/program"
	"jackdawbay.dev/daemon/owner"
	"jackdawbay.dev/daemon/peer"
	"jackdawbay.dev/daemon/transport"
)

// router sends requests to the owner of a program and to the dispatcher of an engine group, here or in another daemon.
type router struct {
	node *Node
}

const (
	// ownerWait is how long a request waits for an owner. A takeover takes less than 5 s.
	ownerWait = 8 * time.Second

	// ownerRetryInterval is the pause before an owner is looked up again when no change of the roster came first.
	ownerRetryInterval = 100 * time.Millisecond

	// forwardTimeout bounds one forwarded request. An owner that waits for the platform answers within intentTimeout.
	forwardTimeout = 5 * time.Second

	// intentTimeout bounds the wait for a durable intent.
	intentTimeout = 3 * time.Second

	// endTimeout bounds the wait until the end of a program is durable. Then the end is answered without: it holds here, and
	// a program must be able to end while the platform is slow.
	endTimeout = time.Second
)

// toOwner sends a message to the owner of a program until it is answered. It is used for messages that can be repeated.
func (r *router) toOwner(ctx context.Context, programID, path string, local func(context.Context, *owner.Loop) error, message, into any) error {
	dataCentre, ok := program.DataCentreOf(programID)
	if !ok {
		return errkind.New(errkind.ProgramNotFound, "")
	}
	if _, known := r.node.config.RecordSet().Get(records.KindDataCentre, dataCentre); !known && dataCentre != r.node.set.DataCentre {
		return errkind.New(errkind.ProgramNotFound, "")
	}
	ctx, cancel := context.WithTimeout(ctx, ownerWait)
	defer cancel()
	var last error
	for fresh := false; ; fresh = true {
		changed := r.node.agent.Changed()
		last = r.tryOwner(ctx, dataCentre, programID, fresh, path, local, message, into)
		if !again(last) {
			return last
		}
		select {
		case <-ctx.Done():
			return errkind.Wrap(errkind.OwnerUnavailable, last, "").WithRetryAfter(time.Second)
		case <-changed:
		case <-time.After(ownerRetryInterval):
		}
	}
}

// again reports whether another try can reach an owner.
func again(err error) bool {
	if err == nil {
		return false
	}
	return errors.Is(err, peer.ErrUnreachable) || errkind.Is(err, errkind.NotOwner) || errkind.Is(err, errkind.OwnerUnavailable)
}

func (r *router) tryOwner(ctx context.Context, dataCentre, programID string, fresh bool, path string, local func(context.Context, *owner.Loop) error, message, into any) error {
	agent := r.node.agent
	roster, err := agent.RosterOf(ctx, dataCentre, fresh)
	if err != nil {
		return errkind.Wrap(errkind.OwnerUnavailable, err, "")
	}
	m, ok := roster.OwnerOf(programID)
	if !ok {
		return errkind.New(errkind.OwnerUnavailable, "")
	}
	if m.Incarnation == agent.Incarnation() {
		return local(ctx, agent.Loop())
	}
	callCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	if dataCentre == r.node.set.DataCentre {
		go r.cancelWithMember(callCtx, cancel, m.Incarnation)
	}
	err = r.node.peers.Post(callCtx, m.PeerAddress, path, message, into)
	if errors.Is(err, transport.ErrNotSent) && dataCentre == r.node.set.DataCentre {
		go agent.ReportSuspect(context.WithoutCancel(ctx), m, errors.Is(err, transport.ErrConnectionRefused))
	}
	return err
}

// cancelWithMember cancels a forwarded request when its receiver leaves the roster, since a frozen daemon keeps the
// connection open and answers nothing. It ends with the context.
func (r *router) cancelWithMember(ctx context.Context, cancel context.CancelFunc, incarnation string) {
	for {
		changed := r.node.agent.Changed()
		if _, ok := r.node.agent.Roster().Member(incarnation); !ok {
			cancel()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// Create starts a program. The id is chosen so that this daemon owns its shard, if it owns any, because then no other
// daemon is needed.
func (r *router) Create(ctx context.Context, tenant string, body caller.CreateProgram) (caller.CreatedProgram, error) {
	message := peer.CreateRequest{Tenant: tenant, ID: r.newProgramID(), Body: body}
	var created caller.CreatedProgram
	local := func(ctx context.Context, l *owner.Loop) (err error) {
		created, err = r.createLocal(ctx, l, message)
		return err
	}
	err := r.toOwner(ctx, message.ID, peer.PathCreateProgram, local, message, &created)
	return created, err
}

// idTries bounds the search for an id in an own shard. With one shard of 64 the search fails in 1 of 20,000 cases.
const idTries = 640

func (r *router) newProgramID() string {
	roster := r.node.agent.Roster()
	self := r.node.agent.Incarnation()
	id := ""
	for range idTries {
		id = r.node.set.DataCentre + "." + ulid.Make().String()
		if m, ok := roster.OwnerOf(id); ok && m.Incarnation == self {
			break
		}
	}
	return id
}

func (r *router) createLocal(ctx context.Context, l *owner.Loop, c peer.CreateRequest) (created caller.CreatedProgram, err error) {
	limits := r.limits(c)
	doErr := l.Do(ctx, func(now time.Time, o *program.Owner) {
		created, err = o.Create(now, c.Tenant, c.ID, c.Body, limits)
	})
	if doErr != nil {
		return created, doErr
	}
	return created, err
}

func (r *router) limits(c peer.CreateRequest) program.Limits {
	set := r.node.config.RecordSet()
	class := c.Body.Class
	if class == "" {
		class = records.DefaultClass
	}
	limit := set.Limit(class)
	lim := program.Limits{
		BudgetTokens: records.DefaultTokensPerProgram,
		MaxTurns:     limit.MaxTurns,
		Expiry:       limit.ProgramExpiry,
	}
	if b, ok := set.Budget(c.Tenant); ok && b.TokensPerProgram > 0 {
		lim.BudgetTokens = b.TokensPerProgram
	}
	if t, ok := set.Tenant(c.Tenant); ok && t.MaxPrograms > 0 {
		members := max(len(r.node.agent.Roster().Members), 1)
		lim.MaxTenantPrograms = (t.MaxPrograms + members - 1) / members
	}
	return lim
}

// Describe returns the state of a program.
func (r *router) Describe(ctx context.Context, ref peer.ProgramRef) (peer.ProgramDescription, error) {
	var d peer.ProgramDescription
	local := func(ctx context.Context, l *owner.Loop) (err error) {
		d, err = describeLocal(ctx, l, ref)
		return err
	}
	err := r.toOwner(ctx, ref.ID, peer.PathDescribeProgram, local, ref, &d)
	return d, err
}

func describeLocal(ctx context.Context, l *owner.Loop, ref peer.ProgramRef) (d peer.ProgramDescription, err error) {
	doErr := l.Do(ctx, func(_ time.Time, o *program.Owner) {
		if d.Program, err = o.Describe(ref.Tenant, ref.ID); err != nil {
			return
		}
		d.InFlight, d.Ingress, err = o.InFlight(ref.Tenant, ref.ID)
	})
	if doErr != nil {
		return d, doErr
	}
	return d, err
}

// History returns turns of a program.
func (r *router) History(ctx context.Context, ref peer.ProgramRef) ([]caller.Turn, error) {
	var h peer.History
	local := func(ctx context.Context, l *owner.Loop) (err error) {
		h, err = historyLocal(ctx, l, ref)
		return err
	}
	err := r.toOwner(ctx, ref.ID, peer.PathProgramHistory, local, ref, &h)
	return h.Turns, err
}

func historyLocal(ctx context.Context, l *owner.Loop, ref peer.ProgramRef) (h peer.History, err error) {
	doErr := l.Do(ctx, func(_ time.Time, o *program.Owner) {
		h.Turns, err = o.History(ref.Tenant, ref.ID, ref.From)
	})
	if doErr != nil {
		return h, doErr
	}
	return h, err
}

// End closes a program.
func (r *router) End(ctx context.Context, ref peer.ProgramRef) error {
	if ref.Reason == "" {
		ref.Reason = program.EndedByCaller
	}
	local := func(ctx context.Context, l *owner.Loop) error { return r.endLocal(ctx, l, ref) }
	return r.toOwner(ctx, ref.ID, peer.PathEndProgram, local, ref, nil)
}

func (r *router) endLocal(ctx context.Context, l *owner.Loop, ref peer.ProgramRef) (err error) {
	var ended program.EndedProgram
	down := false
	doErr := l.Do(ctx, func(now time.Time, o *program.Owner) {
		ended, err = o.End(ref.Tenant, ref.ID, ref.Reason)
		down = l.IsPlatformDown(now)
	})
	if doErr != nil {
		return doErr
	}
	if err != nil {
		return err
	}
	if !ended.Repeated {
		r.node.programsEnded([]program.EndedProgram{ended})
	}
	if down {
		return nil
	}
	waitCtx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	if err := l.AwaitDurable(waitCtx, ended.LSN); err != nil {
		r.node.log.Warn("end of a program is not durable", "program", ref.ID, "error", err)
		if errkind.Is(err, errkind.NotOwner) {
			return err
		}
	}
	return nil
}

// Admit asks the owner to let a call run.
func (r *router) Admit(ctx context.Context, req program.AdmitRequest) (program.Admission, error) {
	var a program.Admission
	local := func(ctx context.Context, l *owner.Loop) (err error) {
		a, err = r.admitLocal(ctx, l, req)
		return err
	}
	err := r.toOwner(ctx, req.Program, peer.PathAdmitCall, local, req, &a)
	return a, err
}

// admitLocal admits a call and waits for its intent. When the intent cannot be stored, it is cancelled and the call is
// refused: it was not sent, and no later message can make the ingress send it.
func (r *router) admitLocal(ctx context.Context, l *owner.Loop, req program.AdmitRequest) (a program.Admission, err error) {
	doErr := l.Do(ctx, func(now time.Time, o *program.Owner) {
		if !req.Idempotent && l.IsPlatformDown(now) {
			err = errkind.New(errkind.StoreUnavailable, "A call that may not be repeated needs the platform.").WithRetryAfter(time.Second)
			return
		}
		a, err = o.Admit(now, req)
	})
	if doErr != nil {
		return a, doErr
	}
	if err != nil || a.RecordedResult != nil {
		return a, err
	}
	if err := r.node.grants.Reserve(ctx, req.Tenant, req.Attempt, a.TokenUpperBound); err != nil {
		r.cancelAttempt(l, req)
		return program.Admission{}, err
	}
	if a.RequiredLSN == 0 {
		return a, nil
	}
	waitCtx, cancel := context.WithTimeout(ctx, intentTimeout)
	defer cancel()
	waitErr := l.AwaitDurable(waitCtx, a.RequiredLSN)
	if waitErr == nil {
		return a, nil
	}
	if errkind.Is(waitErr, errkind.NotOwner) {
		return program.Admission{}, waitErr
	}
	r.cancelAttempt(l, req)
	return program.Admission{}, errkind.Wrap(errkind.StoreUnavailable, waitErr, "").WithRetryAfter(time.Second)
}

// cancelAttempt takes back an admission that is not answered. Its call was not sent and never will be.
func (r *router) cancelAttempt(l *owner.Loop, req program.AdmitRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := r.completeLocal(ctx, l, program.Completion{
		Tenant:  req.Tenant,
		Program: req.Program,
		Attempt: req.Attempt,
		Call:    req.Call,
		Outcome: program.OutcomeNotSent,
	})
	if err != nil {
		r.node.log.Warn("attempt was not cancelled", "program", req.Program, "error", err)
	}
}

// Complete reports the end of an attempt.
func (r *router) Complete(ctx context.Context, c program.Completion) (*caller.Result, error) {
	var result *caller.Result
	local := func(ctx context.Context, l *owner.Loop) (err error) {
		result, err = r.completeLocal(ctx, l, c)
		return err
	}
	err := r.toOwner(ctx, c.Program, peer.PathCompleteCall, local, c, &result)
	return result, err
}

func (r *router) completeLocal(ctx context.Context, l *owner.Loop, c program.Completion) (result *caller.Result, err error) {
	doErr := l.Do(ctx, func(now time.Time, o *program.Owner) {
		result, err = o.Complete(now, c)
	})
	if doErr != nil {
		return nil, doErr
	}
	r.settle(c)
	return result, err
}

// settle counts the tokens of an attempt against its tenant's budget.
func (r *router) settle(c program.Completion) {
	switch c.Outcome {
	case program.OutcomeDone:
		r.node.grants.Settle(c.Tenant, c.Attempt, c.Turn.Usage.Total())
	case program.OutcomeNotSent:
		r.node.grants.Settle(c.Tenant, c.Attempt, 0)
	case program.OutcomeFailed:
		r.node.grants.SettleInFull(c.Tenant, c.Attempt)
	}
}

// Incarnation returns the id of this daemon's incarnation.
func (r *router) Incarnation() string { return r.node.agent.Incarnation() }

// OpenStream opens the stream of a call that another daemon of the program's data centre sends.
func (r *router) OpenStream(ctx context.Context, ingress, tenant, programID string, sequence uint64, offset int) (*http.Response, error) {
	m, ok := r.findMember(ctx, ingress, programID)
	if !ok {
		return nil, errkind.New(errkind.StreamGone, "")
	}
	path := streamPath(tenant, programID, sequence, offset)
	return r.node.peers.Open(ctx, http.MethodGet, m.PeerAddress, path, nil)
}

// findMember looks for an incarnation in the own data centre and in that of a program.
func (r *router) findMember(ctx context.Context, incarnation, programID string) (membership.Member, bool) {
	if m, ok := r.node.agent.Roster().Member(incarnation); ok {
		return m, true
	}
	dataCentre, ok := program.DataCentreOf(programID)
	if !ok {
		return membership.Member{}, false
	}
	roster, err := r.node.agent.RosterOf(ctx, dataCentre, false)
	if err != nil {
		return membership.Member{}, false
	}
	return roster.Member(incarnation)
}
