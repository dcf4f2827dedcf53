// Package journal defines the write-ahead log of a daemon incarnation: its entries, its segments, and the state machine
// that batches entries into segments. Each segment is one platform object that is created once and never changed.
package journal

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/caller"
)

// Entry is one durable change of a program. Exactly one of the pointer fields is set.
type Entry struct {
	Shard   int    `json:"s"`
	Epoch   uint64 `json:"e"`
	Program string `json:"p"`

	Created  *Created  `json:"created,omitempty"`
	Turn     *Turn     `json:"turn,omitempty"`
	Intent   *Intent   `json:"intent,omitempty"`
	Cancel   *Cancel   `json:"cancel,omitempty"`
	Charge   *Charge   `json:"charge,omitempty"`
	Resolved *Resolved `json:"resolved,omitempty"`
	Ended    *Ended    `json:"ended,omitempty"`
	Handover *Handover `json:"handover,omitempty"`
	Open     *Open     `json:"open,omitempty"`
}

// Created starts a program. Times are Unix milliseconds.
type Created struct {
	Tenant       string `json:"tenant"`
	Class        string `json:"class,omitempty"`
	Model        string `json:"model,omitempty"`
	Parent       string `json:"parent,omitempty"`
	BudgetTokens int64  `json:"budget"`
	MaxTurns     int    `json:"max_turns"`
	ExpiryMillis int64  `json:"expiry_ms"`
	AtMillis     int64  `json:"at_ms"`
}

// Turn appends a finished call to the history. Digest is the digest after the turn.
type Turn struct {
	Turn     caller.Turn `json:"turn"`
	Digest   string      `json:"digest"`
	AtMillis int64       `json:"at_ms"`
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

// Charge counts tokens against the budget for an attempt whose usage is unknown.
type Charge struct {
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

// Handover states that the owner stopped serving the shard with every attempt in flight journaled after it as Open.
type Handover struct{}

// Open states that an attempt of the program was in flight at a handover.
type Open struct{}

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
		return []Frame{{Entry: body}}, []int{len(body)}, nil
	}
	count := (len(body) + maxFragmentBytes - 1) / maxFragmentBytes
	list := make([]Frame, 0, count)
	sizes := make([]int, 0, count)
	for i := range count {
		end := min((i+1)*maxFragmentBytes, len(body))
		data := body[i*maxFragmentBytes : end]
		list = append(list, Frame{Part: &Part{Index: i, Count: count, Data: data}})
		sizes = append(sizes, base64Size(len(data)))
	}
	return list, sizes, nil
}

func base64Size(n int) int { return (n + 2) / 3 * 4 }
