package node

import (
	"context"
	"maps"
	"time"

	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/daemon/peer"
)

const (
	// vmListInterval is the interval at which the coordinator reads the platform's list of VMs. With one reader for
	// each data centre, the number of reads is proportional to the number of data centres.
	vmListInterval = 1500 * time.Millisecond

	// vmListResendInterval is the interval at which an unchanged list is resent, for members that joined since.
	vmListResendInterval = 10 * time.Second
)

// vmStateLeaving is the state of a VM that is about to stop.
const vmStateLeaving = "leaving"

// runVMList reads the platform's list of VMs while this daemon is the coordinator, and sends the members the addresses
// of the leaving VMs. The list is delayed and may be wrong, so it is only used to send new work elsewhere.
func (n *Node) runVMList(ctx context.Context) error {
	var lastSent map[string]bool
	var lastSentAt time.Time
	return clock.Every(ctx, vmListInterval, func(time.Time) {
		if !n.agent.IsCoordinator() {
			lastSent = nil
			return
		}
		leaving, err := n.readLeavingVMs(ctx)
		if err != nil {
			return
		}
		if lastSent != nil && maps.Equal(lastSent, leaving) && time.Since(lastSentAt) < vmListResendInterval {
			return
		}
		n.sendLeavingVMs(ctx, leaving)
		lastSent, lastSentAt = leaving, time.Now()
	})
}

// readLeavingVMs returns the addresses of the leaving VMs of this data centre.
func (n *Node) readLeavingVMs(ctx context.Context) (map[string]bool, error) {
	vms, err := n.store.VMs(ctx)
	if err != nil {
		return nil, err
	}
	leaving := map[string]bool{}
	for _, vm := range vms {
		if vm.State == vmStateLeaving && vm.DataCentre == n.settings.DataCentre {
			leaving[vm.Address] = true
		}
	}
	return leaving, nil
}

func (n *Node) sendLeavingVMs(ctx context.Context, leaving map[string]bool) {
	message := peer.LeavingVMs{Addresses: make([]string, 0, len(leaving))}
	for a := range leaving {
		message.Addresses = append(message.Addresses, a)
	}
	n.pool.SetLeaving(message.Addresses)
	n.broadcast(ctx, peer.PathLeavingVMs, message, "member was not notified of leaving VMs")
}
