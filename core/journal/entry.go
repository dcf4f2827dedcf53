// Package journal implements the write-ahead log of a daemon incarnation. It defines entries and segments, and the
// state machine that batches entries into segments. Each segment is one platform object that is created once and never
// changed.
package journal

import (
	"encoding/json"
	"fmt"
	"math"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/caller"
)

// Entry is one journal record. It describes a change of a program or shard, or a part of a checkpoint. Exactly one of
// the pointer fields is set.
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

// Created records the creation of a program. Times are Unix milliseconds.
type Created struct {
	Tenant                string `json:"tenant"`
	Class                 string `json:"class,omitempty"`
	Model                 string `json:"model,omitempty"`
	Parent                string `json:"parent,omitempty"`
	BudgetTokens          int64  `json:"budget"`
	MaxTurns              int    `json:"max_turns"`
	ExpiryMillis          int64  `json:"expiry_ms"`
	AtMillis              int64  `json:"at_ms"`
	FirstUnaccountedEpoch uint64 `json:"base,omitempty"`     // Set for a restored program; zero means the epoch of the entry.
	ReservedTokens        int64  `json:"reserved,omitempty"` // Set for a restored program: tokens that former owners may have spent.
}

// Turn records a finished call that is added to the history. Digest is the digest of the history after the turn. Window
// is set for a turn that came from a caller's window.
type Turn struct {
	Turn     caller.Turn    `json:"turn"`
	Digest   string         `json:"digest"`
	AtMillis int64          `json:"at_ms"`
	Window   *WindowReceipt `json:"window,omitempty"`
}

// WindowReceipt contains values of the receipt that accompanied a window: the epoch of the first owner whose attempts
// may be missing from it, and the tokens spent. ReplacesLast is set if the turn replaces the last turn of the history.
type WindowReceipt struct {
	FirstUnaccountedEpoch uint64 `json:"base"`
	ReceiptSpent          int64  `json:"seen"`
	ReplacesLast          bool   `json:"replace,omitempty"`
}

// Intent records a non-idempotent call before it is sent. RequestHash identifies the body of the call.
type Intent struct {
	Sequence    uint64 `json:"seq"`
	CallKey     string `json:"key"`
	Attempt     string `json:"attempt"`
	RequestHash string `json:"hash"`
	Upstream    string `json:"upstream"`
}

// Cancel records that the attempt of an intent was not sent and will not be sent.
type Cancel struct {
	CallKey string `json:"key"`
	Attempt string `json:"attempt"`
}

// Charge records tokens as spent for attempts whose usage is unknown. If FirstUnaccountedEpoch is set, the attempts of
// all owners before that epoch are accounted for. ReceiptSpent is the spending according to the caller's receipt.
type Charge struct {
	Tokens                int64  `json:"tokens"`
	FirstUnaccountedEpoch uint64 `json:"base,omitempty"`
	ReceiptSpent          int64  `json:"seen,omitempty"`
}

// Reservation reserves tokens of the budget for the owner that writes the entry. The owner spends them only after the
// entry is durable, and no other owner spends them. They count against the budget whether they are spent or not.
type Reservation struct {
	Tokens int64 `json:"tokens"`
}

// UnspentReservation records the reserved tokens that an owner had not spent when it handed the shard over. The owner
// of the next epoch may spend them.
type UnspentReservation struct {
	Tokens int64 `json:"tokens"`
}

// Resolved records the outcome of an intent whose outcome was unknown.
type Resolved struct {
	CallKey string `json:"key"`
	Ran     bool   `json:"ran"`
	Reason  string `json:"reason"`
}

// Ended records the end of a program.
type Ended struct {
	Reason string `json:"reason"`
}

// Handover records that the owner stopped serving the shard. Attempts in flight are recorded as OpenAttempt entries
// before it, so that a journal that ends between the two is not a complete handover.
type Handover struct{}

// OpenAttempt records that an attempt of the program was in flight at a handover.
type OpenAttempt struct{}

// ProgramState is the state of a program in a checkpoint, without its turns. The turns follow it as Turn entries,
// oldest first.
type ProgramState struct {
	Created               Created    `json:"created"`
	TurnCount             uint64     `json:"turns"`       // Number of Turn entries that follow.
	SpentTokens           int64      `json:"spent"`       // All tokens spent, including those of the turns.
	TurnTokens            int64      `json:"turn_tokens"` // Tokens of the turns that follow.
	PromptTokens          int64      `json:"prompt"`
	FirstUnaccountedEpoch uint64     `json:"base"`
	ReceiptSpent          int64      `json:"seen"`
	ReceiptSpentBefore    int64      `json:"seen_before"`
	ReservedTokens        int64      `json:"reserved"` // Tokens reserved for all owners together.
	Intents               []Intent   `json:"intents,omitempty"`
	Resolved              []Resolved `json:"resolved,omitempty"`
	EndReason             string     `json:"ended,omitempty"`
	LastActiveMillis      int64      `json:"active_ms"`
}

// CheckpointStart marks the position in the journal at which a checkpoint was taken. The checkpoint contains all
// earlier entries of the shard.
type CheckpointStart struct {
	ID string `json:"id"`
}

// CheckpointEnd is the last entry of a checkpoint. Programs is the number of programs in it.
type CheckpointEnd struct {
	ID       string `json:"id"`
	Programs int    `json:"programs"`
}

// Segment is the content of one journal object.
type Segment struct {
	Incarnation string  `json:"incarnation"`
	Slot        uint64  `json:"slot"`
	FlushID     string  `json:"flush_id"` // Identifies the writer of the object if the response to the create was lost.
	Seal        *Seal   `json:"seal,omitempty"`
	Frames      []Frame `json:"frames,omitempty"`
}

// Seal fences the incarnation whose journal it ends. No segment may follow it.
type Seal struct {
	By     string `json:"by"`
	Reason string `json:"reason"`
}

// Frame is an encoded entry, or one part of an entry that is too large for a segment.
type Frame struct {
	Entry json.RawMessage `json:"entry,omitempty"`
	Part  *Part           `json:"part,omitempty"`
}

// Part is one fragment of a large entry. The parts of an entry are written in order and may span several segments.
type Part struct {
	Index int    `json:"i"`
	Count int    `json:"n"`
	Data  []byte `json:"data"`
}

// Size limits. A segment stays below the platform's limit of 1 MB per value, including the base64 encoding of its
// parts.
const (
	MaxSegmentBytes  = 700_000
	maxFragmentBytes = 400_000
	// frameOverheadBytes is an upper bound of the JSON around one frame, and segmentOverheadBytes of the JSON around
	// all frames of a segment.
	frameOverheadBytes   = 64
	segmentOverheadBytes = 1024
)

// SegmentName returns the object name of the segment in a slot of an incarnation's journal.
func SegmentName(incarnation string, slot uint64) string {
	return fmt.Sprintf("%s.%010d", incarnation, slot)
}

// encodeFrames encodes an entry into one frame, or into several frames if it is large. It also returns the size of each
// frame.
func encodeFrames(e Entry) ([]Frame, []int, error) {
	body, err := json.Marshal(e)
	if err != nil {
		return nil, nil, errors.Wrap(err, "encode journal entry")
	}
	if len(body) <= maxFragmentBytes {
		return []Frame{{Entry: body}}, []int{len(body) + frameOverheadBytes}, nil
	}
	count := (len(body) + maxFragmentBytes - 1) / maxFragmentBytes
	frames := make([]Frame, 0, count)
	sizes := make([]int, 0, count)
	for i := range count {
		end := min((i+1)*maxFragmentBytes, len(body))
		data := body[i*maxFragmentBytes : end]
		frames = append(frames, Frame{Part: &Part{Index: i, Count: count, Data: data}})
		sizes = append(sizes, base64Size(len(data))+frameOverheadBytes)
	}
	return frames, sizes, nil
}

// Pack packs entries into segments below MaxSegmentBytes, with slots from 1. It is used for checkpoints, whose entries
// all exist before the first segment is written.
func Pack(id string, entries []Entry) ([]Segment, error) {
	w := NewWriter(id, WriterConfig{MaxBacklogBytes: math.MaxInt})
	var segments []Segment
	for _, e := range entries {
		if _, err := w.Append(e); err != nil {
			return nil, err
		}
	}
	for len(w.pendingFrames) > 0 {
		w.cutSegment()
		segments = append(segments, *w.inFlight)
		w.markStored()
	}
	return segments, nil
}

func base64Size(n int) int { return (n + 2) / 3 * 4 }
