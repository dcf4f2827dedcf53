// Package transport builds the HTTP clients of a daemon. They bind to the address that the settings name, never follow a
// redirect, and never send a request twice.
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
)

// Options describe an HTTP client.
type Options struct {
	SourceAddress string        // IP address that outgoing connections bind to; empty leaves the choice to the system.
	DialTimeout   time.Duration // Bound of connecting.
	MaxPerHost    int           // Connections to one host; zero sets no bound.
	// KeepAlive is the time between probes of a silent connection; zero takes 15 s. If set, data that stays unacknowledged for
	// twice as long ends the connection as well, since no probes are sent meanwhile.
	KeepAlive time.Duration
	NoReuse   bool // Each request takes a new connection, so that a send on a dead one cannot be in doubt.
}

// maxHeadBytes bounds the head of a response. net/http allows 10 MiB; the largest heads here have a few hundred bytes.
const maxHeadBytes = 32 << 10

// ErrNotSent is returned when a request certainly did not reach the other side.
var ErrNotSent = errors.New("request was not sent")

// ErrConnectionRefused is returned when the host answered that nothing listens at the address.
var ErrConnectionRefused = errors.New("connection refused")

// NewClient returns a client. HTTP/2 is off because its transport repeats requests that a server refused.
func NewClient(o Options) *http.Client {
	dialer := &net.Dialer{Timeout: o.DialTimeout, KeepAlive: 15 * time.Second}
	if o.KeepAlive > 0 {
		dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: o.KeepAlive, Interval: o.KeepAlive, Count: 1}
		dialer.Control = func(_, _ string, c syscall.RawConn) error {
			return errors.Wrap(setUserTimeout(c, 2*o.KeepAlive), "bound unacknowledged data")
		}
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
		Transport: &http.Transport{
			DialContext:            dial,
			MaxConnsPerHost:        o.MaxPerHost,
			MaxIdleConnsPerHost:    64,
			MaxResponseHeaderBytes: maxHeadBytes,
			IdleConnTimeout:        30 * time.Second,
			DisableKeepAlives:      o.NoReuse,
			DisableCompression:     true,
			Protocols:              http1(),
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func http1() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	return p
}

// NonRewindableBody returns a body that the transport cannot rewind. Go's transport repeats a request after a lost connection when
// it can rewind the body and the request looks idempotent, which a header Idempotency-Key makes it do.
func NonRewindableBody(body []byte) io.Reader {
	return struct{ io.Reader }{bytes.NewReader(body)}
}

// MaxResponseBytes bounds a response that is read whole.
const MaxResponseBytes = 16 << 20

// ErrTooLarge is returned when a response is larger than allowed.
var ErrTooLarge = errors.New("response is too large")

// ReadAll reads a response body up to a bound.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, ErrTooLarge
	}
	return body, nil
}
