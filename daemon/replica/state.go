package replica

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/core/replica"
)

// retentionMargin is added to every retention time. It covers clocks that jump by seconds, and turns that are continued
// just before their retention ends.
const retentionMargin = 30 * time.Second

// entry is the decoded payload of a log frame: a turn, charges of a program, or a view. A turn is encoded as a JSON
// header line followed by its raw input and output; the other kinds are plain JSON.
type entry struct {
	At     time.Time     `json:"at"`               // Time of the write, from which retention counts.
	Retain time.Duration `json:"retain,omitempty"` // Retention, without retentionMargin.
	Turn   *Turn         `json:"turn,omitempty"`
	Ledger *ledgerEntry  `json:"ledger,omitempty"`
	View   *replica.View `json:"view,omitempty"`
}

// turnHeader is the JSON in the first line of a turn's payload.
type turnHeader struct {
	At     time.Time     `json:"at"`
	Retain time.Duration `json:"retain"`
	Turn
}

// encodeEntry returns the payload of an entry.
func encodeEntry(e entry) ([]byte, error) {
	if e.Turn == nil {
		raw, err := json.Marshal(e)
		return raw, errors.Wrap(err, "encode log entry")
	}
	h := turnHeader{At: e.At, Retain: e.Retain, Turn: *e.Turn}
	return encodeMessage(&h, []*Turn{&h.Turn})
}

// cutHeader returns the JSON header of a payload and the contents behind it, and whether the payload is that of a turn.
func cutHeader(payload []byte) (header, contents []byte, isTurn bool) {
	return bytes.Cut(payload, []byte{headerEnd})
}

// decodeEntry decodes the fields of a payload that the index uses. Of a turn, it decodes the header only.
func decodeEntry(payload []byte) (entry, error) {
	header, _, isTurn := cutHeader(payload)
	if !isTurn {
		var e entry
		err := json.Unmarshal(payload, &e)
		return e, errors.Wrap(err, "decode log entry")
	}
	var h turnHeader
	if err := json.Unmarshal(header, &h); err != nil {
		return entry{}, errors.Wrap(err, "decode turn header")
	}
	if h.ID == "" {
		return entry{}, errors.New("turn header has no ID")
	}
	return entry{At: h.At, Retain: h.Retain, Turn: &Turn{ID: h.ID, Previous: h.Previous}}, nil
}

// record is an entry to append. If payload is nil, it is encoded from the entry.
type record struct {
	entry   entry
	payload []byte
}

func toRecords(entries []entry) []record {
	records := make([]record, len(entries))
	for i, e := range entries {
		records[i].entry = e
	}
	return records
}

// ledgerEntry contains charges of one program.
type ledgerEntry struct {
	Program string           `json:"program"`
	Charges []replica.Charge `json:"charges"`
}

// indexedTurn is the index entry of a turn.
type indexedTurn struct {
	location   Location
	previous   string
	expires    time.Time // Not before the expiry of any indexed turn that continues this one.
	logExpires time.Time // Expiry according to the turn's own log entry.
	isWhole    bool      // Set once the whole chain of the turn is known to be indexed. It then remains so until the turn expires.
}

// programState is the index entry of a program.
type programState struct {
	ledger        replica.Ledger
	expires       time.Time
	newestSegment uint64 // ID of the newest segment that holds a charge of this program.
}

// state is the in-memory index of a replica. The contents of turns are only in the log.
type state struct {
	mu       sync.RWMutex
	log      *Log
	segments []*segment // Value of log.segments for readers; guarded by mu.
	turns    map[string]indexedTurn
	gaps     map[string]time.Time // Turns that are not indexed although indexed turns continue them, and the latest expiry of those.
	programs map[string]*programState
	view     replica.View
}

// openState opens the log and builds the index from it. It fails if a complete frame cannot be decoded.
func openState(fs FileSystem) (*state, error) {
	s := &state{turns: map[string]indexedTurn{}, gaps: map[string]time.Time{}, programs: map[string]*programState{}}
	var undecodable int
	log, err := OpenLog(fs, func(payload []byte, location Location) {
		e, err := decodeEntry(payload)
		if err != nil {
			undecodable++
			return
		}
		s.apply(e, location)
	})
	if err != nil {
		return nil, err
	}
	if undecodable > 0 {
		return nil, errors.Newf("%d log frames have a correct checksum but cannot be decoded", undecodable)
	}
	s.log = log
	s.segments = log.segments
	return s, nil
}

// apply adds a durable entry to the index.
func (s *state) apply(e entry, location Location) {
	expires := e.At.Add(e.Retain + retentionMargin)
	switch {
	case e.Turn != nil:
		s.applyTurn(e.Turn, location, expires)
	case e.Ledger != nil:
		p := s.ensureProgram(e.Ledger.Program)
		for _, c := range e.Ledger.Charges {
			p.ledger.Add(c)
		}
		p.newestSegment = max(p.newestSegment, location.Segment)
		if expires.After(p.expires) {
			p.expires = expires
		}
	case e.View != nil:
		if e.View.Version > s.view.Version {
			s.view = *e.View
		}
	}
}

// applyTurn adds a turn to the index and retains its chain for at least as long as the turn itself. Turns of a chain may be
// added in any order.
func (s *state) applyTurn(t *Turn, location Location, logExpires time.Time) {
	expires := later(logExpires, s.turns[t.ID].expires)
	if neededUntil, ok := s.gaps[t.ID]; ok {
		expires = later(expires, neededUntil)
		delete(s.gaps, t.ID)
	}
	s.turns[t.ID] = indexedTurn{location: location, previous: t.Previous, expires: expires, logExpires: logExpires}
	for id := t.Previous; id != ""; {
		ancestor, ok := s.turns[id]
		if !ok {
			s.gaps[id] = later(s.gaps[id], expires)
			return
		}
		if !ancestor.expires.Before(expires) {
			return // The same holds for the chain before it.
		}
		ancestor.expires = expires
		s.turns[id] = ancestor
		id = ancestor.previous
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// firstGap returns the newest turn of a chain that is not indexed, or an empty ID if the whole chain is. The chain begins with
// the turn from, which may be empty.
func (s *state) firstGap(from string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.firstGapLocked(from)
}

func (s *state) firstGapLocked(from string) string {
	var path []string
	for id := from; id != ""; {
		t, ok := s.turns[id]
		if !ok {
			return id
		}
		if t.isWhole || len(path) > len(s.turns) { // A longer path is a cycle, which has no gap.
			break
		}
		path = append(path, id)
		id = t.previous
	}
	for _, id := range path {
		t := s.turns[id]
		t.isWhole = true
		s.turns[id] = t
	}
	return ""
}

// gapIDs returns the turns that are not indexed although indexed turns continue them.
func (s *state) gapIDs() map[string]bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	ids := make(map[string]bool, len(s.gaps))
	for id := range s.gaps {
		ids[id] = true
	}
	return ids
}

// gapCount returns the number of turns that are not indexed although indexed turns continue them.
func (s *state) gapCount() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.gaps)
}

// ensureProgram returns the state of a program. It creates the state if the program has none.
func (s *state) ensureProgram(id string) *programState {
	p, ok := s.programs[id]
	if !ok {
		p = &programState{ledger: replica.Ledger{}}
		s.programs[id] = p
	}
	return p
}

// append writes records to the log, syncs it, and then adds them to the index.
func (s *state) append(records []record) error {
	payloads := make([][]byte, len(records))
	for i, r := range records {
		payloads[i] = r.payload
		if r.payload != nil {
			continue
		}
		raw, err := encodeEntry(r.entry)
		if err != nil {
			return err
		}
		payloads[i] = raw
	}
	locations, err := s.log.Append(payloads)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.segments = s.log.segments
	for i, r := range records {
		s.apply(r.entry, locations[i])
	}
	return nil
}

func (s *state) currentView() replica.View {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.view
}

func (s *state) charges(program string) []replica.Charge {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, ok := s.programs[program]
	if !ok {
		return nil
	}
	return p.ledger.Charges()
}

// missingCharges returns the charges of a copied ledger that would change the ledger of this replica.
func (s *state) missingCharges(copied ProgramLedger) []replica.Charge {
	s.mu.RLock()
	defer s.mu.RUnlock()
	local, ok := s.programs[copied.Program]
	if !ok {
		return copied.Charges
	}
	var missing []replica.Charge
	for _, c := range copied.Charges {
		if existing, ok := local.ledger[c.Turn]; !ok || existing.Merge(c) != existing {
			missing = append(missing, c)
		}
	}
	return missing
}

// addPendingCharge adds a charge to the index before it is durable, so that the results of later charges include it.
func (s *state) addPendingCharge(program string, c replica.Charge) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.ensureProgram(program)
	p.ledger.Add(c)
	if p.expires.IsZero() {
		p.expires = time.Now().Add(retentionMargin)
	}
}

// maxChainTurns is the maximum number of turns that one read of a chain returns.
const maxChainTurns = 512

// readChain returns up to maxChainTurns turns of a chain, newest first, beginning with the turn from. If a turn is not
// stored, it returns the turns before that one and the ID of the missing turn. It returns each turn of a cycle once.
func (s *state) readChain(from string) (turns []Turn, missing string, err error) {
	read := map[string]bool{}
	for id := from; id != "" && len(turns) < maxChainTurns && !read[id]; {
		read[id] = true
		t, ok, err := s.readTurn(id)
		if err != nil {
			return nil, "", err
		}
		if !ok {
			return turns, id, nil
		}
		turns = append(turns, t)
		id = t.Previous
	}
	return turns, "", nil
}

// chainBytes returns the bytes in the log of the turns that readChain would return.
func (s *state) chainBytes(from string) int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	total := int64(0)
	id := from
	for range maxChainTurns {
		t, ok := s.turns[id]
		if !ok {
			break
		}
		total += int64(t.location.Length)
		id = t.previous
	}
	return total
}

// readTurn reads a turn from the log. It reports whether the index has the turn.
func (s *state) readTurn(id string) (Turn, bool, error) {
	payload, ok, err := s.readPayload(id)
	if !ok || err != nil {
		return Turn{}, false, err
	}
	var h turnHeader
	if err := decodeMessage(payload, &h, func() []*Turn { return []*Turn{&h.Turn} }); err != nil {
		return Turn{}, false, errors.Wrapf(err, "decode turn %s", id)
	}
	return h.Turn, true, nil
}

// readPayload returns the encoded turn from the log. It reports whether the index has the turn.
func (s *state) readPayload(id string) ([]byte, bool, error) {
	var lastLocation Location
	for {
		s.mu.RLock()
		indexed, ok := s.turns[id]
		segments := s.segments
		s.mu.RUnlock()
		if !ok {
			return nil, false, nil
		}
		raw, err := s.log.Read(indexed.location, segments)
		if err == nil || indexed.location == lastLocation {
			return raw, err == nil, err
		}
		lastLocation = indexed.location // The turn may have been moved from a segment that was removed.
	}
}

// readPayloadToCopy returns the encoded turn for another replica, with the retention that this replica applies. It reports
// whether the index has the turn.
func (s *state) readPayloadToCopy(id string) ([]byte, bool, error) {
	payload, ok, err := s.readPayload(id)
	if !ok || err != nil {
		return nil, false, err
	}
	s.mu.RLock()
	indexed, ok := s.turns[id]
	s.mu.RUnlock()
	if !ok {
		return nil, false, nil
	}
	payload, err = withRetention(payload, indexed)
	return payload, err == nil, err
}

func (s *state) hasTurn(id string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, ok := s.turns[id]
	return ok
}

// An inventory is divided into parts by the expiry of its turns. Small parts would make a copy read the log in small pieces.
const (
	maxInventoryClasses = 4
	minInventoryClass   = 2500 // Turns.
)

// inventory lists the turns whose whole chain is in the index, and the ledgers. A turn whose chain has a gap here does not
// count as stored by this replica: at the end of its own retention, this replica would keep only a part of its chain. Turns
// that expire late come first, since their programs are running; a chain has the expiry of its newest turn. Within a class of
// expiry, turns are in the order of the log, so that a copy reads it in large parts.
func (s *state) inventory() Inventory {
	s.mu.Lock()
	turns := make([]turnToCopy, 0, len(s.turns))
	inv := Inventory{Programs: make([]ProgramLedger, 0, len(s.programs))}
	for id, t := range s.turns {
		if s.firstGapLocked(id) == "" {
			turns = append(turns, turnToCopy{id, t})
		}
	}
	for id, p := range s.programs {
		inv.Programs = append(inv.Programs, ProgramLedger{
			Program: id, RemainingMS: time.Until(p.expires).Milliseconds(), Charges: p.ledger.Charges(),
		})
	}
	s.mu.Unlock()
	slices.SortFunc(turns, func(a, b turnToCopy) int {
		return cmp.Or(b.expires.Compare(a.expires), compareLocations(a.location, b.location))
	})
	for class := range slices.Chunk(turns, max(len(turns)/maxInventoryClasses+1, minInventoryClass)) {
		slices.SortFunc(class, func(a, b turnToCopy) int { return compareLocations(a.location, b.location) })
	}
	inv.Turns = make([]string, len(turns))
	for i, t := range turns {
		inv.Turns[i] = t.id
	}
	return inv
}

// expiryPlan is what is left to do after expired entries have left the index.
type expiryPlan struct {
	removeOldest bool     // The oldest segment can be removed after the other steps.
	turnsToMove  []string // Turns in the oldest segment that are retained only because later turns continue them.
	toRewrite    []entry  // The remaining ledgers and the view.
}

// removeExpired removes expired turns and programs from the index. A segment is not removed while it stores a turn whose own
// retention has not ended, or within retentionMargin after its last write. Turns that are retained for longer are moved, so
// that a chain that is continued for hours does not keep every later segment.
func (s *state) removeExpired(now time.Time) expiryPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, t := range s.turns {
		if now.After(t.expires) {
			delete(s.turns, id)
		}
	}
	for id, neededUntil := range s.gaps {
		if now.After(neededUntil) {
			delete(s.gaps, id)
		}
	}
	for id, p := range s.programs {
		if now.After(p.expires) {
			delete(s.programs, id)
		}
	}
	oldest, lastWritten, ok := s.log.OldestClosedSegment()
	if !ok || now.Sub(lastWritten) < retentionMargin {
		return expiryPlan{}
	}
	plan := expiryPlan{removeOldest: true}
	for id, t := range s.turns {
		if t.location.Segment != oldest {
			continue
		}
		if now.Before(t.logExpires) {
			return expiryPlan{}
		}
		plan.turnsToMove = append(plan.turnsToMove, id)
	}
	for id, p := range s.programs {
		l := &ledgerEntry{Program: id, Charges: p.ledger.Charges()}
		plan.toRewrite = append(plan.toRewrite, entry{At: now, Retain: p.expires.Sub(now) - retentionMargin, Ledger: l})
	}
	view := s.view
	plan.toRewrite = append(plan.toRewrite, entry{At: now, View: &view})
	return plan
}

// maxMovedBytes limits the turns that are read and appended at once when a segment is freed.
const maxMovedBytes = 1 << 20

// moveTurns appends turns again with the rest of their retention.
func (s *state) moveTurns(now time.Time, ids []string) error {
	var batch []record
	size := 0
	for i, id := range ids {
		s.mu.RLock()
		expires := s.turns[id].expires
		s.mu.RUnlock()
		t, ok, err := s.readTurn(id)
		if err != nil {
			return err
		}
		if ok {
			batch = append(batch, record{entry: entry{At: now, Retain: expires.Sub(now) - retentionMargin, Turn: &t}})
			size += t.Sizes.Input + t.Sizes.Output
		}
		if len(batch) == 0 || size < maxMovedBytes && i < len(ids)-1 {
			continue
		}
		if err := s.append(batch); err != nil {
			return err
		}
		batch, size = nil, 0
	}
	return nil
}
