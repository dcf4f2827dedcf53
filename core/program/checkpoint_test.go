package program

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/core/journal"
)

// applyRandomChange applies a random change to a random program. The owner may reject it.
func applyRandomChange(t *rapid.T, o *Owner, n int) {
	id, other := testID(rapid.IntRange(0, 2).Draw(t, "program")), testID(3)
	key := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "key")
	c := modelCall(o, id, key)
	if rapid.Bool().Draw(t, "order") {
		c = serviceCall(o, id, key)
	}
	attempt := string(rune('A' + n))
	done := completion(id, c, attempt)
	switch rapid.IntRange(0, 8).Draw(t, "change") {
	case 0:
		_, _ = o.Create(testStart, testTenant, id, caller.CreateProgram{}, testLimits())
	case 1, 2, 3:
		if _, err := o.Admit(testStart, request(id, c, attempt)); err == nil {
			_, _ = o.Complete(testStart, done)
		}
	case 4:
		_, _ = o.Admit(testStart, request(id, c, attempt))
	case 5:
		o.AbandonIngressAttempts("in-1")
	case 6:
		if _, err := o.Admit(testStart, request(id, c, attempt)); err == nil {
			done.Outcome = OutcomeNotSent
			_, _ = o.Complete(testStart, done)
		}
	case 7:
		_ = o.Resolve(id, key, rapid.Bool().Draw(t, "ran"), "looked up")
	case 8:
		_, _ = o.End(testTenant, id, EndedByCaller)
		_, _ = o.End(testTenant, other, EndedByCaller)
	}
}

func snapshotOfReplay(r *Replay) string {
	o := NewOwner(testConfig("x"))
	o.OpenShard(testStart, testShard, 9, r)
	return snapshot(o)
}

// TestCheckpointEqualsJournal guards against state that a checkpoint omits or counts twice. A replay of the checkpoint
// and the later segments must give the same state as a replay of all segments.
func TestCheckpointEqualsJournal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := openOwner(nil)
		steps := rapid.IntRange(1, 25).Draw(t, "steps")
		checkpointStep := rapid.IntRange(0, steps-1).Draw(t, "checkpoint after")
		var all, checkpoint []journal.Segment
		var slot uint64
		for i := range steps {
			applyRandomChange(t, o, i)
			if rapid.Bool().Draw(t, "flush") {
				all = append(all, flush(o)...)
			}
			if i == checkpointStep {
				var err error
				slot = o.Journal().NextSlot()
				checkpoint, err = o.Checkpoint(testShard)
				must.NoError(t, err)
			}
		}
		if rapid.Bool().Draw(t, "handover") {
			_, err := o.CloseShard(testShard)
			must.NoError(t, err)
		}
		all = append(all, flush(o)...)
		fromCheckpoint := replay(t, replay(t, NewReplay(testShard), checkpoint), all[slot-1:])
		must.NoError(t, fromCheckpoint.Check())
		must.Eq(t, snapshotOfReplay(replay(t, NewReplay(testShard), all)), snapshotOfReplay(fromCheckpoint))
	})
}

// TestCheckpointIncomplete guards against serving an incomplete checkpoint.
func TestCheckpointIncomplete(t *testing.T) {
	o := openOwner(func(c *Config) { c.Journal.MaxBacklogBytes = 64 << 20 })
	for i := range 4 {
		create(t, o, testID(i))
		c := serviceCall(o, testID(i), "k")
		c.Service.Body = json.RawMessage(`"` + strings.Repeat("x", 500_000) + `"`)
		runCall(t, o, testID(i), c)
	}
	slot := o.Journal().NextSlot()
	segments, err := o.Checkpoint(testShard)
	must.NoError(t, err)
	must.Greater(t, 3, len(segments))
	for _, s := range segments {
		body, err := json.Marshal(s)
		must.NoError(t, err)
		must.Less(t, journal.MaxSegmentBytes, len(body))
	}
	must.ErrorIs(t, replay(t, NewReplay(testShard), segments[:len(segments)-1]).Check(), ErrIncompleteCheckpoint)
	r := replay(t, NewReplay(testShard), segments)
	must.ErrorIs(t, r.Check(), ErrIncompleteCheckpoint, must.Sprint("the start entry of the checkpoint is missing"))
	all := flush(o)
	must.NoError(t, replay(t, r, all[slot-1:]).Check())
	must.Eq(t, fmt.Sprintf("falls-a.%d.1.1", testShard), segments[0].Incarnation)
}

// TestCheckpointWriteAmplification guards against checkpoints that write more than half as many bytes as the journals.
func TestCheckpointWriteAmplification(t *testing.T) {
	must.False(t, ShouldCheckpoint(minCheckpointBytes, 0))
	must.False(t, ShouldCheckpoint(10<<20, 5<<20))
	must.True(t, ShouldCheckpoint(10<<20+1, 5<<20))
	random := rand.New(rand.NewPCG(1, 2))
	var live, since, journals, checkpoints int64
	for range 100_000 {
		n := random.Int64N(64 << 10)
		since, journals, live = since+n, journals+n, live+n
		if random.IntN(100) == 0 {
			live = random.Int64N(live + 1)
		}
		if ShouldCheckpoint(since, live) {
			checkpoints, since = checkpoints+live, 0
		}
		must.LessEq(t, journals/2, checkpoints)
	}
	t.Logf("journals wrote %d MB, checkpoints %d MB", journals>>20, checkpoints>>20)
	must.Positive(t, checkpoints)
}
