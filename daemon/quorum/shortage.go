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
	CauseNoView              Cause = "no_view"        // No view has been learned yet.
	CauseUnresponsive        Cause = "members_silent" // The members that answer are no quorum of a set.
	CauseTimeout             Cause = "time_out"       // Members that answer otherwise had not answered when the time of the operation was over.
	CauseInsufficientResults Cause = "answers_short"  // The members answered, and too few of them stored or knew what was asked.
	CauseViewChanges         Cause = "view_changes"   // The view changed again in each of the tries.
)

// Shortage is why an operation found no quorum, and what was known of the replicas then.
type Failure struct {
	Cause            Cause
	ViewVersion      uint64        // Version of the view in force; zero where none is known.
	ViewSource       string        // Who told of the view: a VM, or the store.
	ViewAge          time.Duration // Time since the view was learned.
	StoreResponseAge time.Duration // Time since the store answered about the view; negative where it never has.
	SetCount         int
	FailedSet        SetCounts
	Unresponsive     []UnresponsiveMember
	Pending          []string // VMs that had been asked and had not answered.
}

// Counts are the members of a set and what an operation needs of them.
type SetCounts struct {
	Position         int // Place of the set in the view, from 1; the last set takes the writes.
	Members          int
	Responsive       int
	RequiredForWrite int // Members that must store a write; zero for a set that takes none.
	RequiredForRead  int // Members that must answer, so that every completed write is known.
}

// Absence is a member that does not answer.
type UnresponsiveMember struct {
	Member          core.Member
	UnresponsiveFor time.Duration // Time since its silence was noticed.
	DiskReplaced    bool          // Its disk is gone.
}

// shortSet returns the counts of the first set that lacks a quorum, or of the last set where none does.
func shortSet(v core.View, answering map[string]bool) SetCounts {
	var n SetCounts
	for i, set := range v.Sets {
		n = SetCounts{Position: i + 1, Members: len(set), RequiredForRead: core.ReadQuorum(set, v.ToleratedFailures)}
		for _, m := range set {
			if answering[m.Key()] {
				n.Responsive++
			}
		}
		if i == len(v.Sets)-1 {
			n.RequiredForWrite = core.WriteQuorum(set, v.ToleratedFailures)
		}
		if n.Responsive < max(n.RequiredForRead, n.RequiredForWrite) {
			break
		}
	}
	return n
}

// Decision is equal for operations that found no quorum for the same reason.
func (s Failure) GroupKey() string {
	return fmt.Sprint(s.Cause, s.ViewVersion, s.FailedSet, s.Pending)
}

// Attrs returns the inputs of the decision, with their ages.
func (s Failure) LogAttrs() []any {
	silent := make([]string, 0, len(s.Unresponsive))
	for _, a := range s.Unresponsive {
		text := a.Member.Key() + " " + round(a.UnresponsiveFor).String()
		if a.DiskReplaced {
			text += " disk gone"
		}
		silent = append(silent, text)
	}
	heard := "never"
	if s.StoreResponseAge >= 0 {
		heard = round(s.StoreResponseAge).String()
	}
	return []any{
		"cause", string(s.Cause), "view", s.ViewVersion, "set", fmt.Sprintf("%d/%d", s.FailedSet.Position, s.SetCount),
		"answering", fmt.Sprintf("%d/%d", s.FailedSet.Responsive, s.FailedSet.Members), "write", s.FailedSet.RequiredForWrite, "read", s.FailedSet.RequiredForRead,
		"silent", strings.Join(silent, ", "), "owing", strings.Join(s.Pending, ", "), "view_age", round(s.ViewAge), "view_source", s.ViewSource,
		"store_answer_age", heard,
	}
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// noQuorumError is ErrNoQuorum with its reason.
type noQuorumError struct{ shortage Failure }

// Error implements error.
func (e *noQuorumError) Error() string {
	return ErrNoQuorum.Error() + ": " + string(e.shortage.Cause)
}

// Unwrap makes the error an ErrNoQuorum.
func (e *noQuorumError) Unwrap() error { return ErrNoQuorum }

// FailureOf returns the reason of an ErrNoQuorum.
func FailureOf(err error) (Failure, bool) {
	var e *noQuorumError
	if errors.As(err, &e) {
		return e.shortage, true
	}
	return Failure{}, false
}

// shortage describes what is known now.
func (c *Client) shortage(cause Cause, owing []string) Failure {
	now := time.Now()
	c.mu.Lock()
	v, learned, source, heard := c.view, c.learned, c.source, c.heard
	c.mu.Unlock()
	s := Failure{Cause: cause, ViewVersion: v.Version, ViewSource: source, SetCount: len(v.Sets), Pending: owing, StoreResponseAge: -1}
	if v.Version > 0 {
		s.ViewAge = now.Sub(learned)
	}
	if !heard.IsZero() {
		s.StoreResponseAge = now.Sub(heard)
	}
	answering := map[string]bool{}
	for _, m := range core.Union(v.Sets) {
		absence, silent := c.lane(m).absence(now)
		if silent {
			s.Unresponsive = append(s.Unresponsive, absence)
		}
		answering[m.Key()] = !silent
	}
	s.FailedSet = shortSet(v, answering)
	return s
}

// members counts the members of the view by what is known of them.
func (c *Client) members() (answering, silent, gone int) {
	for _, m := range core.Union(c.View().Sets) {
		switch a, absent := c.lane(m).absence(time.Now()); {
		case !absent:
			answering++
		case a.DiskReplaced:
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

func (l *lane) absence(now time.Time) (UnresponsiveMember, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.silent {
		return UnresponsiveMember{}, false
	}
	a := UnresponsiveMember{Member: l.member, DiskReplaced: l.gone}
	if !l.since.IsZero() {
		a.UnresponsiveFor = now.Sub(l.since)
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
