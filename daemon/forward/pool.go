// Package forward sends requests to upstreams over kept connections. It never repeats a request: what an outcome allows is
// decided by its caller. net/http's client is not used because it repeats some requests on a lost connection by itself, and
// takes a late response for the answer to the next request.
package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"jackdawbay.dev/daemon/clock"
)

// Bounds of the pool.
const (
	readBufferBytes = 4096
	// DefaultIdleTimeout is how long a connection is kept for an upstream that states no time.
	DefaultIdleTimeout = 4 * time.Second
	// idleMargin is taken off the idle time that an upstream states, so that the upstream does not close first.
	idleMargin = 700 * time.Millisecond
	// IdleCheckInterval is the time between two closings of idle connections.
	IdleCheckInterval = 2 * time.Second
)

// ErrNotSent means that no byte of the request reached the upstream.
var ErrNotSent = errors.New("request was not sent")

// Conn is one connection to an upstream. One request uses it at a time.
type Conn struct {
	net.Conn
	address   string
	in        *boundedReader
	br        *bufio.Reader // Reads from in.
	idleUntil time.Time
	Reused    bool
	DialTime  time.Duration // Zero for a reused connection.
}

// Pool keeps connections to upstreams.
type Pool struct {
	dialer  net.Dialer
	maxIdle int

	mu   sync.Mutex
	idle map[string][]*Conn // Most recently used last.

	dials  *metrics.Counter
	reuses *metrics.Counter
}

// NewPool returns a pool. DialTimeout bounds connecting, maxIdle the idle connections to one upstream.
func NewPool(dialTimeout time.Duration, maxIdle int, set *metrics.Set) *Pool {
	return &Pool{
		dialer:  net.Dialer{Timeout: dialTimeout, KeepAlive: -1},
		maxIdle: maxIdle,
		idle:    map[string][]*Conn{},
		dials:   set.NewCounter("jackdawbay_upstream_dials_total"),
		reuses:  set.NewCounter("jackdawbay_upstream_reuses_total"),
	}
}

// Get returns an idle connection that is sound, or a new one. The error is ErrNotSent.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.idleUntil) && quiet(c) {
			p.reuses.Inc()
			c.Reused, c.DialTime = true, 0
			return c, nil
		}
		_ = c.Close() // An idle connection that is not used again.
	}
	start := time.Now()
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "connect"), ErrNotSent)
	}
	p.dials.Inc()
	in := &boundedReader{Reader: raw}
	return &Conn{Conn: raw, address: address, in: in, br: bufio.NewReaderSize(in, readBufferBytes), DialTime: time.Since(start)}, nil
}

// boundedReader ends with errTooLarge at a bound, where one is set.
type boundedReader struct {
	io.Reader
	bounded bool
	left    int
}

var errTooLarge = errors.New("head is too large")

func (r *boundedReader) bound(n int) { r.bounded, r.left = true, n }

func (r *boundedReader) unbound() { r.bounded = false }

// Read implements io.Reader.
func (r *boundedReader) Read(b []byte) (int, error) {
	if !r.bounded {
		return r.Reader.Read(b)
	}
	if r.left <= 0 {
		return 0, errTooLarge
	}
	n, err := r.Reader.Read(b[:min(len(b), r.left)])
	r.left -= n
	return n, err
}

func (p *Pool) takeIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// quiet reports whether nothing has arrived on an idle connection: neither its end nor bytes that belong to no request.
func quiet(c *Conn) bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	sound := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		sound = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && sound
}

// put keeps a connection for a later request.
func (p *Pool) put(c *Conn, idle time.Duration) {
	if idle <= 0 {
		idle = DefaultIdleTimeout
	}
	c.idleUntil = time.Now().Add(max(idle-idleMargin, idle/2))
	p.mu.Lock()
	list := p.idle[c.address]
	full := len(list) >= p.maxIdle
	if !full {
		p.idle[c.address] = append(list, c)
	}
	p.mu.Unlock()
	if full {
		_ = c.Close() // The connection holds no request.
	}
}

// Run closes idle connections that are past their time until the context ends.
func (p *Pool) Run(ctx context.Context) error {
	return clock.Every(ctx, IdleCheckInterval, p.sweep)
}

func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close() // The connection holds no request.
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
}
