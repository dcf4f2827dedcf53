// Package replica is the role of the VMs with a disk. A replica keeps turns and the token charges of programs in a
// synchronised log, copies what it lacks when the view changes, and takes part in changing the view.
package replica

import (
	"encoding/json"
	"unicode/utf8"

	"jackdawbay.dev/core/replica"
)

// Turn is one complete turn of a chain.
type Turn struct {
	ID       string `json:"id"`
	Previous string `json:"previous,omitempty"` // Empty at the start of a chain.
	Program  string `json:"program"`
	Input    Text   `json:"input"`
	Output   Text   `json:"output"`
}

// Text is bytes that are mostly text. Text is encoded as it is, other bytes in base64, which is a third longer.
type Text []byte

type binaryText struct {
	Base64 []byte `json:"base64"`
}

// MarshalJSON implements json.Marshaler.
func (t Text) MarshalJSON() ([]byte, error) {
	if utf8.Valid(t) {
		return json.Marshal(string(t))
	}
	return json.Marshal(binaryText{t})
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *Text) UnmarshalJSON(raw []byte) error {
	if len(raw) > 0 && raw[0] == '{' {
		var b binaryText
		err := json.Unmarshal(raw, &b)
		*t = b.Base64
		return err
	}
	var s string
	err := json.Unmarshal(raw, &s)
	*t = Text(s)
	return err
}

// OpKind names an operation.
type OpKind string

// Operations of a batch.
const (
	OpCharge OpKind = "charge" // Adds a charge to a program and returns all charges of the program.
	OpKeep   OpKind = "keep"   // Stores a turn, a charge, or both.
	OpChain  OpKind = "chain"  // Returns the turns of a chain, newest first, up to a turn that the caller has.
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

// Batch is the body of a request to a replica.
type Batch struct {
	View  replica.View `json:"view,omitzero"` // Present when the replica may lack it.
	Epoch uint64       `json:"epoch"`         // Epoch of the view that the sender uses.
	Disk  string       `json:"disk"`          // Disk of the replica that the sender means.
	Ops   []Op         `json:"ops"`
}

// BatchAnswer is the body of an answer. View is set where the sender's epoch is not the replica's; then nothing was done.
type BatchAnswer struct {
	View    *replica.View `json:"view,omitempty"`
	Results []Result      `json:"results,omitempty"`
}

// Inventory lists what a replica holds.
type Inventory struct {
	Turns    []string        `json:"turns"`
	Programs []ProgramLedger `json:"programs"`
}

// ProgramLedger is the ledger of one program.
type ProgramLedger struct {
	Program string           `json:"program"`
	LeftMS  int64            `json:"left_ms"` // Time for which the ledger is still kept.
	Charges []replica.Charge `json:"charges"`
}

// CopyRequest asks for an inventory or for turns.
type CopyRequest struct {
	View replica.View `json:"view"`
	Disk string       `json:"disk"`
	IDs  []string     `json:"ids,omitempty"`
}

// CopyAnswer answers a CopyRequest for an inventory, and any that is refused. Turns are answered with a sequence of their
// lengths, four bytes each in little-endian order, and their payloads as they stand in the log.
type CopyAnswer struct {
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
