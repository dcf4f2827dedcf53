package upstream

import (
	"context"
	"encoding/json"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

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

// Guards against endless responses that exceed the memory of a VM together. Each is within the limit of one response until it is
// dropped (issue 49).
func TestEndlessUpstreamResponsesAtOnce(t *testing.T) {
	text := `data: {"choices":[{"delta":{"content":"` + strings.Repeat("a", 64<<10) + `"}}]}` + "\n\n"
	engines := NewEngineClient("key", transport.Options{DialTimeout: time.Second})
	services := NewServiceClient("key", transport.Options{DialTimeout: time.Second})
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
			skipIfKnownRed(t)
			var meter endlesstest.Meter
			address := endlesstest.Start(t, &meter, c.form, endlesstest.Pace{Bytes: 64 << 10})
			var wg sync.WaitGroup
			for range 40 {
				wg.Go(func() { test.Error(t, c.call(t.Context(), address)) })
			}
			wg.Wait()
			test.True(t, meter.WaitUntilClosed(closeDelay))
			test.LessEq(t, maxHeldBytes, meter.Peak())
			t.Logf("held at most %d bytes", meter.Peak())
		})
	}
}

// skipIfKnownRed skips a test that is listed in KNOWN-RED.txt, unless the environment asks for these tests.
func skipIfKnownRed(t *testing.T) {
	t.Helper()
	raw, err := os.ReadFile("../../KNOWN-RED.txt")
	must.NoError(t, err)
	for line := range strings.SplitSeq(string(raw), "\n") {
		name, _, _ := strings.Cut(line, ":")
		if (t.Name() == name || strings.HasPrefix(t.Name(), name+"/")) && os.Getenv("JACKDAWBAY_KNOWN_RED") == "" {
			t.Skip("known to fail: ", line)
		}
	}
}
