package node

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"slices"
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
	DataCentre      string                  `json:"data_centre"`
	AtMillis        int64                   `json:"at_ms"`
	Term            uint64                  `json:"term"`
	Coordinator     string                  `json:"coordinator"`
	Members         []MemberStatus          `json:"members"`
	Records         map[string]RecordStatus `json:"records"`
	Conditions      []Condition             `json:"conditions"`
	UnknownOutcomes []peer.UnknownOutcome   `json:"unknown_outcomes"`
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
	// statusFast is the interval while a change is on its way to the members, for statusFastTime after it, and statusSlow the
	// interval otherwise.
	statusFast     = time.Second
	statusFastTime = 10 * time.Second
	statusSlow     = 15 * time.Second

	// statusKeep is how long an unchanged status is not written again. With 4,500 tenants a status has some 300 KB.
	statusKeep = 2 * time.Minute
)

// statusWriter is what the coordinator keeps between two rounds.
type statusWriter struct {
	version uint64
	key     string    // Key of the newest round.
	changed time.Time // When the key last changed.
	checked time.Time
	content [32]byte // Hash of the status that was stored last.
	stored  time.Time
	settled bool
}

// runStatus writes the status of the data centre while this daemon is the coordinator.
func (n *Node) runStatus(ctx context.Context) error {
	w := &statusWriter{}
	return clock.Every(ctx, statusFast, func(now time.Time) {
		if !n.agent.IsCoordinator() {
			*w = statusWriter{}
			return
		}
		if key := n.statusKey(); key != w.key {
			w.key, w.changed, w.settled, w.stored = key, now, false, time.Time{}
		}
		fast := !w.settled && now.Sub(w.changed) < statusFastTime
		if fast || now.Sub(w.checked) >= statusSlow {
			n.statusRound(ctx, now, w)
		}
	})
}

func (n *Node) statusRound(ctx context.Context, now time.Time, w *statusWriter) {
	s := n.collectStatus(ctx)
	content := s.hash()
	if content == w.content && now.Sub(w.stored) < statusKeep {
		w.checked, w.settled = now, s.settled()
		return
	}
	next, stored := n.writeStatus(ctx, w.version, s)
	w.version = next
	// A status that was not stored is written again at the next tick. A new coordinator learns the version by a conflict.
	if stored {
		w.checked, w.settled, w.content, w.stored = now, s.settled(), content, now
	}
}

// hash identifies the content of a status apart from its times.
func (s Status) hash() [32]byte {
	s.AtMillis = 0
	s.Conditions = slices.Clone(s.Conditions)
	for i := range s.Conditions {
		s.Conditions[i].AtMillis = 0
	}
	// The types hold no channels or functions, so encoding cannot fail.
	raw, _ := json.Marshal(s)
	return sha256.Sum256(raw)
}

// statusKey changes when the status probably changed, or when the platform may have lost it: records are listed again after
// the platform was restored from an old backup.
func (n *Node) statusKey() string {
	r := n.agent.Roster()
	return n.config.Digest() + "/" + r.WriteID + "/" + strconv.FormatInt(n.config.ListCount(), 10)
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
		DataCentre:      n.set.DataCentre,
		AtMillis:        time.Now().UnixMilli(),
		Term:            r.Term,
		Coordinator:     r.Coordinator,
		Records:         map[string]RecordStatus{},
		Conditions:      []Condition{},
		UnknownOutcomes: []peer.UnknownOutcome{},
	}
	for key, generation := range n.config.Generations() {
		s.Records[key] = RecordStatus{Generation: generation, Daemons: len(r.Members)}
	}
	for _, m := range n.memberStates(ctx) {
		s.Members = append(s.Members, MemberStatus{VM: m.VM, Incarnation: m.Incarnation, State: m.State})
		s.UnknownOutcomes = append(s.UnknownOutcomes, m.Unknown...)
		s.countInForce(m, n.config.Digest())
	}
	s.Conditions = n.conditions(s)
	return s
}

// countInForce counts the records that a member has in force. A member with the coordinator's digest has all of them.
func (s Status) countInForce(m peer.MemberState, digest string) {
	for key, rec := range s.Records {
		generation, ok := m.Generations[key]
		if (ok && generation == rec.Generation) || (m.Config == digest && m.State == memberServing) {
			rec.InForce++
			s.Records[key] = rec
		}
	}
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
	ask := peer.MemberStateRequest{Config: n.config.Digest()}
	var group sync.WaitGroup
	for i, m := range members {
		group.Go(func() {
			if m.Incarnation == n.agent.Incarnation() {
				states[i], _ = n.answerMember(ctx, ask)
				return
			}
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			if err := n.peers.Post(ctx, m.PeerAddress, peer.PathMemberState, ask, &states[i]); err != nil {
				states[i] = peer.MemberState{Incarnation: m.Incarnation, VM: m.VM, State: memberUnreachable}
			}
		})
	}
	group.Wait()
	return states
}

// answerMember reports the state of this daemon to its coordinator.
func (n *Node) answerMember(ctx context.Context, ask peer.MemberStateRequest) (peer.MemberState, error) {
	m := peer.MemberState{
		Incarnation: n.agent.Incarnation(),
		VM:          n.set.VM,
		State:       memberServing,
		Config:      n.config.Digest(),
	}
	if m.Config != ask.Config {
		m.Generations = n.config.Generations()
	}
	// A loop that is busy reports its unknown outcomes next time.
	_ = n.agent.Loop().Do(ctx, func(_ time.Time, o *program.Owner) {
		for s := range o.Shards() {
			m.Shards = append(m.Shards, s)
		}
		for _, u := range o.UnknownCalls(maxUnknown) {
			m.Unknown = append(m.Unknown, peer.UnknownOutcome{Program: u.Program, CallKey: u.CallKey})
		}
		m.JournalFailing = o.Journal().IsFailing()
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
	for _, u := range s.UnknownOutcomes {
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
