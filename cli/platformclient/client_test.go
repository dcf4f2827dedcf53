package platformclient_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"jackdawbay.dev/cli/platformclient"
)

// Guards against reporting a write whose response was lost as applied, conflicting or not applied without verification,
// and against sending a write twice.
func TestPutVerifiesWriteAfterLostResponse(t *testing.T) {
	const mine, other = `{"a":1,"b":2}`, `{"a":3}`
	cases := []struct {
		name     string
		put      http.HandlerFunc
		readBack string // Body of the GET response. Empty means not found, "down" means status 503.
		version  int64
		unknown  bool
		conflict bool
	}{
		{"took effect", abortConnection, `{"version":9,"value":{"b":2,"a":1}}`, 9, false, false},
		{"another value", abortConnection, `{"version":9,"value":` + other + `}`, 0, false, true},
		{"object deleted", abortConnection, "", 0, false, true},
		{"no effect", abortConnection, `{"version":4,"value":` + other + `}`, 0, false, false},
		{"read fails", abortConnection, "down", 0, true, false},
		{"timeout without effect so far", delayResponse, `{"version":4,"value":` + other + `}`, 0, true, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			puts := make(chan struct{}, 10)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch {
				case r.Method == http.MethodPut:
					puts <- struct{}{}
					tc.put(w, r)
				case tc.readBack == "down":
					w.WriteHeader(http.StatusServiceUnavailable)
				case tc.readBack == "":
					w.WriteHeader(http.StatusNotFound)
					_, _ = w.Write([]byte(`{"error":{"code":"not_found"}}`))
				default:
					_, _ = w.Write([]byte(tc.readBack))
				}
			}))
			defer s.Close()
			c, err := platformclient.New(platformclient.Config{URL: s.URL, Key: "k", RequestTimeout: 300 * time.Millisecond, MaxReadAttempts: 2})
			must.NoError(t, err)
			version, err := c.Put(context.Background(), "config", "x", 4, json.RawMessage(mine))
			must.Eq(t, tc.version, version)
			var conflict *platformclient.ConflictError
			must.Eq(t, tc.conflict, errors.As(err, &conflict))
			var unavailable *platformclient.UnavailableError
			if errors.As(err, &unavailable) {
				must.Eq(t, tc.unknown, unavailable.OutcomeUnknown)
			}
			must.Eq(t, tc.version != 0, err == nil)
			must.Eq(t, 1, len(puts))
		})
	}
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func delayResponse(_ http.ResponseWriter, r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(2 * time.Second):
	}
}

// Guards against reads that fail at the first rate limit or outage, and against retries of reads that the platform
// rejects.
func TestReadRetries(t *testing.T) {
	cases := []struct {
		name   string
		status []int // Status codes of the responses, in order.
		reads  int
		ok     bool
	}{
		{"outage ends", []int{503, 503, 200}, 3, true},
		{"rate limit ends", []int{429, 200}, 2, true},
		{"outage lasts", []int{503, 503, 503, 503}, 3, false},
		{"rate limit lasts", []int{429, 429, 429, 429}, 3, false},
		{"refused", []int{401, 200}, 1, false},
		{"redirect", []int{307, 200}, 1, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			reads := 0
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Retry-After-Ms", "5")
				w.Header().Set("Location", "/other")
				w.WriteHeader(tc.status[reads])
				_, _ = w.Write([]byte(`{"version":1,"value":{}}`))
				reads++
			}))
			defer s.Close()
			c, err := platformclient.New(platformclient.Config{URL: s.URL, Key: "k", MaxReadAttempts: 3})
			must.NoError(t, err)
			_, err = c.Get(context.Background(), "config", "x")
			must.Eq(t, tc.ok, err == nil)
			must.Eq(t, tc.reads, reads)
			var unavailable *platformclient.UnavailableError
			must.Eq(t, !tc.ok && tc.reads == 3, errors.As(err, &unavailable))
		})
	}
}
