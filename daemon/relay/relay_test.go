package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/placement"
	core "jackdawbay.dev/core/relay"
	"jackdawbay.dev/daemon/platform"
)

// Kinds of the tests.
const (
	kindRelays = "relays"
	kindConfig = "config"
	kindList   = "servers"
)

// callTimeout is the timeout of a call to the store, in addition to the wait of a watch.
const callTimeout = 800 * time.Millisecond

// inForceTime is the shortest time of the users' deployments within which a configuration must be in force.
const inForceTime = 2500 * time.Millisecond

// memoryStore is a store in memory. It keeps all history.
type memoryStore struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]platform.Object // By kind and name.
	events   []platform.Event
	changed  chan struct{}
	calls    atomic.Int64
}

func newMemoryStore() *memoryStore {
	return &memoryStore{revision: 1, objects: map[string]platform.Object{}, changed: make(chan struct{})}
}

func (s *memoryStore) put(kind, name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := platform.Object{Kind: kind, Name: name, Version: s.revision, Value: json.RawMessage(value)}
	s.objects[kind+"/"+name] = o
	s.addEventLocked(platform.Event{Revision: s.revision, Type: platform.EventPut, Object: o})
}

func (s *memoryStore) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.objects, kind+"/"+name)
	s.addEventLocked(platform.Event{Revision: s.revision, Type: platform.EventDelete, Object: platform.Object{Kind: kind, Name: name, Version: s.revision}})
}

func (s *memoryStore) addEventLocked(e platform.Event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// link is the way of one VM to the store.
type link struct {
	platform.Store
	store *memoryStore
	isCut atomic.Bool // Calls get no response.
}

func (l *link) await(ctx context.Context) error {
	l.store.calls.Add(1)
	if !l.isCut.Load() {
		return nil
	}
	return noResponse(ctx, callTimeout)
}

func noResponse(ctx context.Context, timeout time.Duration) error {
	select {
	case <-ctx.Done():
	case <-time.After(timeout):
	}
	return errors.Mark(errors.New("no response"), platform.ErrOutcomeUnknown)
}

func (l *link) List(ctx context.Context, kind, _, _ string, _ int) (platform.Page, error) {
	if err := l.await(ctx); err != nil {
		return platform.Page{}, err
	}
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	p := platform.Page{Revision: l.store.revision}
	for _, o := range l.store.objects {
		if o.Kind == kind {
			p.Items = append(p.Items, o)
		}
	}
	return p, nil
}

func (l *link) Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (uint64, []platform.Event, error) {
	if err := l.await(ctx); err != nil {
		return 0, nil, err
	}
	deadline := time.After(wait)
	for {
		l.store.mu.Lock()
		var events []platform.Event
		for _, e := range l.store.events {
			if e.Revision > since && e.Object.Kind == kind {
				events = append(events, e)
			}
		}
		revision, changed := l.store.revision, l.store.changed
		l.store.mu.Unlock()
		if l.isCut.Load() {
			return 0, nil, noResponse(ctx, wait+callTimeout)
		}
		if len(events) > 0 {
			return revision, events, nil
		}
		select {
		case <-deadline:
			return revision, nil, nil
		case <-ctx.Done():
			return 0, nil, errors.Mark(ctx.Err(), platform.ErrUnavailable)
		case <-changed:
		}
	}
}

// neighbour is a VM with a relay.
type neighbour struct {
	server   *Server
	link     *link
	isFrozen atomic.Bool // Its responses stop, and requests get none.
	streams  atomic.Int64
}

// network calls the relays by address in memory.
type network map[string]*neighbour

// pipeWriter is the response writer of a stream in memory.
type pipeWriter struct {
	out     *io.PipeWriter
	header  http.Header
	started chan int
	begin   sync.Once
	frozen  *atomic.Bool
}

func (w *pipeWriter) Header() http.Header { return w.header }

func (w *pipeWriter) WriteHeader(status int) { w.begin.Do(func() { w.started <- status }) }

func (w *pipeWriter) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	for w.frozen.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	return w.out.Write(b)
}

func (w *pipeWriter) FlushError() error { return nil }

func (w *pipeWriter) SetWriteDeadline(time.Time) error { return nil }

// RoundTrip implements http.RoundTripper.
func (n network) RoundTrip(r *http.Request) (*http.Response, error) {
	vm := n[r.URL.Host]
	if vm == nil {
		return nil, errors.New("connection refused")
	}
	if vm.isFrozen.Load() {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	vm.streams.Add(1)
	in, out := io.Pipe()
	context.AfterFunc(r.Context(), func() { _ = in.CloseWithError(r.Context().Err()) }) // Never fails.
	w := &pipeWriter{out: out, header: http.Header{}, started: make(chan int, 1), frozen: &vm.isFrozen}
	go func() {
		if r.URL.Path == PathReports {
			vm.server.HandleReports(w, r)
		} else {
			vm.server.ServeHTTP(w, r)
		}
		w.WriteHeader(http.StatusOK)
		_ = out.Close() // Never fails.
	}()
	select {
	case status := <-w.started:
		return &http.Response{StatusCode: status, Header: w.header, Body: in}, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// world is a store, some relays and some mirrors.
type world struct {
	t       *testing.T
	ctx     context.Context
	store   *memoryStore
	net     network
	mirrors []*consumer
}

// consumer is a mirror with the objects that it has passed on.
type consumer struct {
	mirror *Mirror
	link   *link

	mu       sync.Mutex
	objects  map[string]map[string]string // By kind and name.
	versions []string                     // Values of config/main, in the order in which they came into force.
	outages  int

	suspected []placement.Process
}

func (c *consumer) value(kind, name string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.objects[kind][name]
}

func (c *consumer) outageCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outages
}

func withWorld(t *testing.T, relays, mirrors int, fn func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(5 * time.Second) // Everything ends.
		}()
		w := &world{t: t, ctx: ctx, store: newMemoryStore(), net: network{}}
		for i := range relays {
			w.addRelay(fmt.Sprint("relay-", i))
		}
		w.store.put(kindConfig, "main", `"1"`)
		w.store.put(kindList, "engine", `"ready"`)
		for i := range mirrors {
			w.addMirror(fmt.Sprint("vm-", i))
		}
		time.Sleep(4 * time.Second)
		fn(w)
	})
}

func (w *world) addRelay(name string) {
	n := &neighbour{link: &link{store: w.store}}
	n.server = NewServer(platform.StoreFollower{Store: n.link}, []string{kindRelays, kindConfig, kindList}, slog.New(slog.DiscardHandler), metrics.NewSet())
	w.net[name] = n
	w.store.put(kindRelays, name, `{}`)
	go func() { _ = n.server.Run(w.ctx) }() // Ends with the context.
}

func (w *world) addMirror(vm string) *consumer {
	c := &consumer{link: &link{store: w.store}, objects: map[string]map[string]string{}}
	c.mirror = NewMirror(MirrorConfig{
		VM: vm, Store: platform.StoreFollower{Store: c.link}, Client: &http.Client{Transport: w.net}, Region: "r",
		RegionOf: func(string) string { return "r" }, CandidateKind: kindRelays,
		DecodeCandidates: func(objects map[string]platform.Object) (list []core.Candidate) {
			for name := range objects {
				list = append(list, core.Candidate{VM: name, Address: name})
			}
			return list
		},
		OnSuspicions: func(suspected []placement.Process) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.suspected = append(c.suspected, suspected...)
		},
		Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
	}, []string{kindConfig, kindList})
	go func() { _ = c.mirror.RunReports(w.ctx) }() // Ends with the context.
	for _, kind := range []string{kindConfig, kindList} {
		go c.mirror.Follow(w.ctx, kind, platform.FollowOptions{
			OnResponse: func(time.Time) {},
			OnError: func(time.Time) {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.outages++
			},
		}, func(objects map[string]platform.Object) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.objects[kind] = map[string]string{}
			for name, o := range objects {
				c.objects[kind][name] = string(o.Value)
			}
			if main, ok := objects["main"]; ok && kind == kindConfig {
				c.versions = append(c.versions, string(main.Value))
			}
		})
	}
	go func() { _ = c.mirror.Run(w.ctx) }() // Ends with the context.
	w.mirrors = append(w.mirrors, c)
	return c
}

// current returns the relay that the first mirror reads from.
func (w *world) current() *neighbour {
	w.mirrors[0].mirror.mu.Lock()
	defer w.mirrors[0].mirror.mu.Unlock()
	n := w.net[w.mirrors[0].mirror.source.VM]
	must.NotNil(w.t, n, must.Sprint("reads from ", w.mirrors[0].mirror.source))
	return n
}

// mustApply waits until a value is in force at all mirrors.
func (w *world) mustApply(kind, name, want string, within time.Duration) {
	w.t.Helper()
	deadline := time.Now().Add(within)
	for _, c := range w.mirrors {
		for c.value(kind, name) != want {
			if time.Now().After(deadline) {
				w.t.Fatalf("%s/%s is %s at %s, want %s", kind, name, c.value(kind, name), c.mirror.cfg.VM, want)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// mustNeverRegress checks that no mirror has passed on an older configuration after a newer one.
func (w *world) mustNeverRegress() {
	w.t.Helper()
	for _, c := range w.mirrors {
		c.mu.Lock()
		for i := 1; i < len(c.versions); i++ {
			test.LessEq(w.t, c.versions[i], c.versions[i-1])
		}
		c.mu.Unlock()
	}
}

// Guards against calls to the store that grow with the number of VMs. The pattern: hundreds of gateways that each watch the
// store, and entries of engines that change.
func TestCallsDoNotGrowWithTheFleet(t *testing.T) {
	calls := map[int]int64{}
	for _, mirrors := range []int{10, 100} {
		withWorld(t, 6, mirrors, func(w *world) {
			before := w.store.calls.Load()
			for i := range 30 {
				value := fmt.Sprintf(`"state %d"`, i)
				w.store.put(kindList, "engine", value)
				w.mustApply(kindList, "engine", value, 300*time.Millisecond)
				time.Sleep(time.Second)
			}
			calls[mirrors] = w.store.calls.Load() - before
			used := 0
			for _, n := range w.net {
				if n.streams.Load() > 0 {
					used++
				}
			}
			test.EqOp(t, 1, used, test.Sprint("all VMs of a region read from one relay"))
		})
	}
	test.LessEq(t, calls[10]*11/10, calls[100])
}

// Guards against a configuration that is in force too late, or an older one after a newer one, because the relay has failed.
func TestFailedRelayIsReplaced(t *testing.T) {
	faults := map[string]func(w *world, n *neighbour){
		"frozen":             func(_ *world, n *neighbour) { n.isFrozen.Store(true) },
		"cut from the store": func(_ *world, n *neighbour) { n.link.isCut.Store(true) },
		"gone": func(w *world, n *neighbour) {
			for name, other := range w.net {
				if other == n {
					delete(w.net, name)
				}
			}
			n.server.stopFeed()
			n.link.isCut.Store(true)
		},
	}
	for name, fail := range faults {
		for _, relays := range []int{1, 3} {
			t.Run(fmt.Sprint(name, " of ", relays), func(t *testing.T) {
				withWorld(t, relays, 5, func(w *world) {
					failed := w.current()
					fail(w, failed)
					w.store.put(kindConfig, "main", `"2"`)
					w.store.put(kindList, "engine", `"draining"`)
					w.mustApply(kindConfig, "main", `"2"`, inForceTime)
					w.mustApply(kindList, "engine", `"draining"`, inForceTime)
					w.store.put(kindConfig, "main", `"3"`)
					w.mustApply(kindConfig, "main", `"3"`, inForceTime)
					failed.isFrozen.Store(false)
					failed.link.isCut.Store(false)
					time.Sleep(2 * maxStreamDuration)
					w.store.remove(kindList, "engine")
					w.mustApply(kindList, "engine", "", inForceTime)
					w.mustNeverRegress()
				})
			})
		}
	}
}

// Guards against a relay that wakes with an old state and is believed.
func TestRelayThatIsBehindIsRejected(t *testing.T) {
	withWorld(t, 2, 1, func(w *world) {
		m := w.mirrors[0].mirror
		w.store.put(kindConfig, "main", `"2"`)
		w.mustApply(kindConfig, "main", `"2"`, time.Second)
		err := m.apply(message{Kind: kindConfig, Revision: 2, IsFull: true, Objects: []platform.Object{{Name: "main", Version: 2, Value: json.RawMessage(`"1"`)}}})
		test.ErrorIs(t, err, errBehind)
		test.ErrorIs(t, m.apply(message{Kind: kindConfig, Revision: 1, Deleted: []string{"main"}}), errBehind)
		test.EqOp(t, `"2"`, w.mirrors[0].value(kindConfig, "main"))
		test.NoError(t, m.apply(message{Kind: "another kind", Revision: 1}))
	})
}

// Guards against a VM that does not notice an outage of the store: it would drop the entries that lapsed during the outage at
// once. Also guards against calls that flood the store while it is away.
func TestOutageOfTheStoreIsPassedOn(t *testing.T) {
	withWorld(t, 3, 20, func(w *world) {
		setCut := func(isCut bool) {
			for _, n := range w.net {
				n.link.isCut.Store(isCut)
			}
			for _, c := range w.mirrors {
				c.link.isCut.Store(isCut)
			}
		}
		setCut(true)
		before := w.store.calls.Load()
		time.Sleep(10 * time.Second)
		test.Less(t, 20*3*10, w.store.calls.Load()-before, test.Sprint("below one call of each mirror and kind a second"))
		for _, c := range w.mirrors {
			test.Positive(t, c.outageCount())
			test.EqOp(t, `"ready"`, c.value(kindList, "engine"))
		}
		w.store.put(kindConfig, "main", `"2"`)
		setCut(false)
		w.mustApply(kindConfig, "main", `"2"`, 4*time.Second)
	})
}

// Guards against a VM that the store turns away and that does not learn changes from its neighbours.
func TestVMWithoutTheStoreReadsFromNeighbours(t *testing.T) {
	withWorld(t, 2, 3, func(w *world) {
		for _, c := range w.mirrors {
			c.link.isCut.Store(true)
		}
		w.store.put(kindConfig, "main", `"2"`)
		w.mustApply(kindConfig, "main", `"2"`, time.Second)
		for _, c := range w.mirrors {
			test.EqOp(t, 0, c.outageCount())
		}
	})
}

// Guards against a deployment without relays, or whose relays register late, that gets no configuration.
func TestStoreIsReadWithoutRelays(t *testing.T) {
	withWorld(t, 0, 3, func(w *world) {
		w.mustApply(kindConfig, "main", `"1"`, 0)
		w.store.put(kindConfig, "main", `"2"`)
		w.mustApply(kindConfig, "main", `"2"`, time.Second)
		w.addRelay("late")
		time.Sleep(2 * storeDuration)
		w.current()
		w.store.put(kindConfig, "main", `"3"`)
		w.mustApply(kindConfig, "main", `"3"`, time.Second)
	})
}

// Guards against an odd entry of another writer that ends the stream of all VMs.
func TestOddEntryDoesNotEndTheStream(t *testing.T) {
	withWorld(t, 2, 3, func(w *world) {
		w.store.put(kindList, "odd", strings.Repeat("[", 20_000)+strings.Repeat("]", 20_000))
		w.store.put(kindList, "text", "{no JSON")
		w.store.put(kindList, "engine", `"draining"`)
		w.mustApply(kindList, "engine", `"draining"`, time.Second)
		w.mustApply(kindList, "odd", "null", 0)
		for _, c := range w.mirrors {
			test.EqOp(t, 0, c.outageCount())
		}
	})
}

// Guards against an upstream that each of many VMs has to find unreachable by itself, and against the word of a single VM. The
// pattern: an engine dies under the streams of many gateways.
func TestUnreachableUpstreamIsToldToAll(t *testing.T) {
	withWorld(t, 3, 20, func(w *world) {
		p := placement.Process{ID: "engine", StartMillis: 7}
		suspectedBy := func() (n int) {
			for _, c := range w.mirrors {
				c.mu.Lock()
				if slices.Contains(c.suspected, p) {
					n++
				}
				c.mu.Unlock()
			}
			return n
		}
		for range 5 {
			w.mirrors[0].mirror.ReportUnreachable(p)
			time.Sleep(200 * time.Millisecond)
		}
		test.EqOp(t, 0, suspectedBy())
		for range 3 * maxReports {
			w.mirrors[1].mirror.ReportUnreachable(p) // Does not block.
		}
		time.Sleep(200 * time.Millisecond)
		test.EqOp(t, 20, suspectedBy())
	})
}

// Guards against a body of another writer that a relay believes.
func TestInvalidReportsAreRejected(t *testing.T) {
	s := NewServer(nil, nil, slog.New(slog.DiscardHandler), metrics.NewSet())
	for _, body := range []string{"", "[]", `{"vm":""}`, `{"vm":7}`, `{"vm":"` + strings.Repeat("x", maxReportBytes) + `"}`, `{"vm":"a","upstreams":[` + strings.Repeat(`{},`, maxReports) + `{}]}`} {
		w := httptest.NewRecorder()
		s.HandleReports(w, httptest.NewRequest(http.MethodPost, PathReports, strings.NewReader(body)))
		test.EqOp(t, http.StatusBadRequest, w.Code)
	}
}

// Guards against a status that is lost on the way, and against a VM that reads everything again after each change.
func TestChangesAndStatuses(t *testing.T) {
	f := newFeed([]string{kindList})
	f.setAvailable(kindList, true)
	objects := map[string]platform.Object{"a": {Name: "a", Version: 5, Value: json.RawMessage(`1`), Status: json.RawMessage(`{"state":"done"}`)}, "b": {Name: "b", Version: 6}}
	must.NoError(t, f.update(kindList, 9, objects))
	lines, position, _, ok := f.since(0)
	must.True(t, ok)
	m, err := decodeMessage(lines)
	must.NoError(t, err)
	test.True(t, m.IsFull)
	must.SliceLen(t, 2, m.Objects)
	for _, o := range m.Objects {
		if o.Name == "a" {
			test.EqOp(t, `{"state":"done"}`, string(o.Status))
		}
	}
	lines, next, _, _ := f.since(position)
	test.SliceEmpty(t, lines)
	test.EqOp(t, position, next)
	for i := range 2 * maxLoggedChanges {
		objects["b"] = platform.Object{Name: "b", Version: uint64(10 + i)}
		must.NoError(t, f.update(kindList, uint64(10+i), objects))
		if i == 2 {
			lines, _, _, _ = f.since(position)
			test.EqOp(t, 3, bytes.Count(lines, []byte("\n")))
			test.False(t, bytes.Contains(lines, []byte(`"full"`)))
		}
	}
	lines, _, _, _ = f.since(position)
	m, err = decodeMessage(lines)
	must.NoError(t, err)
	test.True(t, m.IsFull, test.Sprint("the changes are no longer kept"))
	f.setAvailable(kindList, false)
	_, _, _, ok = f.since(position)
	test.False(t, ok)
}
