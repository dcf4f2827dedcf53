package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"

	"jackdawbay.dev/api/httpcheck/endlesstest"
	"jackdawbay.dev/daemon/transport"
)

const (
	// closeDelay allows for a busy machine between the end of a call and the server's observation of it.
	closeDelay = 5 * time.Second
	// maxHeldBytes is the limit of what the responses of 40 calls hold together, with 1 MB for each in the buffers of the system. The
	// smallest VM has 112 MB.
	maxHeldBytes = 80 << 20
)

// Guards against endless responses that exceed the memory of a VM together, and that cost others their response. Each is within the limit of one response until it is
// dropped (issue 49).
func TestEndlessUpstreamResponsesAtOnce(t *testing.T) {
	text := `data: {"choices":[{"delta":{"content":"` + strings.Repeat("a", 64<<10) + `"}}]}` + "\n\n"
	engines := NewEngineClient("key", transport.Options{DialTimeout: time.Second})
	services := NewServiceClient("key", transport.Options{DialTimeout: time.Second})
	const ordinaryBodyBytes = 256 << 10
	ordinaryBody := `"` + strings.Repeat("a", ordinaryBodyBytes) + `"`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // A server that closes with unread bytes resets the connection.
		_, _ = io.WriteString(w, ordinaryBody)
	}))
	defer server.Close()
	ordinary := strings.TrimPrefix(server.URL, "http://")
	for _, c := range []struct {
		form endlesstest.Form
		call func(ctx context.Context, address string) error
	}{
		{endlesstest.Form{Name: "service", Start: jsonHead, Repeated: " "}, func(ctx context.Context, address string) error {
			_, err := services.Send(ctx, address, ServiceRequest{Method: "POST", Path: "/", Body: json.RawMessage(`{}`)})
			return err
		}},
		{endlesstest.Form{Name: "lookup", Start: jsonHead, Repeated: " "}, func(ctx context.Context, address string) error {
			_, _, err := services.Lookup(ctx, address, "k")
			return err
		}},
		{endlesstest.Form{Name: "load", Start: jsonHead, Repeated: " "}, func(ctx context.Context, address string) error {
			_, err := engines.ReadLoad(ctx, address)
			return err
		}},
		{endlesstest.Form{Name: "text", Start: streamHead, Repeated: text}, func(ctx context.Context, address string) error {
			_, err := engines.StreamChat(ctx, address, ChatRequest{RequestID: "r"}, func(string) error { return nil })
			return err
		}},
	} {
		t.Run(c.form.Name, func(t *testing.T) {
			var meter endlesstest.Meter
			address := endlesstest.Start(t, &meter, c.form, endlesstest.Pace{Bytes: 64 << 10})
			var wg sync.WaitGroup
			for range 40 {
				wg.Go(func() { test.Error(t, c.call(t.Context(), address)) })
			}
			for range 20 {
				r, err := services.Send(t.Context(), ordinary, ServiceRequest{Method: "POST", Path: "/", Body: json.RawMessage(`{}`)})
				test.NoError(t, err, test.Sprint("a response beside the endless ones"))
				test.EqOp(t, len(ordinaryBody), len(r.Body))
			}
			wg.Wait()
			test.True(t, meter.WaitUntilClosed(closeDelay))
			test.LessEq(t, maxHeldBytes, meter.Peak())
			t.Logf("held at most %d bytes", meter.Peak())
		})
	}
}
