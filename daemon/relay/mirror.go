package relay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"jackdawbay.dev/core/placement"
	core "jackdawbay.dev/core/relay"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/daemon/platform"
)

// Times of a mirror.
const (
	// startWait is the time for which a VM waits for the first relay to register. VMs that start together register within it.
	startWait = 2 * time.Second
	// settleTime is the time after the first registration for which others are awaited, so that all VMs order the same relays.
	settleTime = 300 * time.Millisecond
	// storeDuration is the time for which the store itself is read before the relays are tried again.
	storeDuration = 5 * time.Second
	// minStreamDuration and maxStreamDuration bound the time after which the source is selected again, so that VMs return to
	// the first relay of their region after a fault. The durations differ by VM.
	minStreamDuration = 20 * time.Second
	maxStreamDuration = 40 * time.Second
	minRetryWait      = 20 * time.Millisecond
	// reportDelay is the time for which further reports are awaited before they are sent as one.
	reportDelay   = 30 * time.Millisecond
	reportTimeout = 400 * time.Millisecond // Several times a round trip between regions.
)

// errBehind means that a relay is at an earlier state than the mirror.
var errBehind = errors.New("relay is at an earlier revision")

// errUnavailable means that a relay does not have the store.
var errUnavailable = errors.New("relay does not have the store")

// MirrorConfig configures a Mirror.
type MirrorConfig struct {
	VM            string
	Store         platform.Follower
	Client        *http.Client
	Region        string
	RegionOf      func(dataCentre string) string
	CandidateKind string // Kind of the objects that name the relays.
	// DecodeCandidates returns the relays that are registered in the store.
	DecodeCandidates func(objects map[string]platform.Object) []core.Candidate
	OnSuspicions     func(suspected []placement.Process) // Called with upstreams that several VMs cannot reach; may be nil.
	Log              *slog.Logger
	Metrics          *metrics.Set
}

// Mirror is a copy of the objects of some kinds. It reads them from a relay, and from the store if no relay has them. Objects
// are never replaced by those of an earlier store revision.
type Mirror struct {
	cfg      MirrorConfig
	selector *core.Selector // Used only by Run.

	mu            sync.Mutex
	states        map[string]*mirrorState // By kind.
	candidates    []core.Candidate
	candidatesSet chan struct{} // Closed when the first candidates are known.
	source        core.Source
	lastMessage   time.Time
	unreachable   chan placement.Process // Upstreams to report.

	sourceChanges *metrics.Counter
	bytesReceived *metrics.Counter
	rejected      *metrics.Counter
}

// mirrorState is the copy of one kind.
type mirrorState struct {
	objects  map[string]platform.Object
	revision uint64 // Zero before the objects are known.
	options  platform.FollowOptions
	handler  platform.Handler // Nil for the kind of the candidates, unless a consumer follows it as well.
}

// NewMirror returns a mirror. The kinds are those that consumers will follow.
func NewMirror(cfg MirrorConfig, kinds []string) *Mirror {
	m := &Mirror{
		cfg: cfg, selector: core.NewSelector(), states: map[string]*mirrorState{}, candidatesSet: make(chan struct{}),
		unreachable:   make(chan placement.Process, maxReports),
		sourceChanges: cfg.Metrics.NewCounter("jackdawbay_mirror_source_changes_total"),
		bytesReceived: cfg.Metrics.NewCounter("jackdawbay_mirror_received_bytes_total"),
		rejected:      cfg.Metrics.NewCounter("jackdawbay_mirror_rejected_messages_total"),
	}
	for _, kind := range append([]string{cfg.CandidateKind}, kinds...) {
		m.states[kind] = &mirrorState{objects: map[string]platform.Object{}}
	}
	cfg.Metrics.NewGauge("jackdawbay_mirror_message_age_seconds", func() float64 {
		m.mu.Lock()
		defer m.mu.Unlock()
		return time.Since(m.lastMessage).Seconds()
	})
	return m
}

// Follow implements platform.Follower. A kind has one consumer. The handler must not call the mirror.
func (m *Mirror) Follow(ctx context.Context, kind string, o platform.FollowOptions, h platform.Handler) {
	m.mu.Lock()
	state := m.states[kind]
	state.options, state.handler = o, h
	if state.revision > 0 {
		h(state.objects)
	}
	m.mu.Unlock()
	<-ctx.Done()
	m.mu.Lock()
	state.handler = nil
	m.mu.Unlock()
}

// Run reads the objects until the context ends.
func (m *Mirror) Run(ctx context.Context) error {
	m.awaitCandidates(ctx)
	for ctx.Err() == nil {
		m.mu.Lock()
		m.selector.SetCandidates(m.candidates)
		m.mu.Unlock()
		source, wait := m.selector.Next(time.Now())
		if wait > 0 {
			m.reportUnavailable()
			clock.Sleep(ctx, max(wait, minRetryWait))
			continue
		}
		m.setSource(source)
		err := m.read(ctx, source)
		if err == nil || ctx.Err() != nil {
			continue
		}
		m.selector.RecordFailure(time.Now(), source)
		if errors.Is(err, errUnavailable) || !source.IsRelay {
			m.reportUnavailable()
		}
		m.cfg.Log.Warn("source of the store's objects failed", "source", m.sourceName(source), "address", source.Address, "error", err)
	}
	return ctx.Err()
}

// awaitCandidates follows the registered relays in the store until there is one, for startWait at most.
func (m *Mirror) awaitCandidates(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	go m.followStore(ctx, m.cfg.CandidateKind, func() {})
	select {
	case <-ctx.Done():
	case <-m.candidatesSet:
		clock.Sleep(ctx, settleTime)
	}
}

func (m *Mirror) sourceName(source core.Source) string {
	if !source.IsRelay {
		return "store"
	}
	return source.VM
}

func (m *Mirror) setSource(source core.Source) {
	name := m.sourceName(source)
	m.mu.Lock()
	changed, candidates := m.source != source || m.lastMessage.IsZero(), len(m.candidates)
	m.source = source
	m.mu.Unlock()
	if changed {
		m.sourceChanges.Inc()
		m.cfg.Log.Info("source of the store's objects", "source", name, "address", source.Address, "candidates", candidates)
	}
}

// streamDuration returns the time after which this VM selects its source again.
func (m *Mirror) streamDuration() time.Duration {
	sum := time.Duration(0)
	for _, b := range []byte(m.cfg.VM) {
		sum = sum*31 + time.Duration(b)
	}
	return minStreamDuration + (sum%1000+1000)%1000*(maxStreamDuration-minStreamDuration)/1000
}

// read reads from a source until its time has passed, which is not an error, or until it fails.
func (m *Mirror) read(ctx context.Context, source core.Source) error {
	if source.IsRelay {
		return m.readRelay(ctx, source)
	}
	return m.readStore(ctx)
}

// readStore follows all kinds in the store. It fails if a call fails.
func (m *Mirror) readStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeDuration)
	defer cancel()
	failed := false
	var mu sync.Mutex
	var wg sync.WaitGroup
	for kind := range m.states {
		wg.Add(1)
		go func() {
			defer wg.Done()
			m.followStore(ctx, kind, func() {
				mu.Lock()
				failed = true
				mu.Unlock()
				cancel()
			})
		}()
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	if failed {
		return errors.New("store does not respond")
	}
	m.selector.RecordSuccess(core.Source{})
	return nil
}

func (m *Mirror) followStore(ctx context.Context, kind string, onError func()) {
	var revision uint64
	m.cfg.Store.Follow(ctx, kind, platform.FollowOptions{
		WatchDelay: watchDelay, Log: m.cfg.Log,
		OnRevision: func(r uint64) { revision = r },
		OnResponse: m.recordResponse,
		OnError:    func(time.Time) { onError() },
	}, func(objects map[string]platform.Object) {
		full := message{Kind: kind, Revision: revision, IsFull: true}
		for _, o := range objects {
			full.Objects = append(full.Objects, o)
		}
		if err := m.apply(full); err != nil {
			m.cfg.Log.Warn("objects of the store were not applied", "kind", kind, "revision", revision, "error", err)
		}
	})
}

// readRelay reads the stream of a relay. It fails if the relay is silent, has no store, or is behind.
func (m *Mirror) readRelay(ctx context.Context, source core.Source) error {
	streamCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(silenceTimeout, func() { cancel(errors.Newf("no message for %s", silenceTimeout)) })
	defer silence.Stop()
	req, err := http.NewRequestWithContext(streamCtx, http.MethodGet, "http://"+source.Address+PathStream, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	resp, err := m.cfg.Client.Do(req)
	if err != nil {
		return errors.CombineErrors(context.Cause(streamCtx), err)
	}
	defer func() { _ = resp.Body.Close() }() // The stream has no end to wait for.
	if resp.StatusCode != http.StatusOK {
		return errors.Mark(errors.Newf("status %d", resp.StatusCode), errUnavailable)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxMessageBytes)
	end := time.Now().Add(m.streamDuration())
	for lines.Scan() {
		silence.Reset(silenceTimeout)
		m.bytesReceived.Add(len(lines.Bytes()) + 1)
		received, err := decodeMessage(lines.Bytes())
		if err == nil {
			err = m.apply(received)
		}
		if err != nil {
			m.rejected.Inc()
			return err
		}
		m.selector.RecordSuccess(source)
		m.recordResponse(time.Now())
		if time.Now().After(end) {
			return nil
		}
	}
	if cause := context.Cause(streamCtx); cause != nil {
		return cause
	}
	if err := lines.Err(); err != nil {
		return errors.Wrap(err, "read stream")
	}
	return errUnavailable // The relay has ended the stream.
}

// ReportUnreachable reports to the relay that this VM cannot reach the process of an upstream. It does not block. A report is
// dropped if many are waiting.
func (m *Mirror) ReportUnreachable(p placement.Process) {
	select {
	case m.unreachable <- p:
	default:
	}
}

// RunReports sends the reports of this VM until the context ends.
func (m *Mirror) RunReports(ctx context.Context) error {
	for {
		body := reports{VM: m.cfg.VM}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case p := <-m.unreachable:
			body.Upstreams = append(body.Upstreams, p)
		}
		clock.Sleep(ctx, reportDelay)
		for len(body.Upstreams) < maxReports {
			select {
			case p := <-m.unreachable:
				if !slices.Contains(body.Upstreams, p) {
					body.Upstreams = append(body.Upstreams, p)
				}
				continue
			default:
			}
			break
		}
		m.mu.Lock()
		source := m.source
		m.mu.Unlock()
		if !source.IsRelay {
			continue // The store takes no reports.
		}
		if err := m.sendReports(ctx, source, body); err != nil {
			m.cfg.Log.Warn("cannot report unreachable upstreams", "relay", source.VM, "upstreams", len(body.Upstreams), "error", err)
		}
	}
}

func (m *Mirror) sendReports(ctx context.Context, source core.Source, body reports) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	raw, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode reports")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+source.Address+PathReports, bytes.NewReader(raw))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	resp, err := m.cfg.Client.Do(req)
	if err != nil {
		return err
	}
	if err := resp.Body.Close(); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusNoContent {
		return errors.Newf("status %d", resp.StatusCode)
	}
	return nil
}

// recordResponse tells the consumers that the store or a relay that has it responded.
func (m *Mirror) recordResponse(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastMessage = at
	for _, state := range m.states {
		if state.handler != nil && state.revision > 0 && state.options.OnResponse != nil {
			state.options.OnResponse(at)
		}
	}
}

// reportUnavailable tells the consumers that the store is unavailable.
func (m *Mirror) reportUnavailable() {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, state := range m.states {
		if state.handler != nil && state.options.OnError != nil {
			state.options.OnError(now)
		}
	}
}

// apply applies a message to the copy and passes the objects to their consumer. It fails if the message is of an earlier
// revision than the copy.
func (m *Mirror) apply(received message) error {
	switch received.Kind {
	case "": // A heartbeat.
		return nil
	case kindSuspicions:
		if m.cfg.OnSuspicions != nil {
			m.cfg.OnSuspicions(received.Suspected)
		}
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	state, ok := m.states[received.Kind]
	if !ok {
		return nil // A kind that this VM does not need.
	}
	if received.Revision < state.revision {
		return errors.Wrapf(errBehind, "kind %s, revision %d, have %d", received.Kind, received.Revision, state.revision)
	}
	if received.IsFull {
		if received.AvailableMS > 0 && state.revision > 0 {
			state.reportOutage(time.Now()) // This VM may not have noticed it.
		}
		clear(state.objects)
	}
	state.revision = received.Revision
	for _, o := range received.Objects {
		if o.Name != "" {
			state.objects[o.Name] = o
		}
	}
	for _, name := range received.Deleted {
		delete(state.objects, name)
	}
	if received.Kind == m.cfg.CandidateKind {
		m.setCandidatesLocked(m.cfg.DecodeCandidates(state.objects))
	}
	if state.handler != nil {
		state.handler(state.objects)
	}
	return nil
}

// reportOutage tells the consumer that the store was away and has returned.
func (s *mirrorState) reportOutage(now time.Time) {
	if s.handler != nil && s.options.OnError != nil && s.options.OnResponse != nil {
		s.options.OnError(now)
		s.options.OnResponse(now)
	}
}

func (m *Mirror) setCandidatesLocked(candidates []core.Candidate) {
	isFirst := len(m.candidates) == 0 && len(candidates) > 0
	m.candidates = core.Order(slices.Clip(candidates), m.cfg.Region, m.cfg.RegionOf)
	if isFirst {
		select {
		case <-m.candidatesSet:
		default:
			close(m.candidatesSet)
		}
	}
}
