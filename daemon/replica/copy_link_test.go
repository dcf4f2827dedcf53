package replica

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// regionTransport is a link between regions that sends responses one after another at a rate.
type regionTransport struct {
	next        http.RoundTripper
	bytesPerSec int
	roundTrip   time.Duration

	mu     sync.Mutex
	freeAt time.Time
	sent   int           // Bytes of all responses.
	queue  time.Duration // Longest time that another response of any size would have waited for the link.
}

func (t *regionTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	if now := time.Now(); t.freeAt.Before(now) {
		t.freeAt = now
	}
	t.freeAt = t.freeAt.Add(time.Duration(len(body)) * time.Second / time.Duration(t.bytesPerSec))
	t.sent += len(body)
	t.queue = max(t.queue, time.Until(t.freeAt))
	arrival := t.freeAt.Add(t.roundTrip)
	t.mu.Unlock()
	time.Sleep(time.Until(arrival))
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp, nil
}

// TestCopyLeavesLinkBetweenRegionsToCallers guards against a copy whose responses queue at the link between regions, 30 Mbit/s, and
// delay each request of callers that crosses it: several of 1 MB in flight added 0.8 s to each way. A request waits for one piece at most,
// and the copy still takes most of an idle link.
func TestCopyLeavesLinkBetweenRegionsToCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const turns, size, bytesPerSec = 2000, 17_000, 30_000_000 / 8
		sources := map[string]*Server{}
		for _, vm := range []string{"source0", "source1"} {
			sources[vm] = newServer(t, &slowDisk{DirFS: DirFS{Dir: t.TempDir()}})
			storeChains(t, sources[vm], turns, 5, size)
		}
		m, v := newTestCopy(t, &copyTransport{}, sources)
		m.Self.DataCentre, v.Sets[1][0].DataCentre = "r1", "r1"
		for i := range v.Sets[0] {
			v.Sets[0][i].DataCentre = "r2"
		}
		link := &regionTransport{next: m.Client.Transport, bytesPerSec: bytesPerSec, roundTrip: 24 * time.Millisecond}
		m.Client = &http.Client{Transport: link}
		start := time.Now()
		m.runCopy(t.Context(), v)
		must.EqOp(t, v.Epoch, m.copiedEpoch)
		must.MapLen(t, turns, m.Server.state.turns)
		test.LessEq(t, time.Second*copyPieceBytes/bytesPerSec, link.queue)
		test.LessEq(t, 1.2, time.Since(start).Seconds()*bytesPerSec/float64(link.sent))
	})
}

// TestCopySkipsStalledSourceInOtherRegion guards against a source that sends nothing and occupies the only request to other regions
// for each of its workers in turn. The stall timeout of one request is all that it may cost.
func TestCopySkipsStalledSourceInOtherRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const turns = 300
		sources := map[string]*Server{}
		for _, vm := range []string{"source0", "source1", "source2"} {
			sources[vm] = newServer(t, &slowDisk{DirFS: DirFS{Dir: t.TempDir()}})
			storeChains(t, sources[vm], turns, 5, 17_000)
		}
		m, v := newTestCopy(t, &copyTransport{}, sources)
		v.ToleratedFailures = 1
		m.Self.DataCentre, v.Sets[1][0].DataCentre = "r1", "r1"
		for i := range v.Sets[0] {
			v.Sets[0][i].DataCentre = "r2"
		}
		link := &regionTransport{next: m.Client.Transport, bytesPerSec: 30_000_000 / 8, roundTrip: 24 * time.Millisecond}
		m.Client = &http.Client{Transport: roundTripFunc(func(r *http.Request) (*http.Response, error) {
			if r.URL.Path == PathTurns && r.URL.Host == "source1" {
				<-r.Context().Done()
				return nil, context.Cause(r.Context())
			}
			return link.RoundTrip(r)
		})}
		start := time.Now()
		m.runCopy(t.Context(), v)
		must.EqOp(t, v.Epoch, m.copiedEpoch)
		must.MapLen(t, turns, m.Server.state.turns)
		transfer := time.Duration(link.sent) * time.Second * 6 / 5 / time.Duration(link.bytesPerSec)
		test.LessEq(t, copyStallTimeout+transfer, time.Since(start))
	})
}
