package program

import (
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/core/journal"
)

// ErrBrokenHistory is returned if the replayed turns do not form a hash chain.
var ErrBrokenHistory = errors.New("replayed history is not a hash chain")

// ErrIncompleteCheckpoint is returned if a checkpoint has no end entry or lacks entries, or if the journals that follow
// do not contain its CheckpointStart entry.
var ErrIncompleteCheckpoint = errors.New("checkpoint is incomplete")

// Replay rebuilds the programs of one shard from an optional checkpoint and the journals that follow it.
type Replay struct {
	shard    int
	programs map[string]*programState

	loadedPrograms      int    // Programs read so far from a checkpoint whose end was not read yet.
	pendingCheckpointID string // Checkpoint that was read and whose CheckpointStart entry was not read yet.
}

// NewReplay returns an empty replay of a shard.
func NewReplay(shard int) *Replay {
	return &Replay{shard: shard, programs: map[string]*programState{}}
}

// Apply adds one entry. It ignores the entries of other shards, so that a journal that was read once can serve several
// shards. After a checkpoint it ignores all entries up to the CheckpointStart entry of that checkpoint, because the
// checkpoint contains them.
func (r *Replay) Apply(e journal.Entry) error {
	if e.Shard != r.shard {
		return nil
	}
	if r.pendingCheckpointID != "" {
		if e.CheckpointStart != nil && e.CheckpointStart.ID == r.pendingCheckpointID {
			r.pendingCheckpointID = ""
		}
		return nil
	}
	switch {
	case e.CheckpointStart != nil:
		return nil
	case e.CheckpointEnd != nil:
		return r.finishCheckpoint(*e.CheckpointEnd)
	case e.Handover != nil:
		r.applyHandover(e.Epoch)
		return nil
	case e.Created != nil:
		r.applyCreated(e)
		return nil
	case e.ProgramState != nil:
		r.applyState(e.Program, *e.ProgramState)
		return nil
	}
	p, ok := r.programs[e.Program]
	if !ok {
		return errors.Wrapf(ErrBrokenHistory, "program %s has no creation entry", e.Program)
	}
	return p.applyEntry(e)
}

// Check returns ErrIncompleteCheckpoint if the entries read so far are not enough to serve the shard.
func (r *Replay) Check() error {
	if r.loadedPrograms > 0 {
		return errors.Wrap(ErrIncompleteCheckpoint, "the checkpoint has no end entry")
	}
	if r.pendingCheckpointID != "" {
		return errors.Wrapf(ErrIncompleteCheckpoint, "no journal has the start entry of checkpoint %s", r.pendingCheckpointID)
	}
	return nil
}

func (r *Replay) finishCheckpoint(end journal.CheckpointEnd) error {
	if r.loadedPrograms != end.Programs {
		return errors.Wrapf(ErrIncompleteCheckpoint, "checkpoint %s has %d of %d programs", end.ID, r.loadedPrograms, end.Programs)
	}
	for _, p := range r.programs {
		if p.sequence() != p.checkpointTurns {
			return errors.Wrapf(ErrIncompleteCheckpoint, "program %s has %d of %d turns", p.id, p.sequence(), p.checkpointTurns)
		}
		p.checkpointTurns = 0
	}
	r.loadedPrograms, r.pendingCheckpointID = 0, end.ID
	return nil
}

// applyHandover records that all attempts of the owner with the epoch are accounted for, except those of programs with
// an OpenAttempt entry.
func (r *Replay) applyHandover(epoch uint64) {
	for _, p := range r.programs {
		if !p.openAtHandover {
			p.firstUnaccountedEpoch = epoch + 1
		}
		p.openAtHandover = false
	}
}

func (r *Replay) applyCreated(e journal.Entry) {
	if _, ok := r.programs[e.Program]; ok {
		return
	}
	p := &programState{id: e.Program, shard: r.shard, created: *e.Created, lastActive: time.UnixMilli(e.Created.AtMillis)}
	p.firstUnaccountedEpoch = e.Epoch
	if e.Created.FirstUnaccountedEpoch > 0 {
		p.firstUnaccountedEpoch = e.Created.FirstUnaccountedEpoch
	}
	p.reservedTokens = max(creatorAllowance(e.Created.BudgetTokens), e.Created.ReservedTokens)
	// The epoch and the reservation of a restored program are not part of its limits.
	p.created.FirstUnaccountedEpoch, p.created.ReservedTokens = 0, 0
	r.programs[e.Program] = p
}

func (p *programState) applyEntry(e journal.Entry) error {
	switch {
	case e.Turn != nil:
		return p.applyTurn(*e.Turn)
	case e.Intent != nil:
		p.addIntent(&intent{Intent: *e.Intent, outcomeUnknown: true, unreported: true})
	case e.Cancel != nil:
		if in, ok := p.intents[e.Cancel.CallKey]; ok && in.Attempt == e.Cancel.Attempt {
			delete(p.intents, e.Cancel.CallKey)
		}
	case e.Charge != nil:
		p.applyCharge(*e.Charge)
	case e.Reservation != nil:
		p.reservedTokens += e.Reservation.Tokens
	case e.UnspentReservation != nil:
		p.handoverReservation, p.handoverEpoch = e.UnspentReservation.Tokens, e.Epoch+1
	case e.Resolved != nil:
		p.closeIntent(e.Resolved.CallKey, e.Resolved.Ran, e.Resolved.Reason)
	case e.Ended != nil:
		p.endReason = e.Ended.Reason
	case e.OpenAttempt != nil:
		p.openAtHandover = true
	}
	return nil
}

func (p *programState) applyCharge(c journal.Charge) {
	p.spentTokens += c.Tokens
	p.receiptSpent = max(p.receiptSpent, c.ReceiptSpent)
	if c.FirstUnaccountedEpoch > 0 {
		p.firstUnaccountedEpoch = c.FirstUnaccountedEpoch
	}
}

func (p *programState) applyTurn(t journal.Turn) error {
	if t.Window != nil && t.Window.ReplacesLast && p.sequence() > 0 {
		p.dropLastTurn(t.Turn.CallKey)
	}
	if t.Turn.Sequence != p.sequence()+1 {
		return errors.Wrapf(ErrBrokenHistory, "program %s: turn %d follows turn %d", p.id, t.Turn.Sequence, p.sequence())
	}
	digest, err := caller.NextDigest(p.digest(), t.Turn)
	if err != nil {
		return err
	}
	if digest != t.Digest {
		return errors.Wrapf(ErrBrokenHistory, "program %s: digest of turn %d does not match", p.id, t.Turn.Sequence)
	}
	p.lastActive = time.UnixMilli(t.AtMillis)
	if p.sequence() < p.checkpointTurns {
		// The spending in the checkpoint already includes all of its turns.
		receiptSpent, receiptSpentBefore := p.receiptSpent, p.receiptSpentBefore
		p.addTurn(t.Turn, digest)
		p.receiptSpent, p.receiptSpentBefore = receiptSpent, receiptSpentBefore
		return nil
	}
	p.addTurn(t.Turn, digest)
	p.receiptSpent = p.spentTokens
	if t.Window != nil {
		p.firstUnaccountedEpoch, p.receiptSpent = t.Window.FirstUnaccountedEpoch, t.Window.ReceiptSpent
	}
	return nil
}

// OpenShard starts serving the replayed programs of a shard under an epoch. Epochs start at 1 and increase by one with
// each owner of the shard. Only the owner of the next epoch may spend the reservation that was passed on in a handover. The
// idle time of each program starts again, because a program cannot be called while its shard has no owner. OpenShard
// does nothing if the shard was opened here before under the same or a newer epoch.
func (o *Owner) OpenShard(now time.Time, shard int, epoch uint64, r *Replay) {
	if newest, ok := o.newestEpochs[shard]; ok && epoch <= newest {
		return
	}
	o.closeShard(shard)
	o.openEpochs[shard], o.newestEpochs[shard] = epoch, epoch
	if r == nil {
		return
	}
	for id, p := range r.programs {
		p.lastActive = now
		if p.handoverEpoch == epoch {
			p.usableReservation = p.handoverReservation
		}
		o.programs[id] = p
		o.historyBytes += p.memoryBytes
	}
}

// CloseShard stops serving a shard in a planned handover. It journals the unspent reservations and marks the programs
// with attempts in flight, so that the next owner can identify the programs whose spending may be incomplete. It
// returns the entry that must be durable before the handover, or zero if there is none. After an error the shard is
// closed without a Handover entry, and the next owner takes it over as after a failure.
func (o *Owner) CloseShard(shard int) (journal.LSN, error) {
	if _, ok := o.openEpochs[shard]; !ok {
		return 0, nil
	}
	lsn, err := o.journalHandover(shard)
	o.closeShard(shard)
	return lsn, err
}

// DropShard removes a shard that has another owner. It appends nothing to the journal.
func (o *Owner) DropShard(shard int) { o.closeShard(shard) }

func (o *Owner) closeShard(shard int) {
	delete(o.openEpochs, shard)
	for _, p := range o.programs {
		if p.shard == shard {
			o.removeProgram(p)
		}
	}
}

func (o *Owner) journalHandover(shard int) (journal.LSN, error) {
	epoch := o.openEpochs[shard]
	var entries []journal.Entry
	for _, p := range o.programs {
		if p.shard != shard {
			continue
		}
		if p.unjournaledCharge > 0 {
			charge := &journal.Charge{Tokens: p.unjournaledCharge}
			entries = append(entries, journal.Entry{Shard: shard, Epoch: epoch, Program: p.id, Charge: charge})
		}
		if p.usableReservation > 0 {
			unspent := &journal.UnspentReservation{Tokens: p.usableReservation}
			entries = append(entries, journal.Entry{Shard: shard, Epoch: epoch, Program: p.id, UnspentReservation: unspent})
		}
		if p.inFlight != nil || o.hasUnaccountedAttempts(p) {
			entries = append(entries, journal.Entry{Shard: shard, Epoch: epoch, Program: p.id, OpenAttempt: &journal.OpenAttempt{}})
		}
	}
	entries = append(entries, journal.Entry{Shard: shard, Epoch: epoch, Handover: &journal.Handover{}})
	lsn, err := o.writer.AppendAll(entries...)
	if err != nil {
		return 0, writerError(err)
	}
	return lsn, nil
}
