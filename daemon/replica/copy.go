package replica

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/core/replica"
)

// runCopy copies the earlier sets of a view. It runs concurrently with the other work of the membership.
func (m *Membership) runCopy(ctx context.Context, v replica.View) {
	defer m.copying.Store(false)
	start := time.Now()
	if m.progress == nil || m.progress.epoch != v.Epoch {
		m.progress = &copyProgress{epoch: v.Epoch, responded: map[string]bool{m.Self.Key(): true}, turnSources: map[string][]replica.Member{}, needed: m.Server.state.gapIDs()}
	}
	if err := m.copyEarlierSets(ctx, v, m.progress); err != nil {
		m.Log.Warn("copy of the earlier sets failed", "view", v.Version, "error", err)
		return
	}
	m.mu.Lock()
	m.copiedEpoch = v.Epoch
	m.mu.Unlock()
	m.Log.Info("earlier sets copied", "view", v.Version, "took", time.Since(start))
	m.wake()
}

// copyProgress is the state of a copy of the earlier sets. It is reused by the next attempt after a failed one.
type copyProgress struct {
	epoch       uint64
	responded   map[string]bool             // Keys of members whose inventory was read, and the key of this replica.
	turnSources map[string][]replica.Member // Members that store a turn, by turn ID.

	// needed has the turns that are missing in chains of this replica when the copy begins, and the previous turns of copied ones.
	// Gaps before turns that gateways store meanwhile do not count: the gateways fill them, and the copy would not end.
	needed map[string]bool
}

// removeSource discards the inventory of a source that does not return its turns, since it may have failed. The copy
// continues only with a read quorum of each earlier set, so no completed write is missed: a turn that only the removed
// source stores is not on a write quorum, and any other turn is also on another source.
func (p *copyProgress) removeSource(source replica.Member) {
	delete(p.responded, source.Key())
	for id, sources := range p.turnSources {
		p.turnSources[id] = slices.DeleteFunc(sources, func(member replica.Member) bool { return member.Key() == source.Key() })
	}
}

// copyEarlierSets reads the inventories of a read quorum of each earlier set, and of the other members if they respond
// within extraInventoryWait. It then stores the ledgers and the turns that this replica must have.
func (m *Membership) copyEarlierSets(ctx context.Context, v replica.View, progress *copyProgress) error {
	var unread []replica.Member
	for _, member := range replica.Union(v.Sets[:len(v.Sets)-1]) {
		isOwnLostDisk := member.VM == m.Self.VM && member.Disk != m.Self.Disk
		if !isOwnLostDisk && !progress.responded[member.Key()] { // Contains the key of this replica from the start.
			unread = append(unread, member)
		}
	}
	type inventoryResult struct {
		member    replica.Member
		inventory Inventory
		err       error
	}
	results := make(chan inventoryResult, len(unread))
	for _, member := range unread {
		go func() {
			inv, err := m.fetchInventory(ctx, member, v)
			results <- inventoryResult{member, inv, err}
		}()
	}
	var extraWait <-chan time.Time // Set after a read quorum has been read.
	if isReadQuorumOfEarlierSets(v, progress.responded) {
		extraWait = time.After(extraInventoryWait)
	}
	for range unread {
		select {
		case r := <-results:
			if r.err != nil {
				m.Log.Warn("cannot read inventory", "source", r.member.VM, "error", r.err)
				continue
			}
			if err := m.storeLedgers(ctx, r.inventory.Programs); err != nil {
				return err
			}
			progress.responded[r.member.Key()] = true
			for _, id := range r.inventory.Turns {
				progress.turnSources[id] = append(progress.turnSources[id], r.member)
			}
			if isReadQuorumOfEarlierSets(v, progress.responded) {
				extraWait = time.After(extraInventoryWait)
			}
			continue
		case <-extraWait:
		}
		break
	}
	if !isReadQuorumOfEarlierSets(v, progress.responded) {
		return errors.Newf("only %d replicas of the earlier sets responded, which is not a read quorum of each set", len(progress.responded)-1)
	}
	return m.copyTurns(ctx, v, progress)
}

// isReadQuorumOfEarlierSets reports whether the given members are a read quorum of each earlier set, so that together they
// store every completed write of these sets.
func isReadQuorumOfEarlierSets(v replica.View, responded map[string]bool) bool {
	earlier := v
	earlier.Sets = v.Sets[:len(v.Sets)-1]
	return earlier.HasReadQuorum(responded)
}

// copyTurns fetches the turns that this replica does not have and that are not yet stored by a write quorum of the last
// set, and the needed ones of the progress. It prefers sources in its own data centre, then in its own region. It continues
// without a failed source as long as the remaining ones are a read quorum of each earlier set.
func (m *Membership) copyTurns(ctx context.Context, v replica.View, progress *copyProgress) error {
	for {
		idsBySource := map[string][]string{}
		sourceByKey := map[string]replica.Member{}
		for id, sources := range progress.turnSources {
			if len(sources) == 0 || m.Server.state.hasTurn(id) || v.IsStoredByQuorum(sources) && !progress.needed[id] {
				continue
			}
			source := slices.MinFunc(sources, func(a, b replica.Member) int { return m.distance(a) - m.distance(b) })
			idsBySource[source.Key()] = append(idsBySource[source.Key()], id)
			sourceByKey[source.Key()] = source
		}
		if len(idsBySource) == 0 {
			return nil
		}
		for key, ids := range idsBySource {
			source := sourceByKey[key]
			for len(ids) > 0 {
				n := min(len(ids), maxTurnsPerResponse)
				records, err := m.fetchTurns(ctx, source, v, ids[:n])
				if err != nil {
					progress.removeSource(source)
					if !isReadQuorumOfEarlierSets(v, progress.responded) {
						return errors.Wrapf(err, "fetch turns from %s", source.VM)
					}
					m.Log.Warn("cannot fetch turns", "source", source.VM, "turns", len(ids), "error", err)
					break
				}
				if len(records) > 0 {
					if err := m.Server.storeCopied(ctx, records); err != nil {
						return err
					}
				}
				for _, r := range records {
					if r.entry.Turn != nil {
						progress.needed[r.entry.Turn.Previous] = true
					}
				}
				for _, id := range ids[:n] {
					delete(progress.turnSources, id) // Turns that the source no longer has are expired.
				}
				ids = ids[n:]
			}
		}
	}
}

// distance returns 0 for a member in the data centre of this replica, 1 for one in its region, and 2 for any other.
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

// fetchInventory reads the inventory of another replica. It fails if that replica rejects the view.
func (m *Membership) fetchInventory(ctx context.Context, member replica.Member, v replica.View) (Inventory, error) {
	var response CopyResponse
	if err := m.postAndDecode(ctx, member.Address, PathInventory, CopyRequest{View: v, Disk: member.Disk}, &response); err != nil {
		return Inventory{}, err
	}
	if response.Inventory == nil {
		return Inventory{}, errors.Newf("replica %s rejected view %d", member.Key(), v.Version)
	}
	return *response.Inventory, nil
}

// storeLedgers stores the charges that this replica does not have, as one entry for each program.
func (m *Membership) storeLedgers(ctx context.Context, programs []ProgramLedger) error {
	var records []record
	now := time.Now()
	for _, p := range programs {
		charges := m.Server.state.missingCharges(p)
		if len(charges) == 0 {
			continue
		}
		retain := time.Duration(p.RemainingMS)*time.Millisecond - retentionMargin
		records = append(records, record{entry: entry{At: now, Retain: retain, Ledger: &ledgerEntry{Program: p.Program, Charges: charges}}})
	}
	for group := range slices.Chunk(records, maxCopiedEntriesPerWrite) {
		if err := m.Server.storeCopied(ctx, group); err != nil {
			return err
		}
	}
	return nil
}

// maxInventoryBytes is the maximum decompressed size of an inventory. One replica group handles at most 600 turns per
// second; the turns and ledgers of a minute and a half at that rate have 10 MB.
const maxInventoryBytes = 32 << 20

// maxCopiedEntriesPerWrite is the maximum number of ledger entries that a copy passes to the writer at once.
const maxCopiedEntriesPerWrite = 500

// fetchTurns reads turns from another replica, encoded as in its log. It fails if that replica rejects the view.
func (m *Membership) fetchTurns(ctx context.Context, member replica.Member, v replica.View, ids []string) ([]record, error) {
	resp, err := m.postWithStallTimeout(ctx, member.Address, PathTurns, CopyRequest{View: v, Disk: member.Disk, TurnIDs: ids})
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get("Content-Type") != "application/octet-stream" {
		return nil, errors.Newf("replica %s rejected view %d", member.Key(), v.Version)
	}
	return readCopiedTurns(resp.Body)
}

// postAndDecode posts a copy request and decodes up to maxInventoryBytes of the JSON response into the value into.
func (m *Membership) postAndDecode(ctx context.Context, address, path string, body, into any) error {
	resp, err := m.postWithStallTimeout(ctx, address, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var reader io.Reader = resp.Body
	if resp.Header.Get("Content-Encoding") == "gzip" {
		z, err := gzip.NewReader(resp.Body)
		if err != nil {
			return errors.Wrap(err, "decompress response")
		}
		reader = z
	}
	return errors.Wrapf(json.NewDecoder(io.LimitReader(reader, maxInventoryBytes)).Decode(into), "decode the first %d bytes of the response", maxInventoryBytes)
}

// errStalled is the cancellation cause of a request whose response has stalled.
var errStalled = errors.Newf("no data received for %s", copyStallTimeout)

// stallTimerBody is the body of a response to a copy request. Each read that returns data resets the stall timer.
type stallTimerBody struct {
	io.ReadCloser
	stall  *time.Timer
	cancel context.CancelFunc
}

// Read implements io.Reader.
func (b *stallTimerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.stall.Reset(copyStallTimeout)
	}
	return n, err
}

// Close implements io.Closer.
func (b *stallTimerBody) Close() error {
	b.stall.Stop()
	defer b.cancel()
	return b.ReadCloser.Close()
}

// postWithStallTimeout posts a JSON body and returns a response with status 200. The request is cancelled after copyTimeout,
// or earlier if no data arrives for copyStallTimeout.
func (m *Membership) postWithStallTimeout(ctx context.Context, address, path string, body any) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	ctx, cancelCause := context.WithCancelCause(ctx)
	stall := time.AfterFunc(copyStallTimeout, func() { cancelCause(errStalled) })
	resp, err := m.postJSON(ctx, address, path, body)
	if err != nil {
		stall.Stop()
		cancel()
		return nil, err
	}
	resp.Body = &stallTimerBody{ReadCloser: resp.Body, stall: stall, cancel: cancel}
	return resp, nil
}

// postJSON posts a JSON body and returns a response with status 200. The caller closes the response body.
func (m *Membership) postJSON(ctx context.Context, address, path string, body any) (*http.Response, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	resp, err := m.Client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close() // The body is not used.
		return nil, errors.Newf("unexpected status %d", resp.StatusCode)
	}
	return resp, nil
}
