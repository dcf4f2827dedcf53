package replica

import (
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/replica"
)

// endlessInventory answers every request with an inventory without end. It counts the bytes that are read.
type endlessInventory struct{ read int }

func (e *endlessInventory) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(e)}, nil
}

// Read implements io.Reader. It ends by itself at twice the bound.
func (e *endlessInventory) Read(p []byte) (int, error) {
	const start, piece = `{"inventory":{"turns":["t"`, `,"0123456789abcdef"`
	if e.read > 2*maxInventoryBytes {
		return 0, io.EOF
	}
	for i := range p {
		if at := e.read + i; at < len(start) {
			p[i] = start[at]
		} else {
			p[i] = piece[(at-len(start))%len(piece)]
		}
	}
	e.read += len(p)
	return len(p), nil
}

// Guards against a replica that an inventory without end takes over its memory bound while it copies.
func TestInventoryWithoutEndIsCutOff(t *testing.T) {
	source := &endlessInventory{}
	m := &Membership{Client: &http.Client{Transport: source}}
	_, err := m.fetchInventory(t.Context(), replica.Member{VM: "source", Address: "source"}, replica.View{})
	must.Error(t, err)
	test.LessEq(t, maxInventoryBytes, source.read)
}
