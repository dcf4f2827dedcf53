package cluster

import (
	"context"
	"sync"
	"time"

	"jackdawbay.dev/core/membership"
	"jackdawbay.dev/daemon/peer"
)

// rosterCache caches the rosters of other data centres. A roster is read when it is first needed, and re-read when it
// proves to be out of date.
type rosterCache struct {
	mu      *sync.Mutex
	rosters map[string]cachedRoster
}

type cachedRoster struct {
	roster membership.Roster
	readAt time.Time
}

func newRosterCache() rosterCache {
	return rosterCache{mu: new(sync.Mutex), rosters: map[string]cachedRoster{}}
}

// minRemoteReadInterval bounds how often the roster of another data centre is read.
const minRemoteReadInterval = time.Second

// RosterOf returns the roster of any data centre. If refresh is true, the cached roster of another data centre is
// re-read, at most once in minRemoteReadInterval. If the read fails, the cached roster is returned.
func (a *Agent) RosterOf(ctx context.Context, dataCentre string, refresh bool) (membership.Roster, error) {
	if dataCentre == a.cfg.DataCentre {
		return a.Roster(), nil
	}
	a.remoteRosters.mu.Lock()
	cached, ok := a.remoteRosters.rosters[dataCentre]
	a.remoteRosters.mu.Unlock()
	if ok && (!refresh || time.Since(cached.readAt) < minRemoteReadInterval) {
		return cached.roster, nil
	}
	r, err := a.readRemoteRoster(ctx, dataCentre, cached.roster)
	if err != nil {
		if ok {
			return cached.roster, nil
		}
		return r, err
	}
	if r.Term < cached.roster.Term {
		r = cached.roster
	}
	a.remoteRosters.mu.Lock()
	a.remoteRosters.rosters[dataCentre] = cachedRoster{roster: r, readAt: time.Now()}
	a.remoteRosters.mu.Unlock()
	return r, nil
}

// readRemoteRoster reads the roster of a data centre from one of its last known members, which needs no request to the
// platform. If none of them returns it, the roster is read from the platform.
func (a *Agent) readRemoteRoster(ctx context.Context, dataCentre string, cached membership.Roster) (membership.Roster, error) {
	const maxPeers = 2
	for i, m := range cached.Members {
		if i >= maxPeers {
			break
		}
		var response peer.RosterUpdate
		callCtx, cancel := context.WithTimeout(ctx, membership.ProbeTimeout)
		err := a.peers.Get(callCtx, m.PeerAddress, peer.PathRoster, &response)
		cancel()
		if err == nil && response.Roster.DataCentre == dataCentre && response.Roster.Term >= cached.Term {
			return response.Roster, nil
		}
	}
	r, _, err := readRoster(ctx, a.store, dataCentre)
	return r, err
}
