// Package replica implements the replica role, which runs on the VMs with a disk. A replica stores turns and the token
// charges of programs in a log that is synced to disk. When the view of the replica group changes, it copies the entries
// that it does not have. Every replica can propose a change of the view.
package replica

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/core/replica"
)

// Turn is one complete turn of a chain. Input and Output are not part of its JSON. Their raw bytes follow the JSON of a
// message or the header of a log entry, because encoding them as JSON took most of the CPU time of a replica.
type Turn struct {
	ID       string `json:"id"`
	Previous string `json:"previous,omitempty"` // ID of the previous turn; empty for the first turn of a chain.
	Program  string `json:"program,omitempty"`
	Sizes    Sizes  `json:"sizes"` // Set by SetSizes or when the turn is encoded.
	Input    []byte `json:"-"`
	Output   []byte `json:"-"`
}

// Sizes are the lengths of the input and output of a turn, in bytes.
type Sizes struct {
	Input  int `json:"in"`
	Output int `json:"out"`
}

// SetSizes sets Sizes from the lengths of Input and Output. It must be called before several goroutines encode the same
// turn concurrently: encoding sets the sizes only if they differ.
func (t *Turn) SetSizes() {
	if s := (Sizes{Input: len(t.Input), Output: len(t.Output)}); t.Sizes != s {
		t.Sizes = s
	}
}

// takeContents sets the input and output of a turn to the first bytes of contents, as Sizes gives their lengths, and
// returns the remaining bytes. It fails if contents is too short.
func (t *Turn) takeContents(contents []byte) ([]byte, error) {
	in, out := t.Sizes.Input, t.Sizes.Output
	if in < 0 || out < 0 || in > len(contents) || out > len(contents)-in {
		return nil, errors.Newf("contents of turn %s are incomplete: want %d input and %d output bytes", t.ID, in, out)
	}
	t.Input, t.Output = contents[:in:in], contents[in:in+out:in+out]
	return contents[in+out:], nil
}

// headerEnd terminates the JSON of a message and the header of a log entry. encoding/json writes no line feeds.
const headerEnd = '\n'

// encodeMessage returns the JSON of header, followed by the inputs and outputs of the turns.
func encodeMessage(header any, turns []*Turn) ([]byte, error) {
	size := 0
	for _, t := range turns {
		t.SetSizes()
		size += len(t.Input) + len(t.Output)
	}
	headerJSON, err := json.Marshal(header)
	if err != nil {
		return nil, errors.Wrap(err, "encode message header")
	}
	message := make([]byte, 0, len(headerJSON)+1+size)
	message = append(append(message, headerJSON...), headerEnd)
	for _, t := range turns {
		message = append(append(message, t.Input...), t.Output...)
	}
	return message, nil
}

// decodeMessage decodes the JSON of a message into header. It then sets the inputs and outputs of the turns that the
// function turns returns, in that order, to slices of raw.
func decodeMessage(raw []byte, header any, turns func() []*Turn) error {
	headerJSON, contents, _ := bytes.Cut(raw, []byte{headerEnd})
	if err := json.Unmarshal(headerJSON, header); err != nil {
		return errors.Wrap(err, "decode message header")
	}
	for _, t := range turns() {
		remaining, err := t.takeContents(contents)
		if err != nil {
			return err
		}
		contents = remaining
	}
	if len(contents) > 0 {
		return errors.Newf("message has %d trailing bytes", len(contents))
	}
	return nil
}

// OpKind is the kind of an operation in a batch.
type OpKind string

// Kinds of operations in a batch.
const (
	OpCharge    OpKind = "charge" // Stores a charge of a program and returns all charges of the program.
	OpStore     OpKind = "keep"   // Stores a turn, a charge, or both. It retains the chain that the turn continues for as long as the turn.
	OpReadChain OpKind = "chain"  // Returns the turns of a chain from a given turn back to the first, newest first.
)

// Op is one operation of a batch.
type Op struct {
	Kind     OpKind         `json:"kind"`
	Program  string         `json:"program,omitempty"`
	Charge   replica.Charge `json:"charge,omitzero"`
	Turn     *Turn          `json:"turn,omitempty"`
	From     string         `json:"from,omitempty"`      // OpReadChain: ID of the newest turn to return.
	RetainMS int64          `json:"retain_ms,omitempty"` // Time for which the entry is retained after this operation.
}

// Result is the result of one operation.
type Result struct {
	Charges []replica.Charge `json:"charges,omitempty"`
	Turns   []Turn           `json:"turns,omitempty"`
	Missing string           `json:"missing,omitempty"` // ID of the newest turn of the chain that this replica has not stored.
	Failed  bool             `json:"failed,omitempty"`  // The operation was not made durable, or the chain could not be read.
}

// Batch is the body of a batch request. The inputs and outputs of its turns follow the JSON.
type Batch struct {
	View  replica.View `json:"view,omitzero"` // Set if the replica may not have adopted it yet.
	Epoch uint64       `json:"epoch"`         // Epoch of the sender's view.
	Disk  string       `json:"disk"`          // Disk identity of the replica that the request is for.
	Ops   []Op         `json:"ops"`
}

// BatchResponse is the body of the response to a batch. The inputs and outputs of its turns follow the JSON. View is set,
// and no operation was executed, if the epoch of the sender differs from the epoch of the replica.
type BatchResponse struct {
	View    *replica.View `json:"view,omitempty"`
	Results []Result      `json:"results,omitempty"`
}

// turns returns the turns of the operations, in order.
func (b *Batch) turns() []*Turn {
	var opTurns []*Turn
	for _, op := range b.Ops {
		if op.Turn != nil {
			opTurns = append(opTurns, op.Turn)
		}
	}
	return opTurns
}

// Encode returns the body of the request.
func (b *Batch) Encode() ([]byte, error) { return encodeMessage(b, b.turns()) }

// DecodeBatch decodes the body of a request. The contents of the turns alias raw.
func DecodeBatch(raw []byte) (Batch, error) {
	var b Batch
	err := decodeMessage(raw, &b, b.turns)
	return b, err
}

// turns returns the turns of the results, in order.
func (r *BatchResponse) turns() []*Turn {
	var resultTurns []*Turn
	for i := range r.Results {
		for k := range r.Results[i].Turns {
			resultTurns = append(resultTurns, &r.Results[i].Turns[k])
		}
	}
	return resultTurns
}

// Encode returns the body of the response.
func (r *BatchResponse) Encode() ([]byte, error) { return encodeMessage(r, r.turns()) }

// DecodeBatchResponse decodes the body of a response. The contents of the turns alias raw.
func DecodeBatchResponse(raw []byte) (BatchResponse, error) {
	var r BatchResponse
	err := decodeMessage(raw, &r, r.turns)
	return r, err
}

// Inventory lists the turns and program ledgers that a replica stores.
type Inventory struct {
	Turns    []string        `json:"turns"` // IDs, in the order in which a copy requests them.
	Programs []ProgramLedger `json:"programs"`
}

// ProgramLedger lists the token charges of one program.
type ProgramLedger struct {
	Program     string           `json:"program"`
	RemainingMS int64            `json:"left_ms"` // Remaining retention of the ledger.
	Charges     []replica.Charge `json:"charges"`
}

// CopyRequest requests the inventory of a replica, or the turns with the given IDs. A replica that copies the data of
// another one sends it.
type CopyRequest struct {
	View    replica.View `json:"view"`
	Disk    string       `json:"disk"`
	TurnIDs []string     `json:"ids,omitempty"`

	// MaxBytes limits the response to the turns of the leading IDs that fit. Their number is in the header headerIDsDone. If
	// it is 0, as in requests of earlier versions, the response has all turns.
	MaxBytes int `json:"max_bytes,omitempty"`
}

// CopyResponse is the response to a CopyRequest for an inventory, and to any CopyRequest that is rejected because of its
// view. The response to a request for turns is a sequence of log payloads instead. Each follows its length, which has four
// bytes in little-endian order.
type CopyResponse struct {
	View      *replica.View `json:"view,omitempty"` // Set if the replica rejects the sender's view.
	Inventory *Inventory    `json:"inventory,omitempty"`
}

// HTTP paths of the replica listener.
const (
	PathBatch     = "/replica/v1/batch"
	PathInventory = "/replica/v1/inventory"
	PathTurns     = "/replica/v1/turns"
	PathProbe     = "/replica/v1/probe"
)
