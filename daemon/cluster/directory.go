package cluster

import (
	"context"
	"sync"
	"time"

	"jackdawbay.dev/core/membership"
	"jackdawbay.dev/daemon/peer"
)

// directory caches the rosters of other data centres. They are read when they are needed and again when they proved to be
// out of date.
type directory struct {
	mu      *sync.Mutex
	rosters map[string]remoteRoster
}

type remoteRoster struct {
	roster membership.Roster
	read   time.Time
}

func newDirectory() directory {
	return directory{mu: new(sync.Mutex), rosters: map[string]remoteRoster{}}
}

// remoteInterval bounds how often the roster of another data centre is read.
const remoteInterval = time.Second

// RosterOf returns the roster of any data centre. fresh asks to read it again, within the bound on the rate.
func (a *Agent) RosterOf(ctx context.Context, dataCentre string, fresh bool) (membership.Roster, error) {
	if dataCentre == a.cfg.DataCentre {
		return a.Roster(), nil
	}
	a.remote.mu.Lock()
	known, ok := a.remote.rosters[dataCentre]
	a.remote.mu.Unlock()
	if ok && (!fresh || time.Since(known.read) < remoteInterval) {
		return known.roster, nil
	}
	r, err := a.readRemote(ctx, dataCentre, known.roster)
	if err != nil {
		if ok {
			return known.roster, nil
		}
		return r, err
	}
	if r.Term < known.roster.Term {
		r = known.roster
	}
	a.remote.mu.Lock()
	a.remote.rosters[dataCentre] = remoteRoster{roster: r, read: time.Now()}
	a.remote.mu.Unlock()
	return r, nil
}

// readRemote asks the members that are known, which costs the platform nothing, and then the platform.
func (a *Agent) readRemote(ctx context.Context, dataCentre string, known membership.Roster) (membership.Roster, error) {
	const tries = 2
	for i, m := range known.Members {
		if i >= tries {
			break
		}
		var push peer.RosterUpdate
		callCtx, cancel := context.WithTimeout(ctx, membership.ProbeTimeout)
		err := a.peers.Get(callCtx, m.PeerAddress, peer.PathRoster, &push)
		cancel()
		if err == nil && push.Roster.DataCentre == dataCentre && push.Roster.Term >= known.Term {
			return push.Roster, nil
		}
	}
	r, _, err := readRoster(ctx, a.store, dataCentre)
	return r, err
}
