package program

import (
	"fmt"
	"sort"
	"time"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/journal"
)

// Bounds of ShouldCheckpoint. With a growth of 2, checkpoints write at most half as many bytes as the journals.
const (
	checkpointGrowth   = 2
	minCheckpointBytes = 4 << 20 // Replaying less takes well below the 5 s that a takeover may take.
)

// ShouldCheckpoint reports whether a checkpoint of a shard pays: the journals since the last one hold more than twice
// the bytes that a checkpoint would write, and enough to make a replay slow.
func ShouldCheckpoint(journalBytes, liveBytes int64) bool {
	return journalBytes > minCheckpointBytes && journalBytes > checkpointGrowth*liveBytes
}

// EstimatedCheckpointBytes returns the estimated size of checkpoints of all open shards. It visits no program, so that it can be asked
// several times a second.
func (o *Owner) EstimatedCheckpointBytes() int64 {
	return o.historyBytes + int64(len(o.programs))*programBytes
}

// programBytes is the size of a State entry with a few intents.
const programBytes = 512

// Checkpoint returns the programs of an open shard as segments for journal.Reader, with slots from 1. It marks its place
// in the journal. The chain of the shard may be replaced by the checkpoint and this journal, from the slot that
// Journal().Slot() returned before the call, once all segments are stored and every entry that Journal().Appended()
// counts after the call is durable.
func (o *Owner) Checkpoint(shard int) ([]journal.Segment, error) {
	epoch, ok := o.shards[shard]
	if !ok || o.writer.IsFenced() {
		return nil, errkind.New(errkind.NotOwner, "")
	}
	o.checkpoints++
	id := fmt.Sprintf("%s.%d.%d.%d", o.cfg.DataCentre, shard, epoch, o.checkpoints)
	segments, err := journal.Pack(id, o.checkpointEntries(id, shard, epoch))
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "")
	}
	start := journal.Entry{Shard: shard, Epoch: epoch, CheckpointStart: &journal.CheckpointStart{ID: id}}
	if _, err := o.writer.Append(start); err != nil {
		return nil, writerError(err)
	}
	return segments, nil
}

func (o *Owner) checkpointEntries(id string, shard int, epoch uint64) []journal.Entry {
	var list []journal.Entry
	programs := 0
	for _, p := range o.sorted(shard) {
		programs++
		list = append(list, p.checkpoint()...)
	}
	list = append(list, journal.Entry{CheckpointEnd: &journal.CheckpointEnd{ID: id, Programs: programs}})
	for i := range list {
		list[i].Shard, list[i].Epoch = shard, epoch
	}
	return list
}

func (o *Owner) sorted(shard int) []*state {
	var list []*state
	for _, p := range o.programs {
		if p.shard == shard {
			list = append(list, p)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
	return list
}

func (p *state) checkpoint() []journal.Entry {
	s := &journal.ProgramState{
		Created:               p.created,
		TurnCount:             p.sequence(),
		SpentTokens:           p.spent - p.owed, // The rest is journaled later.
		PromptTokens:          p.prompt,
		FirstUnaccountedEpoch: p.base,
		ReceiptSpent:          p.seen,
		ReceiptSpentBefore:    p.seenBefore,
		ReservedTokens:        p.reserved,
		EndReason:             p.ended,
		LastActiveMillis:      p.active.UnixMilli(),
	}
	for _, t := range p.turns {
		s.TurnTokens += t.Usage.Total()
	}
	for _, in := range p.intents {
		s.Intents = append(s.Intents, in.Intent)
	}
	for key, r := range p.resolved {
		s.Resolved = append(s.Resolved, journal.Resolved{CallKey: key, Ran: r.ran, Reason: r.reason})
	}
	sort.Slice(s.Intents, func(i, j int) bool { return s.Intents[i].CallKey < s.Intents[j].CallKey })
	sort.Slice(s.Resolved, func(i, j int) bool { return s.Resolved[i].CallKey < s.Resolved[j].CallKey })
	list := []journal.Entry{{Program: p.id, ProgramState: s}}
	for i, t := range p.turns {
		turn := &journal.Turn{Turn: t, Digest: p.digests[i].String(), AtMillis: s.LastActiveMillis}
		list = append(list, journal.Entry{Program: p.id, Turn: turn})
	}
	return list
}

// load starts a program from a checkpoint; its turns follow.
func (r *Replay) load(id string, s journal.ProgramState) {
	p := &state{
		id:         id,
		shard:      r.shard,
		created:    s.Created,
		loading:    s.TurnCount,
		spent:      s.SpentTokens - s.TurnTokens,
		prompt:     s.PromptTokens,
		base:       s.FirstUnaccountedEpoch,
		seen:       s.ReceiptSpent,
		seenBefore: s.ReceiptSpentBefore,
		reserved:   s.ReservedTokens,
		ended:      s.EndReason,
		active:     time.UnixMilli(s.LastActiveMillis),
	}
	for _, in := range s.Intents {
		p.addIntent(&intent{Intent: in, unknown: true, unheard: true})
	}
	for _, c := range s.Resolved {
		p.resolve(c.CallKey, c.Ran, c.Reason)
	}
	r.programs[id] = p
	r.loading++
}
