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

// Status is the report of the coordinator on its data centre.
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

// MemberStatus is the status of one daemon.
type MemberStatus struct {
	VM          string `json:"vm"`
	Incarnation string `json:"incarnation"`
	State       string `json:"state"`
}

// RecordStatus is the number of daemons in which a generation of a record is in force.
type RecordStatus struct {
	Generation int64 `json:"generation"`
	InForce    int   `json:"in_force"`
	Daemons    int   `json:"daemons"`
}

// Condition is a state of the data centre that an operator can read and act on.
type Condition struct {
	Type     string `json:"type"`
	Status   string `json:"status"`
	Reason   string `json:"reason"`
	Message  string `json:"message"`
	Object   string `json:"object,omitempty"`
	AtMillis int64  `json:"at_ms"`
}

const (
	// fastStatusInterval is the interval of status updates until a change is in force in all members, for up to
	// fastStatusDuration after the change. slowStatusInterval is the interval otherwise.
	fastStatusInterval = time.Second
	fastStatusDuration = 10 * time.Second
	slowStatusInterval = 15 * time.Second

	// statusRewriteInterval is the interval at which an unchanged status is written again. It is long because a status
	// has about 300 KB with 4,500 tenants.
	statusRewriteInterval = 2 * time.Minute
)

// statusState is the state of the coordinator between two status updates.
type statusState struct {
	version    uint64
	changeKey  string    // Change key at the newest tick.
	changedAt  time.Time // When changeKey last changed.
	checkedAt  time.Time
	storedHash [32]byte // Hash of the last stored status.
	storedAt   time.Time
	inForce    bool
}

// runStatus writes the status of the data centre while this daemon is the coordinator.
func (n *Node) runStatus(ctx context.Context) error {
	state := &statusState{}
	return clock.Every(ctx, fastStatusInterval, func(now time.Time) {
		if !n.agent.IsCoordinator() {
			*state = statusState{}
			return
		}
		if key := n.statusChangeKey(); key != state.changeKey {
			state.changeKey, state.changedAt, state.inForce, state.storedAt = key, now, false, time.Time{}
		}
		useFastInterval := !state.inForce && now.Sub(state.changedAt) < fastStatusDuration
		if useFastInterval || now.Sub(state.checkedAt) >= slowStatusInterval {
			n.updateStatus(ctx, now, state)
		}
	})
}

func (n *Node) updateStatus(ctx context.Context, now time.Time, state *statusState) {
	s := n.collectStatus(ctx)
	contentHash := s.contentHash()
	if contentHash == state.storedHash && now.Sub(state.storedAt) < statusRewriteInterval {
		state.checkedAt, state.inForce = now, s.isInForceEverywhere()
		return
	}
	nextVersion, stored := n.writeStatus(ctx, state.version, s)
	state.version = nextVersion
	// A status that was not stored is written again at the next tick. A new coordinator gets the version from a
	// conflict.
	if stored {
		state.checkedAt, state.inForce, state.storedHash, state.storedAt = now, s.isInForceEverywhere(), contentHash, now
	}
}

// contentHash returns a hash of the status without its timestamps.
func (s Status) contentHash() [32]byte {
	s.AtMillis = 0
	s.Conditions = slices.Clone(s.Conditions)
	for i := range s.Conditions {
		s.Conditions[i].AtMillis = 0
	}
	// Encoding cannot fail, because the types contain no channels or functions.
	raw, _ := json.Marshal(s)
	return sha256.Sum256(raw)
}

// statusChangeKey returns a key that changes when the status probably changed, or when the platform may have lost it:
// records are listed again after the platform was restored from an old backup.
func (n *Node) statusChangeKey() string {
	r := n.agent.Roster()
	return n.config.Digest() + "/" + r.WriteID + "/" + strconv.FormatInt(n.config.ListCount(), 10)
}

// isInForceEverywhere reports whether every record is in force in every daemon.
func (s Status) isInForceEverywhere() bool {
	for _, r := range s.Records {
		if r.InForce != r.Daemons {
			return false
		}
	}
	return true
}

// writeStatus stores a status. It returns the version for the next write, and whether the status was stored.
func (n *Node) writeStatus(ctx context.Context, version uint64, s Status) (nextVersion uint64, stored bool) {
	nextVersion, err := n.store.Put(ctx, platform.KindStatus, n.settings.DataCentre, version, s)
	if err == nil {
		return nextVersion, true
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
		DataCentre:      n.settings.DataCentre,
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
	for _, m := range n.queryMembers(ctx) {
		s.Members = append(s.Members, MemberStatus{VM: m.VM, Incarnation: m.Incarnation, State: m.State})
		s.UnknownOutcomes = append(s.UnknownOutcomes, m.Unknown...)
		s.countInForce(m, n.config.Digest())
	}
	s.Conditions = n.buildConditions(s)
	return s
}

// countInForce adds a member to the counts of the records that are in force in it. In a member with the coordinator's
// digest, all records are in force.
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

// queryMembers requests the state of every member.
func (n *Node) queryMembers(ctx context.Context) []peer.MemberState {
	members := n.agent.Roster().Members
	states := make([]peer.MemberState, len(members))
	request := peer.MemberStateRequest{Config: n.config.Digest()}
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() {
			if m.Incarnation == n.agent.Incarnation() {
				states[i], _ = n.handleMemberState(ctx, request)
				return
			}
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			if err := n.peers.Post(ctx, m.PeerAddress, peer.PathMemberState, request, &states[i]); err != nil {
				states[i] = peer.MemberState{Incarnation: m.Incarnation, VM: m.VM, State: memberUnreachable}
			}
		})
	}
	wg.Wait()
	return states
}

// handleMemberState returns the state of this daemon for the coordinator's status.
func (n *Node) handleMemberState(ctx context.Context, request peer.MemberStateRequest) (peer.MemberState, error) {
	m := peer.MemberState{
		Incarnation: n.agent.Incarnation(),
		VM:          n.settings.VM,
		State:       memberServing,
		Config:      n.config.Digest(),
	}
	if m.Config != request.Config {
		m.Generations = n.config.Generations()
	}
	// A busy loop reports its unknown outcomes next time.
	_ = n.agent.Loop().Do(ctx, func(_ time.Time, o *program.Owner) {
		for s := range o.Shards() {
			m.Shards = append(m.Shards, s)
		}
		for _, u := range o.UnknownCalls(maxUnknownOutcomes) {
			m.Unknown = append(m.Unknown, peer.UnknownOutcome{Program: u.Program, CallKey: u.CallKey})
		}
		m.JournalFailing = o.Journal().IsFailing()
	})
	sort.Ints(m.Shards)
	return m, nil
}

// maxUnknownOutcomes bounds the unknown outcomes that one daemon reports.
const maxUnknownOutcomes = 100

// Reasons of conditions.
const (
	ReasonOutcomeUnknown    = "OutcomeUnknown"
	ReasonMemberUnreachable = "MemberUnreachable"
	ReasonNotInForce        = "NotInForceEverywhere"
)

func (n *Node) buildConditions(s Status) []Condition {
	conditions := []Condition{}
	for _, m := range s.Members {
		if m.State == memberUnreachable {
			conditions = append(conditions, newCondition("MembersReachable", ReasonMemberUnreachable, "The daemon does not answer.", m.VM))
		}
	}
	for _, u := range s.UnknownOutcomes {
		message := "A call that may not be repeated may have run. Find out, then write a Resolution record."
		conditions = append(conditions, newCondition("OutcomesKnown", ReasonOutcomeUnknown, message, u.Program+"/"+u.CallKey))
	}
	if !s.isInForceEverywhere() {
		conditions = append(conditions, newCondition("ConfigurationInForce", ReasonNotInForce, "A record is not yet in force in every daemon.", ""))
	}
	return conditions
}

func newCondition(conditionType, reason, message, object string) Condition {
	return Condition{
		Type:     conditionType,
		Status:   "False",
		Reason:   reason,
		Message:  message,
		Object:   object,
		AtMillis: time.Now().UnixMilli(),
	}
}
