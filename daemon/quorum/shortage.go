package quorum

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	core "jackdawbay.dev/core/replica"
	"jackdawbay.dev/daemon/replica"
)

// Cause is why an operation found no quorum.
type Cause string

// Causes.
const (
	CauseNoView   Cause = "no_view"        // No view has been learned yet.
	CauseSilent   Cause = "members_silent" // The members that answer are no quorum of a set.
	CauseTimeout  Cause = "time_out"       // Members that answer otherwise had not answered when the time of the operation was over.
	CauseAnswers  Cause = "answers_short"  // The members answered, and too few of them stored or knew what was asked.
	CauseNewViews Cause = "view_changes"   // The view changed again in each of the tries.
)

// Shortage is why an operation found no quorum, and what was known of the replicas then.
type Shortage struct {
	Cause   Cause
	View    uint64        // Version of the view in force; zero where none is known.
	Source  string        // Who told of the view: a VM, or the store.
	Learned time.Duration // Time since the view was learned.
	Heard   time.Duration // Time since the store answered about the view; negative where it never has.
	Sets    int
	Short   Counts
	Silent  []Absence
	Owing   []string // VMs that had been asked and had not answered.
}

// Counts are the members of a set and what an operation needs of them.
type Counts struct {
	Set       int // Place of the set in the view, from 1; the last set takes the writes.
	Members   int
	Answering int
	Write     int // Members that must store a write; zero for a set that takes none.
	Read      int // Members that must answer, so that every completed write is known.
}

// Absence is a member that does not answer.
type Absence struct {
	Member core.Member
	For    time.Duration // Time since its silence was noticed.
	Gone   bool          // Its disk is gone.
}

// shortSet returns the counts of the first set that lacks a quorum, or of the last set where none does.
func shortSet(v core.View, answering map[string]bool) Counts {
	var n Counts
	for i, set := range v.Sets {
		n = Counts{Set: i + 1, Members: len(set), Read: core.ReadQuorum(set, v.ToleratedFailures)}
		for _, m := range set {
			if answering[m.Key()] {
				n.Answering++
			}
		}
		if i == len(v.Sets)-1 {
			n.Write = core.WriteQuorum(set, v.ToleratedFailures)
		}
		if n.Answering < max(n.Read, n.Write) {
			break
		}
	}
	return n
}

// Decision is equal for operations that found no quorum for the same reason.
func (s Shortage) Decision() string {
	return fmt.Sprint(s.Cause, s.View, s.Short, s.Owing)
}

// Attrs returns the inputs of the decision, with their ages.
func (s Shortage) Attrs() []any {
	silent := make([]string, 0, len(s.Silent))
	for _, a := range s.Silent {
		text := a.Member.Key() + " " + round(a.For).String()
		if a.Gone {
			text += " disk gone"
		}
		silent = append(silent, text)
	}
	heard := "never"
	if s.Heard >= 0 {
		heard = round(s.Heard).String()
	}
	return []any{
		"cause", string(s.Cause), "view", s.View, "set", fmt.Sprintf("%d/%d", s.Short.Set, s.Sets),
		"answering", fmt.Sprintf("%d/%d", s.Short.Answering, s.Short.Members), "write", s.Short.Write, "read", s.Short.Read,
		"silent", strings.Join(silent, ", "), "owing", strings.Join(s.Owing, ", "), "view_age", round(s.Learned), "view_source", s.Source,
		"store_answer_age", heard,
	}
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// noQuorumError is ErrNoQuorum with its reason.
type noQuorumError struct{ shortage Shortage }

// Error implements error.
func (e *noQuorumError) Error() string {
	return ErrNoQuorum.Error() + ": " + string(e.shortage.Cause)
}

// Unwrap makes the error an ErrNoQuorum.
func (e *noQuorumError) Unwrap() error { return ErrNoQuorum }

// ShortageOf returns the reason of an ErrNoQuorum.
func ShortageOf(err error) (Shortage, bool) {
	var e *noQuorumError
	if errors.As(err, &e) {
		return e.shortage, true
	}
	return Shortage{}, false
}

// shortage describes what is known now.
func (c *Client) shortage(cause Cause, owing []string) Shortage {
	now := time.Now()
	c.mu.Lock()
	v, learned, source, heard := c.view, c.learned, c.source, c.heard
	c.mu.Unlock()
	s := Shortage{Cause: cause, View: v.Version, Source: source, Sets: len(v.Sets), Owing: owing, Heard: -1}
	if v.Version > 0 {
		s.Learned = now.Sub(learned)
	}
	if !heard.IsZero() {
		s.Heard = now.Sub(heard)
	}
	answering := map[string]bool{}
	for _, m := range core.Union(v.Sets) {
		absence, silent := c.lane(m).absence(now)
		if silent {
			s.Silent = append(s.Silent, absence)
		}
		answering[m.Key()] = !silent
	}
	s.Short = shortSet(v, answering)
	return s
}

// members counts the members of the view by what is known of them.
func (c *Client) members() (answering, silent, gone int) {
	for _, m := range core.Union(c.View().Sets) {
		switch a, absent := c.lane(m).absence(time.Now()); {
		case !absent:
			answering++
		case a.Gone:
			gone++
		default:
			silent++
		}
	}
	return answering, silent, gone
}

// storeAge is the time since the store answered about the view, or since the start where it never has.
func (c *Client) storeAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heard.IsZero() {
		return time.Since(c.started)
	}
	return time.Since(c.heard)
}

func (l *lane) absence(now time.Time) (Absence, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.silent {
		return Absence{}, false
	}
	a := Absence{Member: l.member, Gone: l.gone}
	if !l.since.IsZero() {
		a.For = now.Sub(l.since)
	}
	return a, true
}

// register serves what is known of the replicas as metrics.
func (c *Client) register() {
	set := c.cfg.Metrics
	set.NewGauge("jackdawbay_view_version", func() float64 { return float64(c.View().Version) })
	set.NewGauge(`jackdawbay_store_answer_age_seconds{kind="`+replica.ViewKind+`"}`, func() float64 { return c.storeAge().Seconds() })
	count := func(state string, of func() int) {
		set.NewGauge(`jackdawbay_quorum_members{state="`+state+`"}`, func() float64 { return float64(of()) })
	}
	count("answering", func() int { n, _, _ := c.members(); return n })
	count("silent", func() int { _, n, _ := c.members(); return n })
	count("gone", func() int { _, _, n := c.members(); return n })
}
