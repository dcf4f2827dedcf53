package quorum

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	core "jackdawbay.dev/core/replica"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/daemon/replica"
)

// BeginTurn charges the upper bound of a turn to its program. If previousTurn is set, it also reads the chain that ends with
// that turn. The result has all charges of the program that completed before, and the chain, newest turn first. The
// function cached returns a turn that the caller already has, so that it is not read from the replicas. The error is an
// ErrNoQuorum with a Failure.
func (c *Client) BeginTurn(ctx context.Context, program string, charge *core.Charge, previousTurn string, retention time.Duration, cached func(id string) (replica.Turn, bool)) (BeginResult, error) {
	var ops []replica.Op
	if charge != nil {
		ops = append(ops, replica.Op{Kind: replica.OpCharge, Program: program, Charge: *charge, RetainMS: retention.Milliseconds()})
	}
	result := &BeginResult{Ledger: core.Ledger{}, ledgers: map[string]core.Ledger{}}
	found := map[string]replica.Turn{}
	firstMissing, complete := result.followChain(previousTurn, cached)
	chargeOps := ops
	if !complete {
		ops = append(ops[:len(ops):len(ops)], replica.Op{Kind: replica.OpReadChain, From: firstMissing})
	}
	// The nearest replica usually has the whole chain. At first, only this replica is queried for it, since chains are most
	// of the transferred bytes.
	req := quorumRequest{key: program, ops: ops, otherOps: chargeOps}
	// isConclusive reports whether the request can stop: a turn that none of the given members has is certainly missing, or
	// this request cannot return more turns.
	isConclusive := func(core.View, map[string]bool) bool { return true }
	for len(req.ops) > 0 {
		req.isDone = func(v core.View, results map[string][]replica.Result) bool {
			isCharged, readMembers := result.addResults(v, results, req.ops, found)
			if !isCharged || len(readMembers) == 0 && !complete {
				return false
			}
			_, complete := result.followChain(previousTurn, lookupFoundOrCached(cached, found))
			return complete || isConclusive(v, readMembers)
		}
		if err := c.runRequest(ctx, req); err != nil {
			return BeginResult{}, err
		}
		requested := firstMissing
		firstMissing, complete = result.followChain(previousTurn, lookupFoundOrCached(cached, found))
		if complete {
			break
		}
		if len(req.otherOps) == len(req.ops) && firstMissing == requested {
			result.MissingTurn = firstMissing
			break
		}
		// A replica need not have the whole chain, as each turn is stored by a quorum of its own. The remaining chain is
		// read from the first missing turn on.
		remainingOps := []replica.Op{{Kind: replica.OpReadChain, From: firstMissing}}
		req = quorumRequest{key: program, ops: remainingOps, otherOps: remainingOps}
		isConclusive = core.View.IsReadComplete
	}
	return *result, nil
}

// addResults adds the results of the replicas. It reports whether a quorum has stored the charge and returned all earlier
// ones, and which replicas have responded to the read of the chain.
func (r *BeginResult) addResults(v core.View, responses map[string][]replica.Result, ops []replica.Op, found map[string]replica.Turn) (isCharged bool, readMembers map[string]bool) {
	hasCharge := false
	stored, readMembers := map[string]bool{}, map[string]bool{}
	for i, op := range ops {
		hasCharge = hasCharge || op.Kind == replica.OpCharge
		for key, results := range responses {
			if i >= len(results) || results[i].Failed {
				continue
			}
			if op.Kind == replica.OpCharge {
				stored[key] = true
				r.addLedger(key, results[i].Charges)
				continue
			}
			readMembers[key] = true
			for _, t := range results[i].Turns {
				found[t.ID] = t
			}
		}
	}
	return !hasCharge || v.IsWriteComplete(stored) && v.IsReadComplete(stored), readMembers
}

// addLedger adds the charges that a member returned.
func (r *BeginResult) addLedger(key string, charges []core.Charge) {
	ledger := core.Ledger{}
	for _, c := range charges {
		r.Ledger.Add(c)
		ledger.Add(c)
	}
	r.ledgers[key] = ledger
}

// ChargesToSpread returns the charges that some member of the quorum lacked. A member that stores no further charge of the
// program drops its ledger when the retention ends, so these must be stored by a write quorum again while others still have
// them.
func (r *BeginResult) ChargesToSpread() []core.Charge {
	var lacking []core.Charge
	for _, c := range r.Ledger {
		for _, ledger := range r.ledgers {
			if existing, ok := ledger[c.Turn]; !ok || existing.Merge(c) != existing {
				lacking = append(lacking, c)
				break
			}
		}
	}
	return lacking
}

func lookupFoundOrCached(cached func(string) (replica.Turn, bool), found map[string]replica.Turn) func(string) (replica.Turn, bool) {
	return func(id string) (replica.Turn, bool) {
		if t, ok := found[id]; ok {
			return t, true
		}
		return cached(id)
	}
}

// BeginResult is the stored state of a program at the start of a turn.
type BeginResult struct {
	Ledger      core.Ledger
	Chain       []replica.Turn // Newest first.
	MissingTurn string         // First turn of the chain that does not exist; empty if the chain is complete.

	ledgers map[string]core.Ledger // The charges that each member of the quorum returned, by its key.
}

// followChain collects the chain from the turns that lookup finds. It returns the first turn that is missing. Turns whose IDs a
// caller has used twice may form a cycle, which has no first turn: the turn at which it closes counts as missing.
func (r *BeginResult) followChain(previousTurn string, lookup func(id string) (replica.Turn, bool)) (firstMissing string, complete bool) {
	r.Chain = nil
	followed := map[string]bool{}
	for id := previousTurn; id != ""; {
		t, ok := lookup(id)
		if !ok || followed[id] {
			return id, false
		}
		followed[id] = true
		r.Chain = append(r.Chain, t)
		id = t.Previous
	}
	return "", true
}

// readChain returns the chain that ends with a turn, newest turn first.
type readChain func(ctx context.Context, last string) ([]replica.Turn, error)

// StoreTurn stores a complete turn, and settles its charge unless that is nil. It returns nil when a write quorum has both on
// disk, and each member of the quorum also stores the whole chain that the turn continues. Otherwise a member would keep an
// earlier turn only for that turn's own retention, although it is needed for as long as the new one. While there is no
// quorum, StoreTurn retries until the context ends: the caller has the whole turn already, and storing it again has no
// further effect. The function cached returns a turn that the caller already has.
func (c *Client) StoreTurn(ctx context.Context, turn *replica.Turn, program string, charge *core.Charge, retention time.Duration, cached func(id string) (replica.Turn, bool)) error {
	return c.storeTurn(ctx, turn, program, charge, retention, func(ctx context.Context, last string) ([]replica.Turn, error) {
		return wholeChain(c.BeginTurn(ctx, program, nil, last, 0, cached))
	})
}

// wholeChain returns the chain in the result of BeginTurn. It fails if a turn is missing.
func wholeChain(r BeginResult, err error) ([]replica.Turn, error) {
	if err == nil && r.MissingTurn != "" {
		err = errors.Newf("turn %s of the chain does not exist", r.MissingTurn)
	}
	return r.Chain, err
}

func (c *Client) storeTurn(ctx context.Context, turn *replica.Turn, program string, charge *core.Charge, retention time.Duration, read readChain) error {
	op := replica.Op{Kind: replica.OpStore, Turn: turn, RetainMS: retention.Milliseconds()}
	turn.SetSizes()
	if charge != nil {
		op.Program, op.Charge = program, *charge
	}
	return retryStore(ctx, func() error {
		var view core.View
		var gaps map[string]string // Newest missing turn of the chain, by the key of a member that has stored the turn.
		ops := []replica.Op{op}
		err := c.runRequest(ctx, quorumRequest{key: program, ops: ops, otherOps: ops, isDone: func(v core.View, responses map[string][]replica.Result) bool {
			stored, whole := map[string]bool{}, map[string]bool{}
			view, gaps = v, map[string]string{}
			for key, results := range responses {
				stored[key] = isStored(results, ops)
				whole[key] = stored[key] && results[0].Missing == ""
				if stored[key] && !whole[key] {
					gaps[key] = results[0].Missing
				}
			}
			if v.IsWriteComplete(whole) {
				gaps = nil
				return true
			}
			return v.IsWriteComplete(stored)
		}})
		if err != nil || len(gaps) == 0 {
			return err
		}
		return c.fillChains(ctx, view, gaps, turn, retention, read)
	})
}

// StoreCharges stores charges of a program. It returns nil when a write quorum has them on disk. It retries like StoreTurn.
func (c *Client) StoreCharges(ctx context.Context, program string, charges []core.Charge, retention time.Duration) error {
	ops := make([]replica.Op, 0, len(charges))
	for _, charge := range charges {
		ops = append(ops, replica.Op{Kind: replica.OpStore, Program: program, Charge: charge, RetainMS: retention.Milliseconds()})
	}
	return c.storeAll(ctx, program, ops)
}

// StoreEvents stores events of a stream that is under way, each as a turn that continues the event before it. It returns nil
// when a write quorum has them on disk. A member may lack earlier events: a reader finds these at other members. It retries like
// StoreTurn.
func (c *Client) StoreEvents(ctx context.Context, program string, events []replica.Turn, retention time.Duration) error {
	for part := range slices.Chunk(events, maxBatchOps) {
		ops := make([]replica.Op, len(part))
		for i := range part {
			part[i].SetSizes()
			ops[i] = replica.Op{Kind: replica.OpStore, Turn: &part[i], RetainMS: retention.Milliseconds()}
		}
		if err := c.storeAll(ctx, program, ops); err != nil {
			return err
		}
	}
	return nil
}

// storeAll returns nil when a write quorum has executed the operations. It retries until the context ends.
func (c *Client) storeAll(ctx context.Context, program string, ops []replica.Op) error {
	r := quorumRequest{key: program, ops: ops, otherOps: ops, isDone: func(v core.View, responses map[string][]replica.Result) bool {
		stored := map[string]bool{}
		for key, results := range responses {
			stored[key] = isStored(results, ops)
		}
		return v.IsWriteComplete(stored)
	}}
	return retryStore(ctx, func() error { return c.runRequest(ctx, r) })
}

// isStored reports whether a member has executed all operations.
func isStored(results []replica.Result, ops []replica.Op) bool {
	return len(results) == len(ops) && !slices.ContainsFunc(results, func(r replica.Result) bool { return r.Failed })
}

// hasRefusedWrite reports whether a member has not made an operation durable.
func hasRefusedWrite(ops []replica.Op, results []replica.Result) bool {
	for i, r := range results {
		if r.Failed && ops[i].Kind != replica.OpReadChain {
			return true
		}
	}
	return false
}

// retryStore calls store until it succeeds or the context ends.
func retryStore(ctx context.Context, store func() error) error {
	for {
		err := store()
		if err == nil || !clock.Sleep(ctx, storeRetryDelay) {
			return err
		}
	}
}

// fillChains copies the turns that members lack in the chain of a turn, until each of them has the whole chain.
func (c *Client) fillChains(ctx context.Context, v core.View, gaps map[string]string, turn *replica.Turn, retention time.Duration, read readChain) error {
	chain, err := read(ctx, turn.Previous)
	if err != nil {
		return errors.Wrapf(err, "read the chain of turn %s", turn.ID)
	}
	filled := make(chan error, len(gaps))
	for _, m := range core.Union(v.Sets) {
		if gap, ok := gaps[m.Key()]; ok {
			go func() { filled <- c.fillChain(ctx, v, m, gap, chain, retention) }()
		}
	}
	for range gaps {
		err = errors.CombineErrors(err, <-filled)
	}
	return err
}

// fillChain copies the turns that a member lacks in a chain. The chain has the newest turn first, and gap is the newest turn
// that the member lacks. The number of turns in a request doubles, since the member may have the turns behind the gap.
func (c *Client) fillChain(ctx context.Context, v core.View, m core.Member, gap string, chain []replica.Turn, retention time.Duration) error {
	for count := 1; gap != ""; count = min(2*count, maxBatchOps) {
		first := slices.IndexFunc(chain, func(t replica.Turn) bool { return t.ID == gap })
		if first < 0 {
			return errors.Newf("turn %s, which replica %s lacks, is not in the rest of the chain", gap, m.VM)
		}
		chain = chain[first:]
		var ops []replica.Op
		for _, t := range chain[:min(count, len(chain))] {
			ops = append(ops, replica.Op{Kind: replica.OpStore, Turn: &t, RetainMS: retention.Milliseconds()})
		}
		results, err := c.executeOn(ctx, v, m, ops)
		if err != nil {
			return err
		}
		c.copiedChainTurns.Add(len(ops))
		gap, chain = results[0].Missing, chain[len(ops):]
	}
	return nil
}

// executeOn executes operations on one member at the epoch of the view. It fails unless the member has executed all of them.
func (c *Client) executeOn(ctx context.Context, v core.View, m core.Member, ops []replica.Op) ([]replica.Result, error) {
	responses := make(chan memberResponse, 1)
	c.queue(m).submit(&job{ops: ops, epoch: v.Epoch, member: m, responses: responses})
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case r := <-responses:
		if r.err == nil && !isStored(r.results, ops) {
			r.err = errors.Newf("replica %s has not executed the operations", m.VM)
		}
		return r.results, r.err
	}
}
