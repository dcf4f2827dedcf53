// Package journal defines the write-ahead log of a daemon incarnation: its entries, its segments, and the state machine
// that batches entries into segments. Each segment is one platform object that is created once and never changed.
package journal

import (
	"encoding/json"
	"fmt"
	"math"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/caller"
)

// Entry is one durable change of a program. Exactly one of the pointer fields is set.
type Entry struct {
	Shard   int    `json:"s"`
	Epoch   uint64 `json:"e"`
	Program string `json:"p"`

	Created            *Created            `json:"created,omitempty"`
	Turn               *Turn               `json:"turn,omitempty"`
	Intent             *Intent             `json:"intent,omitempty"`
	Cancel             *Cancel             `json:"cancel,omitempty"`
	Charge             *Charge             `json:"charge,omitempty"`
	Reservation        *Reservation        `json:"reserved,omitempty"`
	UnspentReservation *UnspentReservation `json:"left,omitempty"`
	Resolved           *Resolved           `json:"resolved,omitempty"`
	Ended              *Ended              `json:"ended,omitempty"`
	Handover           *Handover           `json:"handover,omitempty"`
	OpenAttempt        *OpenAttempt        `json:"open,omitempty"`
	ProgramState       *ProgramState       `json:"state,omitempty"`

	CheckpointStart *CheckpointStart `json:"checkpoint,omitempty"`
	CheckpointEnd   *CheckpointEnd   `json:"checkpoint_end,omitempty"`
}

// Created starts a program. Times are Unix milliseconds.
type Created struct {
	Tenant                string `json:"tenant"`
	Class                 string `json:"class,omitempty"`
	Model                 string `json:"model,omitempty"`
	Parent                string `json:"parent,omitempty"`
	BudgetTokens          int64  `json:"budget"`
	MaxTurns              int    `json:"max_turns"`
	ExpiryMillis          int64  `json:"expiry_ms"`
	AtMillis              int64  `json:"at_ms"`
	FirstUnaccountedEpoch uint64 `json:"base,omitempty"`     // Base of a restored program; zero takes the entry's epoch.
	ReservedTokens        int64  `json:"reserved,omitempty"` // Tokens of a restored program that former owners may have spent.
}

// Turn appends a finished call to the history. Digest is the digest after the turn. Window is set on turns that came
// back in a caller's window.
type Turn struct {
	Turn     caller.Turn    `json:"turn"`
	Digest   string         `json:"digest"`
	AtMillis int64          `json:"at_ms"`
	Window   *WindowReceipt `json:"window,omitempty"`
}

// Window tells what the receipt of a window showed: the epoch of the first owner whose attempts may be missing from it,
// and the tokens spent. Replace states that the turn takes the place of the last one.
type WindowReceipt struct {
	FirstUnaccountedEpoch uint64 `json:"base"`
	ReceiptSpent          int64  `json:"seen"`
	ReplacesLast          bool   `json:"replace,omitempty"`
}

// Intent announces a non-idempotent call before it is sent. RequestHash identifies the body of the call.
type Intent struct {
	Sequence    uint64 `json:"seq"`
	CallKey     string `json:"key"`
	Attempt     string `json:"attempt"`
	RequestHash string `json:"hash"`
	Upstream    string `json:"upstream"`
}

// Cancel states that the attempt of an intent was certainly not sent.
type Cancel struct {
	CallKey string `json:"key"`
	Attempt string `json:"attempt"`
}

// Charge counts tokens as spent for attempts whose usage is unknown. Base, when set, states that the attempts
// of all owners before this epoch are accounted for. Seen is the spending that the caller's receipt showed.
type Charge struct {
	Tokens                int64  `json:"tokens"`
	FirstUnaccountedEpoch uint64 `json:"base,omitempty"`
	ReceiptSpent          int64  `json:"seen,omitempty"`
}

// Reserved sets tokens of the budget apart for the owner that writes the entry. The owner spends them only once the entry
// is durable, and no other owner ever does. They count against the budget whether they are spent or not.
type Reservation struct {
	Tokens int64 `json:"tokens"`
}

// Left states the tokens that were reserved for an owner and not spent when it handed the shard over. The owner of the
// next epoch may spend them.
type UnspentReservation struct {
	Tokens int64 `json:"tokens"`
}

// Resolved closes an intent whose outcome was unknown.
type Resolved struct {
	CallKey string `json:"key"`
	Ran     bool   `json:"ran"`
	Reason  string `json:"reason"`
}

// Ended closes a program.
type Ended struct {
	Reason string `json:"reason"`
}

// Handover states that the owner stopped serving the shard. Every attempt in flight was journaled before it as Open, so a
// journal that ends between the two is not taken for a complete handover.
type Handover struct{}

// Open states that an attempt of the program was in flight at a handover.
type OpenAttempt struct{}

// State is the whole state of a program besides its turns, as written to a checkpoint. The program's turns follow it as
// Turn entries, oldest first.
type ProgramState struct {
	Created               Created    `json:"created"`
	TurnCount             uint64     `json:"turns"`       // Number of Turn entries that follow.
	SpentTokens           int64      `json:"spent"`       // All tokens spent, those of the turns included.
	TurnTokens            int64      `json:"turn_tokens"` // Tokens of the turns that follow.
	PromptTokens          int64      `json:"prompt"`
	FirstUnaccountedEpoch uint64     `json:"base"`
	ReceiptSpent          int64      `json:"seen"`
	ReceiptSpentBefore    int64      `json:"seen_before"`
	ReservedTokens        int64      `json:"reserved"` // Tokens that were reserved for all owners together.
	Intents               []Intent   `json:"intents,omitempty"`
	Resolved              []Resolved `json:"resolved,omitempty"`
	EndReason             string     `json:"ended,omitempty"`
	LastActiveMillis      int64      `json:"active_ms"`
}

// CheckpointStart marks the place in the journal where the checkpoint with the id was taken. All entries of the shard
// before it are contained in the checkpoint.
type CheckpointStart struct {
	ID string `json:"id"`
}

// CheckpointEnd is the last entry of a checkpoint.
type CheckpointEnd struct {
	ID       string `json:"id"`
	Programs int    `json:"programs"`
}

// Segment is the value of one journal object.
type Segment struct {
	Incarnation string  `json:"incarnation"`
	Slot        uint64  `json:"slot"`
	FlushID     string  `json:"flush_id"` // Identifies the writer of the object after a lost answer.
	Seal        *Seal   `json:"seal,omitempty"`
	Frames      []Frame `json:"frames,omitempty"`
}

// Seal fences the incarnation that wrote the segments before it.
type Seal struct {
	By     string `json:"by"`
	Reason string `json:"reason"`
}

// Frame is an encoded entry or a fragment of one that is too large for a segment.
type Frame struct {
	Entry json.RawMessage `json:"entry,omitempty"`
	Part  *Part           `json:"part,omitempty"`
}

// Part is one fragment of a large entry. Parts of one entry are written in order, possibly over several segments.
type Part struct {
	Index int    `json:"i"`
	Count int    `json:"n"`
	Data  []byte `json:"data"`
}

// Size limits. A segment stays below the platform's limit of 1 MB for a value after base64 of its parts.
const (
	MaxSegmentBytes  = 700_000
	maxFragmentBytes = 400_000
	// frameBytes bounds the JSON around one frame, and segmentBytes the JSON around all frames of a segment.
	frameBytes   = 64
	segmentBytes = 1024
)

// SegmentName returns the object name of a segment.
func SegmentName(incarnation string, slot uint64) string {
	return fmt.Sprintf("%s.%010d", incarnation, slot)
}

// frames encodes an entry into one frame, or into several when it is large. The size of each is returned beside it.
func frames(e Entry) ([]Frame, []int, error) {
	body, err := json.Marshal(e)
	if err != nil {
		return nil, nil, errors.Wrap(err, "encode journal entry")
	}
	if len(body) <= maxFragmentBytes {
		return []Frame{{Entry: body}}, []int{len(body) + frameBytes}, nil
	}
	count := (len(body) + maxFragmentBytes - 1) / maxFragmentBytes
	list := make([]Frame, 0, count)
	sizes := make([]int, 0, count)
	for i := range count {
		end := min((i+1)*maxFragmentBytes, len(body))
		data := body[i*maxFragmentBytes : end]
		list = append(list, Frame{Part: &Part{Index: i, Count: count, Data: data}})
		sizes = append(sizes, base64Size(len(data))+frameBytes)
	}
	return list, sizes, nil
}

// Pack writes entries into segments below MaxSegmentBytes, with slots from 1. It is used for checkpoints, whose entries
// are all known in advance.
func Pack(id string, entries []Entry) ([]Segment, error) {
	w := NewWriter(id, WriterConfig{MaxBacklogBytes: math.MaxInt})
	var list []Segment
	for _, e := range entries {
		if _, err := w.Append(e); err != nil {
			return nil, err
		}
	}
	for len(w.pending) > 0 {
		w.cut()
		list = append(list, *w.inFlight)
		w.stored()
	}
	return list, nil
}

func base64Size(n int) int { return (n + 2) / 3 * 4 }
