package replica

import (
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/replica"
)

// endlessInventory is a transport that responds to every request with an endless inventory. It counts the bytes read.
type endlessInventory struct{ bytesRead int }

func (e *endlessInventory) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(e)}, nil
}

// Read implements io.Reader. The inventory ends after twice the limit, so that a failing test does not run forever.
func (e *endlessInventory) Read(p []byte) (int, error) {
	const start, piece = `{"inventory":{"turns":["t"`, `,"0123456789abcdef"`
	if e.bytesRead > 2*maxInventoryBytes {
		return 0, io.EOF
	}
	for i := range p {
		if position := e.bytesRead + i; position < len(start) {
			p[i] = start[position]
		} else {
			p[i] = piece[(position-len(start))%len(piece)]
		}
	}
	e.bytesRead += len(p)
	return len(p), nil
}

// Guards against a replica that exceeds its memory limit because the inventory that it copies from has no end.
func TestInventorySizeIsBounded(t *testing.T) {
	source := &endlessInventory{}
	m := &Membership{Server: newServer(t, newFaultFS()), Client: &http.Client{Transport: source}}
	_, err := m.fetchInventory(t.Context(), replica.Member{VM: "source", Address: "source"}, replica.View{})
	must.Error(t, err)
	test.LessEq(t, maxInventoryBytes, source.bytesRead)
}
