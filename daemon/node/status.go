package node

import (
	"context"
	"sort"
	"strconv"
	"sync"
	"time"

	"jackdawbay.dev/core/program"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/daemon/peer"
	"jackdawbay.dev/daemon/platform"
)

// Status is what the coordinator reports for its data centre.
type Status struct {
	DataCentre  string                  `json:"data_centre"`
	AtMillis    int64                   `json:"at_ms"`
	Term        uint64                  `json:"term"`
	Coordinator string                  `json:"coordinator"`
	Members     []MemberStatus          `json:"members"`
	Records     map[string]RecordStatus `json:"records"`
	Conditions  []Condition             `json:"conditions"`
	Unknown     []peer.UnknownOutcome   `json:"unknown_outcomes"`
}

// MemberStatus is one daemon in a Status.
type MemberStatus struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	State       string `json:"state"`
}

// RecordStatus tells in how many daemons a generation of a record is in force.
type RecordStatus struct {
	Generation int64 `json:"generation"`
	InForce    int   `json:"in_force"`
	Daemons    int   `json:"daemons"`
}

// Condition is a state that an operator can read and act on.
type Condition struct {
	Type     string `json:"type"`
	Status   string `json:"status"`
	Reason   string `json:"reason"`
	Message  string `json:"message"`
	Object   string `json:"object,omitempty"`
	AtMillis int64  `json:"at_ms"`
}

const (
	// statusFast is the interval while a change is on its way to the members, statusSlow the interval otherwise. The status
	// is large, so that it is not written more often than it changes.
	statusFast = time.Second
	statusSlow = 15 * time.Second
)

// runStatus writes the status of the data centre while this daemon is the coordinator.
func (n *Node) runStatus(ctx context.Context) error {
	var version uint64
	var written time.Time
	settled := false
	digest := ""
	return clock.Every(ctx, statusFast, func(time.Time) {
		if !n.agent.IsCoordinator() {
			version, settled = 0, false
			return
		}
		key := n.statusKey()
		if settled && key == digest && time.Since(written) < statusSlow {
			return
		}
		s := n.collectStatus(ctx)
		next, stored := n.writeStatus(ctx, version, s)
		version = next
		// A status that was not stored is written again at the next tick. A new coordinator learns the version by a conflict.
		written, digest, settled = time.Now(), key, stored && s.settled()
	})
}

// statusKey changes when the status probably changed, or when the platform may have lost it: records are listed again after
// the platform was restored from an old backup.
func (n *Node) statusKey() string {
	r := n.agent.Roster()
	return n.config.Digest() + "/" + r.WriteID + "/" + strconv.FormatInt(n.config.Lists(), 10)
}

// settled reports whether every record is in force in every daemon.
func (s Status) settled() bool {
	for _, r := range s.Records {
		if r.InForce != r.Daemons {
			return false
		}
	}
	return true
}

// writeStatus returns the version for the next write, and whether the status was stored.
func (n *Node) writeStatus(ctx context.Context, version uint64, s Status) (next uint64, stored bool) {
	next, err := n.store.Put(ctx, platform.KindStatus, n.set.DataCentre, version, s)
	if err == nil {
		return next, true
	}
	conflict, ok := platform.AsConflict(err)
	if !ok {
		return version, false
	}
	if conflict.Current == nil {
		return 0, false
	}
	return conflict.Current.Version, false
}

func (n *Node) collectStatus(ctx context.Context) Status {
	r := n.agent.Roster()
	s := Status{
		DataCentre:  n.set.DataCentre,
		AtMillis:    time.Now().UnixMilli(),
		Term:        r.Term,
		Coordinator: r.Coordinator,
		Records:     map[string]RecordStatus{},
		Conditions:  []Condition{},
		Unknown:     []peer.UnknownOutcome{},
	}
	for key, generation := range n.config.Generations() {
		s.Records[key] = RecordStatus{Generation: generation, Daemons: len(r.Members)}
	}
	for _, m := range n.memberStates(ctx) {
		s.Members = append(s.Members, MemberStatus{VM: m.VM, Incarnation: m.Incarnation, State: m.State})
		s.Unknown = append(s.Unknown, m.Unknown...)
		for key, generation := range m.Generations {
			rec, ok := s.Records[key]
			if ok && generation == rec.Generation {
				rec.InForce++
				s.Records[key] = rec
			}
		}
	}
	s.Conditions = n.conditions(s)
	return s
}

// States of a member in a status.
const (
	memberServing     = "Serving"
	memberUnreachable = "Unreachable"
)

// memberStates asks every member for its state.
func (n *Node) memberStates(ctx context.Context) []peer.MemberState {
	members := n.agent.Roster().Members
	states := make([]peer.MemberState, len(members))
	var group sync.WaitGroup
	for i, m := range members {
		group.Go(func() {
			if m.Incarnation == n.agent.Incarnation() {
				states[i], _ = n.answerMember(ctx, none{})
				return
			}
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			if err := n.peers.Get(ctx, m.PeerAddress, peer.PathMembers, &states[i]); err != nil {
				states[i] = peer.MemberState{Incarnation: m.Incarnation, VM: m.VM, State: memberUnreachable}
			}
		})
	}
	group.Wait()
	return states
}

// answerMember reports the state of this daemon to its coordinator.
func (n *Node) answerMember(ctx context.Context, _ none) (peer.MemberState, error) {
	m := peer.MemberState{
		Incarnation: n.agent.Incarnation(),
		VM:          n.set.VM,
		State:       memberServing,
		Generations: n.config.Generations(),
	}
	// A loop that is busy reports its unknown outcomes next time.
	_ = n.agent.Loop().Do(ctx, func(_ time.Time, o *program.Owner) {
		for s := range o.Shards() {
			m.Shards = append(m.Shards, s)
		}
		for _, u := range o.Unknown(maxUnknown) {
			m.Unknown = append(m.Unknown, peer.UnknownOutcome{Program: u.Program, CallKey: u.CallKey})
		}
		m.JournalFailing = o.Journal().Failing()
	})
	sort.Ints(m.Shards)
	return m, nil
}

// maxUnknown bounds the unknown outcomes that one daemon reports.
const maxUnknown = 100

// Reasons of conditions.
const (
	ReasonOutcomeUnknown    = "OutcomeUnknown"
	ReasonMemberUnreachable = "MemberUnreachable"
	ReasonNotInForce        = "NotInForceEverywhere"
)

func (n *Node) conditions(s Status) []Condition {
	list := []Condition{}
	for _, m := range s.Members {
		if m.State == memberUnreachable {
			list = append(list, condition("MembersReachable", ReasonMemberUnreachable, "The daemon does not answer.", m.VM))
		}
	}
	for _, u := range s.Unknown {
		text := "A call that may not be repeated may have run. Find out, then write a Resolution record."
		list = append(list, condition("OutcomesKnown", ReasonOutcomeUnknown, text, u.Program+"/"+u.CallKey))
	}
	if !s.settled() {
		list = append(list, condition("ConfigurationInForce", ReasonNotInForce, "A record is not yet in force in every daemon.", ""))
	}
	return list
}

func condition(kind, reason, message, object string) Condition {
	return Condition{
		Type:     kind,
		Status:   "False",
		Reason:   reason,
		Message:  message,
		Object:   object,
		AtMillis: time.Now().UnixMilli(),
	}
}
