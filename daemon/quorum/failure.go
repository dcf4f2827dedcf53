package quorum

import (
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	core "jackdawbay.dev/core/replica"
	"jackdawbay.dev/daemon/replica"
)

// Cause is the reason for which an operation found no quorum. Its values are metric labels and log values.
type Cause string

// Causes of a Failure.
const (
	CauseNoView              Cause = "no_view"        // The client has not adopted a view yet.
	CauseUnresponsive        Cause = "members_silent" // The responsive members are not a quorum of a set.
	CauseTimeout             Cause = "time_out"       // Responsive members had not responded to this operation when its time was over.
	CauseInsufficientResults Cause = "answers_short"  // The members responded, but too few of them stored or returned the requested data.
	CauseViewChanges         Cause = "view_changes"   // The view changed in each of the attempts.
	CauseMayBeLost           Cause = "may_be_lost"    // No member has a turn, and members that may have had it were given up.
)

// Failure describes why an operation found no quorum, with the state of the replicas at that time.
type Failure struct {
	Cause            Cause
	Group            int
	ViewVersion      uint64        // Version of the view in force; zero before the first view.
	ViewSource       string        // Origin of the view: the VM of a replica, or the store.
	ViewAge          time.Duration // Time since the view was adopted.
	StoreResponseAge time.Duration // Time since the store responded about the view; negative if it never has.
	SetCount         int
	FailedSet        SetCounts
	Unresponsive     []UnresponsiveMember
	Pending          []string // VMs that had received the request and had not responded.
}

// SetCounts holds the number of members of a set, and the numbers that an operation requires.
type SetCounts struct {
	Position         int // Position of the set in the view, from 1. The last set takes the writes.
	Members          int
	Responsive       int
	RequiredForWrite int // Members that must store a write; zero for a set that takes none.
	RequiredForRead  int // Members that must respond, so that every completed write is returned.
}

// UnresponsiveMember is a member that does not respond.
type UnresponsiveMember struct {
	Member          core.Member
	UnresponsiveFor time.Duration // Time since the first failed request.
	DiskReplaced    bool          // Its address serves a different disk.
}

// firstFailedSet returns the counts of the first set without a quorum, or of the last set if all have one.
func firstFailedSet(v core.View, responsive map[string]bool) SetCounts {
	var counts SetCounts
	for i, set := range v.Sets {
		counts = SetCounts{Position: i + 1, Members: len(set), RequiredForRead: v.ReadQuorumOf(i)}
		for _, m := range set {
			if responsive[m.Key()] {
				counts.Responsive++
			}
		}
		if i == len(v.Sets)-1 {
			counts.RequiredForWrite = v.WriteQuorumOf(i)
		}
		if counts.Responsive < max(counts.RequiredForRead, counts.RequiredForWrite) {
			break
		}
	}
	return counts
}

// GroupKey returns a key that is equal for operations that failed for the same reason.
func (f Failure) GroupKey() string {
	return fmt.Sprint(f.Cause, f.Group, f.ViewVersion, f.FailedSet, f.Pending)
}

// LogAttrs returns the failure as log attributes.
func (f Failure) LogAttrs() []any {
	unresponsive := make([]string, 0, len(f.Unresponsive))
	for _, u := range f.Unresponsive {
		text := u.Member.Key() + " " + roundToMillis(u.UnresponsiveFor).String()
		if u.DiskReplaced {
			text += " disk gone"
		}
		unresponsive = append(unresponsive, text)
	}
	storeResponseAge := "never"
	if f.StoreResponseAge >= 0 {
		storeResponseAge = roundToMillis(f.StoreResponseAge).String()
	}
	return []any{
		"cause", string(f.Cause), "view", f.ViewVersion, "set", fmt.Sprintf("%d/%d", f.FailedSet.Position, f.SetCount),
		"answering", fmt.Sprintf("%d/%d", f.FailedSet.Responsive, f.FailedSet.Members), "write", f.FailedSet.RequiredForWrite, "read", f.FailedSet.RequiredForRead,
		"silent", strings.Join(unresponsive, ", "), "owing", strings.Join(f.Pending, ", "), "view_age", roundToMillis(f.ViewAge), "view_source", f.ViewSource,
		"store_answer_age", storeResponseAge, "group", f.Group,
	}
}

func roundToMillis(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// noQuorumError is an ErrNoQuorum with its Failure.
type noQuorumError struct{ failure Failure }

// Error implements error.
func (e *noQuorumError) Error() string {
	return ErrNoQuorum.Error() + ": " + string(e.failure.Cause)
}

// Unwrap makes errors.Is find ErrNoQuorum.
func (e *noQuorumError) Unwrap() error { return ErrNoQuorum }

// FailureOf returns the Failure of an ErrNoQuorum. It returns false for any other error.
func FailureOf(err error) (Failure, bool) {
	var e *noQuorumError
	if errors.As(err, &e) {
		return e.failure, true
	}
	return Failure{}, false
}

// newFailure returns the present state of the replicas as a Failure.
func (c *Client) newFailure(cause Cause, pending []string) Failure {
	now := time.Now()
	c.mu.Lock()
	v, viewAdoptedAt, viewSource, storeRespondedAt := c.view, c.viewAdoptedAt, c.viewSource, c.storeRespondedAt
	c.mu.Unlock()
	f := Failure{Cause: cause, Group: c.group, ViewVersion: v.Version, ViewSource: viewSource, SetCount: len(v.Sets), Pending: pending, StoreResponseAge: -1}
	if v.Version > 0 {
		f.ViewAge = now.Sub(viewAdoptedAt)
	}
	if !storeRespondedAt.IsZero() {
		f.StoreResponseAge = now.Sub(storeRespondedAt)
	}
	responsive := map[string]bool{}
	for _, m := range core.Union(v.Sets) {
		state, isUnresponsive := c.queue(m).unresponsiveState(now)
		if isUnresponsive {
			f.Unresponsive = append(f.Unresponsive, state)
		}
		responsive[m.Key()] = !isUnresponsive
	}
	f.FailedSet = firstFailedSet(v, responsive)
	return f
}

// countMembersByState returns the number of members of the view by their state.
func (c *Client) countMembersByState() (responsive, unresponsive, diskReplaced int) {
	for _, m := range core.Union(c.View().Sets) {
		switch state, isUnresponsive := c.queue(m).unresponsiveState(time.Now()); {
		case !isUnresponsive:
			responsive++
		case state.DiskReplaced:
			diskReplaced++
		default:
			unresponsive++
		}
	}
	return responsive, unresponsive, diskReplaced
}

// storeResponseAge returns the time since the store responded about the view, or since the start if it never has.
func (c *Client) storeResponseAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeRespondedAt.IsZero() {
		return time.Since(c.startedAt)
	}
	return time.Since(c.storeRespondedAt)
}

func (q *memberQueue) unresponsiveState(now time.Time) (UnresponsiveMember, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.unresponsive {
		return UnresponsiveMember{}, false
	}
	state := UnresponsiveMember{Member: q.member, DiskReplaced: q.diskReplaced}
	if !q.unresponsiveSince.IsZero() {
		state.UnresponsiveFor = now.Sub(q.unresponsiveSince)
	}
	return state, true
}

// registerMetrics registers gauges for the views and the state of the replicas of all groups.
func (g *Groups) registerMetrics() {
	set := g.cfg.Metrics
	set.NewGauge("jackdawbay_replica_groups", func() float64 { return float64(len(g.all())) })
	set.NewGauge("jackdawbay_view_version", func() float64 {
		version := uint64(0)
		for _, c := range g.all() {
			version = max(version, c.View().Version)
		}
		return float64(version)
	})
	set.NewGauge(`jackdawbay_store_answer_age_seconds{kind="`+replica.ViewKind+`"}`, func() float64 {
		return g.all()[0].storeResponseAge().Seconds()
	})
	count := func(state string, value func(c *Client) int) {
		set.NewGauge(`jackdawbay_quorum_members{state="`+state+`"}`, func() float64 {
			sum := 0
			for _, c := range g.all() {
				sum += value(c)
			}
			return float64(sum)
		})
	}
	count("answering", func(c *Client) int { n, _, _ := c.countMembersByState(); return n })
	count("silent", func(c *Client) int { _, n, _ := c.countMembersByState(); return n })
	count("gone", func(c *Client) int { _, _, n := c.countMembersByState(); return n })
}
