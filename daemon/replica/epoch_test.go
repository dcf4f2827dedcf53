package replica

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/replica"
)

// sendBatch sends operations to a replica and returns its response.
func sendBatch(t *testing.T, s *Server, epoch uint64, ops ...Op) BatchResponse {
	t.Helper()
	b := Batch{Epoch: epoch, Disk: s.Disk(), Ops: ops}
	raw, err := b.Encode()
	must.NoError(t, err)
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, PathBatch, bytes.NewReader(raw)))
	must.EqOp(t, http.StatusOK, w.Code)
	response, err := DecodeBatchResponse(w.Body.Bytes())
	must.NoError(t, err)
	return response
}

// TestBatchOfEarlierEpochIsNotWrittenAfterView guards against a batch that arrives before a view is durable, is written behind
// it and is acknowledged as a write of the earlier view. A member that copies the data of this replica after the view has taken
// force does not get it, so that the write may be on fewer replicas than a write quorum.
func TestBatchOfEarlierEpochIsNotWrittenAfterView(t *testing.T) {
	ops := map[string]Op{
		"turn":       storeOp("t1", ""),
		"charge":     chargeOp("p", "t1", 5, false),
		"settlement": {Kind: OpStore, Program: "p", Charge: replica.Charge{Turn: "t1", Tokens: 5, Settled: true}, RetainMS: 60_000},
	}
	for name, op := range ops {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fs := newFaultFS()
				s := newServer(t, fs)
				must.True(t, s.adopt(t.Context(), replica.View{Version: 1, Epoch: 1}))
				fs.onSync = func() { time.Sleep(time.Second) }
				adopted := make(chan bool, 1)
				go func() { adopted <- s.adopt(t.Context(), replica.View{Version: 2, Epoch: 2}) }()
				time.Sleep(time.Second / 2) // The view is written and not yet synced.
				must.EqOp(t, 1, s.View().Epoch)
				response := sendBatch(t, s, 1, op)
				must.True(t, <-adopted)
				must.NotNil(t, response.View, must.Sprint("the batch is acknowledged"))
				test.EqOp(t, 2, response.View.Epoch)
				test.SliceEmpty(t, response.Results)
				test.False(t, s.state.hasTurn("t1"))
				test.SliceEmpty(t, s.state.charges("p"))
				response = sendBatch(t, s, 2, op)
				test.Nil(t, response.View)
				test.SliceLen(t, 1, response.Results)
			})
		})
	}
}

// TestBatchesAroundViewInOneWrite guards against the same fault within one sync, and against batches before the view that are
// rejected with it.
func TestBatchesAroundViewInOneWrite(t *testing.T) {
	s, err := New(newFaultFS(), discardLog(), metrics.NewSet())
	must.NoError(t, err)
	newJob := func(epoch uint64, id string) *writeJob {
		return &writeJob{ctx: t.Context(), epoch: epoch, ops: []Op{storeOp(id, "")}, done: make(chan struct{})}
	}
	view := &writeJob{ctx: t.Context(), view: &replica.View{Version: 2, Epoch: 2}, done: make(chan struct{})}
	before, behind, next := newJob(0, "before"), newJob(0, "behind"), newJob(2, "next")
	s.writeGroup([]*writeJob{before, view, behind, next})
	test.Nil(t, before.newer)
	must.NotNil(t, behind.newer)
	test.EqOp(t, 2, behind.newer.Epoch)
	test.Nil(t, next.newer)
	var stored []string
	for _, id := range []string{"before", "behind", "next"} {
		if s.state.hasTurn(id) {
			stored = append(stored, id)
		}
	}
	test.EqOp(t, "before next", strings.Join(stored, " "))
}
