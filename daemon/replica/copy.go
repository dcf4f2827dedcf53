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
	m.progress = nil // Frees its memory.
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
	turnSources map[string][]replica.Member // Members that store a turn, by turn ID. The slices are shared.
	sourceLists sourceLists
	inOrder     map[string][]string // Turns of a source in the order of its inventory, by the key of the source.

	// needed has the turns that are missing in chains of this replica when the copy begins, and the previous turns of copied ones.
	// Gaps before turns that gateways store meanwhile do not count: the gateways fill them, and the copy would not end.
	needed map[string]bool
}

// addInventory adds the turns of a source. It replaces an earlier inventory of the source.
func (p *copyProgress) addInventory(source replica.Member, turns []string) {
	if p.inOrder == nil {
		p.inOrder = map[string][]string{}
	}
	p.responded[source.Key()] = true
	p.inOrder[source.Key()] = turns
	for _, id := range turns {
		p.turnSources[id] = p.sourceLists.with(p.turnSources[id], source)
	}
}

// removeSource discards the inventory of a source that does not return its turns, since it may have failed. The copy
// continues only with a read quorum of each earlier set, so no completed write is missed: a turn that only the removed
// source stores is not on a write quorum, and any other turn is also on another source.
func (p *copyProgress) removeSource(source replica.Member) {
	delete(p.responded, source.Key())
	delete(p.inOrder, source.Key())
	for id, sources := range p.turnSources {
		p.turnSources[id] = p.sourceLists.without(sources, source)
	}
}

// sourceLists shares the lists of members between the turns that the same members store. A list for each turn would take
// hundreds of bytes of memory for a turn.
type sourceLists struct {
	extended map[sourceListChange][]replica.Member
	reduced  map[sourceListChange][]replica.Member
}

// sourceListChange is a change of a list by one member.
type sourceListChange struct {
	list   *replica.Member // First member of the list; nil if the list is empty.
	member string          // Key.
}

func newSourceListChange(list []replica.Member, member replica.Member) sourceListChange {
	if len(list) == 0 {
		return sourceListChange{member: member.Key()}
	}
	return sourceListChange{&list[0], member.Key()}
}

// with returns the list with a member.
func (s *sourceLists) with(list []replica.Member, member replica.Member) []replica.Member {
	change := newSourceListChange(list, member)
	next, ok := s.extended[change]
	if !ok {
		next = append(slices.Clone(list), member)
		if replica.Contains(list, member.Key()) {
			next = list
		}
		if s.extended == nil {
			s.extended = map[sourceListChange][]replica.Member{}
		}
		s.extended[change] = next
	}
	return next
}

// without returns the list without a member.
func (s *sourceLists) without(list []replica.Member, member replica.Member) []replica.Member {
	change := newSourceListChange(list, member)
	next, ok := s.reduced[change]
	if !ok {
		next = slices.DeleteFunc(slices.Clone(list), func(m replica.Member) bool { return m.Key() == member.Key() })
		if s.reduced == nil {
			s.reduced = map[sourceListChange][]replica.Member{}
		}
		s.reduced[change] = next
	}
	return next
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
			progress.addInventory(r.member, r.inventory.Turns)
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

// Distances of a member.
const (
	distanceSameDataCentre = iota
	distanceSameRegion
	distanceOtherRegion
)

// distance returns the distance of a member from this replica.
func (m *Membership) distance(member replica.Member) int {
	switch {
	case member.DataCentre == m.Self.DataCentre:
		return distanceSameDataCentre
	case m.RegionOf(member.DataCentre) == m.RegionOf(m.Self.DataCentre):
		return distanceSameRegion
	default:
		return distanceOtherRegion
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

// maxLargeInventories is the number of inventories above transport.SmallBodyBytes that are read at the same time. A VM with the
// replica role has 144 MB. With two, a slow replica does not keep a copy from the others.
const maxLargeInventories = 2

// maxCopiedEntriesPerWrite is the maximum number of ledger entries that a copy passes to the writer at once.
const maxCopiedEntriesPerWrite = 500

// postAndDecode posts a copy request and decodes the JSON response, which has less than maxInventoryBytes, into the value into.
func (m *Membership) postAndDecode(ctx context.Context, address, path string, body, into any) error {
	resp, err := m.postWithStallTimeout(ctx, address, path, body)
	if err != nil {
		return err
	}
	requestCtx, received := resp.Body.(*stallTimerBody).ctx, resp.Body
	defer func() { _ = received.Close() }()
	if resp.Header.Get("Content-Encoding") == "gzip" {
		z, err := gzip.NewReader(io.LimitReader(resp.Body, maxInventoryBytes)) // Blocks without data may have no end.
		if err != nil {
			return errors.Wrap(err, "decompress response")
		}
		resp.Body, resp.ContentLength = z, -1
	}
	raw, err := m.Server.inventories.Read(requestCtx, resp, maxInventoryBytes-1)
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	return errors.Wrap(json.Unmarshal(raw, into), "decode response")
}

// errStalled is the cancellation cause of a request whose response has stalled.
var errStalled = errors.Newf("no data received for %s", copyStallTimeout)

// stallTimerBody is the body of a response to a copy request. The stall timer runs during reads only, so that a response that waits
// for others is not stalled.
type stallTimerBody struct {
	io.ReadCloser
	ctx    context.Context // Context of the request.
	stall  *time.Timer
	cancel context.CancelFunc
}

// Read implements io.Reader.
func (b *stallTimerBody) Read(p []byte) (int, error) {
	b.stall.Reset(copyStallTimeout)
	defer b.stall.Stop()
	return b.ReadCloser.Read(p)
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
	stall.Stop() // If it has fired, the context has ended and reads fail.
	resp.Body = &stallTimerBody{ReadCloser: resp.Body, ctx: ctx, stall: stall, cancel: cancel}
	return resp, nil
}

// errSourceBusy means that the source has too many copy requests at this time.
var errSourceBusy = errors.New("source has too many copy requests")

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
		if resp.StatusCode == http.StatusTooManyRequests {
			return nil, errSourceBusy
		}
		return nil, errors.Newf("unexpected status %d", resp.StatusCode)
	}
	return resp, nil
}
