package replica

import (
	"context"
	"slices"
	"time"

	"jackdawbay.dev/core/replica"
	"jackdawbay.dev/daemon/platform"
)

// onRetirements updates the requests to evacuate VMs and records when each was first observed.
func (m *Membership) onRetirements(objects map[string]platform.Object) {
	next := make(map[string]Retirement, len(objects))
	for name, o := range objects {
		next[name] = m.Retirements.DecodeRetirement(o)
	}
	m.mu.Lock()
	for vm := range next {
		if _, found := m.retirements[vm]; !found {
			m.retirementObservedAt[vm] = time.Now()
		}
	}
	m.retirements = next
	m.mu.Unlock()
	m.wake()
}

// advanceRetirement reports the state of a request to evacuate this VM. The VM is evacuated when no set of the view
// contains it. That is written to the view before it is reported as done.
func (m *Membership) advanceRetirement(ctx context.Context) {
	m.mu.Lock()
	r, requested := m.retirements[m.Self.VM]
	v := m.view
	m.mu.Unlock()
	if !requested || r.Done || v.Version == 0 {
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
		mark := func(v replica.View) (replica.View, bool) {
			return replica.MarkEvacuated(v, m.Self.VM, m.fleetSnapshot().Responsive())
		}
		if _, ok := mark(v); !ok {
			m.evacuableSince = time.Time{}
			return
		}
		if m.evacuableSince.IsZero() {
			m.evacuableSince = time.Now()
		}
		if time.Since(m.evacuableSince) < replica.EvacuationConfirmTime {
			return
		}
		m.writeView(ctx, "emptied", mark)
		return
	}
	version, err := m.Retirements.ReportRetirement(ctx, r, !inUse)
	if err != nil {
		m.Log.Warn("cannot report retirement", "done", !inUse, "error", err)
		return
	}
	r.Running, r.Done, r.Version = inUse, !inUse, version
	m.mu.Lock()
	m.retirements[m.Self.VM] = r
	m.mu.Unlock()
	m.Log.Info("retirement reported", "done", r.Done, "view", v.Version)
}
