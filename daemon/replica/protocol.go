// Package replica is the role of the VMs with a disk. A replica keeps turns and the token charges of programs in a
// synchronised log, copies what it lacks when the view changes, and takes part in changing the view.
package replica

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/core/replica"
)

// Turn is one complete turn of a chain. What was said is not part of its JSON: it follows the JSON of a message, and the
// header of a log entry, as it is, because encoding it took most of the processor time of a replica.
type Turn struct {
	ID       string `json:"id"`
	Previous string `json:"previous,omitempty"` // Empty at the start of a chain.
	Program  string `json:"program,omitempty"`
	Sizes    Sizes  `json:"sizes"` // Set by Measure or when the turn is encoded.
	Input    []byte `json:"-"`
	Output   []byte `json:"-"`
}

// Sizes are the lengths in bytes of what was said in a turn.
type Sizes struct {
	Input  int `json:"in"`
	Output int `json:"out"`
}

// Measure sets the sizes. A turn that several goroutines encode must be measured before.
func (t *Turn) SetSizes() {
	if s := (Sizes{Input: len(t.Input), Output: len(t.Output)}); t.Sizes != s {
		t.Sizes = s
	}
}

// cutTurn takes what was said in a turn from the front of bulk and returns the rest.
func (t *Turn) cutTurn(bulk []byte) ([]byte, error) {
	in, out := t.Sizes.Input, t.Sizes.Output
	if in < 0 || out < 0 || in > len(bulk) || out > len(bulk)-in {
		return nil, errors.Newf("turn %s of %d and %d bytes is not whole", t.ID, in, out)
	}
	t.Input, t.Output = bulk[:in:in], bulk[in:in+out:in+out]
	return bulk[in+out:], nil
}

// headEnd ends the JSON of a message and the header of a log entry. JSON as it is encoded here has no line feed.
const headEnd = '\n'

// encodeMessage returns the JSON of head and what was said in the turns.
func encodeMessage(head any, turns []*Turn) ([]byte, error) {
	size := 0
	for _, t := range turns {
		t.SetSizes()
		size += len(t.Input) + len(t.Output)
	}
	raw, err := json.Marshal(head)
	if err != nil {
		return nil, errors.Wrap(err, "encode a message")
	}
	message := make([]byte, 0, len(raw)+1+size)
	message = append(append(message, raw...), headEnd)
	for _, t := range turns {
		message = append(append(message, t.Input...), t.Output...)
	}
	return message, nil
}

// decodeMessage decodes the JSON of a message into head and gives the turns that it then has what was said in them.
func decodeMessage(raw []byte, head any, turns func() []*Turn) error {
	text, bulk, _ := bytes.Cut(raw, []byte{headEnd})
	if err := json.Unmarshal(text, head); err != nil {
		return errors.Wrap(err, "decode a message")
	}
	for _, t := range turns() {
		rest, err := t.cutTurn(bulk)
		if err != nil {
			return err
		}
		bulk = rest
	}
	if len(bulk) > 0 {
		return errors.Newf("%d bytes follow a message", len(bulk))
	}
	return nil
}

// OpKind names an operation.
type OpKind string

// Operations of a batch.
const (
	OpCharge    OpKind = "charge" // Adds a charge to a program and returns all charges of the program.
	OpStore     OpKind = "keep"   // Stores a turn, a charge, or both.
	OpReadChain OpKind = "chain"  // Returns the turns of a chain, newest first, up to a turn that the caller has.
)

// Op is one operation.
type Op struct {
	Kind     OpKind         `json:"kind"`
	Program  string         `json:"program,omitempty"`
	Charge   replica.Charge `json:"charge,omitzero"`
	Turn     *Turn          `json:"turn,omitempty"`
	From     string         `json:"from,omitempty"`      // Newest turn of the chain that is asked for.
	RetainMS int64          `json:"retain_ms,omitempty"` // Time for which the entry is kept after this operation.
}

// Result answers one operation.
type Result struct {
	Charges []replica.Charge `json:"charges,omitempty"`
	Turns   []Turn           `json:"turns,omitempty"`
	Missing string           `json:"missing,omitempty"` // First turn of the chain that this replica does not have.
	Failed  bool             `json:"failed,omitempty"`  // The operation is not durable.
}

// Batch is the body of a request to a replica. What was said in its turns follows the JSON.
type Batch struct {
	View  replica.View `json:"view,omitzero"` // Present when the replica may lack it.
	Epoch uint64       `json:"epoch"`         // Epoch of the view that the sender uses.
	Disk  string       `json:"disk"`          // Disk of the replica that the sender means.
	Ops   []Op         `json:"ops"`
}

// BatchResponse is the body of an answer. What was said in its turns follows the JSON. View is set where the sender's epoch is not the replica's; then nothing was done.
type BatchResponse struct {
	View    *replica.View `json:"view,omitempty"`
	Results []Result      `json:"results,omitempty"`
}

func (b *Batch) turns() []*Turn {
	var list []*Turn
	for _, op := range b.Ops {
		if op.Turn != nil {
			list = append(list, op.Turn)
		}
	}
	return list
}

// Encode returns the body of a request.
func (b *Batch) Encode() ([]byte, error) { return encodeMessage(b, b.turns()) }

// DecodeBatch is the reverse of Batch.Encode. The turns keep parts of raw.
func DecodeBatch(raw []byte) (Batch, error) {
	var b Batch
	err := decodeMessage(raw, &b, b.turns)
	return b, err
}

func (a *BatchResponse) turns() []*Turn {
	var list []*Turn
	for i := range a.Results {
		for k := range a.Results[i].Turns {
			list = append(list, &a.Results[i].Turns[k])
		}
	}
	return list
}

// Encode returns the body of an answer.
func (a *BatchResponse) Encode() ([]byte, error) { return encodeMessage(a, a.turns()) }

// DecodeBatchResponse is the reverse of BatchResponse.Encode. The turns keep parts of raw.
func DecodeBatchResponse(raw []byte) (BatchResponse, error) {
	var a BatchResponse
	err := decodeMessage(raw, &a, a.turns)
	return a, err
}

// Inventory lists what a replica holds.
type Inventory struct {
	Turns    []string        `json:"turns"`
	Programs []ProgramLedger `json:"programs"`
}

// ProgramLedger is the ledger of one program.
type ProgramLedger struct {
	Program     string           `json:"program"`
	RemainingMS int64            `json:"left_ms"` // Time for which the ledger is still kept.
	Charges     []replica.Charge `json:"charges"`
}

// CopyRequest asks for an inventory or for turns.
type CopyRequest struct {
	View    replica.View `json:"view"`
	Disk    string       `json:"disk"`
	TurnIDs []string     `json:"ids,omitempty"`
}

// CopyResponse answers a CopyRequest for an inventory, and any that is refused. Turns are answered with a sequence of their
// lengths, four bytes each in little-endian order, and their payloads as they stand in the log.
type CopyResponse struct {
	View      *replica.View `json:"view,omitempty"` // Set where the replica refuses the sender's view.
	Inventory *Inventory    `json:"inventory,omitempty"`
}

// Paths of the replica listener.
const (
	PathBatch     = "/replica/v1/batch"
	PathInventory = "/replica/v1/inventory"
	PathTurns     = "/replica/v1/turns"
	PathProbe     = "/replica/v1/probe"
)
