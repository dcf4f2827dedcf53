package replica

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"jackdawbay.dev/core/memory"
	"jackdawbay.dev/core/replica"
	"jackdawbay.dev/daemon/intake"
	"jackdawbay.dev/daemon/logging"
	"jackdawbay.dev/daemon/transport"
)

// Limits of a replica.
const (
	maxQueuedBatches  = 1024     // Max batches that wait for the disk; further ones are rejected with status 503.
	maxBatchesPerSync = 256      // Max batches that are written with one sync.
	maxRequestBytes   = 16 << 20 // Max size of a request body.
	// maxResponseChainBytes is the limit of all chains in one response. It is below the size that gateways accept, and 2.4 times the
	// longest chains that the deployments describe.
	maxResponseChainBytes = 24 << 20
	expireInterval        = 5 * time.Second        // Interval of removing expired entries.
	maxCopiedPerWrite     = 2                      // Max pieces of a copy that are written with one sync; 2 MB, so that callers do not wait long.
	slowWriteThreshold    = 150 * time.Millisecond // A slower write is logged; one that takes a few times as long is noticeable to callers.
)

// Server stores the data of one replica and serves the requests to it.
type Server struct {
	state  *state
	intake *intake.Intake
	log    *slog.Logger
	writes chan *writeJob
	copies chan *writeJob // Copied records, which are written behind the batches in writes.

	copyReads     *readPacer
	copyResponses chan struct{}         // Limits the responses with turns that are in memory at the same time.
	inventories   *transport.BodyReader // Of other replicas.
	earlierPieces *transport.BodyReader // Turns from replicas of earlier versions.

	adoptMu sync.Mutex // Held while a view is being adopted.

	space   diskSpace
	wasFull atomic.Bool // For the log: the last write was refused because the disk is full.

	copyDue     atomic.Bool  // The view requires this replica to copy the earlier sets, and it has not reported that it has.
	viewReason  atomic.Value // Why the view is to be changed, or why it is not: a string of replica.Reason.
	turnsToCopy atomic.Int64 // Turns that the copy in progress has to fetch; zero before it has read the inventories.

	metricSet   *metrics.Set
	copiedTurns *metrics.Counter
	copiedBytes *metrics.Counter
	closedGaps  *metrics.Counter
	batches     *metrics.Counter
	writeErrors *metrics.Counter
	syncSeconds *metrics.Histogram
}

// writeJob is a batch that waits for the disk.
type writeJob struct {
	ctx     context.Context // Ends when the caller no longer waits for the result.
	epoch   uint64          // Epoch of the sender's view; used if there are ops.
	ops     []Op
	copied  []record      // Records copied from another replica; nil after a failed write.
	view    *replica.View // View to adopt; nil if there is none and after a failed write.
	results []Result
	newer   *replica.View // The view in force, if its epoch is not that of the ops. In this case, none of them was executed.
	done    chan struct{} // Closed after the write.
}

// New opens the log in a file system and builds the index from it. The server makes no entry durable before RunWriter runs.
func New(fs FileSystem, log *slog.Logger, set *metrics.Set) (*Server, error) {
	st, err := openState(fs)
	if err != nil {
		return nil, err
	}
	s := &Server{
		state:         st,
		log:           log,
		writes:        make(chan *writeJob, maxQueuedBatches),
		copies:        make(chan *writeJob),
		copyReads:     newReadPacer(),
		copyResponses: make(chan struct{}, maxCopyResponses),
		inventories:   transport.NewBodyReader(maxLargeInventories),
		earlierPieces: transport.NewBodyReader(maxLargeEarlierPieces),
		batches:       set.NewCounter("jackdawbay_replica_batches_total"),
		metricSet:     set,
		writeErrors:   set.NewCounter("jackdawbay_replica_write_errors_total"),
		syncSeconds:   set.NewHistogram("jackdawbay_replica_sync_seconds"),
	}
	s.space.fs = fs
	set.NewGauge("jackdawbay_replica_disk_full", func() float64 {
		if s.space.isFull(time.Now()) {
			return 1
		}
		return 0
	})
	s.copiedTurns = set.NewCounter("jackdawbay_replica_copied_turns_total")
	s.copiedBytes = set.NewCounter("jackdawbay_replica_copied_bytes_total")
	s.closedGaps = set.NewCounter("jackdawbay_replica_closed_gaps_total")
	set.NewGauge("jackdawbay_replica_copy_due", func() float64 {
		if s.copyDue.Load() {
			return 1
		}
		return 0
	})
	for _, reason := range replica.Reasons() {
		set.NewGauge(`jackdawbay_replica_view_change{reason="`+string(reason)+`"}`, func() float64 {
			if s.viewReason.Load() == string(reason) {
				return 1
			}
			return 0
		})
	}
	set.NewGauge("jackdawbay_replica_turns_to_copy", func() float64 { return float64(s.turnsToCopy.Load()) })
	set.NewGauge("jackdawbay_replica_chain_gaps", func() float64 { return float64(st.gapCount()) })
	set.NewGauge(`jackdawbay_view_version`, func() float64 { return float64(s.View().Version) })
	log.Info("replica opened", "disk", st.log.Identity, "turns", len(st.turns), "programs", len(st.programs), "view", st.view.Version)
	return s, nil
}

// LimitBodies bounds the memory of request bodies. It must be called before the server handles requests.
func (s *Server) LimitBodies(in *intake.Intake) { s.intake = in }

// Disk returns the identity of the replica's data directory.
func (s *Server) Disk() string { return s.state.log.Identity }

// View returns the newest view that this replica has adopted.
func (s *Server) View() replica.View { return s.state.currentView() }

// Handler returns the HTTP handler of the replica listener.
func (s *Server) Handler() http.Handler { return s.Router() }

// Router returns the handler of the replica listener as a router, to which a VM may add what else it serves there.
func (s *Server) Router() *mux.Router {
	r := mux.NewRouter()
	r.HandleFunc(PathBatch, s.handleBatch).Methods(http.MethodPost)
	r.HandleFunc(PathInventory, s.handleInventory).Methods(http.MethodPost)
	r.HandleFunc(PathTurns, s.handleTurns).Methods(http.MethodPost)
	r.HandleFunc(PathProbe, s.handleProbe).Methods(http.MethodGet)
	return r
}

// RunWriter writes the queued batches to the log, up to maxBatchesPerSync with one sync, and removes expired entries. It
// returns when the context ends. Copied records take at most half of its time: after each write of them, only batches are
// written for as long as that write took.
func (s *Server) RunWriter(ctx context.Context) error {
	expireTicker := time.NewTicker(expireInterval)
	defer expireTicker.Stop()
	copyPause := time.NewTimer(0)
	defer copyPause.Stop()
	var copies <-chan *writeJob // Nil during a pause.
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-expireTicker.C:
			s.runExpiry(now)
		case <-copyPause.C:
			copies = s.copies
		case job := <-s.writes:
			s.writeGroup(s.fillGroup([]*writeJob{job}))
		case job := <-copies:
			start := time.Now()
			s.writeGroup(s.fillGroup(s.addCopies([]*writeJob{job})))
			copies = nil
			copyPause.Reset(time.Since(start))
		}
	}
}

// fillGroup adds the batches that wait for the disk to a group, up to maxBatchesPerSync.
func (s *Server) fillGroup(group []*writeJob) []*writeJob {
	for len(group) < maxBatchesPerSync {
		select {
		case j := <-s.writes:
			group = append(group, j)
		default:
			return group
		}
	}
	return group
}

// addCopies adds the copied records that wait for the disk to a group, up to maxCopiedPerWrite.
func (s *Server) addCopies(group []*writeJob) []*writeJob {
	for len(group) < maxCopiedPerWrite {
		select {
		case j := <-s.copies:
			group = append(group, j)
		default:
			return group
		}
	}
	return group
}

// runExpiry removes expired entries from the index and, if possible, the oldest segment from the log.
func (s *Server) runExpiry(now time.Time) {
	plan := s.state.removeExpired(now)
	if !plan.removeOldest {
		return
	}
	err := s.state.moveTurns(now, plan.turnsToMove)
	if err == nil {
		err = s.state.append(toRecords(plan.toRewrite))
	}
	if err != nil {
		s.writeErrors.Inc()
		s.log.Error("cannot rewrite entries before a segment is removed", "error", err, "turns", len(plan.turnsToMove))
		return
	}
	if err := s.state.log.RemoveOldestSegment(); err != nil {
		s.log.Error("cannot remove a segment", "error", err)
	}
}

// writeGroup writes a group of batches with one sync and sets their results. Batches whose callers no longer wait are
// skipped. The epoch of a batch is checked here, because the writer determines the order of the log: no operation of an earlier
// epoch follows a view of a later one. A member that copies the data of this replica after that view relies on it.
func (s *Server) writeGroup(group []*writeJob) {
	now := time.Now()
	var records []record
	group = slices.DeleteFunc(group, func(job *writeJob) bool { return job.ctx.Err() != nil })
	if len(group) == 0 {
		return
	}
	view := s.state.currentView()
	for _, job := range group {
		if job.view != nil {
			records = append(records, record{entry: entry{At: now, View: job.view}})
			if job.view.Version > view.Version {
				view = *job.view
			}
		}
		records = append(records, job.copied...)
		if len(job.ops) > 0 && job.epoch != view.Epoch {
			inForce := view
			job.newer, job.ops = &inForce, nil
		}
		job.results = make([]Result, len(job.ops))
		for i, op := range job.ops {
			records = append(records, toRecords(s.prepareEntries(now, op, &job.results[i]))...)
		}
	}
	start := time.Now()
	err := s.state.append(records)
	s.space.onWrite(time.Now(), err)
	s.syncSeconds.UpdateDuration(start)
	if duration := time.Since(start); duration > slowWriteThreshold {
		s.log.Warn("disk is slow", "took", duration, "records", len(records), "batches", len(group), "waiting", len(s.writes))
	}
	for _, job := range group {
		if err != nil {
			for i, op := range job.ops {
				if op.Kind != OpReadChain {
					job.results[i] = Result{Failed: true}
				}
			}
			job.view, job.copied = nil, nil
		}
		for i, op := range job.ops {
			if op.Turn != nil && !job.results[i].Failed {
				job.results[i].Missing = s.state.firstGap(op.Turn.Previous)
			}
		}
		close(job.done)
	}
	if err != nil {
		s.writeErrors.Inc()
		s.log.Error("disk refused a write", "error", err, "records", len(records))
	}
}

// prepareEntries returns the log entries of an operation and sets its result. The result is valid only after the entries
// are durable.
func (s *Server) prepareEntries(now time.Time, op Op, result *Result) []entry {
	retain := time.Duration(op.RetainMS) * time.Millisecond
	switch op.Kind {
	case OpCharge, OpStore:
		var entries []entry
		if op.Program != "" {
			s.state.addPendingCharge(op.Program, op.Charge)
			if op.Kind == OpCharge {
				result.Charges = s.state.charges(op.Program)
			}
			entries = append(entries, entry{At: now, Retain: retain, Ledger: &ledgerEntry{
				Program: op.Program, Charges: []replica.Charge{op.Charge},
			}})
		}
		if op.Turn != nil {
			entries = append(entries, entry{At: now, Retain: retain, Turn: op.Turn})
		}
		return entries
	default:
		result.Failed = true
		return nil
	}
}

// adopt stores a view if it is newer than the current one. It reports whether this replica is then at the epoch of the
// view.
func (s *Server) adopt(ctx context.Context, v replica.View) bool {
	s.adoptMu.Lock()
	defer s.adoptMu.Unlock()
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

// submit queues a job and waits until it is written. It reports false if the queue is full or the context ends first.
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

// handleBatch executes a batch if the sender is at the epoch of this replica. It adopts a newer view in the batch first. If
// the epochs differ, it responds with the current view.
func (s *Server) handleBatch(w http.ResponseWriter, r *http.Request) {
	s.batches.Inc()
	held := s.intake.Open()
	defer held.Close()
	raw, ok := s.readBody(w, r, held)
	if !ok {
		return
	}
	b, err := DecodeBatch(raw)
	if err != nil {
		s.reject(w, r, http.StatusBadRequest, reasonUndecodable, "error", err)
		return
	}
	if b.Disk != s.Disk() {
		s.reject(w, r, http.StatusMisdirectedRequest, reasonOtherDisk, "wanted", b.Disk)
		return
	}
	if b.View.Version > s.state.currentView().Version {
		s.adopt(r.Context(), b.View)
	}
	if v := s.state.currentView(); v.Epoch != b.Epoch {
		s.countRejected(reasonOtherView)
		s.writeBatchResponse(w, BatchResponse{View: &v})
		return
	}
	if !intake.ReserveResponse(r.Context(), held, turnBytes(b.Ops)) {
		s.reject(w, r, http.StatusServiceUnavailable, reasonNoMemory, "ops", len(b.Ops))
		return
	}
	results, newer, ok := s.execute(r.Context(), held, b.Epoch, b.Ops)
	if ok && newer != nil {
		s.countRejected(reasonOtherView)
		s.writeBatchResponse(w, BatchResponse{View: newer})
		return
	}
	if !ok {
		reason := reasonWriteQueueFull
		if r.Context().Err() != nil {
			reason = reasonSenderTimedOut
		}
		s.reject(w, r, http.StatusServiceUnavailable, reason, "waiting", len(s.writes))
		return
	}
	s.writeBatchResponse(w, BatchResponse{Results: results})
}

// turnBytes returns the size of the log entries of the turns in a batch. They are a copy of the batch until the write has ended.
func turnBytes(ops []Op) int64 {
	n := 0
	for _, op := range ops {
		if op.Turn != nil {
			n += len(op.Turn.Input) + len(op.Turn.Output)
		}
	}
	return int64(n)
}

func (s *Server) writeBatchResponse(w http.ResponseWriter, response BatchResponse) {
	raw, err := response.Encode()
	if err != nil {
		s.log.Error("cannot encode batch response", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	_, _ = w.Write(raw) // The sender retries a request without a response.
}

// readBody returns the body of a request. If it cannot be read, readBody rejects the request and reports false. The memory of
// the body is that of the holder.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, held *memory.Holder) ([]byte, bool) {
	pieces, err := s.intake.Read(w, r, held, maxRequestBytes)
	status, reason := http.StatusBadRequest, reasonIncomplete
	if err == nil {
		if body, ok := s.intake.Join(r.Context(), held, pieces); ok {
			return body, true
		}
		s.reject(w, r, http.StatusServiceUnavailable, reasonNoMemory, "announced", r.ContentLength)
		return nil, false
	}
	if errors.IsAny(err, intake.ErrNoMemory, intake.ErrGaveWay) {
		status, reason = http.StatusServiceUnavailable, reasonNoMemory
	}
	held.Close()
	w.Header().Set("Connection", "close")
	s.reject(w, r, status, reason, "error", err)
	s.intake.Linger(w, r)
	return nil, false
}

// execute executes the operations of a batch and returns a result for each. Chains are read directly; the other operations
// are queued for the writer. The sender does not rely on the order in which the operations of a batch are executed. If the view
// has changed by the time of the write, it returns the view in force instead. It reports false if the queue is full or the
// context ends first. The memory of the chains is that of the holder; a chain for which there is none fails.
func (s *Server) execute(ctx context.Context, held *memory.Holder, epoch uint64, ops []Op) (results []Result, newer *replica.View, ok bool) {
	results = make([]Result, len(ops))
	job := &writeJob{epoch: epoch, done: make(chan struct{})}
	var positions []int
	chainBytes := int64(0)
	for i, op := range ops {
		if op.Kind != OpReadChain {
			job.ops = append(job.ops, op)
			positions = append(positions, i)
			continue
		}
		n := s.state.chainBytes(op.From)
		if chainBytes+n > maxResponseChainBytes || !intake.ReserveResponse(ctx, held, 2*n) { // The turns and the encoded response.
			s.countRejected(reasonNoMemory)
			s.log.Warn("chain not read", logging.LimitPerSource("reason", reasonNoMemory), "turn", op.From, "bytes", n, "before", chainBytes)
			results[i] = Result{Failed: true}
			continue
		}
		chainBytes += n
		turns, missing, err := s.state.readChain(op.From)
		if err != nil {
			s.log.Error("cannot read a chain", "turn", op.From, "error", err)
			results[i] = Result{Failed: true}
			continue
		}
		results[i] = Result{Turns: turns, Missing: missing}
	}
	if len(job.ops) > 0 && s.refuseFull() {
		for _, i := range positions {
			results[i] = Result{Failed: true}
		}
		return results, nil, true
	}
	if len(job.ops) > 0 {
		if !s.submit(ctx, job) {
			return nil, nil, false
		}
		if job.newer != nil {
			return nil, job.newer, true
		}
		for k, i := range positions {
			results[i] = job.results[k]
		}
	}
	return results, nil, true
}

// refuseFull reports whether a write must be refused because the disk is full. It logs when that begins and ends.
func (s *Server) refuseFull() bool {
	full := s.space.isFull(time.Now())
	if full {
		s.countRejected(reasonDiskFull)
	}
	if s.wasFull.Swap(full) != full {
		if full {
			s.log.Error("disk is full; writes are refused until there is space again")
		} else {
			s.log.Info("disk has space again")
		}
	}
	return full
}

// handleProbe responds only if the disk identity in the query, if any, is the one of this replica. A VM that has lost its
// disk runs a different replica at the same address.
func (s *Server) handleProbe(w http.ResponseWriter, r *http.Request) {
	if disk := r.URL.Query().Get("disk"); disk != "" && disk != s.Disk() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Reasons to reject a request.
const (
	reasonUndecodable    = "body cannot be decoded"
	reasonIncomplete     = "body is not whole"
	reasonNoMemory       = "no memory for the body"
	reasonOtherDisk      = "other disk"
	reasonOtherView      = "other view"
	reasonWriteQueueFull = "too many writes wait"
	reasonDiskFull       = "disk is full"
	reasonCopyBusy       = "too many copies"
	reasonSenderTimedOut = "sender gave up" // Usually because the write to disk takes longer than the sender's timeout.
)

// reject responds with a status and counts the rejection by its reason. It logs at most one line per second for each
// caller and reason.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, status int, reason string, args ...any) {
	s.countRejected(reason)
	caller, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		caller = r.RemoteAddr
	}
	s.log.Warn("request refused", append([]any{"reason", reason, logging.LimitPerSource("caller", caller, reason)}, args...)...)
	w.WriteHeader(status)
}

func (s *Server) countRejected(reason string) {
	s.metricSet.GetOrCreateCounter(`jackdawbay_replica_refused_total{reason="` + strings.ReplaceAll(reason, " ", "_") + `"}`).Inc()
}

// decodeJSON decodes the body of a request. If that fails, it rejects the request and reports false.
func (s *Server) decodeJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	held := s.intake.Open()
	defer held.Close()
	body, ok := s.readBody(w, r, held)
	if !ok {
		return false
	}
	if err := json.Unmarshal(body, into); err != nil {
		s.reject(w, r, http.StatusBadRequest, reasonUndecodable, "error", err)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw) // The sender retries a request without a response.
}

// writeCompressedJSON writes a large response as gzip, since it may cross the link between regions.
func writeCompressedJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	z, err := gzip.NewWriterLevel(w, gzip.BestSpeed)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if err := json.NewEncoder(z).Encode(body); err != nil {
		return // The receiver detects that the response is incomplete and retries.
	}
	_ = z.Close() // The receiver detects an incomplete response here, too.
}
