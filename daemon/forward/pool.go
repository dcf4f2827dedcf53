// Package forward sends requests to upstreams over pooled connections. It never repeats a request; the caller decides what
// to do after each outcome. The client of net/http is not used because it repeats some requests by itself when a connection
// ends, and takes a late response for the response to the next request.
package forward

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/httpcheck"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/daemon/intake"
	"jackdawbay.dev/daemon/transport"
)

// Limits of the pool.
const (
	readBufferBytes = 4096
	// DefaultIdleTimeout is the idle timeout of connections to an upstream that states none.
	DefaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the idle timeout that an upstream states, so that the upstream does not close the
	// connection first.
	idleTimeoutMargin = 700 * time.Millisecond
	// IdleCheckInterval is the interval at which expired idle connections are closed.
	IdleCheckInterval = 2 * time.Second
	// silenceInterval is half of the time after which an upstream whose system acknowledges nothing counts as gone while a
	// request is in flight. It is a multiple of the round trip between regions and of a retransmission.
	silenceInterval = 500 * time.Millisecond
)

// ErrNotSent means that no byte of the request reached the upstream.
var ErrNotSent = errors.New("request was not sent")

// ErrTooManyConnections means that the process may not open another connection. It is also ErrNotSent.
var ErrTooManyConnections = errors.New("too many connections")

// Conn is a connection to an upstream. It serves one request at a time.
type Conn struct {
	*httpcheck.Conn
	pool      *Pool // Counts the connection until it is closed.
	closeOnce sync.Once
	address   string
	reader    *bufio.Reader
	idleUntil time.Time
	Reused    bool
	DialTime  time.Duration // Zero for a reused connection.

	carried      [maxCarriedIDs]uint64 // Hashes of the IDs of the last requests, as a ring.
	carriedCount int
}

// maxCarriedIDs is the number of request IDs that a connection remembers. A copy of a response that is later than this many
// further requests would be taken for the response to a request with the same ID.
const maxCarriedIDs = 16

// MarkRequest records that the connection carries a request with this ID. It reports false if it has carried one with the same
// ID before, in which case it must not be used: a late copy of the earlier response could not be told from the response to this
// request. The IDs of two organisations may be equal, so that the response could be that of another organisation.
func (c *Conn) MarkRequest(id string) bool {
	hash := xxhash.Sum64String(id)
	if slices.Contains(c.carried[:min(c.carriedCount, maxCarriedIDs)], hash) {
		return false
	}
	c.carried[c.carriedCount%maxCarriedIDs] = hash
	c.carriedCount++
	return true
}

// Pool holds idle connections to upstreams. It is safe for concurrent use.
type Pool struct {
	dialer  net.Dialer
	maxIdle int

	mu   sync.Mutex
	idle map[string][]*Conn // Most recently used last.

	open     atomic.Int64 // Connections that are not closed, idle ones included.
	maxConns func() int   // Nil for no limit.

	dials  *metrics.Counter
	reuses *metrics.Counter
}

// NewPool returns a pool. The argument dialTimeout limits the time to connect, and maxIdle the number of idle connections
// to one upstream.
func NewPool(dialTimeout time.Duration, maxIdle int, set *metrics.Set) *Pool {
	dialer := net.Dialer{Timeout: dialTimeout}
	transport.LimitSilence(&dialer, silenceInterval)
	intake.LimitBuffers(&dialer, intake.UpstreamBuffers)
	return &Pool{
		dialer:  dialer,
		maxIdle: maxIdle,
		idle:    map[string][]*Conn{},
		dials:   set.NewCounter("jackdawbay_upstream_dials_total"),
		reuses:  set.NewCounter("jackdawbay_upstream_reuses_total"),
	}
}

// LimitConns sets the number of connections that the pool may have at the moment. At the limit, idle connections to other
// upstreams are closed first. It must be called before Get.
func (p *Pool) LimitConns(maxConns func() int) { p.maxConns = maxConns }

// Close closes the connection.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { c.pool.open.Add(-1) })
	return c.Conn.Close()
}

// countNew counts a connection that is about to be opened. It reports false at the limit.
func (p *Pool) countNew() bool {
	n := p.open.Add(1)
	if p.maxConns == nil || n <= int64(p.maxConns()) || p.closeOneIdle() {
		return true
	}
	p.open.Add(-1)
	return false
}

// closeOneIdle closes the idle connection that has been idle for longest of any upstream.
func (p *Pool) closeOneIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *Conn
	for _, conns := range p.idle {
		if len(conns) > 0 && (oldest == nil || conns[0].idleUntil.Before(oldest.idleUntil)) {
			oldest = conns[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.idle[oldest.address] = slices.Delete(p.idle[oldest.address], 0, 1)
	_ = oldest.Close() // The connection has no request in flight.
	return true
}

// Get returns a usable idle connection, or a new one. It does not return the connections that the caller excludes. A request
// that is sent again must not use a connection that has carried it before: a late copy of the response to the earlier attempt
// bears the same request ID as the response to the later one. The error is ErrNotSent.
func (p *Pool) Get(ctx context.Context, address string, excluded ...*Conn) (*Conn, error) {
	for {
		c := p.popIdle(address, excluded)
		if c == nil {
			break
		}
		if time.Now().Before(c.idleUntil) && isUsable(c) && c.setProbes(true) == nil {
			p.reuses.Inc()
			c.Reused, c.DialTime = true, 0
			return c, nil
		}
		_ = c.Close() // An unusable idle connection.
	}
	if !p.countNew() {
		return nil, errors.Mark(ErrTooManyConnections, ErrNotSent)
	}
	startedAt := time.Now()
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.open.Add(-1)
		return nil, errors.Mark(errors.Wrap(err, "connect"), ErrNotSent)
	}
	p.dials.Inc()
	checked := httpcheck.NewConn(raw)
	return &Conn{Conn: checked, pool: p, address: address, reader: bufio.NewReaderSize(checked, readBufferBytes), DialTime: time.Since(startedAt)}, nil
}

// expectResponse makes the connection check the next bytes as the head of a response. Bytes of it may have arrived with the end of the
// previous response.
func (c *Conn) expectResponse() {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // Does not fail for bytes that are buffered.
	c.ExpectResponse(bytes.Clone(buffered))
	c.reader.Reset(c.Conn)
}

// popIdle removes the most recently used idle connection that is not excluded from the pool. It returns nil if there is none.
func (p *Pool) popIdle(address string, excluded []*Conn) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	for i := len(conns) - 1; i >= 0; i-- {
		if c := conns[i]; !slices.Contains(excluded, c) {
			p.idle[address] = slices.Delete(conns, i, i+1)
			return c
		}
	}
	return nil
}

// isUsable reports whether nothing has arrived on an idle connection: neither its end nor bytes that belong to no request.
func isUsable(c *Conn) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && usable
}

// setProbes enables or disables keep-alive probes. Idle connections send none, since there are many and a request on a failed
// one is detected by its unacknowledged data.
func (c *Conn) setProbes(enabled bool) error {
	if tcp, ok := c.Conn.Conn.(*net.TCPConn); ok {
		return tcp.SetKeepAlive(enabled)
	}
	return nil
}

// put adds a connection to the pool for a later request.
func (p *Pool) put(c *Conn, idleTimeout time.Duration) {
	if err := c.setProbes(false); err != nil {
		_ = c.Close() // The connection has failed.
		return
	}
	if idleTimeout <= 0 {
		idleTimeout = DefaultIdleTimeout
	}
	c.idleUntil = time.Now().Add(max(idleTimeout-idleTimeoutMargin, idleTimeout/2))
	p.mu.Lock()
	conns := p.idle[c.address]
	full := len(conns) >= p.maxIdle
	if !full {
		p.idle[c.address] = append(conns, c)
	}
	p.mu.Unlock()
	if full {
		_ = c.Close() // The connection has no request in flight.
	}
}

// Run closes expired idle connections until the context ends.
func (p *Pool) Run(ctx context.Context) error {
	return clock.Every(ctx, IdleCheckInterval, p.closeExpired)
}

func (p *Pool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		remaining := conns[:0]
		for _, c := range conns {
			if now.Before(c.idleUntil) {
				remaining = append(remaining, c)
				continue
			}
			_ = c.Close() // The connection has no request in flight.
		}
		if len(remaining) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = remaining
		}
	}
}
