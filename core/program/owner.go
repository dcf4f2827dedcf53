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
	// Writing to a hash returns no error.
	_, _ = h.Write([]byte(programID))
	return int(h.Sum32() % ShardsPerDataCentre)
}

// DataCentreOf returns the data centre of a program id. It returns false if the id contains none.
func DataCentreOf(programID string) (string, bool) {
	i := strings.LastIndexByte(programID, '.')
	if i <= 0 {
		return "", false
	}
	return programID[:i], true
}

// Config is the configuration of an Owner.
type Config struct {
	Incarnation string
	VM          string
	DataCentre  string
	Signer      *Signer
	Journal     journal.WriterConfig
	MaxPrograms int // Limit of programs in memory; further programs are rejected.

	MaxHistoryBytes  int64 // Limit of history in memory; calls and windows beyond it are rejected. Zero means no limit.
	DefaultMaxTokens int   // Output limit of calls without max_tokens; zero means 4096.
}

// Owner manages the programs of the shards that one daemon incarnation owns. It is not safe for concurrent use.
type Owner struct {
	cfg          Config
	writer       *journal.Writer
	openEpochs   map[int]uint64 // Epoch of each open shard.
	newestEpochs map[int]uint64 // Newest epoch under which each shard was opened here.
	programs     map[string]*programState

	cancelled       cancelledAttempts
	historyBytes    int64
	checkpointCount uint64 // Number of checkpoints taken.
}

// NewOwner returns an owner without open shards.
func NewOwner(cfg Config) *Owner {
	return &Owner{
		cfg:          cfg,
		writer:       journal.NewWriter(cfg.Incarnation, cfg.Journal),
		openEpochs:   map[int]uint64{},
		newestEpochs: map[int]uint64{},
		programs:     map[string]*programState{},
	}
}

// Journal returns the journal writer, whose segments the caller must store.
func (o *Owner) Journal() *journal.Writer { return o.writer }

// Owns reports whether the shard of a program is open here. It returns false for all programs once another daemon has
// sealed the journal, even if the shards are not closed yet.
func (o *Owner) Owns(programID string) bool {
	if o.writer.IsFenced() {
		return false
	}
	dc, ok := DataCentreOf(programID)
	if !ok || dc != o.cfg.DataCentre {
		return false
	}
	_, open := o.openEpochs[ShardOf(programID)]
	return open
}

// Shards returns the epoch of each open shard.
func (o *Owner) Shards() map[int]uint64 {
	epochs := make(map[int]uint64, len(o.openEpochs))
	for s, e := range o.openEpochs {
		epochs[s] = e
	}
	return epochs
}

// ProgramCount returns the number of programs in memory. An ended program counts until it is removed.
func (o *Owner) ProgramCount() int { return len(o.programs) }

// findProgram returns a program of a tenant. It returns ProgramNotFound for a program of another tenant.
func (o *Owner) findProgram(tenant, id string) (*programState, error) {
	if !o.Owns(id) {
		return nil, errkind.New(errkind.NotOwner, "")
	}
	p, ok := o.programs[id]
	if !ok || p.created.Tenant != tenant {
		return nil, errkind.New(errkind.ProgramNotFound, "")
	}
	return p, nil
}

// appendEntries appends all entries to the journal, or none, and returns the LSN of the last one.
func (o *Owner) appendEntries(p *programState, entries ...journal.Entry) (journal.LSN, error) {
	for i := range entries {
		entries[i].Shard, entries[i].Program, entries[i].Epoch = p.shard, p.id, o.openEpochs[p.shard]
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
