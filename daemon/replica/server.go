package replica

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"jackdawbay.dev/core/replica"
	"jackdawbay.dev/daemon/logging"
)

// Bounds of the replica's work.
const (
	writeRing       = 1024                   // Batches that wait for the disk; a full ring answers 503.
	maxGroup        = 256                    // Batches that share one sync.
	maxRequestBytes = 16 << 20               // Largest body of a request.
	expireInterval  = 5 * time.Second        // Time between two sweeps of what is past its retention.
	maxTurnsPerCopy = 200                    // Turns in one answer to a copy request.
	slowWrite       = 150 * time.Millisecond // A write that takes longer is logged; callers notice one of a few times as long.
)

// Server is one replica.
type Server struct {
	state  *state
	log    *slog.Logger
	writes chan *writeJob

	adopting sync.Mutex // Held while a view is made durable.

	set         *metrics.Set
	batches     *metrics.Counter
	writeErrors *metrics.Counter
	syncSeconds *metrics.Histogram
}

type writeJob struct {
	ctx     context.Context // Ends when nobody waits for the result any more.
	ops     []Op
	raw     []record      // Records that were copied from another replica.
	view    *replica.View // Set for the adoption of a view.
	results []Result
	done    chan struct{}
}

// New opens the log in a file system and builds the index.
func New(fs FileSystem, log *slog.Logger, set *metrics.Set) (*Server, error) {
	st, err := openState(fs)
	if err != nil {
		return nil, err
	}
	s := &Server{
		state:       st,
		log:         log,
		writes:      make(chan *writeJob, writeRing),
		batches:     set.NewCounter("jackdawbay_replica_batches_total"),
		set:         set,
		writeErrors: set.NewCounter("jackdawbay_replica_write_errors_total"),
		syncSeconds: set.NewHistogram("jackdawbay_replica_sync_seconds"),
	}
	set.NewGauge(`jackdawbay_view_version`, func() float64 { return float64(s.View().Version) })
	log.Info("replica opened", "disk", st.log.Identity, "turns", len(st.turns), "programs", len(st.programs), "view", st.view.Version)
	return s, nil
}

// Disk returns the identity of the data directory.
func (s *Server) Disk() string { return s.state.log.Identity }

// View returns the newest view that this replica has adopted.
func (s *Server) View() replica.View { return s.state.currentView() }

// Handler serves the replica listener.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(PathBatch, s.handleBatch).Methods(http.MethodPost)
	r.HandleFunc(PathInventory, s.handleInventory).Methods(http.MethodPost)
	r.HandleFunc(PathTurns, s.handleTurns).Methods(http.MethodPost)
	r.HandleFunc(PathProbe, s.handleProbe).Methods(http.MethodGet)
	return r
}

// RunWriter makes batches durable, many with one sync.
func (s *Server) RunWriter(ctx context.Context) error {
	sweep := time.NewTicker(expireInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-sweep.C:
			s.sweep(now)
		case job := <-s.writes:
			group := []*writeJob{job}
		fill:
			for len(group) < maxGroup {
				select {
				case j := <-s.writes:
					group = append(group, j)
				default:
					break fill
				}
			}
			s.writeGroup(group)
		}
	}
}

func (s *Server) sweep(now time.Time) {
	rewrite, drop := s.state.expire(now)
	if !drop {
		return
	}
	if err := s.state.append(recordsOf(rewrite)); err != nil {
		s.writeErrors.Inc()
		s.log.Error("cannot rewrite ledgers before a segment is removed", "error", err)
		return
	}
	if err := s.state.log.RemoveOldestSegment(); err != nil {
		s.log.Error("cannot remove a segment", "error", err)
	}
}

func (s *Server) writeGroup(group []*writeJob) {
	now := time.Now()
	var records []record
	group = slices.DeleteFunc(group, func(job *writeJob) bool { return job.ctx.Err() != nil })
	if len(group) == 0 {
		return
	}
	for _, job := range group {
		if job.view != nil {
			records = append(records, record{entry: entry{At: now, View: job.view}})
		}
		records = append(records, job.raw...)
		job.results = make([]Result, len(job.ops))
		for i, op := range job.ops {
			records = append(records, recordsOf(s.prepare(now, op, &job.results[i]))...)
		}
	}
	start := time.Now()
	err := s.state.append(records)
	s.syncSeconds.UpdateDuration(start)
	if took := time.Since(start); took > slowWrite {
		s.log.Warn("disk is slow", "took", took, "records", len(records), "batches", len(group), "waiting", len(s.writes))
	}
	for _, job := range group {
		if err != nil {
			for i, op := range job.ops {
				if op.Kind != OpReadChain {
					job.results[i] = Result{Failed: true}
				}
			}
			job.view, job.raw = nil, nil
		}
		close(job.done)
	}
	if err != nil {
		s.writeErrors.Inc()
		s.log.Error("disk refused a write", "error", err, "records", len(records))
	}
}

// prepare returns the entries of an operation and fills its result, which holds only after the entries are durable.
func (s *Server) prepare(now time.Time, op Op, result *Result) []entry {
	retain := time.Duration(op.RetainMS) * time.Millisecond
	switch op.Kind {
	case OpCharge, OpStore:
		var out []entry
		if op.Program != "" {
			s.state.noteCharge(op.Program, op.Charge)
			if op.Kind == OpCharge {
				result.Charges = s.state.charges(op.Program)
			}
			out = append(out, entry{At: now, Retain: retain, Ledger: &ledgerEntry{
				Program: op.Program, Charges: []replica.Charge{op.Charge},
			}})
		}
		if op.Turn != nil {
			out = append(out, entry{At: now, Retain: retain, Turn: op.Turn})
		}
		return out
	default:
		result.Failed = true
		return nil
	}
}

// adopt makes a newer view durable. It reports whether the sender's epoch is in force here.
func (s *Server) adopt(ctx context.Context, v replica.View) bool {
	s.adopting.Lock()
	defer s.adopting.Unlock()
	if current := s.state.currentView(); current.Version >= v.Version {
		return current.Epoch == v.Epoch
	}
	job := &writeJob{view: &v, done: make(chan struct{})}
	if !s.submit(ctx, job) || job.view == nil {
		return false
	}
	s.log.Info("view adopted", "view", v.Version, "epoch", v.Epoch, "sets", len(v.Sets), "members", len(v.CurrentSet()))
	return s.state.currentView().Epoch == v.Epoch
}

func (s *Server) submit(ctx context.Context, job *writeJob) bool {
	job.ctx = ctx
	select {
	case s.writes <- job:
	default:
		return false
	}
	select {
	case <-job.done:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) handleBatch(w http.ResponseWriter, r *http.Request) {
	s.batches.Inc()
	raw, ok := s.read(w, r)
	if !ok {
		return
	}
	b, err := DecodeBatch(raw)
	if err != nil {
		s.refuse(w, r, http.StatusBadRequest, reasonDecode, "error", err)
		return
	}
	if b.Disk != s.Disk() {
		s.refuse(w, r, http.StatusMisdirectedRequest, reasonOtherDisk, "wanted", b.Disk)
		return
	}
	if b.View.Version > s.state.currentView().Version {
		s.adopt(r.Context(), b.View)
	}
	if v := s.state.currentView(); v.Epoch != b.Epoch {
		s.countRefused(reasonOtherView)
		s.replyBatch(w, BatchResponse{View: &v})
		return
	}
	results, ok := s.perform(r.Context(), b.Ops)
	if !ok {
		reason := reasonFull
		if r.Context().Err() != nil {
			reason = reasonSenderGone
		}
		s.refuse(w, r, http.StatusServiceUnavailable, reason, "waiting", len(s.writes))
		return
	}
	s.replyBatch(w, BatchResponse{Results: results})
}

func (s *Server) replyBatch(w http.ResponseWriter, a BatchResponse) {
	raw, err := a.Encode()
	if err != nil {
		s.log.Error("answer cannot be encoded", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(raw) // The sender repeats what it gets no answer to.
}

// read returns the whole body of a request.
func (s *Server) read(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	var body bytes.Buffer
	if n := r.ContentLength; n > 0 && n <= maxRequestBytes {
		body.Grow(int(n) + bytes.MinRead) // Without the spare part, the buffer grows once more to find the end.
	}
	if _, err := body.ReadFrom(http.MaxBytesReader(w, r.Body, maxRequestBytes)); err != nil {
		s.refuse(w, r, http.StatusBadRequest, reasonNotWhole, "error", err)
		return nil, false
	}
	return body.Bytes(), true
}

// perform runs reads at once and writes through the ring. The order of a batch does not matter to its sender.
func (s *Server) perform(ctx context.Context, ops []Op) ([]Result, bool) {
	results := make([]Result, len(ops))
	job := &writeJob{done: make(chan struct{})}
	var places []int
	for i, op := range ops {
		if op.Kind != OpReadChain {
			job.ops = append(job.ops, op)
			places = append(places, i)
			continue
		}
		turns, missing, err := s.state.chain(op.From)
		if err != nil {
			s.log.Error("cannot read a chain", "turn", op.From, "error", err)
			results[i] = Result{Failed: true}
			continue
		}
		results[i] = Result{Turns: turns, Missing: missing}
	}
	if len(job.ops) > 0 {
		if !s.submit(ctx, job) {
			return nil, false
		}
		for k, i := range places {
			results[i] = job.results[k]
		}
	}
	return results, true
}

// handleProbe answers for one disk: a VM whose disk was lost is another replica at the same address.
func (s *Server) handleProbe(w http.ResponseWriter, r *http.Request) {
	if disk := r.URL.Query().Get("disk"); disk != "" && disk != s.Disk() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleInventory(w http.ResponseWriter, r *http.Request) {
	var req CopyRequest
	if !s.decode(w, r, &req) || !s.admitCopy(w, r, req) {
		return
	}
	inv := s.state.inventory()
	replyCompressed(w, CopyResponse{Inventory: &inv})
}

func (s *Server) handleTurns(w http.ResponseWriter, r *http.Request) {
	var req CopyRequest
	if !s.decode(w, r, &req) || !s.admitCopy(w, r, req) {
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	out := bufio.NewWriter(w)
	for _, id := range req.TurnIDs[:min(len(req.TurnIDs), maxTurnsPerCopy)] {
		payload, ok, err := s.state.payload(id)
		if err != nil {
			s.log.Error("cannot read a turn for a copy", "turn", id, "error", err)
			panic(http.ErrAbortHandler) // The answer must not look whole.
		}
		if !ok {
			continue
		}
		var length [lengthBytes]byte
		binary.LittleEndian.PutUint32(length[:], uint32(len(payload)))
		_, _ = out.Write(length[:]) // An error shows in the flush.
		_, _ = out.Write(payload)   // As above.
	}
	if err := out.Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// lengthBytes is the size of the length before a copied payload.
const lengthBytes = 4

// readPayloads reads the copied turns of one answer, maxTurnsPerCopy at most.
func readPayloads(r io.Reader) ([]record, error) {
	in := bufio.NewReader(r)
	var records []record
	for {
		var length [lengthBytes]byte
		if _, err := io.ReadFull(in, length[:]); errors.Is(err, io.EOF) {
			return records, nil
		} else if err != nil {
			return nil, errors.Wrap(err, "read the length of a turn")
		}
		if len(records) >= maxTurnsPerCopy {
			return nil, errors.Newf("an answer has more than %d turns", maxTurnsPerCopy)
		}
		n := binary.LittleEndian.Uint32(length[:])
		if n > maxFrameBytes {
			return nil, errors.Newf("a turn of %d bytes is too large", n)
		}
		payload := make([]byte, n)
		if _, err := io.ReadFull(in, payload); err != nil {
			return nil, errors.Wrap(err, "read a turn")
		}
		e, err := decodeEntry(payload)
		if err != nil {
			return nil, err
		}
		records = append(records, record{entry: e, payload: payload})
	}
}

// storeCopied makes copied records durable.
func (s *Server) storeCopied(ctx context.Context, records []record) error {
	job := &writeJob{raw: records, done: make(chan struct{})}
	if !s.submit(ctx, job) {
		return errors.New("too many writes wait")
	}
	if job.raw == nil {
		return errors.New("disk refused copied turns")
	}
	return nil
}

// admitCopy adopts the view of the copying replica first, so that no write of an earlier view is completed through this
// replica after it has been read.
func (s *Server) admitCopy(w http.ResponseWriter, r *http.Request, req CopyRequest) bool {
	if req.Disk != s.Disk() {
		s.refuse(w, r, http.StatusMisdirectedRequest, reasonOtherDisk, "wanted", req.Disk)
		return false
	}
	if !s.adopt(r.Context(), req.View) {
		v := s.state.currentView()
		s.countRefused(reasonOtherView)
		reply(w, CopyResponse{View: &v})
		return false
	}
	return true
}

// Reasons to refuse a request.
const (
	reasonDecode     = "body cannot be decoded"
	reasonNotWhole   = "body is not whole"
	reasonOtherDisk  = "other disk"
	reasonOtherView  = "other view"
	reasonFull       = "too many writes wait"
	reasonSenderGone = "sender gave up" // Mostly because a write to the disk takes longer than it waits.
)

// refuse counts a refusal by its reason. It logs one line a caller, reason and second.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, status int, reason string, args ...any) {
	s.countRefused(reason)
	caller, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		caller = r.RemoteAddr
	}
	s.log.Warn("request refused", append([]any{"reason", reason, logging.LimitPerSource("caller", caller, reason)}, args...)...)
	w.WriteHeader(status)
}

func (s *Server) countRefused(reason string) {
	s.set.GetOrCreateCounter(`jackdawbay_replica_refused_total{reason="` + strings.ReplaceAll(reason, " ", "_") + `"}`).Inc()
}

func (s *Server) decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(into); err != nil {
		s.refuse(w, r, http.StatusBadRequest, reasonDecode, "error", err)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw) // The sender repeats what it gets no answer to.
}

// replyCompressed sends a large answer, which may cross the link between regions.
func replyCompressed(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	z, err := gzip.NewWriterLevel(w, gzip.BestSpeed)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if err := json.NewEncoder(z).Encode(body); err != nil {
		return // The receiver notices that the answer is not whole and asks again.
	}
	_ = z.Close() // As above.
}
