package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jackdawbay.dev/core/placement"
	"jackdawbay.dev/daemon/platform"
)

// Limits and times of a server.
const (
	maxStreams        = 1000 // Default of the concurrent streams; further ones are rejected with status 503.
	maxReportBytes    = 64 << 10
	maxReports        = 64  // Upstreams in one request.
	maxLoggedChanges  = 512 // Changes that are kept for streams that lag behind. Others get all objects again.
	watchDelay        = 100 * time.Millisecond
	watchWait         = 700 * time.Millisecond // With the timeout of a call, the time until the loss of the store is noticed.
	firstListTimeout  = time.Second            // Max wait of a stream for the first objects.
	lingerTime        = 10 * time.Second       // Time for which the store is followed after the last stream has ended.
	writeTimeout      = 2 * time.Second        // A receiver that takes no data for this time is disconnected.
	lingerCheckPeriod = time.Second
	// snapshotLifetime is the lifetime of a snapshot that states since when the store is available. A receiver may get a time that is
	// too short by this.
	snapshotLifetime = 50 * time.Millisecond
)

// Server reads the objects of some kinds from the store while other VMs ask for them, and passes them on.
type Server struct {
	store platform.Follower
	kinds []string
	log   *slog.Logger

	mu        sync.Mutex
	isRunning bool
	streams   int
	limit     int // Concurrent streams at most.
	idleSince time.Time
	stop      context.CancelFunc // Stops following the store; nil while the server does not follow it.
	feed      *feed              // Nil while the server does not follow the store.
	suspected *placement.Suspicions

	rejected   *metrics.Counter
	bytesSent  *metrics.Counter
	suspicions *metrics.Counter
}

// NewServer returns a server that passes on the objects of the given kinds. Run must be called.
func NewServer(store platform.Follower, kinds []string, log *slog.Logger, set *metrics.Set) *Server {
	s := &Server{
		store: store, kinds: kinds, log: log, suspected: placement.NewSuspicions(), limit: maxStreams,
		rejected:   set.NewCounter("jackdawbay_relay_streams_rejected_total"),
		bytesSent:  set.NewCounter("jackdawbay_relay_sent_bytes_total"),
		suspicions: set.NewCounter("jackdawbay_relay_suspicions_total"),
	}
	set.NewGauge("jackdawbay_relay_streams", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(s.streams)
	})
	return s
}

// LimitStreams sets the number of concurrent streams. It must be called before the server handles requests.
func (s *Server) LimitStreams(n int) { s.limit = min(n, maxStreams) }

// Run stops following the store when no VM has asked for its objects for a while. It returns when the context ends.
func (s *Server) Run(ctx context.Context) error {
	tick := time.NewTicker(lingerCheckPeriod)
	defer tick.Stop()
	s.setRunning(true)
	defer func() {
		s.setRunning(false)
		s.stopFeed()
	}()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		s.mu.Lock()
		idle := s.feed != nil && s.streams == 0 && time.Since(s.idleSince) > lingerTime
		s.mu.Unlock()
		if idle {
			s.stopFeed()
			s.log.Info("relay stopped: no VM reads from it")
		}
	}
}

func (s *Server) setRunning(isRunning bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isRunning = isRunning
}

func (s *Server) stopFeed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.feed == nil {
		return
	}
	s.stop()
	for _, kind := range s.kinds {
		s.feed.setAvailable(kind, false) // Ends the streams that are left.
	}
	s.feed, s.stop = nil, nil
}

// open returns the feed for a new stream, or nil if there are too many streams or the server does not run. It starts to follow
// the store if necessary.
func (s *Server) open() *feed {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams >= s.limit || !s.isRunning {
		return nil
	}
	s.streams++
	if s.feed == nil {
		ctx, cancel := context.WithCancel(context.Background())
		s.feed, s.stop = newFeed(s.kinds), cancel
		s.log.Info("relay started", "kinds", len(s.kinds))
		for _, kind := range s.kinds {
			go s.follow(ctx, s.feed, kind)
		}
	}
	return s.feed
}

func (s *Server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams--
	s.idleSince = time.Now()
}

func (s *Server) follow(ctx context.Context, f *feed, kind string) {
	var revision uint64
	s.store.Follow(ctx, kind, platform.FollowOptions{
		WatchDelay: watchDelay, WatchWait: watchWait, Log: s.log,
		OnRevision: func(r uint64) { revision = r; f.setRevision(kind, r) },
		OnResponse: func(time.Time) { f.setAvailable(kind, true) },
		OnError:    func(time.Time) { f.setAvailable(kind, false) },
	}, func(objects map[string]platform.Object) {
		if err := f.update(kind, revision, objects); err != nil {
			s.log.Error("cannot encode objects for other VMs", "kind", kind, "revision", revision, "error", err)
		}
	})
}

// ServeHTTP implements http.Handler. It sends all objects and then each change.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := s.open()
	if f == nil {
		s.rejected.Inc()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.close()
	ctx, cancel := context.WithTimeout(r.Context(), firstListTimeout)
	ready := f.waitUntilReady(ctx)
	cancel()
	if !ready {
		s.rejected.Inc()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	out := http.NewResponseController(w)
	w.Header().Set("Content-Type", "application/x-ndjson")
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	var position uint64
	for {
		lines, next, changed, available := f.since(position)
		if !available {
			return // The receivers read from another relay.
		}
		if len(lines) == 0 && position > 0 {
			lines = []byte("{}\n")
		}
		position = next
		if err := out.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return
		}
		n, err := w.Write(lines)
		s.bytesSent.Add(n)
		if err != nil || out.Flush() != nil {
			return // The receiver has gone or does not read.
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-heartbeat.C:
		}
	}
}

// HandleReports takes the report of a VM about upstreams that it cannot reach, and tells all VMs which of them several VMs
// cannot reach.
func (s *Server) HandleReports(w http.ResponseWriter, r *http.Request) {
	var received reports
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxReportBytes)).Decode(&received)
	if err != nil || received.VM == "" || len(received.Upstreams) > maxReports {
		s.rejected.Inc()
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	now := time.Now()
	var suspected []placement.Process
	s.mu.Lock()
	f := s.feed
	for _, p := range received.Upstreams {
		if s.suspected.Report(now, received.VM, p) {
			suspected = append(suspected, p)
		}
	}
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
	if len(suspected) == 0 || f == nil {
		return
	}
	s.suspicions.Add(len(suspected))
	s.log.Info("upstreams are suspected: several VMs cannot reach them", "upstreams", suspected, "reporter", received.VM)
	if err := f.publish(message{Kind: kindSuspicions, Suspected: suspected}); err != nil {
		s.log.Error("cannot encode suspicions for other VMs", "error", err)
	}
}

// feed holds the objects of all kinds and their recent changes.
type feed struct {
	mu       sync.Mutex
	kinds    map[string]*kindState
	all      joinedSnapshots
	changes  []change // Oldest first, with consecutive positions.
	position uint64   // Position of the last change.
	changed  chan struct{}
}

type kindState struct {
	objects        map[string]platform.Object
	revision       uint64
	isListed       bool
	isAvailable    bool
	availableSince time.Time
	snapshot       []byte    // Encoded message with all objects; nil if it must be encoded again.
	snapshotUntil  time.Time // Time until which the snapshot is valid; zero for no limit.
}

type change struct {
	position uint64
	line     []byte
}

func newFeed(kinds []string) *feed {
	f := &feed{kinds: map[string]*kindState{}, changed: make(chan struct{})}
	for _, kind := range kinds {
		f.kinds[kind] = &kindState{objects: map[string]platform.Object{}}
	}
	return f
}

// wakeLocked wakes the streams. The caller holds the lock.
func (f *feed) wakeLocked() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *feed) setAvailable(kind string, available bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[kind]
	if k.isAvailable == available {
		return
	}
	if k.isAvailable = available; available {
		k.availableSince, k.snapshot = time.Now(), nil
	}
	f.wakeLocked()
}

// setRevision records the store revision up to which the objects of a kind are current.
func (f *feed) setRevision(kind string, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if k := f.kinds[kind]; k.revision != revision {
		k.revision, k.snapshot = revision, nil
	}
}

// update replaces the objects of a kind and records the difference as a change. The revision of a change is the highest
// version of its objects. A deletion has no version; it is included in the revision up to which the objects are current.
func (f *feed) update(kind string, revision uint64, objects map[string]platform.Object) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.kinds[kind]
	m := message{Kind: kind}
	for name, o := range objects {
		if previous, ok := k.objects[name]; !ok || previous.Version != o.Version {
			m.Objects = append(m.Objects, o)
			m.Revision = max(m.Revision, o.Version)
			k.objects[name] = o
		}
	}
	for name := range k.objects {
		if _, ok := objects[name]; !ok {
			m.Deleted = append(m.Deleted, name)
			m.Revision = revision
			delete(k.objects, name)
		}
	}
	k.isListed, k.revision, k.snapshot = true, revision, nil
	defer f.wakeLocked()
	if len(m.Objects) == 0 && len(m.Deleted) == 0 {
		return nil
	}
	return f.addChangeLocked(m)
}

// publish sends a message to all streams. Streams that begin later do not get it.
func (f *feed) publish(m message) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.wakeLocked()
	return f.addChangeLocked(m)
}

// addChangeLocked records a message for all streams. The caller holds the lock.
func (f *feed) addChangeLocked(m message) error {
	line, err := m.encode()
	if err != nil {
		return err
	}
	f.position++
	f.changes = append(f.changes, change{f.position, line})
	if len(f.changes) > maxLoggedChanges {
		f.changes = append([]change{}, f.changes[len(f.changes)-maxLoggedChanges/2:]...)
	}
	return nil
}

// isReadyLocked reports whether the objects of all kinds are known and current. The caller holds the lock.
func (f *feed) isReadyLocked() bool {
	for _, k := range f.kinds {
		if !k.isListed || !k.isAvailable {
			return false
		}
	}
	return true
}

// waitUntilReady waits until the objects of all kinds are known and current. It reports false if the context ends first.
func (f *feed) waitUntilReady(ctx context.Context) bool {
	for {
		f.mu.Lock()
		ready, changed := f.isReadyLocked(), f.changed
		f.mu.Unlock()
		if ready {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// since returns the encoded changes after a position, or all objects at position zero and if the changes are no longer kept.
// The channel is closed at the next change. It reports false for available if the store is not.
func (f *feed) since(position uint64) (lines []byte, next uint64, changed <-chan struct{}, available bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isReadyLocked() {
		return nil, position, f.changed, false
	}
	next = f.position + 1 // One above the last change, so that a stream that has all objects is above zero.
	if position == next {
		return nil, next, f.changed, true
	}
	var out bytes.Buffer
	if position > 0 && len(f.changes) > 0 && f.changes[0].position <= position {
		for _, c := range f.changes {
			if c.position >= position {
				out.Write(c.line)
			}
		}
		return out.Bytes(), next, f.changed, true
	}
	var snapshots [][]byte
	for _, kind := range slices.Sorted(maps.Keys(f.kinds)) {
		line, err := f.kinds[kind].encodeSnapshot(kind)
		if err != nil {
			return nil, position, f.changed, false // Cannot happen: all values are valid JSON.
		}
		snapshots = append(snapshots, line)
	}
	return f.all.join(snapshots), next, f.changed, true
}

// joinedSnapshots are the snapshots of all kinds in one piece, which streams that begin at the same time share.
type joinedSnapshots struct {
	parts  [][]byte
	joined []byte
}

func (j *joinedSnapshots) join(snapshots [][]byte) []byte {
	isSame := func(a, b []byte) bool { return len(a) == len(b) && &a[0] == &b[0] }
	if !slices.EqualFunc(j.parts, snapshots, isSame) {
		j.parts, j.joined = snapshots, bytes.Join(snapshots, nil)
	}
	return j.joined
}

// encodeSnapshot returns a message with all objects. It is encoded once for the streams that begin at the same time.
func (k *kindState) encodeSnapshot(kind string) ([]byte, error) {
	now := time.Now()
	if k.snapshot != nil && (k.snapshotUntil.IsZero() || now.Before(k.snapshotUntil)) {
		return k.snapshot, nil
	}
	m := message{Kind: kind, Revision: k.revision, IsFull: true}
	k.snapshotUntil = time.Time{}
	if availableFor := now.Sub(k.availableSince); availableFor < reregistrationTime {
		m.AvailableMS = max(availableFor.Milliseconds(), 1)
		k.snapshotUntil = now.Add(snapshotLifetime)
	}
	for _, o := range k.objects {
		m.Objects = append(m.Objects, o)
	}
	line, err := m.encode()
	if err == nil {
		k.snapshot = line
	}
	return line, err
}
