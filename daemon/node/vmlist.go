package node

import (
	"context"
	"maps"
	"time"

	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/daemon/peer"
)

const (
	// vmListInterval is the interval in which the coordinator reads the platform's list of VMs. One reader for each data
	// centre keeps the reads proportional to data centres.
	vmListInterval = 1500 * time.Millisecond

	// vmListRepeat is how often an unchanged list is sent to the members again, for those that joined since.
	vmListRepeat = 10 * time.Second
)

// vmStateLeaving is the state of a VM that is about to stop.
const vmStateLeaving = "leaving"

// runVMList reads the platform's list of VMs while this daemon is the coordinator, and tells the members which upstream
// VMs are leaving. The list lags and may be wrong, so it only steers new work away.
func (n *Node) runVMList(ctx context.Context) error {
	var sent map[string]bool
	var at time.Time
	return clock.Every(ctx, vmListInterval, func(time.Time) {
		if !n.agent.IsCoordinator() {
			sent = nil
			return
		}
		leaving, err := n.readLeaving(ctx)
		if err != nil {
			return
		}
		if sent != nil && maps.Equal(sent, leaving) && time.Since(at) < vmListRepeat {
			return
		}
		n.sendLeaving(ctx, leaving)
		sent, at = leaving, time.Now()
	})
}

// readLeaving returns the addresses of the leaving VMs of this data centre.
func (n *Node) readLeaving(ctx context.Context) (map[string]bool, error) {
	list, err := n.store.VMs(ctx)
	if err != nil {
		return nil, err
	}
	leaving := map[string]bool{}
	for _, vm := range list {
		if vm.State == vmStateLeaving && vm.DataCentre == n.set.DataCentre {
			leaving[vm.Address] = true
		}
	}
	return leaving, nil
}

func (n *Node) sendLeaving(ctx context.Context, leaving map[string]bool) {
	message := peer.LeavingVMs{Addresses: make([]string, 0, len(leaving))}
	for a := range leaving {
		message.Addresses = append(message.Addresses, a)
	}
	n.pool.SetLeaving(message.Addresses)
	n.broadcast(ctx, peer.PathLeavingVMs, message, "leaving VMs were not announced")
}
