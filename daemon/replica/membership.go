package replica

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"jackdawbay.dev/core/relay"
	"jackdawbay.dev/core/replica"
	"jackdawbay.dev/daemon/platform"
)

// Object kinds and names of the replicas in the platform's store.
const (
	RegistrationKind = "jackdawbay-replicas"
	ViewKind         = "jackdawbay-views" // The views of the groups, by replica.ViewName, and the layout.
	LayoutName       = "layout"
)

// Intervals and timeouts of the membership.
const (
	membershipInterval    = 500 * time.Millisecond
	probeTimeout          = 400 * time.Millisecond  // Several times a round trip between regions.
	maxProbeWait          = 100 * time.Millisecond  // Max wait of one step for responses; above a round trip between regions.
	firstViewDelay        = 1500 * time.Millisecond // VMs that start together for the first time register within this time.
	copyTimeout           = 10 * time.Second        // Allows for an inventory of megabytes over a busy link between regions.
	copyStallTimeout      = 1500 * time.Millisecond // Time without a received byte; above a slow sync.
	extraInventoryWait    = 500 * time.Millisecond  // Wait for further inventories after a read quorum has been read.
	watchDelay            = 100 * time.Millisecond  // Changes in the store within this time are read by one watch.
	startTogetherTime     = 5 * time.Second         // VMs that register within this time of the first one have started together; none is the successor of another.
	maxStoreSilence       = 2 * time.Second         // Time without a response about the store's objects after which the store counts as away.
	maxSuccessorWait      = 2 * time.Second         // Time for which a VM that is to be evacuated waits for a successor.
	proposerRankDelay     = 1200 * time.Millisecond // Additional delay for each proposer rank; above a slow write to the store.
	registrationQuietTime = 500 * time.Millisecond  // Time without a new registration after which VMs that start together count as registered.
	firstViewLogInterval  = 5 * time.Second         // Interval of the log lines about a first view that cannot be formed.
	maxSettingsAge        = time.Minute             // Time within which a change of the settings reaches all VMs.
	groupObservationTime  = time.Second             // Time for which a VM without a group probes the others before it chooses one.
)

// Retirement is the operator's request to evacuate a VM.
type Retirement struct {
	VM      string
	Version uint64
	Running bool // The evacuation is reported as in progress.
	Done    bool // The evacuation is reported as done.
}

// RetirementStore decodes the operator's requests to evacuate VMs and reports their state.
type RetirementStore interface {
	RetirementKind() string
	DecodeRetirement(o platform.Object) Retirement
	ReportRetirement(ctx context.Context, r Retirement, done bool) (version uint64, err error)
}

// Membership registers a replica, assigns it to a group, monitors the other replicas of the group, proposes changes of the
// group's view, and copies the data that the replica does not have.
type Membership struct {
	Self              replica.Member
	RegionOf          func(dataCentre string) string
	ToleratedFailures func() int // Number of VMs with a disk that may fail at the same time.
	Server            *Server
	Store             platform.Store
	Follower          platform.Follower // Reads the registrations, the views and the retirements.
	Retirements       RetirementStore
	Client            *http.Client
	Log               *slog.Logger

	copying        atomic.Bool
	progress       *copyProgress           // Used only by the copy in progress.
	gaps           gapCloser               // Used only by closeGaps; running and startedAt are guarded by mu.
	loggedStatuses map[string]memberStatus // Last logged status by member key, for members of the current set. Used only by Run.
	evacuableSince time.Time               // Time since when this VM could be reported as evacuated; zero if it could not. Used only by Run.
	loggedReason   replica.Reason          // Last logged reason for a change of the view, or for none. Used only by Run.

	mu                   sync.Mutex
	registered           map[string]replica.Member // By VM.
	retirements          map[string]Retirement     // By VM.
	lastResponse         map[string]time.Time      // Last probe response by VM.
	probesInFlight       map[string]bool           // VMs with a probe in flight.
	registeredAtByVM     map[string]time.Time      // Time of day of the first registration, by VM; zero if unknown.
	retirementObservedAt map[string]time.Time      // Time at which the retirement was first observed, by VM.
	registrationsReadAt  time.Time                 // Time of the last read of the registrations, initially the start.
	registeredAt         time.Time                 // Time of the last change of the registrations.
	viewsListed          bool                      // The layout and the views have been read at least once.
	layout               replica.Layout            // Has no groups before it is known.
	layoutRevision       uint64                    // Store revision of the layout; zero if the store has none.
	view                 replica.View              // View of the own group.
	viewRevision         uint64                    // Store revision of the view; zero before the view has been read.
	layoutDueSince       time.Time                 // Time since when the first layout is due; zero if it is not.
	changeDueSince       time.Time                 // Time since when a change of the view is due; zero if none is due.
	firstViewLoggedAt    time.Time                 // Time of the last log line about a first view that cannot be formed. Used only by Run.
	lowerToleranceSince  time.Time                 // Time since when the settings tolerate fewer failures than the view; zero if they do not.
	copiedEpoch          uint64                    // Epoch for which the earlier sets were copied last.
	suspects, returned   observedKeys              // Of the newest view.
	startTime            time.Time
	wakeups              chan struct{} // Wakes Run.
}

// Init initializes the internal state of a Membership. It must be called once before Run and RunWatchers.
func (m *Membership) Init() {
	m.registered = map[string]replica.Member{}
	m.retirements = map[string]Retirement{}
	m.lastResponse = map[string]time.Time{}
	m.probesInFlight = map[string]bool{}
	m.retirementObservedAt = map[string]time.Time{}
	m.loggedStatuses = map[string]memberStatus{}
	m.view = m.Server.View()
	m.startTime = time.Now()
	m.registrationsReadAt = m.startTime
	m.wakeups = make(chan struct{}, 1)
}

// wake makes Run execute its next step without waiting for the interval.
func (m *Membership) wake() {
	select {
	case m.wakeups <- struct{}{}:
	default:
	}
}

// RunWatchers follows the registrations, the view and the retirements in the store. It returns when the context ends.
func (m *Membership) RunWatchers(ctx context.Context) error {
	var wg sync.WaitGroup
	follow := func(kind string, h platform.Handler, onResponse func(at time.Time)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			m.Follower.Follow(ctx, kind, platform.FollowOptions{WatchDelay: watchDelay, Log: m.Log, OnResponse: onResponse}, h)
		}()
	}
	follow(RegistrationKind, m.onRegistrations, m.onRegistrationsRead)
	follow(ViewKind, m.onViews, nil)
	follow(m.Retirements.RetirementKind(), m.onRetirements, nil)
	wg.Wait()
	return ctx.Err()
}

// RelayCandidates returns the registered replicas as relays of the store's objects.
func RelayCandidates(objects map[string]platform.Object) []relay.Candidate {
	var candidates []relay.Candidate
	for name, o := range objects {
		var r replica.Member
		if json.Unmarshal(o.Value, &r) == nil && r.VM == name { // Membership logs a registration that cannot be decoded.
			candidates = append(candidates, relay.Candidate{VM: r.VM, Address: r.Address, DataCentre: r.DataCentre})
		}
	}
	return candidates
}

// registration is the object of a replica in the platform's store.
type registration struct {
	replica.Member
	RegisteredAt time.Time `json:"registered_at"` // Time of day of the VM's first registration.
}

// onRegistrations updates the registered replicas.
func (m *Membership) onRegistrations(objects map[string]platform.Object) {
	next, registeredAt := map[string]replica.Member{}, map[string]time.Time{}
	for name, o := range objects {
		var r registration
		if err := json.Unmarshal(o.Value, &r); err != nil || r.VM != name {
			m.Log.Warn("cannot decode replica registration", "name", name, "error", err)
			continue
		}
		next[name], registeredAt[name] = r.Member, r.RegisteredAt
	}
	m.mu.Lock()
	m.registeredAtByVM = registeredAt
	if len(next) != len(m.registered) {
		m.registeredAt = time.Now()
	}
	m.registered = next
	m.mu.Unlock()
	m.wake()
}

func (m *Membership) onRegistrationsRead(at time.Time) {
	m.mu.Lock()
	m.registrationsReadAt = at
	m.mu.Unlock()
}

// onViews updates the layout and the view of the own group from the store.
func (m *Membership) onViews(objects map[string]platform.Object) {
	m.mu.Lock()
	m.viewsListed = true
	m.mu.Unlock()
	m.onLayout(objects)
	if group, ok := m.group(); ok {
		m.onView(objects[replica.ViewName(group)])
	}
	m.wake()
}

// onLayout updates the layout. Views without a layout are those of a single group.
func (m *Membership) onLayout(objects map[string]platform.Object) {
	o, found := objects[LayoutName]
	if !found {
		if _, hasView := objects[replica.ViewName(0)]; hasView {
			m.mu.Lock()
			m.layout = replica.SingleGroup()
			m.mu.Unlock()
		}
		return
	}
	var l replica.Layout
	if err := json.Unmarshal(o.Value, &l); err != nil || !l.IsValid() {
		m.Log.Error("cannot decode layout of the replicas", "error", err, "revision", o.Version, "groups", l.Groups)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.Version >= m.layoutRevision {
		m.layout, m.layoutRevision = l, o.Version
	}
}

// group returns the group of this replica, and whether it has one.
func (m *Membership) group() (int, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.layout.Group(m.Self.VM)
}

// onView updates the view of the own group, unless this replica has already observed a newer version.
func (m *Membership) onView(o platform.Object) {
	if o.Version == 0 {
		return // The group has no view yet.
	}
	var v replica.View
	if err := json.Unmarshal(o.Value, &v); err != nil {
		m.Log.Error("cannot decode view", "error", err, "name", o.Name, "revision", o.Version)
		return
	}
	m.mu.Lock()
	if v.Version >= m.view.Version {
		m.view, m.viewRevision = v, o.Version
	}
	m.mu.Unlock()
	m.wake()
}

// Run registers the replica and changes the view when the state of the replicas requires it. It returns when the context
// ends.
func (m *Membership) Run(ctx context.Context) error {
	tick := time.NewTicker(membershipInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case <-m.wakeups:
		}
		m.register(ctx)
		m.followView(ctx)
		m.startClosingGaps(ctx)
		m.probeMembers(ctx)
		m.joinGroup(ctx)
		m.proposeView(ctx)
		m.advanceRetirement(ctx)
	}
}

// followView adopts the newest view. If this replica is a member of the last set and must copy the earlier sets, it starts
// the copy, and marks the replica as copied in the view when the copy is complete.
func (m *Membership) followView(ctx context.Context) {
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
	if slices.Contains(v.Suspects, m.Self.Key()) {
		m.writeView(ctx, "present", func(v replica.View) (replica.View, bool) { return replica.MarkPresent(v, m.Self.Key()) })
	}
	copyDue := !v.IsSettled() && replica.Contains(v.CurrentSet(), m.Self.Key()) && v.MustCopy(m.Self) && !m.isMarkedCopied(v)
	m.Server.copyDue.Store(copyDue)
	if !copyDue {
		return
	}
	m.mu.Lock()
	copied := m.copiedEpoch == v.Epoch
	m.mu.Unlock()
	if !copied {
		if m.copying.CompareAndSwap(false, true) {
			go m.runCopy(ctx, v)
		}
		return
	}
	m.writeView(ctx, "copied", func(current replica.View) (replica.View, bool) {
		if current.Epoch != v.Epoch {
			return current, false
		}
		return replica.MarkCopied(current, m.Self.Key())
	})
}

// isMarkedCopied reports whether the view lists this replica among the members that have copied the earlier sets.
func (m *Membership) isMarkedCopied(v replica.View) bool {
	for _, k := range v.Copied {
		if k == m.Self.Key() {
			return true
		}
	}
	return false
}

// proposeView writes the next view of the own group if a change is due, after the delay of this replica's proposer rank.
func (m *Membership) proposeView(ctx context.Context) {
	if _, ok := m.group(); !ok {
		return
	}
	f := m.fleetSnapshot()
	m.mu.Lock()
	v := m.view
	m.mu.Unlock()
	if v.Version == 0 && !m.canFormFirstView(f) {
		return
	}
	tolerated := m.proposedTolerance(v)
	rank, canPropose := replica.ProposerRank(v, f, m.Self.VM)
	_, due, reason := replica.ProposeWithReason(v, f, tolerated)
	m.logStatusChanges(v, f, due && canPropose)
	m.logReason(v, f, reason)
	if !due || !canPropose {
		m.changeDueSince = time.Time{}
		return
	}
	if m.changeDueSince.IsZero() {
		m.changeDueSince = time.Now()
	}
	if time.Since(m.changeDueSince) < time.Duration(rank)*proposerRankDelay {
		return
	}
	m.writeView(ctx, "proposed", func(v replica.View) (replica.View, bool) {
		return replica.Propose(v, f, tolerated)
	})
}

// proposedTolerance returns the number of tolerated failures that this replica proposes for a view. A higher number in the
// settings is proposed at once. A lower one is proposed after maxSettingsAge, since the settings files of the VMs do not change at
// the same time, and a replica with older settings must not undo a rise.
func (m *Membership) proposedTolerance(v replica.View) int {
	wanted := m.ToleratedFailures()
	if v.Version == 0 || wanted >= v.ToleratedFailures {
		m.lowerToleranceSince = time.Time{}
		return wanted
	}
	if m.lowerToleranceSince.IsZero() {
		m.lowerToleranceSince = time.Now()
	}
	if time.Since(m.lowerToleranceSince) < maxSettingsAge {
		return v.ToleratedFailures
	}
	return wanted
}

// memberStatus is the status of a member of the current set, as observed by this replica.
type memberStatus string

const (
	statusResponsive   memberStatus = "answers"
	statusUnresponsive memberStatus = "silent"
	statusOverdue      memberStatus = "overdue" // Unresponsive for longer than replica.ReplaceBySuccessorAfter.
)

// logStatusChanges logs each change in the status of a member of the current set, with the inputs of the decision to
// replace it.
func (m *Membership) logStatusChanges(v replica.View, f replica.Fleet, proposes bool) {
	m.mu.Lock()
	registrationsAge := time.Since(m.registrationsReadAt)
	m.mu.Unlock()
	statuses := map[string]memberStatus{}
	for _, member := range v.CurrentSet() {
		status, unresponsiveFor := statusResponsive, f.UnresponsiveFor(member.VM)
		switch {
		case f.IsResponsive(member.VM):
		case unresponsiveFor > replica.ReplaceBySuccessorAfter:
			status = statusOverdue
		default:
			status = statusUnresponsive
		}
		statuses[member.Key()] = status
		previous, found := m.loggedStatuses[member.Key()]
		if status == previous || !found && status == statusResponsive {
			continue
		}
		m.Log.Info("member of the view", "member", member.VM, "disk", member.Disk, "standing", status, "before", previous,
			"silent_for", unresponsiveFor, "view", v.Version, "registered", len(f.Registered), "registrations_age", registrationsAge, "proposes", proposes)
	}
	m.loggedStatuses = statuses
}

// fleetSnapshot returns the current state of the replicas of the own group as the input of a change of the view, or of all
// replicas while this one has no group.
func (m *Membership) fleetSnapshot() replica.Fleet {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	f := replica.Fleet{Evacuating: map[string]bool{}, Now: now}
	// A suspect cannot remove itself while the store is away.
	storeAway := now.Sub(m.registrationsReadAt) > maxStoreSilence
	f.SuspectedFor = m.suspects.observe(now, m.view.Suspects, storeAway)
	f.ReturnedFor = m.returned.observe(now, m.view.Returned, false)
	f.Registered = m.peersLocked()
	f.RecentlyRegistered = recentRegistrations(m.registeredAtByVM, now)
	f.EvacuateWithoutSuccessor = map[string]bool{}
	for vm := range m.retirements {
		f.Evacuating[vm] = true
		f.EvacuateWithoutSuccessor[vm] = time.Since(m.retirementObservedAt[vm]) > maxSuccessorWait
	}
	lastResponses := make(map[string]time.Time, len(m.lastResponse))
	for vm, at := range m.lastResponse {
		lastResponses[vm] = at
	}
	self, startTime := m.Self.VM, m.startTime
	f.UnresponsiveFor = func(vm string) time.Duration {
		if vm == self {
			return 0
		}
		if lastResponses[vm].Before(startTime) {
			return now.Sub(startTime)
		}
		return now.Sub(lastResponses[vm])
	}
	f.IsResponsive = func(vm string) bool { return vm == self || now.Sub(lastResponses[vm]) < replica.MaxResponseAge }
	return f
}

// recentRegistrations returns the VMs that registered lately, without those that started together with the first one.
func recentRegistrations(registeredAt map[string]time.Time, now time.Time) map[string]bool {
	var first time.Time
	for _, at := range registeredAt {
		if !at.IsZero() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	recent := map[string]bool{}
	for vm, at := range registeredAt {
		recent[vm] = at.Sub(first) > startTogetherTime && now.Sub(at) < replica.RecentRegistration
	}
	return recent
}

// observedKeys is a list of keys of a view with the time since when it is unchanged.
type observedKeys struct {
	keys  []string
	since time.Time
}

// observe returns the time since when the keys are unchanged. A reset begins it anew.
func (o *observedKeys) observe(now time.Time, keys []string, reset bool) time.Duration {
	if reset || o.since.IsZero() || !slices.Equal(o.keys, keys) {
		o.keys, o.since = keys, now
	}
	return now.Sub(o.since)
}

// logReason logs why a view is to be changed, or why it is not, each time that this changes.
func (m *Membership) logReason(v replica.View, f replica.Fleet, reason replica.Reason) {
	m.Server.viewReason.Store(string(reason))
	if reason == m.loggedReason {
		return
	}
	m.loggedReason = reason
	if v.Version == 0 {
		return // canFormFirstView logs what is missing.
	}
	responsive := f.Responsive()
	var silent []string
	for _, member := range replica.Union(v.Sets) {
		if !responsive[member.Key()] {
			silent = append(silent, member.Key())
		}
	}
	m.Log.Info("change of the view", "reason", reason, "view", v.Version, "sets", len(v.Sets), "copied", len(v.Copied), "silent", strings.Join(silent, ", "),
		"suspects", strings.Join(v.Suspects, ", "), "returned", strings.Join(v.Returned, ", "))
}

// writeView writes the view that update returns, if it reports a change. The write is conditional on the revision of the
// view that this replica has observed. After a conflict, it updates the view from the store.
func (m *Membership) writeView(ctx context.Context, reason string, update func(replica.View) (replica.View, bool)) {
	m.mu.Lock()
	v, revision := m.view, m.viewRevision
	group, hasGroup := m.layout.Group(m.Self.VM)
	m.mu.Unlock()
	proposed, ok := update(v)
	if !ok || !hasGroup {
		return
	}
	version, err := m.Store.Put(ctx, ViewKind, replica.ViewName(group), revision, proposed)
	if conflict, isConflict := platform.AsConflict(err); isConflict {
		if conflict.Current != nil {
			m.onView(*conflict.Current)
		}
		return
	}
	if err != nil {
		m.Log.Warn("view is not written", "reason", reason, "view", proposed.Version, "error", err)
		return
	}
	m.mu.Lock()
	if proposed.Version >= m.view.Version {
		m.view, m.viewRevision = proposed, version
	}
	m.mu.Unlock()
	m.Log.Info("view written", "reason", reason, "group", group, "view", proposed.Version, "sets", len(proposed.Sets), "members", len(proposed.CurrentSet()))
	m.wake()
}

// peersLocked returns the registered VMs of the own group, or all of them while this replica has no group. The caller holds
// the lock.
func (m *Membership) peersLocked() []replica.Member {
	all := slices.Collect(maps.Values(m.registered))
	if group, ok := m.layout.Group(m.Self.VM); ok {
		return m.layout.VMsOf(group, all)
	}
	return all
}
