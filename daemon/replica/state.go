package replica

import (
	"bytes"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/core/replica"
)

// expirySlack is added to every retention time. It covers clocks that jump by seconds, and turns that are continued right
// at the end of their retention.
const expirySlack = 30 * time.Second

// entry is the payload of a frame: a turn, a charge, a whole ledger, or a view. A turn is encoded as a header line and what
// was said, as it is.
type entry struct {
	At     time.Time     `json:"at"`
	Retain time.Duration `json:"retain,omitempty"`
	Turn   *Turn         `json:"turn,omitempty"`
	Ledger *ledgerEntry  `json:"ledger,omitempty"`
	View   *replica.View `json:"view,omitempty"`
}

// turnHeader is the first line of the payload of a turn.
type turnHeader struct {
	At     time.Time     `json:"at"`
	Retain time.Duration `json:"retain"`
	Turn
}

func encodeEntry(e entry) ([]byte, error) {
	if e.Turn == nil {
		raw, err := json.Marshal(e)
		return raw, errors.Wrap(err, "encode an entry")
	}
	h := turnHeader{At: e.At, Retain: e.Retain, Turn: *e.Turn}
	return encodeMessage(&h, []*Turn{&h.Turn})
}

// decodeEntry decodes what the index needs. Of a turn that is its header.
func decodeEntry(payload []byte) (entry, error) {
	header, _, isTurn := bytes.Cut(payload, []byte{headEnd})
	if !isTurn {
		var e entry
		err := json.Unmarshal(payload, &e)
		return e, errors.Wrap(err, "decode an entry")
	}
	var h turnHeader
	if err := json.Unmarshal(header, &h); err != nil {
		return entry{}, errors.Wrap(err, "decode the header of a turn")
	}
	if h.ID == "" {
		return entry{}, errors.New("a turn has no id")
	}
	return entry{At: h.At, Retain: h.Retain, Turn: &Turn{ID: h.ID, Previous: h.Previous}}, nil
}

// record is an entry with its payload. Without a payload the entry is encoded.
type record struct {
	entry   entry
	payload []byte
}

func recordsOf(entries []entry) []record {
	records := make([]record, len(entries))
	for i, e := range entries {
		records[i].entry = e
	}
	return records
}

type ledgerEntry struct {
	Program string           `json:"program"`
	Charges []replica.Charge `json:"charges"`
}

type turnIndex struct {
	at       Location
	previous string
	expires  time.Time
}

type programState struct {
	ledger  replica.Ledger
	expires time.Time
	segment uint64 // Newest segment with a charge of this program.
}

// state is the index of a replica. The log holds the bulk.
type state struct {
	mu       sync.RWMutex
	log      *Log
	segments []*segment // Snapshot for readers.
	turns    map[string]turnIndex
	programs map[string]*programState
	view     replica.View
}

func openState(fs FileSystem) (*state, error) {
	s := &state{turns: map[string]turnIndex{}, programs: map[string]*programState{}}
	var bad int
	log, err := OpenLog(fs, func(payload []byte, at Location) {
		e, err := decodeEntry(payload)
		if err != nil {
			bad++
			return
		}
		s.apply(e, at)
	})
	if err != nil {
		return nil, err
	}
	if bad > 0 {
		return nil, errors.Newf("%d frames with a correct checksum cannot be decoded", bad)
	}
	s.log = log
	s.segments = log.segments
	return s, nil
}

// apply enters a durable entry into the index.
func (s *state) apply(e entry, at Location) {
	expires := e.At.Add(e.Retain + expirySlack)
	switch {
	case e.Turn != nil:
		s.turns[e.Turn.ID] = turnIndex{at: at, previous: e.Turn.Previous, expires: expires}
	case e.Ledger != nil:
		p := s.program(e.Ledger.Program)
		for _, c := range e.Ledger.Charges {
			p.ledger.Add(c)
		}
		p.segment = max(p.segment, at.Segment)
		if expires.After(p.expires) {
			p.expires = expires
		}
	case e.View != nil:
		if e.View.Version > s.view.Version {
			s.view = *e.View
		}
	}
}

func (s *state) program(id string) *programState {
	p, ok := s.programs[id]
	if !ok {
		p = &programState{ledger: replica.Ledger{}}
		s.programs[id] = p
	}
	return p
}

// append makes records durable and enters them.
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
	at, err := s.log.Append(payloads)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.segments = s.log.segments
	for i, r := range records {
		s.apply(r.entry, at[i])
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

// unknown returns the charges of a copied ledger that change the own one.
func (s *state) unknown(l ProgramLedger) []replica.Charge {
	s.mu.RLock()
	defer s.mu.RUnlock()
	own, ok := s.programs[l.Program]
	if !ok {
		return l.Charges
	}
	var out []replica.Charge
	for _, c := range l.Charges {
		if have, ok := own.ledger[c.Turn]; !ok || have.Merge(c) != have {
			out = append(out, c)
		}
	}
	return out
}

// noteCharge enters a charge before it is durable, so that a charge that is processed later sees it.
func (s *state) noteCharge(program string, c replica.Charge) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.program(program)
	p.ledger.Add(c)
	if p.expires.IsZero() {
		p.expires = time.Now().Add(expirySlack)
	}
}

// chainStepLimit bounds a chain that is returned at once.
const chainStepLimit = 512

// chain returns the turns from a turn back to the start of its chain, newest first.
func (s *state) chain(from string) (turns []Turn, missing string, err error) {
	for id := from; id != "" && len(turns) < chainStepLimit; {
		t, ok, err := s.turn(id)
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

func (s *state) turn(id string) (Turn, bool, error) {
	payload, ok, err := s.payload(id)
	if !ok || err != nil {
		return Turn{}, false, err
	}
	var h turnHeader
	if err := decodeMessage(payload, &h, func() []*Turn { return []*Turn{&h.Turn} }); err != nil {
		return Turn{}, false, errors.Wrapf(err, "turn %s", id)
	}
	return h.Turn, true, nil
}

// payload returns a turn as it stands in the log.
func (s *state) payload(id string) ([]byte, bool, error) {
	s.mu.RLock()
	ix, ok := s.turns[id]
	segments := s.segments
	s.mu.RUnlock()
	if !ok {
		return nil, false, nil
	}
	raw, err := s.log.Read(ix.at, segments)
	return raw, err == nil, err
}

func (s *state) has(id string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	_, ok := s.turns[id]
	return ok
}

func (s *state) inventory() Inventory {
	s.mu.RLock()
	defer s.mu.RUnlock()
	inv := Inventory{Turns: make([]string, 0, len(s.turns)), Programs: make([]ProgramLedger, 0, len(s.programs))}
	for id := range s.turns {
		inv.Turns = append(inv.Turns, id)
	}
	for id, p := range s.programs {
		inv.Programs = append(inv.Programs, ProgramLedger{
			Program: id, RemainingMS: time.Until(p.expires).Milliseconds(), Charges: p.ledger.Charges(),
		})
	}
	return inv
}

// expire drops what is past its time and returns the entries that must be written again before the oldest segment may be
// removed.
func (s *state) expire(now time.Time) (rewrite []entry, dropOldest bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, t := range s.turns {
		if now.After(t.expires) {
			delete(s.turns, id)
		}
	}
	for id, p := range s.programs {
		if now.After(p.expires) {
			delete(s.programs, id)
		}
	}
	oldest, lastUsed, ok := s.log.OldestClosedSegment()
	if !ok || now.Sub(lastUsed) < expirySlack {
		return nil, false
	}
	for _, t := range s.turns {
		if t.at.Segment == oldest {
			return nil, false
		}
	}
	for id, p := range s.programs {
		l := &ledgerEntry{Program: id, Charges: p.ledger.Charges()}
		rewrite = append(rewrite, entry{At: now, Retain: p.expires.Sub(now) - expirySlack, Ledger: l})
	}
	view := s.view
	return append(rewrite, entry{At: now, View: &view}), true
}
