package program

import (
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/core/journal"
)

// ErrBrokenHistory is returned when replayed turns do not form a hash chain.
var ErrBrokenHistory = errors.New("replayed history is not a hash chain")

// ErrIncompleteCheckpoint is returned when a checkpoint lacks its end, or the journals after it lack the place where it was taken.
var ErrIncompleteCheckpoint = errors.New("checkpoint is incomplete")

// Replay rebuilds the programs of one shard from a checkpoint, if there is one, and the journals after it.
type Replay struct {
	shard    int
	programs map[string]*state

	loading    int    // Programs of a checkpoint so far whose end was not read yet.
	checkpoint string // Checkpoint that was read and whose place in the journals was not found yet.
}

// NewReplay starts the replay of a shard.
func NewReplay(shard int) *Replay {
	return &Replay{shard: shard, programs: map[string]*state{}}
}

// Apply adds one entry. Entries of other shards are ignored, so that one reading of a journal serves many shards. After
// a checkpoint, entries are ignored up to the place where the checkpoint was taken, because it contains them.
func (r *Replay) Apply(e journal.Entry) error {
	if e.Shard != r.shard {
		return nil
	}
	if r.checkpoint != "" {
		if e.CheckpointStart != nil && e.CheckpointStart.ID == r.checkpoint {
			r.checkpoint = ""
		}
		return nil
	}
	switch {
	case e.CheckpointStart != nil:
		return nil
	case e.CheckpointEnd != nil:
		return r.endCheckpoint(*e.CheckpointEnd)
	case e.Handover != nil:
		r.handover(e.Epoch)
		return nil
	case e.Created != nil:
		r.create(e)
		return nil
	case e.ProgramState != nil:
		r.load(e.Program, *e.ProgramState)
		return nil
	}
	p, ok := r.programs[e.Program]
	if !ok {
		return errors.Wrapf(ErrBrokenHistory, "program %s has no start", e.Program)
	}
	return p.apply(e)
}

// Check returns ErrIncompleteCheckpoint when what was read so far must not be served.
func (r *Replay) Check() error {
	if r.loading > 0 {
		return errors.Wrap(ErrIncompleteCheckpoint, "the end of the checkpoint is missing")
	}
	if r.checkpoint != "" {
		return errors.Wrapf(ErrIncompleteCheckpoint, "no journal has the place of checkpoint %s", r.checkpoint)
	}
	return nil
}

func (r *Replay) endCheckpoint(end journal.CheckpointEnd) error {
	if r.loading != end.Programs {
		return errors.Wrapf(ErrIncompleteCheckpoint, "checkpoint %s has %d of %d programs", end.ID, r.loading, end.Programs)
	}
	for _, p := range r.programs {
		if p.sequence() != p.loading {
			return errors.Wrapf(ErrIncompleteCheckpoint, "program %s has %d of %d turns", p.id, p.sequence(), p.loading)
		}
		p.loading = 0
	}
	r.loading, r.checkpoint = 0, end.ID
	return nil
}

// handover notes that all attempts of the owner with the epoch are accounted for, except those journaled as open.
func (r *Replay) handover(epoch uint64) {
	for _, p := range r.programs {
		if !p.open {
			p.base = epoch + 1
		}
		p.open = false
	}
}

func (r *Replay) create(e journal.Entry) {
	if _, ok := r.programs[e.Program]; ok {
		return
	}
	p := &state{id: e.Program, shard: r.shard, created: *e.Created, active: time.UnixMilli(e.Created.AtMillis)}
	p.base = e.Epoch
	if e.Created.FirstUnaccountedEpoch > 0 {
		p.base = e.Created.FirstUnaccountedEpoch
	}
	p.reserved = max(creatorAllowance(e.Created.BudgetTokens), e.Created.ReservedTokens)
	// The base and the reservation of a restored program are not part of its limits.
	p.created.FirstUnaccountedEpoch, p.created.ReservedTokens = 0, 0
	r.programs[e.Program] = p
}

func (p *state) apply(e journal.Entry) error {
	switch {
	case e.Turn != nil:
		return p.applyTurn(*e.Turn)
	case e.Intent != nil:
		p.addIntent(&intent{Intent: *e.Intent, unknown: true, unheard: true})
	case e.Cancel != nil:
		if in, ok := p.intents[e.Cancel.CallKey]; ok && in.Attempt == e.Cancel.Attempt {
			delete(p.intents, e.Cancel.CallKey)
		}
	case e.Charge != nil:
		p.applyCharge(*e.Charge)
	case e.Reservation != nil:
		p.reserved += e.Reservation.Tokens
	case e.UnspentReservation != nil:
		p.left, p.leftEpoch = e.UnspentReservation.Tokens, e.Epoch+1
	case e.Resolved != nil:
		p.resolve(e.Resolved.CallKey, e.Resolved.Ran, e.Resolved.Reason)
	case e.Ended != nil:
		p.ended = e.Ended.Reason
	case e.OpenAttempt != nil:
		p.open = true
	}
	return nil
}

func (p *state) applyCharge(c journal.Charge) {
	p.spent += c.Tokens
	p.seen = max(p.seen, c.ReceiptSpent)
	if c.FirstUnaccountedEpoch > 0 {
		p.base = c.FirstUnaccountedEpoch
	}
}

func (p *state) applyTurn(t journal.Turn) error {
	if t.Window != nil && t.Window.ReplacesLast && p.sequence() > 0 {
		p.dropLast(t.Turn.CallKey)
	}
	if t.Turn.Sequence != p.sequence()+1 {
		return errors.Wrapf(ErrBrokenHistory, "program %s: turn %d follows turn %d", p.id, t.Turn.Sequence, p.sequence())
	}
	after, err := caller.NextDigest(p.digest(), t.Turn)
	if err != nil {
		return err
	}
	if after != t.Digest {
		return errors.Wrapf(ErrBrokenHistory, "program %s: digest of turn %d differs", p.id, t.Turn.Sequence)
	}
	p.active = time.UnixMilli(t.AtMillis)
	if p.sequence() < p.loading {
		// The checkpoint has the spending after all its turns.
		seen, before := p.seen, p.seenBefore
		p.addTurn(t.Turn, after)
		p.seen, p.seenBefore = seen, before
		return nil
	}
	p.addTurn(t.Turn, after)
	p.seen = p.spent
	if t.Window != nil {
		p.base, p.seen = t.Window.FirstUnaccountedEpoch, t.Window.ReceiptSpent
	}
	return nil
}

// OpenShard starts to serve a shard under an epoch with the replayed programs. Idle times start again, because a
// program could not be called while its shard had no owner. Epochs start at 1 and rise by one with each owner of the
// shard: only the owner of the next epoch may spend what was left at a handover. An epoch that is not newer than one under
// which the shard was opened here before changes nothing.
func (o *Owner) OpenShard(now time.Time, shard int, epoch uint64, r *Replay) {
	if last, ok := o.opened[shard]; ok && epoch <= last {
		return
	}
	o.closeShard(shard)
	o.shards[shard], o.opened[shard] = epoch, epoch
	if r == nil {
		return
	}
	for id, p := range r.programs {
		p.active = now
		if p.leftEpoch == epoch {
			p.own = p.left
		}
		o.programs[id] = p
		o.historyBytes += p.bytes
	}
}

// CloseShard stops serving a shard. In a planned handover it first journals the attempts in flight, so that the next
// owner knows which programs may have used tokens unseen. It returns the entry that must be durable before the
// handover, zero when there is none. After an error the shard is closed without a handover entry, and the next owner
// takes it over as after a failure.
func (o *Owner) CloseShard(shard int) (journal.LSN, error) {
	if _, ok := o.shards[shard]; !ok {
		return 0, nil
	}
	last, err := o.journalHandover(shard)
	o.closeShard(shard)
	return last, err
}

// DropShard forgets a shard that has another owner by now. It journals nothing.
func (o *Owner) DropShard(shard int) { o.closeShard(shard) }

func (o *Owner) closeShard(shard int) {
	delete(o.shards, shard)
	for _, p := range o.programs {
		if p.shard == shard {
			o.remove(p)
		}
	}
}

func (o *Owner) journalHandover(shard int) (journal.LSN, error) {
	epoch := o.shards[shard]
	var entries []journal.Entry
	for _, p := range o.programs {
		if p.shard != shard {
			continue
		}
		if p.owed > 0 {
			charge := &journal.Charge{Tokens: p.owed}
			entries = append(entries, journal.Entry{Shard: shard, Epoch: epoch, Program: p.id, Charge: charge})
		}
		if p.own > 0 {
			left := &journal.UnspentReservation{Tokens: p.own}
			entries = append(entries, journal.Entry{Shard: shard, Epoch: epoch, Program: p.id, UnspentReservation: left})
		}
		if p.inFlight != nil || o.hadFormerOwners(p) {
			entries = append(entries, journal.Entry{Shard: shard, Epoch: epoch, Program: p.id, OpenAttempt: &journal.OpenAttempt{}})
		}
	}
	entries = append(entries, journal.Entry{Shard: shard, Epoch: epoch, Handover: &journal.Handover{}})
	last, err := o.writer.AppendAll(entries...)
	if err != nil {
		return 0, writerError(err)
	}
	return last, nil
}
