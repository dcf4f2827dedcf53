package replica

import (
	"testing"

	"github.com/shoenig/test"

	"jackdawbay.dev/core/replica"
)

// Guards against turns that are altered by encoding and decoding: in requests, in responses or in the log.
func FuzzTurn(f *testing.F) {
	f.Add([]byte("plain"), []byte(""))
	f.Add([]byte{0xff, 0x00, '"', '<', '\n'}, []byte("\n\n"))
	f.Add([]byte("\u2028 \\ <a>&amp;"), []byte("{}"))
	f.Fuzz(func(t *testing.T, input, output []byte) {
		turn := Turn{ID: "t", Previous: "s", Program: "p", Input: input, Output: output}
		checkTurn := func(got Turn) {
			test.EqOp(t, string(input), string(got.Input))
			test.EqOp(t, string(output), string(got.Output))
			test.EqOp(t, "s", got.Previous)
		}
		first := turn
		b := Batch{Epoch: 1, Ops: []Op{{Kind: OpStore, Turn: &first}, {Kind: OpCharge, Program: "p", Charge: replica.Charge{Turn: "t"}}, {Kind: OpStore, Turn: &turn}}}
		raw, err := b.Encode()
		test.NoError(t, err)
		gotBatch, err := DecodeBatch(raw)
		test.NoError(t, err)
		checkTurn(*gotBatch.Ops[0].Turn)
		checkTurn(*gotBatch.Ops[2].Turn)
		_, err = DecodeBatch(append(raw, 'x'))
		test.Error(t, err, test.Sprint("one extra byte"))
		if len(input)+len(output) > 0 {
			_, err = DecodeBatch(raw[:len(raw)-1])
			test.Error(t, err, test.Sprint("one missing byte"))
		}
		response := BatchResponse{Results: []Result{{Turns: []Turn{turn, turn}}, {Missing: "x"}}}
		raw, err = response.Encode()
		test.NoError(t, err)
		gotResponse, err := DecodeBatchResponse(raw)
		test.NoError(t, err)
		checkTurn(gotResponse.Results[0].Turns[1])
		payload, err := encodeEntry(entry{Turn: &turn})
		test.NoError(t, err)
		e, err := decodeEntry(payload)
		test.NoError(t, err)
		test.EqOp(t, "t", e.Turn.ID)
	})
}

// Guards against a panic on a message whose sizes exceed its length.
func FuzzDecodeBatch(f *testing.F) {
	f.Add([]byte(`{"ops":[{"kind":"keep","turn":{"id":"t","sizes":{"in":9,"out":9}}}]}`))
	f.Add([]byte(`{"ops":[{"kind":"keep","turn":{"id":"t","sizes":{"in":-1,"out":9223372036854775807}}}]}` + "\nabc"))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		_, _ = DecodeBatch(raw)
		_, _ = DecodeBatchResponse(raw)
	})
}
