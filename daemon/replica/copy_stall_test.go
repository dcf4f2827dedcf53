package replica

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/replica"
)

// stallingTransport passes requests to replicas by address, without a network. The first request to each stalled path gets
// no complete response, as on a connection that transfers no more data.
type stallingTransport struct {
	mu           sync.Mutex
	servers      map[string]*Server
	stalledPaths map[string]bool // A path is removed by the request that stalls.
	stallInBody  bool            // Stalls after the first bytes of the response body instead of before the response.
}

func (t *stallingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	t.mu.Lock()
	server, stalls := t.servers[req.URL.Host], t.stalledPaths[req.URL.Path]
	delete(t.stalledPaths, req.URL.Path)
	t.mu.Unlock()
	if stalls && !t.stallInBody {
		<-req.Context().Done()
		return nil, context.Cause(req.Context())
	}
	w := httptest.NewRecorder()
	server.Handler().ServeHTTP(w, req)
	resp := w.Result()
	if stalls {
		resp.Body = io.NopCloser(io.MultiReader(io.LimitReader(resp.Body, 5), &stalledBody{req.Context()}))
	}
	return resp, nil
}

// stalledBody is a body whose reads block until the request ends.
type stalledBody struct{ ctx context.Context }

func (b *stalledBody) Read([]byte) (int, error) {
	<-b.ctx.Done()
	return 0, context.Cause(b.ctx)
}

// Guards against a successor that has no data at the time by which it counts as caught up. That happens if the connection
// of its copy stalls and the wait ends only with the timeout of the whole copy.
func TestCopyRetriesAfterStalledConnection(t *testing.T) {
	const maxCatchUp = 4800 * time.Millisecond
	for name, stallInBody := range map[string]bool{"before the response": false, "within the response": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source, target := newServer(t, newFaultFS()), newServer(t, newFaultFS())
				for i := range 5 {
					turn := &Turn{ID: fmt.Sprint("t", i), Program: "p", Input: []byte("asked"), Output: []byte("said")}
					_, ok := source.executeNow(t.Context(), []Op{{Kind: OpStore, Turn: turn, RetainMS: 60_000}})
					must.True(t, ok)
				}
				from := replica.Member{VM: "source", Disk: source.Disk(), Address: "source"}
				to := replica.Member{VM: "target", Disk: target.Disk(), Address: "target"}
				v := replica.View{Version: 2, Epoch: 2, Sets: [][]replica.Member{{from}, {to}}}
				m := &Membership{Self: to, Server: target, Log: discardLog(), RegionOf: func(dc string) string { return dc }, Client: &http.Client{
					Transport: &stallingTransport{servers: map[string]*Server{"source": source}, stalledPaths: map[string]bool{PathInventory: true, PathTurns: true}, stallInBody: stallInBody},
				}}
				m.Init()
				start := time.Now()
				for m.copiedEpoch != v.Epoch && time.Since(start) < time.Minute {
					m.runCopy(t.Context(), v)
					time.Sleep(membershipInterval)
				}
				test.LessEq(t, maxCatchUp, time.Since(start))
				for i := range 5 {
					test.True(t, target.state.hasTurn(fmt.Sprint("t", i)))
				}
			})
		})
	}
}
