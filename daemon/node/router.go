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

// router routes requests to the owner of a program and to the dispatcher of an engine group, in this daemon or another
// one.
type router struct {
	node *Node
}

const (
	// ownerTimeout bounds how long a request waits for an owner. A takeover takes less than 5 s.
	ownerTimeout = 8 * time.Second

	// ownerRetryInterval is the pause before an owner is looked up again, unless the roster changes earlier.
	ownerRetryInterval = 100 * time.Millisecond

	// forwardTimeout bounds one forwarded request. An owner that waits for the platform responds within
	// intentDurabilityTimeout.
	forwardTimeout = 5 * time.Second

	// intentDurabilityTimeout bounds the wait for a durable intent.
	intentDurabilityTimeout = 3 * time.Second

	// endDurabilityTimeout bounds the wait until the end of a program is durable. After the timeout, the request
	// succeeds although the end is not durable: the end is in effect in this daemon, and a program must be able to end
	// while the platform is slow.
	endDurabilityTimeout = time.Second
)

// sendToOwner sends a message to the owner of a program. It retries until it gets a response or ownerTimeout passes, so
// the message must be repeatable.
func (r *router) sendToOwner(ctx context.Context, programID, path string, local func(context.Context, *owner.Loop) error, message, response any) error {
	dataCentre, ok := program.DataCentreOf(programID)
	if !ok {
		return errkind.New(errkind.ProgramNotFound, "")
	}
	if _, exists := r.node.config.RecordSet().Get(records.KindDataCentre, dataCentre); !exists && dataCentre != r.node.settings.DataCentre {
		return errkind.New(errkind.ProgramNotFound, "")
	}
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	var lastErr error
	for refresh := false; ; refresh = true {
		changed := r.node.agent.Changed()
		lastErr = r.sendToOwnerOnce(ctx, dataCentre, programID, refresh, path, local, message, response)
		if !isRetryable(lastErr) {
			return lastErr
		}
		select {
		case <-ctx.Done():
			return errkind.Wrap(errkind.OwnerUnavailable, lastErr, "").WithRetryAfter(time.Second)
		case <-changed:
		case <-time.After(ownerRetryInterval):
		}
	}
}

// isRetryable reports whether another attempt can reach an owner.
func isRetryable(err error) bool {
	if err == nil {
		return false
	}
	return errors.Is(err, peer.ErrUnreachable) || errkind.Is(err, errkind.NotOwner) || errkind.Is(err, errkind.OwnerUnavailable)
}

func (r *router) sendToOwnerOnce(ctx context.Context, dataCentre, programID string, refresh bool, path string, local func(context.Context, *owner.Loop) error, message, response any) error {
	agent := r.node.agent
	roster, err := agent.RosterOf(ctx, dataCentre, refresh)
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
	if dataCentre == r.node.settings.DataCentre {
		go r.cancelOnRemoval(callCtx, cancel, m.Incarnation)
	}
	err = r.node.peers.Post(callCtx, m.PeerAddress, path, message, response)
	if errors.Is(err, transport.ErrNotSent) && dataCentre == r.node.settings.DataCentre {
		go agent.ReportSuspect(context.WithoutCancel(ctx), m, errors.Is(err, transport.ErrConnectionRefused))
	}
	return err
}

// cancelOnRemoval cancels a forwarded request when its receiver is removed from the roster, because a frozen daemon
// leaves the connection open and does not respond. It returns when the context ends.
func (r *router) cancelOnRemoval(ctx context.Context, cancel context.CancelFunc, incarnation string) {
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

// Create creates a program. The id is chosen so that this daemon owns its shard, if it owns any, because then no other
// daemon is needed.
func (r *router) Create(ctx context.Context, tenant string, body caller.CreateProgram) (caller.CreatedProgram, error) {
	message := peer.CreateRequest{Tenant: tenant, ID: r.newProgramID(), Body: body}
	var created caller.CreatedProgram
	local := func(ctx context.Context, l *owner.Loop) (err error) {
		created, err = r.createLocal(ctx, l, message)
		return err
	}
	err := r.sendToOwner(ctx, message.ID, peer.PathCreateProgram, local, message, &created)
	return created, err
}

// maxIDAttempts bounds the search for an id in a shard of this daemon. If it owns one shard of 64, the search fails in
// 1 of 20,000 cases.
const maxIDAttempts = 640

func (r *router) newProgramID() string {
	roster := r.node.agent.Roster()
	self := r.node.agent.Incarnation()
	id := ""
	for range maxIDAttempts {
		id = r.node.settings.DataCentre + "." + ulid.Make().String()
		if m, ok := roster.OwnerOf(id); ok && m.Incarnation == self {
			break
		}
	}
	return id
}

func (r *router) createLocal(ctx context.Context, l *owner.Loop, c peer.CreateRequest) (created caller.CreatedProgram, err error) {
	limits := r.programLimits(c)
	loopErr := l.Do(ctx, func(now time.Time, o *program.Owner) {
		created, err = o.Create(now, c.Tenant, c.ID, c.Body, limits)
	})
	if loopErr != nil {
		return created, loopErr
	}
	return created, err
}

func (r *router) programLimits(c peer.CreateRequest) program.Limits {
	set := r.node.config.RecordSet()
	class := c.Body.Class
	if class == "" {
		class = records.DefaultClass
	}
	classLimit := set.Limit(class)
	limits := program.Limits{
		BudgetTokens: records.DefaultTokensPerProgram,
		MaxTurns:     classLimit.MaxTurns,
		Expiry:       classLimit.ProgramExpiry,
	}
	if b, ok := set.Budget(c.Tenant); ok && b.TokensPerProgram > 0 {
		limits.BudgetTokens = b.TokensPerProgram
	}
	if t, ok := set.Tenant(c.Tenant); ok && t.MaxPrograms > 0 {
		members := max(len(r.node.agent.Roster().Members), 1)
		limits.MaxTenantPrograms = (t.MaxPrograms + members - 1) / members
	}
	return limits
}

// Describe returns the state of a program.
func (r *router) Describe(ctx context.Context, ref peer.ProgramRef) (peer.ProgramDescription, error) {
	var d peer.ProgramDescription
	local := func(ctx context.Context, l *owner.Loop) (err error) {
		d, err = describeLocal(ctx, l, ref)
		return err
	}
	err := r.sendToOwner(ctx, ref.ID, peer.PathDescribeProgram, local, ref, &d)
	return d, err
}

func describeLocal(ctx context.Context, l *owner.Loop, ref peer.ProgramRef) (d peer.ProgramDescription, err error) {
	loopErr := l.Do(ctx, func(_ time.Time, o *program.Owner) {
		if d.Program, err = o.Describe(ref.Tenant, ref.ID); err != nil {
			return
		}
		d.InFlight, d.Ingress, err = o.InFlight(ref.Tenant, ref.ID)
	})
	if loopErr != nil {
		return d, loopErr
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
	err := r.sendToOwner(ctx, ref.ID, peer.PathProgramHistory, local, ref, &h)
	return h.Turns, err
}

func historyLocal(ctx context.Context, l *owner.Loop, ref peer.ProgramRef) (h peer.History, err error) {
	loopErr := l.Do(ctx, func(_ time.Time, o *program.Owner) {
		h.Turns, err = o.History(ref.Tenant, ref.ID, ref.From)
	})
	if loopErr != nil {
		return h, loopErr
	}
	return h, err
}

// End closes a program.
func (r *router) End(ctx context.Context, ref peer.ProgramRef) error {
	if ref.Reason == "" {
		ref.Reason = program.EndedByCaller
	}
	local := func(ctx context.Context, l *owner.Loop) error { return r.endLocal(ctx, l, ref) }
	return r.sendToOwner(ctx, ref.ID, peer.PathEndProgram, local, ref, nil)
}

func (r *router) endLocal(ctx context.Context, l *owner.Loop, ref peer.ProgramRef) (err error) {
	var ended program.EndedProgram
	platformDown := false
	loopErr := l.Do(ctx, func(now time.Time, o *program.Owner) {
		ended, err = o.End(ref.Tenant, ref.ID, ref.Reason)
		platformDown = l.IsPlatformDown(now)
	})
	if loopErr != nil {
		return loopErr
	}
	if err != nil {
		return err
	}
	if !ended.Repeated {
		r.node.programsEnded([]program.EndedProgram{ended})
	}
	if platformDown {
		return nil
	}
	waitCtx, cancel := context.WithTimeout(ctx, endDurabilityTimeout)
	defer cancel()
	if err := l.AwaitDurable(waitCtx, ended.LSN); err != nil {
		r.node.log.Warn("end of a program is not durable", "program", ref.ID, "error", err)
		if errkind.Is(err, errkind.NotOwner) {
			return err
		}
	}
	return nil
}

// Admit requests the owner to admit a call.
func (r *router) Admit(ctx context.Context, req program.AdmitRequest) (program.Admission, error) {
	var admission program.Admission
	local := func(ctx context.Context, l *owner.Loop) (err error) {
		admission, err = r.admitLocal(ctx, l, req)
		return err
	}
	err := r.sendToOwner(ctx, req.Program, peer.PathAdmitCall, local, req, &admission)
	return admission, err
}

// admitLocal admits a call and waits until its intent is durable. If the intent cannot be stored, it is cancelled and
// the call is rejected: the call was not sent, and no later message can make the ingress send it.
func (r *router) admitLocal(ctx context.Context, l *owner.Loop, req program.AdmitRequest) (admission program.Admission, err error) {
	loopErr := l.Do(ctx, func(now time.Time, o *program.Owner) {
		if !req.Idempotent && l.IsPlatformDown(now) {
			err = errkind.New(errkind.StoreUnavailable, "A call that may not be repeated needs the platform.").WithRetryAfter(time.Second)
			return
		}
		admission, err = o.Admit(now, req)
	})
	if loopErr != nil {
		return admission, loopErr
	}
	if err != nil || admission.RecordedResult != nil {
		return admission, err
	}
	if err := r.node.grants.Reserve(ctx, req.Tenant, req.Attempt, admission.TokenUpperBound); err != nil {
		r.cancelAttempt(l, req)
		return program.Admission{}, err
	}
	if admission.RequiredLSN == 0 {
		return admission, nil
	}
	waitCtx, cancel := context.WithTimeout(ctx, intentDurabilityTimeout)
	defer cancel()
	waitErr := l.AwaitDurable(waitCtx, admission.RequiredLSN)
	if waitErr == nil {
		return admission, nil
	}
	if errkind.Is(waitErr, errkind.NotOwner) {
		return program.Admission{}, waitErr
	}
	r.cancelAttempt(l, req)
	return program.Admission{}, errkind.Wrap(errkind.StoreUnavailable, waitErr, "").WithRetryAfter(time.Second)
}

// cancelAttempt cancels an admission that is not returned to the ingress. Its call was not sent and never will be.
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
	err := r.sendToOwner(ctx, c.Program, peer.PathCompleteCall, local, c, &result)
	return result, err
}

func (r *router) completeLocal(ctx context.Context, l *owner.Loop, c program.Completion) (result *caller.Result, err error) {
	loopErr := l.Do(ctx, func(now time.Time, o *program.Owner) {
		result, err = o.Complete(now, c)
	})
	if loopErr != nil {
		return nil, loopErr
	}
	r.settleGrant(c)
	return result, err
}

// settleGrant charges the tokens of an attempt to the budget of its tenant.
func (r *router) settleGrant(c program.Completion) {
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

// OpenStream opens the response stream of a call that another daemon runs, in this data centre or in that of the
// program.
func (r *router) OpenStream(ctx context.Context, ingress, tenant, programID string, sequence uint64, offset int) (*http.Response, error) {
	m, ok := r.findMember(ctx, ingress, programID)
	if !ok {
		return nil, errkind.New(errkind.StreamGone, "")
	}
	path := streamPath(tenant, programID, sequence, offset)
	return r.node.peers.Open(ctx, http.MethodGet, m.PeerAddress, path, nil)
}

// findMember looks up an incarnation in this data centre and in the data centre of a program.
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
