// Package quorum is the client of the replicas. An operation counts only when the members that answered are a quorum of the
// view in force.
package quorum

import (
	"bytes"
	"context"
	"encoding/json"
	"hash/fnv"
	"log/slog"
	"net/http"
	"net/url"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	core "jackdawbay.dev/core/replica"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/daemon/platform"
	"jackdawbay.dev/daemon/replica"
	"jackdawbay.dev/daemon/transport"
)

// ErrNoQuorum means that too few replicas answered. A write may have been stored by some of them.
var ErrNoQuorum = errors.New("too few replicas answered")

// errOtherDisk means that another disk is at the address of a member. The identity of a disk is drawn when it is empty, so the
// member's disk does not come back there.
var errOtherDisk = errors.New("another disk is at the address of the replica")

// errLaneEnded means that no requests are sent to the member any more.
var errLaneEnded = errors.New("no requests are sent to the replica any more")

// Bounds of the client.
const (
	laneQueue    = 512 // Operations that wait for one replica.
	laneSenders  = 3   // Requests to one replica at the same time.
	maxBatchOps  = 64
	batchTimeout = 700 * time.Millisecond // Well above a slow sync and a round trip between regions.
	hedgeMin     = 30 * time.Millisecond  // Wait before the remaining replicas are asked as well.
	hedgeFactor  = 4                      // Multiples of a replica's usual time to answer before others are asked.
	probePause   = 200 * time.Millisecond // Time between two probes of a replica that does not answer.
	probeTimeout = 300 * time.Millisecond // Well above a round trip between regions.
	keepPause    = 50 * time.Millisecond  // Time between two tries to store a turn while no quorum can be reached.
	viewRetries  = 4
	hedgeShare   = 0.1 // Part of the operations for which one more replica may be asked while all replicas answer.
	hedgeBurst   = 20  // Such operations at once, after a time without.
)

// maxAnswerBytes bounds an answer of a replica. One turn has 16 MiB at most; maxBatchOps chains of eight turns of 19 KB, the
// longest that the deployments describe, have 10 MB.
const maxAnswerBytes = 32 << 20

// Config describes a Client.
type Config struct {
	DataCentre string
	Region     string
	RegionOf   func(dataCentre string) string
	Client     *http.Client
	Log        *slog.Logger
	Metrics    *metrics.Set
}

// Client talks to the replicas. It is safe for concurrent use.
type Client struct {
	cfg   Config
	mu    sync.Mutex
	view  core.View
	lanes map[string]*lane
	ctx   context.Context

	started time.Time
	learned time.Time // When the view was learned.
	source  string    // Who told of the view: a VM, or the store.
	heard   time.Time // When the store last answered about the view; zero before its first answer.

	hedges float64 // Requests to further replicas that may still be sent while all replicas answer.

	opSeconds *metrics.Histogram
	noQuorum  *metrics.Counter
	hedged    *metrics.Counter
}

// New returns a client. Its senders end with the context.
func New(ctx context.Context, cfg Config) *Client {
	c := &Client{
		cfg:       cfg,
		started:   time.Now(),
		lanes:     map[string]*lane{},
		ctx:       ctx,
		opSeconds: cfg.Metrics.NewHistogram("jackdawbay_quorum_operation_seconds"),
		noQuorum:  cfg.Metrics.NewCounter("jackdawbay_quorum_failed_total"),
		hedged:    cfg.Metrics.NewCounter("jackdawbay_quorum_hedged_total"),
	}
	c.register()
	return c
}

// FollowView keeps the view up to date from the platform's store until the context ends.
func (c *Client) FollowView(ctx context.Context, store platform.Store) error {
	heard := func(at time.Time) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.heard = at
	}
	platform.Follow(ctx, store, replica.ViewKind, platform.FollowOptions{Log: c.cfg.Log, OnResponse: heard}, func(objects map[string]platform.Object) {
		o, ok := objects[replica.ViewName]
		if !ok {
			return
		}
		var v core.View
		if err := json.Unmarshal(o.Value, &v); err != nil {
			c.cfg.Log.Error("view cannot be decoded", "revision", o.Version, "error", err)
			return
		}
		c.adopt(v, "store")
	})
	return ctx.Err()
}

func (c *Client) adopt(v core.View, source string) {
	var left []*lane
	c.mu.Lock()
	newer := v.Version > c.view.Version
	if newer {
		c.view, c.learned, c.source = v, time.Now(), source
		for key, l := range c.lanes {
			if !has(v, l.member) {
				left = append(left, l)
				delete(c.lanes, key)
			}
		}
	}
	c.mu.Unlock()
	for _, l := range left {
		l.end()
	}
	if newer {
		c.cfg.Log.Info("view in force", "view", v.Version, "sets", len(v.Sets), "members", len(v.CurrentSet()), "source", source)
	}
}

// View returns the view in force here.
func (c *Client) View() core.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// Reachable reports whether the replicas that answer are a quorum of the view in force.
func (c *Client) HasQuorum() bool {
	v := c.View()
	return v.Version > 0 && c.reachable(v)
}

func (c *Client) reachable(v core.View) bool {
	answering := map[string]bool{}
	for _, set := range v.Sets {
		for _, m := range set {
			answering[m.Key()] = !c.lane(m).suspect()
		}
	}
	return v.IsWriteComplete(answering) && v.IsReadComplete(answering)
}

// answer is what one member said to one operation group.
type answer struct {
	member  core.Member
	ops     []replica.Op
	results []replica.Result
	view    *core.View // The member uses another view.
	err     error
}

// request is one or more operations for a quorum.
type request struct {
	key    string       // Spreads requests over replicas at the same distance.
	ops    []replica.Op // What the nearest replica is asked, and those that are asked when others do not answer in time.
	others []replica.Op // What the other replicas of the first quorum are asked: the leading part of ops, or nothing.

	// enough is called after each answer with all answers so far and reports whether the request is done. An answer may hold
	// results of the leading operations only.
	enough func(v core.View, got map[string][]replica.Result) bool
}

// run sends a request to a quorum of the view. Where the answers are not enough it returns an ErrNoQuorum with a Shortage.
func (c *Client) run(ctx context.Context, r request) error {
	start := time.Now()
	defer c.opSeconds.UpdateDuration(start)
	c.earnHedge()
	cause := CauseViewChanges
	var owing []string
	for range viewRetries {
		v := c.View()
		if v.Version == 0 {
			cause = CauseNoView
			break
		}
		if !c.reachable(v) {
			if c.View().Version > v.Version {
				continue // The lanes of an earlier view have ended.
			}
			cause = CauseUnresponsive
			break // Waiting would only delay a refusal that the caller can act on.
		}
		var done, again bool
		done, again, owing = c.runView(ctx, v, r)
		if done {
			return nil
		}
		if ctx.Err() != nil {
			cause = CauseTimeout
			break
		}
		if !again {
			cause = CauseInsufficientResults
			if !c.reachable(v) {
				cause = CauseUnresponsive
			}
			break
		}
	}
	c.noQuorum.Inc()
	return &noQuorumError{c.shortage(cause, owing)}
}

// runView sends a request to the members of a view. Where it is not done, again reports whether a newer view is known, and
// owing has the VMs that had not answered when the context ended.
func (c *Client) runView(ctx context.Context, v core.View, r request) (done, again bool, owing []string) {
	members := c.order(v, r.key)
	answers := make(chan answer, 2*len(members))
	got := map[string][]replica.Result{}
	behind := map[string]bool{}
	waiting := map[string]bool{}
	sent := 0
	submit := func(m core.Member, ops []replica.Op) {
		c.lane(m).submit(&job{ops: ops, epoch: v.Epoch, member: m, answers: answers})
		waiting[m.Key()] = true
	}
	more := func() {
		if sent < len(members) {
			submit(members[sent], r.ops)
			sent++
		}
	}
	more()
	first := firstWave(v, members)
	if len(r.others) == 0 {
		first = 1
	}
	for ; sent < first; sent++ {
		submit(members[sent], r.others)
	}
	hedge := time.NewTimer(c.hedgeDelay(members[:first]))
	defer hedge.Stop()
	for len(waiting) > 0 {
		select {
		case <-ctx.Done():
			for _, m := range members {
				if waiting[m.Key()] {
					owing = append(owing, m.VM)
				}
			}
			return false, false, owing
		case <-hedge.C:
			if c.mayHedge(members[:sent], waiting) {
				more()
			}
			hedge.Reset(hedgeMin)
		case a := <-answers:
			delete(waiting, a.member.Key())
			switch {
			case a.err != nil:
				more()
			case a.view != nil && a.view.Version > v.Version:
				c.adopt(*a.view, a.member.VM)
				return false, true, nil
			case a.view != nil && behind[a.member.Key()]:
				more() // It has the view and still refuses: its disk does not take it.
			case a.view != nil:
				behind[a.member.Key()] = true
				c.lane(a.member).sendView(v)
				submit(a.member, a.ops)
			default:
				got[a.member.Key()] = a.results
				if r.enough(v, got) {
					return true, false, nil
				}
				if len(waiting) == 0 {
					more() // What the nearest were asked was not enough.
				}
			}
		}
	}
	return false, c.View().Epoch > v.Epoch, nil
}

// earnHedge counts an operation towards the requests to further replicas.
func (c *Client) earnHedge() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hedges = min(c.hedges+hedgeShare, hedgeBurst)
}

// mayHedge reports whether one more replica may be asked. A replica that answers nobody is always a reason. Where all of
// them answer and are only slow, further requests would slow them down more, so only a part of the operations may cause one.
func (c *Client) mayHedge(asked []core.Member, waiting map[string]bool) bool {
	for _, m := range asked {
		if waiting[m.Key()] && c.lane(m).stalled() {
			return true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hedges < 1 {
		return false
	}
	c.hedges--
	c.hedged.Inc()
	return true
}

// order sorts the members of all sets: those that answer before silent ones, then by distance. The key spreads requests over
// members at the same distance.
func (c *Client) order(v core.View, key string) []core.Member {
	members := core.Union(v.Sets)
	rank := make(map[string]int, len(members))
	spread := make(map[string]uint32, len(members))
	for _, m := range members {
		h := fnv.New32a()
		_, _ = h.Write([]byte(key + " " + m.VM)) // Writing to a hash never fails.
		spread[m.Key()] = h.Sum32()
		r := 0
		if c.lane(m).suspect() {
			r += 10
		}
		if !core.Contains(v.CurrentSet(), m.Key()) {
			r += 5
		}
		if m.DataCentre != c.cfg.DataCentre {
			r++
		}
		if c.cfg.RegionOf(m.DataCentre) != c.cfg.Region {
			r++
		}
		rank[m.Key()] = r
	}
	sort.SliceStable(members, func(i, j int) bool {
		a, b := members[i].Key(), members[j].Key()
		if rank[a] != rank[b] {
			return rank[a] < rank[b]
		}
		return spread[a] < spread[b]
	})
	return members
}

// firstWave is the smallest number of members, in order, that can hold a write and know all earlier ones.
func firstWave(v core.View, members []core.Member) int {
	got := map[string]bool{}
	for i, m := range members {
		got[m.Key()] = true
		if v.IsWriteComplete(got) && v.IsReadComplete(got) {
			return i + 1
		}
	}
	return len(members)
}

func (c *Client) hedgeDelay(members []core.Member) time.Duration {
	longest := hedgeMin
	for _, m := range members {
		longest = max(longest, hedgeFactor*c.lane(m).usual())
	}
	return min(longest, batchTimeout/2)
}

func (c *Client) lane(m core.Member) *lane {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l, ok := c.lanes[m.Key()]; ok && l.member == m {
		return l
	}
	if !has(c.view, m) {
		return &lane{client: c, member: m, silent: true, ended: true} // For an operation of an earlier view.
	}
	l := newLane(c, m)
	c.lanes[m.Key()] = l
	return l
}

// has reports whether a set of the view holds a member at its address.
func has(v core.View, m core.Member) bool {
	for _, set := range v.Sets {
		if slices.Contains(set, m) {
			return true
		}
	}
	return false
}

// Begin charges the worst case of a turn to its program and, where from is set, reads the chain that the turn continues.
// It returns all charges of the program that completed before, and the chain, newest turn first. Known reports which turns
// the caller has, so that they need not be found.
func (c *Client) BeginTurn(ctx context.Context, program string, charge *core.Charge, from string, retain time.Duration, known func(id string) (replica.Turn, bool)) (BeginResult, error) {
	var ops []replica.Op
	if charge != nil {
		ops = append(ops, replica.Op{Kind: replica.OpCharge, Program: program, Charge: *charge, RetainMS: retain.Milliseconds()})
	}
	open := &BeginResult{Ledger: core.Ledger{}}
	found := map[string]replica.Turn{}
	missing, whole := open.follow(from, known)
	charges := ops
	if !whole {
		ops = append(ops[:len(ops):len(ops)], replica.Op{Kind: replica.OpReadChain, From: missing})
	}
	// The nearest replica mostly has the chain, so it alone is asked for it at first: chains are most of the bytes.
	r := request{key: program, ops: ops, others: charges}
	// conclusive reports whether a turn that the replicas in read do not have is certainly missing, or no more can be learned
	// from this request.
	conclusive := func(core.View, map[string]bool) bool { return true }
	for len(r.ops) > 0 {
		r.enough = func(v core.View, got map[string][]replica.Result) bool {
			charged, read := open.answered(v, got, r.ops, found)
			if !charged || len(read) == 0 && !whole {
				return false
			}
			_, whole := open.follow(from, lookup(known, found))
			return whole || conclusive(v, read)
		}
		if err := c.run(ctx, r); err != nil {
			return BeginResult{}, err
		}
		asked := missing
		missing, whole = open.follow(from, lookup(known, found))
		if whole {
			break
		}
		if len(r.others) == len(r.ops) && missing == asked {
			open.HasMissingTurn = true
			break
		}
		// No replica needs to hold the whole chain: each turn is on a quorum of its own. The rest is asked for from where
		// the known part ends.
		rest := []replica.Op{{Kind: replica.OpReadChain, From: missing}}
		r = request{key: program, ops: rest, others: rest}
		conclusive = core.View.IsReadComplete
	}
	return *open, nil
}

// answered enters the answers of the replicas. It reports whether the charge is stored and known by a quorum, and which
// replicas have been asked for the chain and answered.
func (o *BeginResult) answered(v core.View, got map[string][]replica.Result, ops []replica.Op, found map[string]replica.Turn) (charged bool, read map[string]bool) {
	charges := false
	stored, read := map[string]bool{}, map[string]bool{}
	for i, op := range ops {
		charges = charges || op.Kind == replica.OpCharge
		for key, results := range got {
			if i >= len(results) || results[i].Failed {
				continue
			}
			if op.Kind == replica.OpCharge {
				stored[key] = true
				for _, c := range results[i].Charges {
					o.Ledger.Add(c)
				}
				continue
			}
			read[key] = true
			for _, t := range results[i].Turns {
				found[t.ID] = t
			}
		}
	}
	return !charges || v.IsWriteComplete(stored) && v.IsReadComplete(stored), read
}

func lookup(known func(string) (replica.Turn, bool), found map[string]replica.Turn) func(string) (replica.Turn, bool) {
	return func(id string) (replica.Turn, bool) {
		if t, ok := found[id]; ok {
			return t, true
		}
		return known(id)
	}
}

// Opening is what the replicas know when a turn begins.
type BeginResult struct {
	Ledger         core.Ledger
	Chain          []replica.Turn // Newest first.
	HasMissingTurn bool           // A turn of the chain certainly does not exist.
}

// follow collects the chain as far as it is known and returns the first turn that is not.
func (o *BeginResult) follow(from string, known func(id string) (replica.Turn, bool)) (missing string, complete bool) {
	o.Chain = nil
	for id := from; id != ""; {
		t, ok := known(id)
		if !ok {
			return id, false
		}
		o.Chain = append(o.Chain, t)
		id = t.Previous
	}
	return "", true
}

// Keep stores a complete turn and settles its charge. Nil means that a quorum has it on disk. While no quorum can be reached,
// it tries again until the context ends: the caller already has the whole turn, and storing it twice changes nothing.
func (c *Client) StoreTurn(ctx context.Context, t *replica.Turn, program string, charge *core.Charge, retain time.Duration) error {
	op := replica.Op{Kind: replica.OpStore, Turn: t, RetainMS: retain.Milliseconds()}
	if t != nil {
		t.SetSizes()
	}
	if charge != nil {
		op.Program, op.Charge = program, *charge
	}
	ops := []replica.Op{op}
	r := request{key: program, ops: ops, others: ops, enough: func(v core.View, got map[string][]replica.Result) bool {
		stored := map[string]bool{}
		for key, results := range got {
			stored[key] = len(results) == 1 && !results[0].Failed
		}
		return v.IsWriteComplete(stored)
	}}
	for {
		err := c.run(ctx, r)
		if err == nil || !clock.Sleep(ctx, keepPause) {
			return err
		}
	}
}

// lane is the ordered path to one replica. It ends when the view drops the member, or when the member's disk is gone.
type lane struct {
	client *Client
	member core.Member
	jobs   chan *job
	ctx    context.Context // Ends with the lane.
	stop   context.CancelFunc

	mu        sync.Mutex
	silent    bool      // The last request failed, and no probe has been answered since.
	since     time.Time // When the silence was noticed.
	gone      bool      // The member's disk is gone.
	ended     bool
	usualTime time.Duration
	open      int       // Requests under way.
	progress  time.Time // When the replica last answered, or when the first of the requests under way was sent.
	view      core.View // Sent with the next batch.
}

type job struct {
	ops     []replica.Op
	epoch   uint64
	member  core.Member
	answers chan answer
}

func newLane(c *Client, m core.Member) *lane {
	l := &lane{client: c, member: m, jobs: make(chan *job, laneQueue)}
	l.ctx, l.stop = context.WithCancel(c.ctx)
	for range laneSenders {
		go l.send()
	}
	return l
}

// end answers the operations that wait with an error, and those that come later.
func (l *lane) end() {
	l.mu.Lock()
	if !l.silent {
		l.since = time.Now()
	}
	l.silent, l.ended = true, true
	l.mu.Unlock()
	l.stop()
}

// markGone ends the lane of a member whose disk is gone.
func (l *lane) markGone() {
	l.mu.Lock()
	first := !l.gone && !l.ended
	l.gone = true
	l.mu.Unlock()
	l.end()
	if first {
		l.client.cfg.Log.Warn("replica's disk is gone", "replica", l.member.VM, "disk", l.member.Disk, "address", l.member.Address,
			"view", l.client.View().Version)
	}
}

func (l *lane) submit(j *job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		j.answers <- answer{member: l.member, ops: j.ops, err: errLaneEnded}
		return
	}
	select {
	case l.jobs <- j:
	default:
		j.answers <- answer{member: l.member, ops: j.ops, err: errors.New("too many operations wait for the replica")}
	}
}

func (l *lane) suspect() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

func (l *lane) usual() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usualTime
}

// stalled reports whether the replica owes answers and has given none for several times its usual time.
func (l *lane) stalled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open > 0 && time.Since(l.progress) > max(hedgeMin, hedgeFactor*l.usualTime)
}

func (l *lane) sendView(v core.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.view = v
}

func (l *lane) send() {
	for {
		var first *job
		select {
		case <-l.ctx.Done():
			l.drain()
			return
		case first = <-l.jobs:
		}
		jobs := []*job{first}
		ops := len(first.ops)
	fill:
		for ops < maxBatchOps {
			select {
			case j := <-l.jobs:
				jobs = append(jobs, j)
				ops += len(j.ops)
			default:
				break fill
			}
		}
		l.deliver(jobs)
	}
}

// drain answers what still waits when the lane has ended.
func (l *lane) drain() {
	for {
		select {
		case j := <-l.jobs:
			j.answers <- answer{member: l.member, ops: j.ops, err: errLaneEnded}
		default:
			return
		}
	}
}

// deliver sends the jobs of one epoch together, and the jobs of another epoch after them.
func (l *lane) deliver(jobs []*job) {
	for len(jobs) > 0 {
		epoch := jobs[0].epoch
		var same, rest []*job
		for _, j := range jobs {
			if j.epoch == epoch {
				same = append(same, j)
			} else {
				rest = append(rest, j)
			}
		}
		l.exchange(epoch, same)
		jobs = rest
	}
}

func (l *lane) exchange(epoch uint64, jobs []*job) {
	b := replica.Batch{Epoch: epoch, Disk: l.member.Disk}
	for _, j := range jobs {
		b.Ops = append(b.Ops, j.ops...)
	}
	l.mu.Lock()
	if l.view.Epoch == epoch {
		b.View = l.view
	}
	start := time.Now()
	if l.open == 0 {
		l.progress = start
	}
	l.open++
	l.mu.Unlock()
	got, err := l.post(b)
	took := time.Since(start)
	if err == nil && got.View == nil && len(got.Results) != len(b.Ops) {
		err = errors.Newf("replica answered %d of %d operations", len(got.Results), len(b.Ops))
	}
	l.note(took, err)
	i := 0
	for _, j := range jobs {
		a := answer{member: l.member, ops: j.ops, view: got.View, err: err}
		if err == nil && got.View == nil {
			a.results = got.Results[i : i+len(j.ops)]
			i += len(j.ops)
		}
		j.answers <- a
	}
}

func (l *lane) note(took time.Duration, err error) {
	if errors.Is(err, errOtherDisk) {
		l.markGone()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	if err == nil {
		l.progress = time.Now()
		l.usualTime += (took - l.usualTime) / 8
		return
	}
	if l.silent {
		return // Ended lanes count as silent as well.
	}
	l.silent, l.since = true, time.Now()
	l.client.cfg.Log.Warn("replica does not answer", "replica", l.member.VM, "took", took, "error", err)
	go l.probe()
}

// probe asks a replica that did not answer until it does, or until the lane ends.
func (l *lane) probe() {
	start := time.Now()
	for clock.Sleep(l.ctx, probePause) {
		err := l.askProbe()
		if errors.Is(err, errOtherDisk) {
			l.markGone()
			return
		}
		if err != nil {
			continue // The start of the silence was logged.
		}
		l.mu.Lock()
		l.silent = l.ended
		l.mu.Unlock()
		l.client.cfg.Log.Info("replica answers again", "replica", l.member.VM, "after", time.Since(start))
		return
	}
}

func (l *lane) askProbe() error {
	ctx, cancel := context.WithTimeout(l.ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.member.Address+replica.PathProbe+"?disk="+url.QueryEscape(l.member.Disk), nil)
	if err != nil {
		return errors.Wrap(err, "build a request")
	}
	resp, err := l.client.cfg.Client.Do(req)
	if err != nil {
		return err
	}
	if err := resp.Body.Close(); err != nil {
		return err
	}
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return errOtherDisk
	}
	if resp.StatusCode != http.StatusNoContent {
		return errors.Newf("status %d", resp.StatusCode)
	}
	return nil
}

func (l *lane) post(b replica.Batch) (replica.BatchResponse, error) {
	ctx, cancel := context.WithTimeout(l.ctx, batchTimeout)
	defer cancel()
	raw, err := b.Encode()
	if err != nil {
		return replica.BatchResponse{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.member.Address+replica.PathBatch, bytes.NewReader(raw))
	if err != nil {
		return replica.BatchResponse{}, errors.Wrap(err, "build a request")
	}
	resp, err := l.client.cfg.Client.Do(req)
	if err != nil {
		return replica.BatchResponse{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return replica.BatchResponse{}, errOtherDisk
	}
	if resp.StatusCode != http.StatusOK {
		return replica.BatchResponse{}, errors.Newf("status %d", resp.StatusCode)
	}
	body, err := transport.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return replica.BatchResponse{}, errors.Wrap(err, "read an answer")
	}
	return replica.DecodeBatchResponse(body)
}
