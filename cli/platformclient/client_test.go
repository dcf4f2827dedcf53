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

// Guards against a lost answer that is reported as applied, refused or free of effect without proof, and against a write
// that is sent twice.
func TestPutReadsBackLostAnswer(t *testing.T) {
	const mine, other = `{"a":1,"b":2}`, `{"a":3}`
	cases := []struct {
		name     string
		put      http.HandlerFunc
		readBack string // Body of the answer to GET; empty: not found; "down": status 503.
		version  int64
		unknown  bool
		conflict bool
	}{
		{"took effect", abort, `{"version":9,"value":{"b":2,"a":1}}`, 9, false, false},
		{"another value", abort, `{"version":9,"value":` + other + `}`, 0, false, true},
		{"object deleted", abort, "", 0, false, true},
		{"no effect", abort, `{"version":4,"value":` + other + `}`, 0, false, false},
		{"read fails", abort, "down", 0, true, false},
		{"timeout without effect so far", hang, `{"version":4,"value":` + other + `}`, 0, true, false},
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
			var lost *platformclient.UnavailableError
			if errors.As(err, &lost) {
				must.Eq(t, tc.unknown, lost.OutcomeUnknown)
			}
			must.Eq(t, tc.version != 0, err == nil)
			must.Eq(t, 1, len(puts))
		})
	}
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func hang(_ http.ResponseWriter, r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(2 * time.Second):
	}
}

// Guards against reads that give up at the first rate limit or outage, and against reads that repeat a refusal.
func TestReadRetries(t *testing.T) {
	cases := []struct {
		name   string
		status []int // Of the answers, in order.
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
