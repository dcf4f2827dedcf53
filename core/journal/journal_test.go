package journal

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1_800_000_000, 0)

func chargeEntry(n int64) Entry { return Entry{Program: "falls-a.1", Charge: &Charge{Tokens: n}} }

func intentEntry() Entry { return Entry{Program: "falls-a.1", Intent: &Intent{CallKey: "k"}} }

func largeEntry(n int) Entry {
	return Entry{Program: "falls-a.1", Resolved: &Resolved{Reason: strings.Repeat("x", n)}}
}

func rateLimitedConfig() WriterConfig {
	return WriterConfig{MaxBacklogBytes: 8 << 20, MinInterval: 2 * time.Millisecond, MaxInterval: time.Second,
		WriteRate: 2, WriteBurst: 2, LazyInterval: 100 * time.Millisecond}
}

// TestFlushTiming guards against a number of creates that grows with the number of entries, and against callers that
// wait for the lazy interval. Event times are milliseconds after the start.
func TestFlushTiming(t *testing.T) {
	type event struct {
		at      int
		entries []Entry
		flush   bool // Whether a create starts at this time; it succeeds immediately.
	}
	lazy, urgent := []Entry{chargeEntry(1)}, []Entry{intentEntry()}
	fast := rateLimitedConfig()
	fast.WriteRate = 0
	cases := []struct {
		name   string
		cfg    WriterConfig
		events []event
	}{
		{"first entry is flushed immediately", rateLimitedConfig(), []event{{0, lazy, true}}},
		{"nothing to write", rateLimitedConfig(), []event{{0, nil, false}}},
		{"lazy entries wait for the lazy interval", fast, []event{{0, lazy, true}, {1, lazy, false}, {99, lazy, false}, {100, nil, true}}},
		{"an intent does not wait", fast, []event{{0, lazy, true}, {1, urgent, false}, {2, nil, true}}},
		{"an intent flushes earlier lazy entries", fast, []event{{0, lazy, true}, {1, lazy, false}, {2, urgent, true}, {102, nil, false}}},
		{"a durable intent does not make later entries urgent", fast, []event{{0, urgent, true}, {5, lazy, false}, {100, nil, true}}},
		{"a full segment does not wait", fast, []event{{0, lazy, true}, {2, []Entry{largeEntry(350_000), largeEntry(350_000)}, true}}},
		{"the rate delays intents after the burst", rateLimitedConfig(), []event{{0, urgent, true}, {2, urgent, true}, {4, urgent, false}, {499, nil, false}, {501, nil, true}}},
		{"a clock that goes back adds no tokens", rateLimitedConfig(), []event{{0, urgent, true}, {2, urgent, true}, {-1000, urgent, false}, {501, nil, true}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := NewWriter("vm-1-a", c.cfg)
			for _, e := range c.events {
				_, err := w.AppendAll(e.entries...)
				must.NoError(t, err)
				_, ok := w.NextSegment(start.Add(time.Duration(e.at) * time.Millisecond))
				must.Eq(t, e.flush, ok, must.Sprintf("at %d ms", e.at))
				w.CreateSucceeded(0)
			}
		})
	}
}

// TestCreateRateIsIndependentOfEntryRate appends intents for ten seconds at several rates and checks that the number of
// creates depends only on the write rate.
func TestCreateRateIsIndependentOfEntryRate(t *testing.T) {
	for _, perSecond := range []int{10, 100, 1000} {
		w, creates := NewWriter("vm-1-a", rateLimitedConfig()), 0
		for i := range 10 * perSecond {
			now := start.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
			_, err := w.Append(intentEntry())
			must.NoError(t, err)
			if _, ok := w.NextSegment(now); ok {
				creates++
				w.CreateSucceeded(time.Millisecond)
			}
		}
		must.Between(t, 20, creates, 22)
	}
}

func TestWriteRatePerDaemon(t *testing.T) {
	must.Eq(t, 1, WriteRatePerDaemon(320, 400))
	must.Eq(t, 0, WriteRatePerDaemon(8, 0))
	must.Eq(t, 0, WriteRatePerDaemon(8, -1))
	must.Eq(t, 80, WriteRatePerDaemon(0, 100))
}

// TestWriterResults guards against entries that count as durable without being stored, and against a writer that
// accepts another daemon's object as its own.
func TestWriterResults(t *testing.T) {
	cfg := rateLimitedConfig()
	cfg.WriteRate = 0
	begin := func() (*Writer, Segment) {
		w := NewWriter("vm-1-a", cfg)
		_, err := w.Append(intentEntry())
		must.NoError(t, err)
		s, ok := w.NextSegment(start)
		must.True(t, ok)
		return w, s
	}
	t.Run("one create at a time", func(t *testing.T) {
		w, _ := begin()
		_, ok := w.NextSegment(start.Add(time.Hour))
		must.False(t, ok)
	})
	t.Run("second response to the same create", func(t *testing.T) {
		w, _ := begin()
		w.CreateSucceeded(0)
		_, err := w.Append(intentEntry())
		must.NoError(t, err)
		w.CreateSucceeded(0)
		must.Eq(t, 1, w.DurableLSN())
	})
	t.Run("lost response, own object found", func(t *testing.T) {
		w, s := begin()
		w.CreateFailed()
		again, ok := w.NextSegment(start.Add(time.Second))
		must.True(t, ok)
		must.Eq(t, s, again)
		must.True(t, w.ResolveConflict(s, 0))
		must.Eq(t, 1, w.DurableLSN())
		must.True(t, w.ResolveConflict(s, 0), must.Sprint("late response for an older slot"))
		must.Eq(t, 2, w.NextSlot())
	})
	for name, change := range map[string]func(*Segment){
		"seal":                  func(s *Segment) { s.Seal = &Seal{} },
		"seal with own flush":   func(s *Segment) { s.Seal, s.Slot = &Seal{}, 0 },
		"other incarnation":     func(s *Segment) { s.Incarnation = "vm-2-b" },
		"other flush, own slot": func(s *Segment) { s.FlushID = "x" },
		"later slot":            func(s *Segment) { s.Slot = 9 },
	} {
		t.Run("fenced by "+name, func(t *testing.T) {
			w, s := begin()
			change(&s)
			must.False(t, w.ResolveConflict(s, 0))
			must.Eq(t, 0, w.DurableLSN())
			_, err := w.Append(chargeEntry(1))
			must.ErrorIs(t, err, ErrFenced)
		})
	}
	t.Run("all entries or none", func(t *testing.T) {
		w := NewWriter("vm-1-a", WriterConfig{MaxBacklogBytes: 300})
		_, err := w.AppendAll(chargeEntry(1), largeEntry(400))
		must.ErrorIs(t, err, ErrBacklogFull)
		must.Eq(t, 0, w.BacklogBytes())
		must.Eq(t, 0, w.AppendedLSN())
	})
}

// TestReader guards against entries that are lost or duplicated at segment boundaries.
func TestReader(t *testing.T) {
	entries := []Entry{chargeEntry(1), largeEntry(1_000_000), chargeEntry(2), largeEntry(500_000), chargeEntry(3)}
	segments, err := Pack("vm-1-a", entries)
	must.NoError(t, err)
	read := func(from uint64, list []Segment) ([]Entry, error) {
		r, got := NewReader("vm-1-a", from), []Entry(nil)
		for _, s := range list {
			more, err := r.Add(s)
			if err != nil {
				return got, err
			}
			got = append(got, more...)
		}
		return got, nil
	}
	t.Run("all", func(t *testing.T) {
		got, err := read(1, segments)
		must.NoError(t, err)
		must.Eq(t, entries, got)
	})
	t.Run("from the middle of an entry", func(t *testing.T) {
		got, err := read(2, segments[1:])
		must.NoError(t, err)
		must.Eq(t, entries[2:], got)
	})
	t.Run("gap", func(t *testing.T) {
		_, err := read(1, []Segment{segments[0], segments[2]})
		must.ErrorIs(t, err, ErrGap)
	})
	t.Run("after the seal", func(t *testing.T) {
		_, err := read(1, []Segment{{Incarnation: "vm-1-a", Slot: 1, Seal: &Seal{}}, {Incarnation: "vm-1-a", Slot: 2}})
		must.ErrorIs(t, err, ErrGap)
	})
	t.Run("parts out of order", func(t *testing.T) {
		broken := segments[0]
		broken.Frames = append([]Frame{{Part: &Part{Index: 1, Count: 2}}}, broken.Frames...)
		_, err := read(1, []Segment{broken})
		must.ErrorIs(t, err, ErrCorrupt)
	})
	t.Run("broken entry", func(t *testing.T) {
		_, err := read(1, []Segment{{Incarnation: "vm-1-a", Slot: 1, Frames: []Frame{{Entry: []byte("{")}}}})
		must.ErrorIs(t, err, ErrCorrupt)
	})
}

func BenchmarkAppend(b *testing.B) {
	w := NewWriter("vm-1-a", WriterConfig{MaxBacklogBytes: 1 << 40})
	for i := range b.N {
		if _, err := w.Append(intentEntry()); err != nil {
			b.Fatal(err)
		}
		if i%1000 == 999 {
			w.pendingFrames, w.backlogBytes = nil, 0
		}
	}
}

// BenchmarkCutSegment cuts one segment out of a backlog of several segments.
func BenchmarkCutSegment(b *testing.B) {
	for _, n := range []int{100, 20_000} {
		b.Run(fmt.Sprintf("pending=%d", n), func(b *testing.B) {
			full := NewWriter("vm-1-a", WriterConfig{MaxBacklogBytes: 1 << 40})
			for range n {
				_, _ = full.Append(intentEntry())
			}
			for b.Loop() {
				w := *full
				w.cutSegment()
			}
		})
	}
}
