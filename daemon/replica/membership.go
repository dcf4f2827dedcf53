package replica

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/core/replica"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/daemon/platform"
)

// Objects of the replicas in the platform's store.
const (
	RegistrationKind = "jackdawbay-replicas"
	ViewKind         = "jackdawbay-views"
	ViewName         = "main"
)

// Times of the membership.
const (
	membershipInterval = 500 * time.Millisecond
	probeTimeout       = 400 * time.Millisecond  // Well above a round trip between regions.
	probeWait          = 100 * time.Millisecond  // Above a round trip between regions.
	firstViewDelay     = 1500 * time.Millisecond // VMs of a first start register within this time of each other.
	copyTimeout        = 10 * time.Second        // An inventory of megabytes over a busy link between regions.
	copyStall          = 1500 * time.Millisecond // Time without a byte after which a connection counts as silent; above a slow sync.
	lateInventory      = 500 * time.Millisecond  // Wait for further inventories when those that are needed have been read.
	watchPause         = 100 * time.Millisecond  // Changes within this time are read together.
	youngFor           = 15 * time.Second        // Time for which a newly registered VM may be a successor.
	successorWait      = 2 * time.Second         // Time for which a VM that is to be emptied waits for a VM that takes its place.
	proposerDelay      = 1200 * time.Millisecond // Wait of each further proposer, above a slow write to the store.
)

// Retirement is the operator's request to empty a VM.
type Retirement struct {
	VM      string
	Version uint64
	Running bool // Reported as under way.
	Done    bool // Reported as done.
}

// RetirementStore reads the requests to empty a VM and reports their state.
type RetirementStore interface {
	RetirementKind() string
	DecodeRetirement(o platform.Object) Retirement
	ReportRetirement(ctx context.Context, r Retirement, done bool) (version uint64, err error)
}

// Membership registers a replica, watches the others, changes the view and copies what the replica lacks.
type Membership struct {
	Self        replica.Member
	RegionOf    func(dataCentre string) string
	Tolerate    func() int // VMs with a disk that may be lost at the same time.
	Server      *Server
	Store       platform.Store
	Retirements RetirementStore
	Client      *http.Client
	Log         *slog.Logger

	copying  atomic.Bool
	progress *copyProgress       // Used by the copy under way only.
	noted    map[string]standing // By member of the current set, as it was last logged. Used by Run only.

	mu            sync.Mutex
	registered    map[string]replica.Member
	retiring      map[string]Retirement
	lastAnswer    map[string]time.Time // By VM.
	probing       map[string]bool      // VMs with a probe under way.
	firstSeen     map[string]time.Time // By VM; only of VMs that registered while this replica watched.
	retiringSince map[string]time.Time // By VM.
	listed        bool                 // The registrations have been read once.
	heard         time.Time            // When the store last answered about registrations, or the start.
	view          replica.View
	viewRev       uint64
	dueSince      time.Time // Since when a change of the view is due; zero where none is.
	copiedFor     uint64    // Epoch whose earlier sets were copied.
	started       time.Time
	changed       chan struct{}
}

// Prepare sets up the maps of a Membership. It must be called once before the runs.
func (m *Membership) Init() {
	m.registered = map[string]replica.Member{}
	m.retiring = map[string]Retirement{}
	m.lastAnswer = map[string]time.Time{}
	m.probing = map[string]bool{}
	m.firstSeen = map[string]time.Time{}
	m.retiringSince = map[string]time.Time{}
	m.noted = map[string]standing{}
	m.view = m.Server.View()
	m.started = time.Now()
	m.heard = m.started
	m.changed = make(chan struct{}, 1)
}

func (m *Membership) wake() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// RunWatchers follows the three kinds of objects. It returns when the context ends.
func (m *Membership) RunWatchers(ctx context.Context) error {
	var wg sync.WaitGroup
	follow := func(kind string, h platform.Handler, onRead func(at time.Time)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			platform.Follow(ctx, m.Store, kind, platform.FollowOptions{WatchDelay: watchPause, Log: m.Log, OnResponse: onRead}, h)
		}()
	}
	follow(RegistrationKind, m.onRegistrations, m.onRegistrationsRead)
	follow(ViewKind, m.onView, nil)
	follow(m.Retirements.RetirementKind(), m.onRetirements, nil)
	wg.Wait()
	return ctx.Err()
}

func (m *Membership) onRegistrations(objects map[string]platform.Object) {
	next := map[string]replica.Member{}
	for name, o := range objects {
		var r replica.Member
		if err := json.Unmarshal(o.Value, &r); err != nil || r.VM != name {
			m.Log.Warn("registration of a replica cannot be decoded", "name", name, "error", err)
			continue
		}
		next[name] = r
	}
	m.mu.Lock()
	for vm := range next {
		if _, known := m.registered[vm]; !known && m.listed {
			m.firstSeen[vm] = time.Now()
		}
	}
	m.listed = true
	m.registered = next
	m.mu.Unlock()
	m.wake()
}

func (m *Membership) onRegistrationsRead(at time.Time) {
	m.mu.Lock()
	m.heard = at
	m.mu.Unlock()
}

func (m *Membership) onView(objects map[string]platform.Object) {
	o, ok := objects[ViewName]
	if !ok {
		return
	}
	var v replica.View
	if err := json.Unmarshal(o.Value, &v); err != nil {
		m.Log.Error("view cannot be decoded", "error", err, "revision", o.Version)
		return
	}
	m.mu.Lock()
	if v.Version >= m.view.Version {
		m.view, m.viewRev = v, o.Version
	}
	m.mu.Unlock()
	m.wake()
}

func (m *Membership) onRetirements(objects map[string]platform.Object) {
	next := make(map[string]Retirement, len(objects))
	for name, o := range objects {
		next[name] = m.Retirements.DecodeRetirement(o)
	}
	m.mu.Lock()
	for vm := range next {
		if _, known := m.retiring[vm]; !known {
			m.retiringSince[vm] = time.Now()
		}
	}
	m.retiring = next
	m.mu.Unlock()
	m.wake()
}

// Run registers the replica and keeps the view in step with the fleet.
func (m *Membership) Run(ctx context.Context) error {
	tick := time.NewTicker(membershipInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-m.changed:
		}
		m.register(ctx)
		m.follow(ctx)
		m.propose(ctx)
		m.retire(ctx)
	}
}

// register writes this replica's registration when the store has none or another one.
func (m *Membership) register(ctx context.Context) {
	m.mu.Lock()
	present, known := m.registered[m.Self.VM]
	m.mu.Unlock()
	if known && present == m.Self {
		return
	}
	var version uint64
	o, err := m.Store.Get(ctx, RegistrationKind, m.Self.VM)
	switch {
	case err == nil:
		version = o.Version
		var stored replica.Member
		if json.Unmarshal(o.Value, &stored) == nil && stored == m.Self {
			m.mu.Lock()
			m.registered[m.Self.VM] = m.Self
			m.mu.Unlock()
			return
		}
	case !errors.Is(err, platform.ErrNotFound):
		m.Log.Warn("registration cannot be read", "error", err)
		clock.Sleep(ctx, membershipInterval)
		return
	}
	if _, err := m.Store.Put(ctx, RegistrationKind, m.Self.VM, version, m.Self); err != nil {
		m.Log.Warn("replica is not registered", "error", err)
		return
	}
	m.mu.Lock()
	m.registered[m.Self.VM] = m.Self
	m.mu.Unlock()
	m.Log.Info("replica registered", "disk", m.Self.Disk, "address", m.Self.Address)
}

// follow adopts the newest view, and copies the earlier sets when this replica belongs to the last one.
func (m *Membership) follow(ctx context.Context) {
	m.mu.Lock()
	v := m.view
	m.mu.Unlock()
	if newer := m.Server.View(); newer.Version > v.Version {
		v = newer
	}
	if v.Version == 0 {
		return
	}
	if !m.Server.adopt(ctx, v) {
		return
	}
	if v.IsSettled() || !replica.Contains(v.CurrentSet(), m.Self.Key()) || !v.MustCopy(m.Self) || m.marked(v) {
		return
	}
	m.mu.Lock()
	copied := m.copiedFor == v.Epoch
	m.mu.Unlock()
	if !copied {
		if m.copying.CompareAndSwap(false, true) {
			go m.copy(ctx, v)
		}
		return
	}
	m.change(ctx, "copied", func(now replica.View) (replica.View, bool) {
		if now.Epoch != v.Epoch {
			return now, false
		}
		return replica.MarkCopied(now, m.Self.Key())
	})
}

// copy copies the earlier sets beside the other work of the membership.
func (m *Membership) copy(ctx context.Context, v replica.View) {
	defer m.copying.Store(false)
	start := time.Now()
	if m.progress == nil || m.progress.epoch != v.Epoch {
		m.progress = &copyProgress{epoch: v.Epoch, answered: map[string]bool{m.Self.Key(): true}, holders: map[string][]replica.Member{}}
	}
	if err := m.copyEarlierSets(ctx, v, m.progress); err != nil {
		m.Log.Warn("copy of the earlier sets failed", "view", v.Version, "error", err)
		return
	}
	m.mu.Lock()
	m.copiedFor = v.Epoch
	m.mu.Unlock()
	m.Log.Info("earlier sets copied", "view", v.Version, "took", time.Since(start))
	m.wake()
}

// copyProgress is what has been read of the earlier sets. It survives a failed attempt.
type copyProgress struct {
	epoch    uint64
	answered map[string]bool
	holders  map[string][]replica.Member // By turn.
}

// forget drops what a source has answered that gives no turns. It may be gone, and a turn that only it has is on no quorum, or
// on another source too.
func (p *copyProgress) forget(source replica.Member) {
	delete(p.answered, source.Key())
	for id, from := range p.holders {
		p.holders[id] = slices.DeleteFunc(from, func(h replica.Member) bool { return h.Key() == source.Key() })
	}
}

func (m *Membership) marked(v replica.View) bool {
	for _, k := range v.Copied {
		if k == m.Self.Key() {
			return true
		}
	}
	return false
}

// propose changes the view when the fleet asks for it.
func (m *Membership) propose(ctx context.Context) {
	m.probe(ctx)
	m.mu.Lock()
	fresh := m.view.Version == 0
	waiting := fresh && len(m.registered) < replica.TargetSetSize(m.Tolerate()) && time.Since(m.started) < firstViewDelay
	m.mu.Unlock()
	if waiting || fresh && time.Since(m.started) < membershipInterval {
		return
	}
	f := m.fleet()
	m.mu.Lock()
	v := m.view
	m.mu.Unlock()
	v.ToleratedFailures = m.Tolerate()
	rank, may := replica.ProposerRank(v, f, m.Self.VM)
	_, due := replica.Propose(v, f)
	m.noteMembers(v, f, due && may)
	if !due || !may {
		m.dueSince = time.Time{}
		return
	}
	if m.dueSince.IsZero() {
		m.dueSince = time.Now()
	}
	if time.Since(m.dueSince) < time.Duration(rank)*proposerDelay {
		return
	}
	m.change(ctx, "proposed", func(v replica.View) (replica.View, bool) {
		v.ToleratedFailures = m.Tolerate()
		return replica.Propose(v, f)
	})
}

// standing is what a replica believes of a member of the current set.
type standing string

const (
	answers standing = "answers"
	silent  standing = "silent"
	overdue standing = "overdue" // Silent for longer than a successor waits to take its place.
)

// noteMembers logs each change of what is believed of a member of the current set, with the inputs of the decision to
// replace it.
func (m *Membership) noteMembers(v replica.View, f replica.Fleet, proposes bool) {
	m.mu.Lock()
	age := time.Since(m.heard)
	m.mu.Unlock()
	noted := map[string]standing{}
	for _, member := range v.CurrentSet() {
		now, quiet := answers, f.UnresponsiveFor(member.VM)
		switch {
		case f.IsResponsive(member.VM):
		case quiet > replica.ReplaceBySuccessorAfter:
			now = overdue
		default:
			now = silent
		}
		noted[member.Key()] = now
		before, known := m.noted[member.Key()]
		if now == before || !known && now == answers {
			continue
		}
		m.Log.Info("member of the view", "member", member.VM, "disk", member.Disk, "standing", now, "before", before,
			"silent_for", quiet, "view", v.Version, "registered", len(f.Registered), "registrations_age", age, "proposes", proposes)
	}
	m.noted = noted
}

func (m *Membership) fleet() replica.Fleet {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := replica.Fleet{Evacuating: map[string]bool{}}
	for _, r := range m.registered {
		f.Registered = append(f.Registered, r)
	}
	f.RecentlyRegistered = map[string]bool{}
	for vm, at := range m.firstSeen {
		f.RecentlyRegistered[vm] = time.Since(at) < youngFor
	}
	f.EvacuateWithoutSuccessor = map[string]bool{}
	for vm := range m.retiring {
		f.Evacuating[vm] = true
		f.EvacuateWithoutSuccessor[vm] = time.Since(m.retiringSince[vm]) > successorWait
	}
	last := make(map[string]time.Time, len(m.lastAnswer))
	for vm, at := range m.lastAnswer {
		last[vm] = at
	}
	self, started, now := m.Self.VM, m.started, time.Now()
	f.UnresponsiveFor = func(vm string) time.Duration {
		if vm == self {
			return 0
		}
		if last[vm].Before(started) {
			return now.Sub(started)
		}
		return now.Sub(last[vm])
	}
	f.IsResponsive = func(vm string) bool { return vm == self || now.Sub(last[vm]) < replica.MaxResponseAge }
	return f
}

// change writes a changed view under the condition that nobody else has.
func (m *Membership) change(ctx context.Context, reason string, next func(replica.View) (replica.View, bool)) {
	m.mu.Lock()
	v, rev := m.view, m.viewRev
	m.mu.Unlock()
	proposed, ok := next(v)
	if !ok {
		return
	}
	version, err := m.Store.Put(ctx, ViewKind, ViewName, rev, proposed)
	if conflict, is := platform.AsConflict(err); is {
		if conflict.Current != nil {
			m.onView(map[string]platform.Object{ViewName: *conflict.Current})
		}
		return
	}
	if err != nil {
		m.Log.Warn("view is not written", "reason", reason, "view", proposed.Version, "error", err)
		return
	}
	m.mu.Lock()
	if proposed.Version >= m.view.Version {
		m.view, m.viewRev = proposed, version
	}
	m.mu.Unlock()
	m.Log.Info("view written", "reason", reason, "view", proposed.Version, "sets", len(proposed.Sets), "members", len(proposed.CurrentSet()))
	m.wake()
}

// probe notes which replicas answer. It does not wait for those that answer late: a VM that is gone must not delay each step of
// the others. A late answer counts from the next step on.
func (m *Membership) probe(ctx context.Context) {
	var wg sync.WaitGroup
	m.mu.Lock()
	for vm, target := range m.registered {
		if vm == m.Self.VM || m.probing[vm] {
			continue
		}
		m.probing[vm] = true
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			err := m.get(ctx, target.Address, PathProbe+"?disk="+url.QueryEscape(target.Disk))
			m.mu.Lock()
			defer m.mu.Unlock()
			delete(m.probing, vm)
			if err == nil {
				m.lastAnswer[vm] = time.Now()
			}
		}()
	}
	m.mu.Unlock()
	answered := make(chan struct{})
	go func() {
		wg.Wait()
		close(answered)
	}()
	late := time.NewTimer(probeWait)
	defer late.Stop()
	select {
	case <-answered:
	case <-late.C:
	}
}

// retire reports the state of the requests to empty a VM.
func (m *Membership) retire(ctx context.Context) {
	m.mu.Lock()
	r, wanted := m.retiring[m.Self.VM]
	v := m.view
	m.mu.Unlock()
	if !wanted || r.Done || v.Version == 0 {
		return
	}
	inUse := false
	for _, set := range v.Sets {
		for _, member := range set {
			inUse = inUse || member.VM == m.Self.VM
		}
	}
	if inUse && r.Running {
		return
	}
	if !inUse && !slices.Contains(v.Evacuated, m.Self.VM) {
		m.change(ctx, "emptied", func(v replica.View) (replica.View, bool) { return replica.MarkEvacuated(v, m.Self.VM) })
		return
	}
	version, err := m.Retirements.ReportRetirement(ctx, r, !inUse)
	if err != nil {
		m.Log.Warn("retirement is not reported", "done", !inUse, "error", err)
		return
	}
	r.Running, r.Done, r.Version = inUse, !inUse, version
	m.mu.Lock()
	m.retiring[m.Self.VM] = r
	m.mu.Unlock()
	m.Log.Info("retirement reported", "done", r.Done, "view", v.Version)
}

// copyEarlierSets reads the inventories of a read quorum of each earlier set, and of the others as far as they answer, and
// stores what this replica must have.
func (m *Membership) copyEarlierSets(ctx context.Context, v replica.View, p *copyProgress) error {
	var unread []replica.Member
	for _, member := range replica.Union(v.Sets[:len(v.Sets)-1]) {
		lost := member.VM == m.Self.VM && member.Disk != m.Self.Disk
		if !lost && !p.answered[member.Key()] { // Its own key is there from the start.
			unread = append(unread, member)
		}
	}
	type reading struct {
		member    replica.Member
		inventory Inventory
		err       error
	}
	readings := make(chan reading, len(unread))
	for _, member := range unread {
		go func() {
			inv, err := m.fetchInventory(ctx, member, v)
			readings <- reading{member, inv, err}
		}()
	}
	var late <-chan time.Time // Set when the inventories that are needed have been read.
	if knowsEarlier(v, p.answered) {
		late = time.After(lateInventory)
	}
	for range unread {
		select {
		case r := <-readings:
			if r.err != nil {
				m.Log.Warn("inventory cannot be read", "source", r.member.VM, "error", r.err)
				continue
			}
			if err := m.storeLedgers(ctx, r.inventory.Programs); err != nil {
				return err
			}
			p.answered[r.member.Key()] = true
			for _, id := range r.inventory.Turns {
				p.holders[id] = append(p.holders[id], r.member)
			}
			if knowsEarlier(v, p.answered) {
				late = time.After(lateInventory)
			}
			continue
		case <-late:
		}
		break
	}
	if !knowsEarlier(v, p.answered) {
		return errors.Newf("%d replicas of the earlier sets answered, which is no read quorum of each", len(p.answered)-1)
	}
	return m.copyTurns(ctx, v, p)
}

// distance is 0 for a member in the own data centre, 1 in the own region and 2 elsewhere.
func (m *Membership) distance(member replica.Member) int {
	switch {
	case member.DataCentre == m.Self.DataCentre:
		return 0
	case m.RegionOf(member.DataCentre) == m.RegionOf(m.Self.DataCentre):
		return 1
	default:
		return 2
	}
}

// knowsEarlier reports whether the members that answered know every write of the earlier sets.
func knowsEarlier(v replica.View, answered map[string]bool) bool {
	earlier := v
	earlier.Sets = v.Sets[:len(v.Sets)-1]
	return earlier.HasReadQuorum(answered)
}

// copyTurns fetches the turns that this replica lacks and that the last set does not hold on a write quorum without it, from
// its own data centre where one there has them, then from its own region. It goes on without a source that fails as long as
// the others are a read quorum of each earlier set.
func (m *Membership) copyTurns(ctx context.Context, v replica.View, p *copyProgress) error {
	for {
		wanted := map[string][]string{}
		members := map[string]replica.Member{}
		for id, from := range p.holders {
			if len(from) == 0 || m.Server.state.has(id) || v.IsStoredByQuorum(from) {
				continue
			}
			source := slices.MinFunc(from, func(a, b replica.Member) int { return m.distance(a) - m.distance(b) })
			wanted[source.Key()] = append(wanted[source.Key()], id)
			members[source.Key()] = source
		}
		if len(wanted) == 0 {
			return nil
		}
		for key, ids := range wanted {
			source := members[key]
			for len(ids) > 0 {
				n := min(len(ids), maxTurnsPerCopy)
				records, err := m.fetchTurns(ctx, source, v, ids[:n])
				if err != nil {
					p.forget(source)
					if !knowsEarlier(v, p.answered) {
						return errors.Wrapf(err, "read turns from %s", source.VM)
					}
					m.Log.Warn("turns cannot be read", "source", source.VM, "turns", len(ids), "error", err)
					break
				}
				if len(records) > 0 {
					if err := m.Server.storeCopied(ctx, records); err != nil {
						return err
					}
				}
				for _, id := range ids[:n] {
					delete(p.holders, id) // What the source no longer has is past its time.
				}
				ids = ids[n:]
			}
		}
	}
}

func (m *Membership) fetchInventory(ctx context.Context, member replica.Member, v replica.View) (Inventory, error) {
	var answer CopyResponse
	if err := m.post(ctx, member.Address, PathInventory, CopyRequest{View: v, Disk: member.Disk}, &answer); err != nil {
		return Inventory{}, err
	}
	if answer.Inventory == nil {
		return Inventory{}, errors.Newf("replica %s refuses view %d", member.Key(), v.Version)
	}
	return *answer.Inventory, nil
}

// storeLedgers makes the charges durable that this replica lacks, one entry for each program.
func (m *Membership) storeLedgers(ctx context.Context, programs []ProgramLedger) error {
	var records []record
	now := time.Now()
	for _, p := range programs {
		charges := m.Server.state.unknown(p)
		if len(charges) == 0 {
			continue
		}
		retain := time.Duration(p.RemainingMS)*time.Millisecond - expirySlack
		records = append(records, record{entry: entry{At: now, Retain: retain, Ledger: &ledgerEntry{Program: p.Program, Charges: charges}}})
	}
	for group := range slices.Chunk(records, copyGroup) {
		if err := m.Server.storeCopied(ctx, group); err != nil {
			return err
		}
	}
	return nil
}

// maxInventoryBytes bounds an inventory as it is decoded. The turns and ledgers of a minute and a half at 600 turns a second, the
// most that one group of replicas carries, have 10 MB.
const maxInventoryBytes = 32 << 20

// copyGroup bounds the entries that a copy hands to the disk at once.
const copyGroup = 500

func (m *Membership) get(ctx context.Context, address, path string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errors.Wrap(err, "build a request")
	}
	resp, err := m.Client.Do(req)
	if err != nil {
		return err
	}
	_, _ = io.CopyN(io.Discard, resp.Body, 1) // An empty body; of any other, the connection is not used again.
	if err := resp.Body.Close(); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusNoContent {
		return errors.Newf("status %d", resp.StatusCode)
	}
	return nil
}

// fetchTurns reads turns from another replica as they stand in its log.
func (m *Membership) fetchTurns(ctx context.Context, member replica.Member, v replica.View, ids []string) ([]record, error) {
	resp, err := m.send(ctx, member.Address, PathTurns, CopyRequest{View: v, Disk: member.Disk, TurnIDs: ids})
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get("Content-Type") != "application/octet-stream" {
		return nil, errors.Newf("replica %s refuses view %d", member.Key(), v.Version)
	}
	return readPayloads(resp.Body)
}

func (m *Membership) post(ctx context.Context, address, path string, body, into any) error {
	resp, err := m.send(ctx, address, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var from io.Reader = resp.Body
	if resp.Header.Get("Content-Encoding") == "gzip" {
		z, err := gzip.NewReader(resp.Body)
		if err != nil {
			return errors.Wrap(err, "decompress an answer")
		}
		from = z
	}
	return errors.Wrapf(json.NewDecoder(io.LimitReader(from, maxInventoryBytes)).Decode(into), "decode the first %d bytes of an answer", maxInventoryBytes)
}

// errStalled ends a request whose answer does not go on.
var errStalled = errors.Newf("no byte for %s", copyStall)

// copyBody is the body of an answer to a copy request. It ends the request when it stalls.
type copyBody struct {
	io.ReadCloser
	stall  *time.Timer
	cancel context.CancelFunc
}

// Read implements io.Reader.
func (b *copyBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.stall.Reset(copyStall)
	}
	return n, err
}

// Close implements io.Closer.
func (b *copyBody) Close() error {
	b.stall.Stop()
	defer b.cancel()
	return b.ReadCloser.Close()
}

// send posts a body and returns an answer with status 200. The request ends after copyTimeout, and before when nothing arrives
// for copyStall.
func (m *Membership) send(ctx context.Context, address, path string, body any) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	ctx, stalled := context.WithCancelCause(ctx)
	stall := time.AfterFunc(copyStall, func() { stalled(errStalled) })
	resp, err := m.request(ctx, address, path, body)
	if err != nil {
		stall.Stop()
		cancel()
		return nil, err
	}
	resp.Body = &copyBody{ReadCloser: resp.Body, stall: stall, cancel: cancel}
	return resp, nil
}

func (m *Membership) request(ctx context.Context, address, path string, body any) (*http.Response, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode a request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		return nil, errors.Wrap(err, "build a request")
	}
	resp, err := m.Client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close() // The status says all.
		return nil, errors.Newf("status %d", resp.StatusCode)
	}
	return resp, nil
}
