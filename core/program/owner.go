package program

import (
	"hash/fnv"
	"strings"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/journal"
)

// ShardsPerDataCentre is the number of shards into which the programs of a data centre are hashed.
const ShardsPerDataCentre = 64

// ShardOf returns the shard of a program within its data centre.
func ShardOf(programID string) int {
	h := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(programID))
	return int(h.Sum32() % ShardsPerDataCentre)
}

// DataCentreOf returns the data centre in a program id, and false when the id has none.
func DataCentreOf(programID string) (string, bool) {
	i := strings.LastIndexByte(programID, '.')
	if i <= 0 {
		return "", false
	}
	return programID[:i], true
}

// Config describes an Owner.
type Config struct {
	Incarnation string
	VM          string
	DataCentre  string
	Signer      *Signer
	Journal     journal.WriterConfig
	MaxPrograms int // Programs in memory beyond this are refused.

	MaxHistoryBytes  int64 // Calls and windows are refused while more history than this is in memory; zero sets no bound.
	DefaultMaxTokens int   // Output bound of calls without max_tokens; zero takes 4096.
}

// Owner holds the programs of the shards that one daemon incarnation owns. It is not safe for concurrent use.
type Owner struct {
	cfg      Config
	writer   *journal.Writer
	shards   map[int]uint64 // Epoch of each open shard.
	opened   map[int]uint64 // Newest epoch under which each shard was ever opened.
	programs map[string]*state

	givenUp      givenUp
	historyBytes int64
	checkpoints  uint64 // Checkpoints taken so far.
}

// NewOwner returns an owner without shards.
func NewOwner(cfg Config) *Owner {
	return &Owner{
		cfg:      cfg,
		writer:   journal.NewWriter(cfg.Incarnation, cfg.Journal),
		shards:   map[int]uint64{},
		opened:   map[int]uint64{},
		programs: map[string]*state{},
	}
}

// Journal returns the writer whose segments must be stored.
func (o *Owner) Journal() *journal.Writer { return o.writer }

// Owns reports whether the shard of a program is open here. After the journal was sealed by another daemon, the owner
// owns nothing, even before the daemon has closed its shards.
func (o *Owner) Owns(programID string) bool {
	if o.writer.IsFenced() {
		return false
	}
	dc, ok := DataCentreOf(programID)
	if !ok || dc != o.cfg.DataCentre {
		return false
	}
	_, open := o.shards[ShardOf(programID)]
	return open
}

// Shards returns the open shards with their epochs.
func (o *Owner) Shards() map[int]uint64 {
	list := make(map[int]uint64, len(o.shards))
	for s, e := range o.shards {
		list[s] = e
	}
	return list
}

// Programs returns the number of programs that have not ended.
func (o *Owner) ProgramCount() int { return len(o.programs) }

// find returns a program for a tenant. A program of another tenant does not exist for it.
func (o *Owner) find(tenant, id string) (*state, error) {
	if !o.Owns(id) {
		return nil, errkind.New(errkind.NotOwner, "")
	}
	p, ok := o.programs[id]
	if !ok || p.created.Tenant != tenant {
		return nil, errkind.New(errkind.ProgramNotFound, "")
	}
	return p, nil
}

// append journals all entries or none.
func (o *Owner) append(p *state, entries ...journal.Entry) (journal.LSN, error) {
	for i := range entries {
		entries[i].Shard, entries[i].Program, entries[i].Epoch = p.shard, p.id, o.shards[p.shard]
	}
	lsn, err := o.writer.AppendAll(entries...)
	if err != nil {
		return 0, writerError(err)
	}
	return lsn, nil
}

func writerError(err error) error {
	if err == journal.ErrFenced {
		return errkind.Wrap(errkind.NotOwner, err, "")
	}
	if err == journal.ErrBacklogFull {
		return errkind.Wrap(errkind.BacklogFull, err, "")
	}
	return errkind.Wrap(errkind.Internal, err, "")
}
