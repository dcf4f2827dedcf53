package replica

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test"
)

// Guards against turns that change on their way to a replica or to its disk.
func FuzzText(f *testing.F) {
	f.Add([]byte("plain"))
	f.Add([]byte{0xff, 0x00, '"', '<'})
	f.Add([]byte("\u2028 \\ <a>&amp;"))
	f.Fuzz(func(t *testing.T, b []byte) {
		raw, err := json.Marshal(Turn{Input: b})
		test.NoError(t, err)
		var got Turn
		test.NoError(t, json.Unmarshal(raw, &got))
		test.EqOp(t, string(b), string(got.Input))
	})
}
