package replica

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// probeMembers probes the other replicas of the group and records the time of their responses. It waits for maxProbeWait at most, so
// that a failed VM does not delay each step of the other replicas. A later response counts from the next step on.
func (m *Membership) probeMembers(ctx context.Context) {
	var wg sync.WaitGroup
	m.mu.Lock()
	for _, target := range m.peersLocked() {
		vm := target.VM
		if vm == m.Self.VM || m.probesInFlight[vm] {
			continue
		}
		m.probesInFlight[vm] = true
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			err := m.getNoContent(ctx, target.Address, PathProbe+"?disk="+url.QueryEscape(target.Disk))
			m.mu.Lock()
			defer m.mu.Unlock()
			delete(m.probesInFlight, vm)
			if err == nil {
				m.lastResponse[vm] = time.Now()
			}
		}()
	}
	m.mu.Unlock()
	allResponded := make(chan struct{})
	go func() {
		wg.Wait()
		close(allResponded)
	}()
	deadline := time.NewTimer(maxProbeWait)
	defer deadline.Stop()
	select {
	case <-allResponded:
	case <-deadline.C:
	}
}

// getNoContent sends a GET request and fails unless the response has status 204.
func (m *Membership) getNoContent(ctx context.Context, address, path string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	resp, err := m.Client.Do(req)
	if err != nil {
		return err
	}
	_, _ = io.CopyN(io.Discard, resp.Body, 1) // The body is expected to be empty. After any other body, the connection is not reused.
	if err := resp.Body.Close(); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusNoContent {
		return errors.Newf("unexpected status %d", resp.StatusCode)
	}
	return nil
}
