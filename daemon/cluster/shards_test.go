package cluster

import (
	"log/slog"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/membership"
	"jackdawbay.dev/daemon/peer"
)

// Guards against a planned move of a shard right after the platform was restored from an old backup: the journal of its owner may
// lack segments until the owner has stored checkpoints, so that the new owner could never open the shard.
func TestShardIsNotReleasedBeforeCheckpointAfterRestore(t *testing.T) {
	a := New(Config{}, nil, nil, slog.New(slog.DiscardHandler), nil, nil)
	a.roster = membership.Roster{Term: 7, Restores: 1}
	request := peer.HandoverRequest{Term: 7, Shards: []int{3, 5}}
	test.SliceEmpty(t, a.ReleaseShards(t.Context(), request).Released, test.Sprint("the owner loop is not asked"))

	a.recordCoveredRestores(&checkpointState{afterRestore: true, handledRestores: 1})
	must.True(t, a.coversRestores())
	a.roster.Restores = 2
	must.False(t, a.coversRestores())
}
