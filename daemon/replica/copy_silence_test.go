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

// peers answers requests to replicas by address, without a network. The first request to each path has no answer: the connection
// that it was sent on has gone silent.
type peers struct {
	mu      sync.Mutex
	servers map[string]*Server
	silent  map[string]bool // By path; removed by the request that gets no answer.
	halfway bool            // The answer of the silent request begins and does not go on.
}

func (p *peers) RoundTrip(req *http.Request) (*http.Response, error) {
	p.mu.Lock()
	server, silent := p.servers[req.URL.Host], p.silent[req.URL.Path]
	delete(p.silent, req.URL.Path)
	p.mu.Unlock()
	if silent && !p.halfway {
		<-req.Context().Done()
		return nil, context.Cause(req.Context())
	}
	w := httptest.NewRecorder()
	server.Handler().ServeHTTP(w, req)
	resp := w.Result()
	if silent {
		resp.Body = io.NopCloser(io.MultiReader(io.LimitReader(resp.Body, 5), &endless{req.Context()}))
	}
	return resp, nil
}

// endless is a body that goes silent.
type endless struct{ ctx context.Context }

func (e *endless) Read([]byte) (int, error) {
	<-e.ctx.Done()
	return 0, context.Cause(e.ctx)
}

// Guards against a successor that holds nothing when it counts as caught up, because the connection on which it copies went silent
// and only the bound of the whole copy ended the wait.
func TestCopyGoesOnAfterASilentConnection(t *testing.T) {
	const caughtUp = 4800 * time.Millisecond
	for name, halfway := range map[string]bool{"before the answer": false, "within the answer": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source, target := newServer(t, newFaultFS()), newServer(t, newFaultFS())
				for i := range 5 {
					turn := &Turn{ID: fmt.Sprint("t", i), Program: "p", Input: []byte("asked"), Output: []byte("said")}
					_, ok := source.perform(t.Context(), []Op{{Kind: OpStore, Turn: turn, RetainMS: 60_000}})
					must.True(t, ok)
				}
				from := replica.Member{VM: "source", Disk: source.Disk(), Address: "source"}
				to := replica.Member{VM: "target", Disk: target.Disk(), Address: "target"}
				v := replica.View{Version: 2, Epoch: 2, Sets: [][]replica.Member{{from}, {to}}}
				m := &Membership{Self: to, Server: target, Log: quietLog(), RegionOf: func(dc string) string { return dc }, Client: &http.Client{
					Transport: &peers{servers: map[string]*Server{"source": source}, silent: map[string]bool{PathInventory: true, PathTurns: true}, halfway: halfway},
				}}
				m.Init()
				start := time.Now()
				for m.copiedFor != v.Epoch && time.Since(start) < time.Minute {
					m.copy(t.Context(), v)
					time.Sleep(membershipInterval)
				}
				test.LessEq(t, caughtUp, time.Since(start))
				for i := range 5 {
					test.True(t, target.state.has(fmt.Sprint("t", i)))
				}
			})
		})
	}
}
