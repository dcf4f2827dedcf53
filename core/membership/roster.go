// Package membership defines the members of a data centre and the assignment of shards to daemons. It contains the
// roster, the plans by which a coordinator changes it, and the failure detector. It does no I/O; the daemon executes
// the plans.
package membership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"jackdawbay.dev/core/program"
)

// Member is one daemon incarnation of a data centre.
type Member struct {
	Incarnation string `json:"incarnation"`
	VM          string `json:"vm"`
	PeerAddress string `json:"peer_address"` // Host and port of the peer listener.
	Leaving     bool   `json:"leaving,omitempty"`
}

// JournalRef refers to the part of a journal that a new owner of a shard has to replay: the entries of the shard that
// were written under one epoch.
type JournalRef struct {
	Incarnation string `json:"incarnation"`
	Epoch       uint64 `json:"epoch"`
	Slot        uint64 `json:"slot,omitempty"` // First segment to read; zero means the start of the journal.
}

// Shard is the ownership state of one shard. Chain lists the journals of former owners, oldest first, that contain the
// start entry of the checkpoint or later entries.
type Shard struct {
	Owner      string       `json:"owner,omitempty"`
	Epoch      uint64       `json:"epoch"` // Increases by one with each new owner.
	Checkpoint string       `json:"checkpoint,omitempty"`
	Slot       uint64       `json:"slot,omitempty"` // First segment of the owner's journal that is needed after the checkpoint.
	Chain      []JournalRef `json:"chain,omitempty"`
}

// Roster is the state of a data centre. Each accepted change increments Term.
type Roster struct {
	DataCentre  string   `json:"data_centre"`
	Term        uint64   `json:"term"`
	Coordinator string   `json:"coordinator"`
	WriteID     string   `json:"write_id"`           // Identifies the write if its response was lost.
	Restores    uint64   `json:"restores,omitempty"` // Number of detected restores of the platform from an old backup.
	Members     []Member `json:"members"`            // Ordered by incarnation.
	Shards      []Shard  `json:"shards"`
}

// New returns the initial roster of a data centre, with the coordinator as its only member.
func New(dataCentre string, coordinator Member) Roster {
	r := Roster{
		DataCentre:  dataCentre,
		Term:        1,
		Coordinator: coordinator.Incarnation,
		Members:     []Member{coordinator},
		Shards:      make([]Shard, program.ShardsPerDataCentre),
	}
	for i := range r.Shards {
		r.Shards[i] = Shard{Owner: coordinator.Incarnation, Epoch: 1}
	}
	return r
}

// Clone returns a deep copy of the roster.
func (r Roster) Clone() Roster {
	c := r
	c.Members = append([]Member(nil), r.Members...)
	c.Shards = append([]Shard(nil), r.Shards...)
	for i := range c.Shards {
		c.Shards[i].Chain = append([]JournalRef(nil), r.Shards[i].Chain...)
	}
	return c
}

// Member returns the member with the given incarnation.
func (r Roster) Member(incarnation string) (Member, bool) {
	for _, m := range r.Members {
		if m.Incarnation == incarnation {
			return m, true
		}
	}
	return Member{}, false
}

// OwnerOf returns the member that owns the shard of a program.
func (r Roster) OwnerOf(programID string) (Member, bool) {
	if len(r.Shards) != program.ShardsPerDataCentre {
		return Member{}, false
	}
	return r.Member(r.Shards[program.ShardOf(programID)].Owner)
}

// ShardsOf returns the shards that an incarnation owns.
func (r Roster) ShardsOf(incarnation string) []int {
	var shards []int
	for i, s := range r.Shards {
		if s.Owner == incarnation {
			shards = append(shards, i)
		}
	}
	return shards
}

// Neighbours returns the members that an incarnation probes: the next n in ring order. Every member is probed by n
// others, so the cost per member does not grow with the size of the data centre.
func (r Roster) Neighbours(incarnation string, n int) []Member {
	index := -1
	for i, m := range r.Members {
		if m.Incarnation == incarnation {
			index = i
		}
	}
	if index < 0 {
		return nil
	}
	var neighbours []Member
	for i := 1; i < len(r.Members) && len(neighbours) < n; i++ {
		neighbours = append(neighbours, r.Members[(index+i)%len(r.Members)])
	}
	return neighbours
}

// NextCoordinator returns the member that takes over when the coordinator fails. It is the next member in ring order
// that is neither leaving nor suspected.
func (r Roster) NextCoordinator(suspected func(incarnation string) bool) (Member, bool) {
	for _, m := range r.Neighbours(r.Coordinator, len(r.Members)) {
		if !m.Leaving && !suspected(m.Incarnation) {
			return m, true
		}
	}
	return Member{}, false
}

// assignShards returns the owner of each shard, chosen by rendezvous hashing over the members that are not leaving.
func assignShards(members []Member) []string {
	var names []string
	for _, m := range members {
		if !m.Leaving {
			names = append(names, m.Incarnation)
		}
	}
	owners := make([]string, program.ShardsPerDataCentre)
	if len(names) == 0 {
		return owners
	}
	table := rendezvous.New(names, xxhash.Sum64String)
	for i := range owners {
		owners[i] = table.Lookup(shardKey(i))
	}
	return owners
}

func shardKey(shard int) string {
	return "shard-" + string(rune('A'+shard/26)) + string(rune('a'+shard%26))
}

// HashOwner returns the member that is responsible for a key, such as an engine group. It is chosen by rendezvous
// hashing over the members that are not leaving.
func (r Roster) HashOwner(key string) (Member, bool) {
	var names []string
	for _, m := range r.Members {
		if !m.Leaving {
			names = append(names, m.Incarnation)
		}
	}
	if len(names) == 0 {
		return Member{}, false
	}
	return r.Member(rendezvous.New(names, xxhash.Sum64String).Lookup(key))
}

func (r *Roster) insertMember(m Member) {
	r.Members = append(r.Members, m)
	sort.Slice(r.Members, func(i, j int) bool { return r.Members[i].Incarnation < r.Members[j].Incarnation })
}

func (r *Roster) removeMember(incarnation string) {
	remaining := r.Members[:0]
	for _, m := range r.Members {
		if m.Incarnation != incarnation {
			remaining = append(remaining, m)
		}
	}
	r.Members = remaining
}

// moveShard assigns a shard to a new owner and appends the journal of the former owner to its chain.
func (r *Roster) moveShard(shard int, owner string) {
	s := &r.Shards[shard]
	if s.Owner != "" {
		s.Chain = append(s.Chain, JournalRef{Incarnation: s.Owner, Epoch: s.Epoch, Slot: s.Slot})
	}
	s.Owner, s.Slot = owner, 0
	s.Epoch++
}

// RecordCheckpoint records that the owner of a shard has stored a checkpoint whose start entry is in its journal. Older
// journals, and older segments of this journal, are no longer needed. It returns false if the shard has another owner
// or epoch.
func (r *Roster) RecordCheckpoint(owner string, c Checkpoint) bool {
	if c.Shard < 0 || c.Shard >= len(r.Shards) {
		return false
	}
	s := &r.Shards[c.Shard]
	if s.Owner != owner || s.Epoch != c.Epoch {
		return false
	}
	s.Checkpoint, s.Slot, s.Chain = c.ID, c.Slot, nil
	return true
}

// Timing and limits of the failure detector.
const (
	ProbeInterval = time.Second
	ProbeTimeout  = 500 * time.Millisecond

	// ProbeFailureThreshold is the number of consecutive timeouts after which a member is suspected. One lost packet or
	// one pause of the garbage collector must not cause a takeover.
	ProbeFailureThreshold = 2

	// ProbeFanOut is the number of ring neighbours that a member probes.
	ProbeFanOut = 2
)
