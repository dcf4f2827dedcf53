package program

import (
	"fmt"
	"sort"
	"time"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/journal"
)

// Thresholds of ShouldCheckpoint. With a growth factor of 2, checkpoints write at most half as many bytes as the
// journals.
const (
	checkpointGrowth   = 2
	minCheckpointBytes = 4 << 20 // Replaying less takes well below the 5 s limit of a takeover.
)

// ShouldCheckpoint reports whether a shard should be checkpointed: the journals since the last checkpoint exceed twice
// the size of a new checkpoint, and they are large enough to slow down a replay.
func ShouldCheckpoint(journalBytes, checkpointBytes int64) bool {
	return journalBytes > minCheckpointBytes && journalBytes > checkpointGrowth*checkpointBytes
}

// EstimatedCheckpointBytes returns the estimated size of the checkpoints of all open shards. It does not iterate over
// the programs, so it can be called several times a second.
func (o *Owner) EstimatedCheckpointBytes() int64 {
	return o.historyBytes + int64(len(o.programs))*programStateBytes
}

// programStateBytes is the estimated size of a ProgramState entry with a few intents.
const programStateBytes = 512

// Checkpoint returns the programs of an open shard as segments for journal.Reader, with slots from 1, and appends a
// CheckpointStart entry to the journal. The checkpoint and this journal, from the slot that Journal().NextSlot() returned
// before the call, may replace the chain of the shard. The caller must first store all segments and wait until all
// entries up to the value of Journal().AppendedLSN() after the call are durable.
func (o *Owner) Checkpoint(shard int) ([]journal.Segment, error) {
	epoch, ok := o.openEpochs[shard]
	if !ok || o.writer.IsFenced() {
		return nil, errkind.New(errkind.NotOwner, "")
	}
	o.checkpointCount++
	id := fmt.Sprintf("%s.%d.%d.%d", o.cfg.DataCentre, shard, epoch, o.checkpointCount)
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
	var entries []journal.Entry
	programCount := 0
	for _, p := range o.sortedPrograms(shard) {
		programCount++
		entries = append(entries, p.stateEntries()...)
	}
	entries = append(entries, journal.Entry{CheckpointEnd: &journal.CheckpointEnd{ID: id, Programs: programCount}})
	for i := range entries {
		entries[i].Shard, entries[i].Epoch = shard, epoch
	}
	return entries
}

func (o *Owner) sortedPrograms(shard int) []*programState {
	var sorted []*programState
	for _, p := range o.programs {
		if p.shard == shard {
			sorted = append(sorted, p)
		}
	}
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].id < sorted[j].id })
	return sorted
}

func (p *programState) stateEntries() []journal.Entry {
	s := &journal.ProgramState{
		Created:               p.created,
		TurnCount:             p.sequence(),
		SpentTokens:           p.spentTokens - p.unjournaledCharge, // The unjournaled charge is journaled later.
		PromptTokens:          p.promptTokens,
		FirstUnaccountedEpoch: p.firstUnaccountedEpoch,
		ReceiptSpent:          p.receiptSpent,
		ReceiptSpentBefore:    p.receiptSpentBefore,
		ReservedTokens:        p.reservedTokens,
		EndReason:             p.endReason,
		LastActiveMillis:      p.lastActive.UnixMilli(),
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
	entries := []journal.Entry{{Program: p.id, ProgramState: s}}
	for i, t := range p.turns {
		turn := &journal.Turn{Turn: t, Digest: p.digests[i].String(), AtMillis: s.LastActiveMillis}
		entries = append(entries, journal.Entry{Program: p.id, Turn: turn})
	}
	return entries
}

// applyState adds a program from a checkpoint. The turns of the program follow as separate entries.
func (r *Replay) applyState(id string, s journal.ProgramState) {
	p := &programState{
		id:                    id,
		shard:                 r.shard,
		created:               s.Created,
		checkpointTurns:       s.TurnCount,
		spentTokens:           s.SpentTokens - s.TurnTokens,
		promptTokens:          s.PromptTokens,
		firstUnaccountedEpoch: s.FirstUnaccountedEpoch,
		receiptSpent:          s.ReceiptSpent,
		receiptSpentBefore:    s.ReceiptSpentBefore,
		reservedTokens:        s.ReservedTokens,
		endReason:             s.EndReason,
		lastActive:            time.UnixMilli(s.LastActiveMillis),
	}
	for _, in := range s.Intents {
		p.addIntent(&intent{Intent: in, outcomeUnknown: true, unreported: true})
	}
	for _, c := range s.Resolved {
		p.closeIntent(c.CallKey, c.Ran, c.Reason)
	}
	r.programs[id] = p
	r.loadedPrograms++
}
