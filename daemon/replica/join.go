package replica

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/core/replica"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/daemon/platform"
)

// register writes the registration of this replica if the store has none or a different one.
func (m *Membership) register(ctx context.Context) {
	m.mu.Lock()
	current, found := m.registered[m.Self.VM]
	m.mu.Unlock()
	if found && current == m.Self {
		return
	}
	var version uint64
	own := registration{Member: m.Self, RegisteredAt: time.Now()}
	o, err := m.Store.Get(ctx, RegistrationKind, m.Self.VM)
	switch {
	case err == nil:
		version = o.Version
		var stored registration
		if json.Unmarshal(o.Value, &stored) == nil {
			own.RegisteredAt = stored.RegisteredAt
		}
		if stored.Member == m.Self {
			m.mu.Lock()
			m.registered[m.Self.VM] = m.Self
			m.mu.Unlock()
			return
		}
	case !errors.Is(err, platform.ErrNotFound):
		m.Log.Warn("cannot read own registration", "error", err)
		clock.Sleep(ctx, membershipInterval)
		return
	}
	if _, err := m.Store.Put(ctx, RegistrationKind, m.Self.VM, version, own); err != nil {
		m.Log.Warn("cannot register replica", "error", err)
		return
	}
	m.mu.Lock()
	m.registered[m.Self.VM] = m.Self
	if m.registeredAtByVM == nil {
		m.registeredAtByVM = map[string]time.Time{}
	}
	m.registeredAtByVM[m.Self.VM] = own.RegisteredAt
	m.mu.Unlock()
	m.Log.Info("replica registered", "disk", m.Self.Disk, "address", m.Self.Address)
}

// joinGroup writes the first layout, or adds this VM to the layout if it has no group. The first layout waits until the VMs
// that start together have registered, since their number decides the number of groups.
func (m *Membership) joinGroup(ctx context.Context) {
	if _, ok := m.group(); ok {
		return
	}
	m.mu.Lock()
	viewsListed, l, registeredAt, isRegistered := m.viewsListed, m.layout, m.registeredAt, m.registered[m.Self.VM] == m.Self
	m.mu.Unlock()
	if !viewsListed || !isRegistered {
		return
	}
	f := m.fleetSnapshot()
	if l.Groups > 0 {
		if time.Since(m.startTime) > groupObservationTime {
			m.writeLayout(ctx, func(l replica.Layout) (replica.Layout, bool) { return l.Assign(m.Self, f) })
		}
		return
	}
	if time.Since(m.startTime) < firstViewDelay || time.Since(registeredAt) < registrationQuietTime || !m.canFormFirstView(f) {
		return
	}
	if m.layoutDueSince.IsZero() {
		m.layoutDueSince = time.Now()
	}
	rank, _ := replica.ProposerRank(replica.View{}, f, m.Self.VM)
	if time.Since(m.layoutDueSince) < time.Duration(rank)*proposerRankDelay {
		return
	}
	m.writeLayout(ctx, func(l replica.Layout) (replica.Layout, bool) {
		return replica.NewLayout(f.Registered, m.ToleratedFailures()), l.Groups == 0
	})
}

// canFormFirstView reports whether enough replicas are registered and responsive for the first view. If not, it logs this.
func (m *Membership) canFormFirstView(f replica.Fleet) bool {
	responsive := 0
	for _, member := range f.Registered {
		if f.IsResponsive(member.VM) {
			responsive++
		}
	}
	required := replica.MinFirstSetSize(m.ToleratedFailures())
	if responsive >= required {
		return true
	}
	if time.Since(m.firstViewLoggedAt) > firstViewLogInterval {
		m.firstViewLoggedAt = time.Now()
		m.Log.Warn("first view waits for more replicas; no turn is served before", "responsive", responsive, "registered", len(f.Registered), "required", required,
			"tolerate", m.ToleratedFailures())
	}
	return false
}

// writeLayout writes the layout that update returns, if it reports a change. After a conflict, it updates the layout from the
// store.
func (m *Membership) writeLayout(ctx context.Context, update func(replica.Layout) (replica.Layout, bool)) {
	m.mu.Lock()
	l, revision := m.layout, m.layoutRevision
	m.mu.Unlock()
	next, ok := update(l)
	if !ok {
		return
	}
	version, err := m.Store.Put(ctx, ViewKind, LayoutName, revision, next)
	if conflict, isConflict := platform.AsConflict(err); isConflict {
		if conflict.Current != nil {
			m.onLayout(map[string]platform.Object{LayoutName: *conflict.Current})
		}
		return
	}
	if err != nil {
		m.Log.Warn("layout of the replicas is not written", "groups", next.Groups, "error", err)
		return
	}
	m.mu.Lock()
	if version >= m.layoutRevision {
		m.layout, m.layoutRevision = next, version
	}
	m.mu.Unlock()
	group, _ := m.group()
	m.Log.Info("layout of the replicas written", "groups", next.Groups, "vms", len(next.GroupOf), "own_group", group)
	m.wake()
}
