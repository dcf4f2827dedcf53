package program

import (
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/core/journal"
)

// ErrBrokenHistory is returned when replayed turns do not form a hash chain.
var ErrBrokenHistory = errors.New("replayed history is not a hash chain")

// Replay rebuilds the programs of one shard from its journals.
type Replay struct {
	shard    int
	programs map[string]*state
	clean    bool // The last entry was a handover, so no attempt was in flight unseen.
}

// NewReplay starts the replay of a shard.
func NewReplay(shard int) *Replay {
	return &Replay{shard: shard, programs: map[string]*state{}}
}

// Apply adds one entry. Entries of other shards are ignored, so that one reading of a journal serves many shards.
func (r *Replay) Apply(e journal.Entry) error {
	if e.Shard != r.shard {
		return nil
	}
	if e.Handover != nil {
		r.clean = true
		return nil
	}
	if e.Open == nil {
		r.clean = false
	}
	if e.Created != nil {
		if _, ok := r.programs[e.Program]; !ok {
			at := time.UnixMilli(e.Created.AtMillis)
			r.programs[e.Program] = &state{id: e.Program, shard: r.shard, created: *e.Created, active: at}
		}
		return nil
	}
	p, ok := r.programs[e.Program]
	if !ok {
		return errors.Wrapf(ErrBrokenHistory, "program %s has no start", e.Program)
	}
	return p.apply(e)
}

func (p *state) apply(e journal.Entry) error {
	switch {
	case e.Turn != nil:
		return p.applyTurn(*e.Turn)
	case e.Intent != nil:
		p.addIntent(&intent{Intent: *e.Intent, unknown: true})
	case e.Cancel != nil:
		if in, ok := p.intents[e.Cancel.CallKey]; ok && in.Attempt == e.Cancel.Attempt {
			delete(p.intents, e.Cancel.CallKey)
		}
	case e.Charge != nil:
		p.spent += e.Charge.Tokens
	case e.Resolved != nil:
		p.resolve(e.Resolved.CallKey, e.Resolved.Ran, e.Resolved.Reason)
	case e.Ended != nil:
		p.ended = e.Ended.Reason
	case e.Open != nil:
		p.recovered = true
	}
	return nil
}

func (p *state) applyTurn(t journal.Turn) error {
	if t.Turn.Sequence != p.sequence()+1 {
		return errors.Wrapf(ErrBrokenHistory, "program %s: turn %d follows turn %d", p.id, t.Turn.Sequence, p.sequence())
	}
	digest, err := caller.NextDigest(p.digest(), t.Turn)
	if err != nil {
		return err
	}
	if digest != t.Digest {
		return errors.Wrapf(ErrBrokenHistory, "program %s: digest of turn %d differs", p.id, t.Turn.Sequence)
	}
	p.addTurn(t.Turn, digest)
	p.recovered = false
	p.active = time.UnixMilli(t.AtMillis)
	return nil
}

// OpenShard starts to serve a shard under an epoch with the replayed programs. Idle times start again, because a
// program could not be called while its shard had no owner.
func (o *Owner) OpenShard(now time.Time, shard int, epoch uint64, r *Replay) {
	o.shards[shard] = epoch
	if r == nil {
		return
	}
	for id, p := range r.programs {
		p.active = now
		if !r.clean {
			p.recovered = true
		}
		o.programs[id] = p
	}
}

// CloseShard stops serving a shard. In a planned handover it first journals the attempts in flight, so that the next
// owner knows which programs may have used tokens unseen. It returns the entry that must be durable before the
// handover, zero when there is none.
func (o *Owner) CloseShard(shard int) (journal.LSN, error) {
	if _, ok := o.shards[shard]; !ok {
		return 0, nil
	}
	last, err := o.journalHandover(shard)
	o.DropShard(shard)
	return last, err
}

// DropShard forgets a shard that has another owner by now. It journals nothing.
func (o *Owner) DropShard(shard int) {
	delete(o.shards, shard)
	for id, p := range o.programs {
		if p.shard == shard {
			delete(o.programs, id)
		}
	}
}

func (o *Owner) journalHandover(shard int) (journal.LSN, error) {
	epoch := o.shards[shard]
	last, err := o.writer.Append(journal.Entry{Shard: shard, Epoch: epoch, Handover: &journal.Handover{}})
	if err != nil {
		return 0, writerError(err)
	}
	for _, p := range o.programs {
		if p.shard != shard || (p.inFlight == nil && !p.recovered) {
			continue
		}
		if last, err = o.append(p, journal.Entry{Open: &journal.Open{}}); err != nil {
			return 0, err
		}
	}
	return last, nil
}
