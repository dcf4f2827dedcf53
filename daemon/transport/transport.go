// Package transport creates the HTTP clients of a daemon. They bind to the configured source address, do not follow
// redirects, and never send a request twice.
package transport

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/httpcheck"
)

// Options configures an HTTP client.
type Options struct {
	SourceAddress string        // IP address that outgoing connections bind to; if empty, the system chooses one.
	DialTimeout   time.Duration // Timeout of establishing a connection.
	MaxPerHost    int           // Maximum number of connections to one host; zero sets no limit.
	// KeepAlive is the interval of keep-alive probes on an idle connection; zero selects 15 s. If set, a connection also
	// fails if sent data stays unacknowledged for twice as long, since no probes are sent during that time.
	KeepAlive time.Duration
	// NoReuse makes each request use a new connection. A request on a reused connection that has failed would have an
	// unknown outcome.
	NoReuse bool
	// Responses bounds what the responses of several clients hold together. Nil selects a budget of MinBudgetBytes for each client
	// that reads responses into memory.
	Responses *Budget
}

// ResponseBudget returns the budget of the responses.
func (o Options) ResponseBudget() *Budget {
	if o.Responses == nil {
		return NewBudget(MinBudgetBytes)
	}
	return o.Responses
}

// ErrNotSent marks errors of requests that certainly did not reach the server.
var ErrNotSent = errors.New("request was not sent")

// ErrConnectionRefused marks errors of requests to an address without a listener.
var ErrConnectionRefused = errors.New("connection refused")

// NewClient returns an HTTP client. It does not use HTTP/2, whose transport retries requests that a server refused.
func NewClient(o Options) *http.Client {
	dialer := &net.Dialer{Timeout: o.DialTimeout, KeepAlive: 15 * time.Second}
	if o.KeepAlive > 0 {
		LimitSilence(dialer, o.KeepAlive)
	}
	if o.SourceAddress != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(o.SourceAddress)}
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			err = errors.Mark(err, ErrConnectionRefused)
		}
		if err != nil {
			return nil, errors.Mark(err, ErrNotSent)
		}
		return c, nil
	}
	return &http.Client{
		Transport: httpcheck.NewTransport(&http.Transport{
			DialContext:         dial,
			MaxConnsPerHost:     o.MaxPerHost,
			MaxIdleConnsPerHost: 64,
			IdleConnTimeout:     30 * time.Second,
			DisableKeepAlives:   o.NoReuse,
			DisableCompression:  true,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// LimitSilence makes the connections of a dialer fail if the peer's system acknowledges neither sent data nor keep-alive probes
// for twice the interval. A peer that only takes long to respond acknowledges both. The system rounds the interval of probes up
// to whole seconds.
func LimitSilence(dialer *net.Dialer, interval time.Duration) {
	dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: 1}
	dialer.Control = func(_, _ string, c syscall.RawConn) error {
		return errors.Wrap(setUserTimeout(c, 2*interval), "set timeout of unacknowledged data")
	}
}

// NonRewindableBody returns a request body that the HTTP transport cannot rewind. net/http retries a request after a
// connection failure if it can rewind the body and considers the request idempotent. A header Idempotency-Key makes it
// consider any request idempotent.
func NonRewindableBody(body []byte) io.Reader {
	return struct{ io.Reader }{bytes.NewReader(body)}
}
