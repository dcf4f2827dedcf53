// Package relay forwards TCP connections between processes on loopback and breaks, delays or slows them by rules. It
// knows the sender by the source address of a connection, so each process binds its connections to its own address.
package relay

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"jackdawbay.dev/testbed/standin/control"
)

// Mode is what a rule does to the connections that it matches.
type Mode string

// Modes of rules.
const (
	Pass      Mode = "pass"
	Blackhole Mode = "blackhole" // No bytes and no close; the connections are reset when the blackhole is lifted.
	Refuse    Mode = "refuse"    // Connections are reset.
	Mute      Mode = "mute"      // Bytes reach the target and none come back; the connections are reset when it is lifted.
	Silent    Mode = "silent"    // No bytes and no close, for good: the connections stay silent after it is lifted, and new ones work.
)

// Rule applies to connections whose source address starts with From and whose target starts with To.
type Rule struct {
	From           string `json:"from"`
	To             string `json:"to"`
	Mode           Mode   `json:"mode"`
	LatencyMillis  int    `json:"latency_ms"`       // One-way delay.
	BytesPerSecond int    `json:"bytes_per_second"` // Shared by all connections of the rule in one direction; zero is unlimited.
}

// Link is a listener and the target to which it forwards.
type Link struct {
	Listen string
	Target string
}

// Pair counts the traffic between a source address and a target.
type PairStats struct {
	From          string `json:"from"`
	To            string `json:"to"`
	Connections   int64  `json:"connections"`
	BytesToTarget int64  `json:"bytes_to_target"`
	BytesToSource int64  `json:"bytes_to_source"`
}

const (
	chunkBytes     = 16 << 10
	queuedChunks   = 256 // Bounds the bytes under way in one direction of a connection to 4 MiB.
	maxConnections = 4096
	dialTimeout    = 5 * time.Second
)

// ParseLink reads LISTEN=TARGET.
func ParseLink(text string) (Link, error) {
	listen, target, ok := strings.Cut(text, "=")
	if !ok || listen == "" || target == "" {
		return Link{}, errors.Newf("the link %q is not LISTEN=TARGET", text)
	}
	return Link{Listen: listen, Target: target}, nil
}

// activeRule is a rule with the limiters of its two directions.
type activeRule struct {
	Rule
	limiters [2]*rate.Limiter
}

// Relay forwards connections. Use its Handler for the control interface and end it with Close.
type Relay struct {
	ctx       context.Context
	stop      context.CancelFunc
	listeners []net.Listener
	handler   http.Handler
	work      sync.WaitGroup

	mu    sync.Mutex
	rules []activeRule
	conns map[*conn]struct{}
	pairs map[[2]string]*PairStats
}

// Start opens the listeners of the links. A link with the listen port 0 gets a free port; see Addresses.
func Start(links []Link) (*Relay, error) {
	ctx, stop := context.WithCancel(context.Background())
	r := &Relay{ctx: ctx, stop: stop, conns: map[*conn]struct{}{}, pairs: map[[2]string]*PairStats{}}
	for _, link := range links {
		l, err := net.Listen("tcp", link.Listen)
		if err != nil {
			r.Close()
			return nil, errors.Wrapf(err, "listen on %s", link.Listen)
		}
		r.listeners = append(r.listeners, l)
		r.work.Go(func() { r.accept(l, link.Target) })
	}
	m := control.NewRouter()
	m.HandleFunc("/control/links", r.controlRules).Methods(http.MethodGet, http.MethodPut)
	m.HandleFunc("/control/stats", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, http.StatusOK, map[string]any{"pairs": r.Stats()})
	}).Methods(http.MethodGet)
	r.handler = m
	return r, nil
}

// Addresses returns the listen address of each link in order.
func (r *Relay) Addresses() []string {
	addresses := make([]string, len(r.listeners))
	for i, l := range r.listeners {
		addresses[i] = l.Addr().String()
	}
	return addresses
}

// Handler serves the control interface.
func (r *Relay) Handler() http.Handler { return r.handler }

// Close resets all connections and waits for their end.
func (r *Relay) Close() {
	r.stop()
	for _, l := range r.listeners {
		_ = l.Close()
	}
	r.mu.Lock()
	for c := range r.conns {
		c.reset()
	}
	r.mu.Unlock()
	r.work.Wait()
}

// SetRules replaces the rules. Connections that leave a blackhole, or that a rule now refuses, are reset. A connection that
// has been silent stays so until its source closes it.
func (r *Relay) SetRules(rules []Rule) error {
	active := make([]activeRule, len(rules))
	for i, rule := range rules {
		if !slices.Contains([]Mode{Pass, Blackhole, Refuse, Mute, Silent}, rule.Mode) {
			return errors.Newf("rule %d has the unknown mode %q", i, rule.Mode)
		}
		if rule.LatencyMillis < 0 || rule.BytesPerSecond < 0 {
			return errors.Newf("rule %d has a negative latency or rate", i)
		}
		active[i].Rule = rule
		for d := range active[i].limiters {
			active[i].limiters[d] = newLimiter(rule.BytesPerSecond)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules = active
	for c := range r.conns {
		switch mode := r.match(c.from, c.to).Mode; {
		case mode == Blackhole:
			c.blackholed = true
		case mode == Mute:
			c.muted = true
		case mode == Silent && !c.blackholed:
			c.silent = true
		case c.silent && mode != Refuse:
		case mode == Refuse || c.blackholed || c.muted:
			c.reset()
		}
	}
	return nil
}

func newLimiter(bytesPerSecond int) *rate.Limiter {
	if bytesPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(bytesPerSecond), chunkBytes)
}

// Stats returns the counts of each pair.
func (r *Relay) Stats() []PairStats {
	r.mu.Lock()
	defer r.mu.Unlock()
	pairs := make([]PairStats, 0, len(r.pairs))
	for _, p := range r.pairs {
		pairs = append(pairs, *p)
	}
	slices.SortFunc(pairs, func(a, b PairStats) int { return strings.Compare(a.From+" "+a.To, b.From+" "+b.To) })
	return pairs
}

// passRule is the rule of connections that no rule matches.
var passRule = activeRule{Rule: Rule{Mode: Pass}, limiters: [2]*rate.Limiter{newLimiter(0), newLimiter(0)}}

// match returns the first rule that matches. The caller holds the lock.
func (r *Relay) match(from, to string) activeRule {
	for _, rule := range r.rules {
		if strings.HasPrefix(from, rule.From) && strings.HasPrefix(to, rule.To) {
			return rule
		}
	}
	return passRule
}

func (r *Relay) controlRules(w http.ResponseWriter, req *http.Request) {
	if req.Method == http.MethodPut {
		var rules []Rule
		d := json.NewDecoder(http.MaxBytesReader(w, req.Body, 1<<20))
		d.DisallowUnknownFields()
		err := d.Decode(&rules)
		if err == nil {
			err = r.SetRules(rules)
		}
		if err != nil {
			control.WriteError(w, http.StatusBadRequest, "bad_request", err.Error())
			return
		}
	}
	r.mu.Lock()
	rules := make([]Rule, len(r.rules))
	for i := range r.rules {
		rules[i] = r.rules[i].Rule
	}
	r.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, rules)
}

func (r *Relay) accept(l net.Listener, target string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.work.Go(func() { r.serve(c.(*net.TCPConn), target) })
	}
}

// conn is a forwarded connection. The target is nil until it is connected.
type conn struct {
	from, to   string
	source     *net.TCPConn
	ended      context.Context
	end        context.CancelFunc
	blackholed bool // It met a blackhole. Guarded by the lock of the relay.
	muted      bool // It lost bytes to the source. Guarded by the lock of the relay.
	silent     bool // It forwards nothing any more. Guarded by the lock of the relay.
	targetMu   sync.Mutex
	target     *net.TCPConn
	pair       *PairStats
}

// reset closes both ends with a TCP reset.
func (c *conn) reset() {
	c.end()
	resetConn(c.source)
	c.targetMu.Lock()
	defer c.targetMu.Unlock()
	if c.target != nil {
		resetConn(c.target)
	}
}

func resetConn(c *net.TCPConn) {
	// With linger 0 a close sends a reset instead of waiting for unsent data.
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (r *Relay) serve(source *net.TCPConn, target string) {
	host, _, err := net.SplitHostPort(source.RemoteAddr().String())
	if err != nil {
		resetConn(source)
		return
	}
	c := &conn{from: host, to: target, source: source}
	c.ended, c.end = context.WithCancel(r.ctx)
	defer c.reset()
	if !r.register(c) {
		return
	}
	defer r.unregister(c)
	if _, ok := r.await(c); !ok {
		return
	}
	if r.isSilent(c) {
		_, _ = io.Copy(io.Discard, source) // Ends when the source has gone.
		return
	}
	if !c.connect() {
		return
	}
	var copies sync.WaitGroup
	copies.Go(func() { r.copy(c, c.target, c.source, 0) })
	copies.Go(func() { r.copy(c, c.source, c.target, 1) })
	copies.Wait()
}

func (r *Relay) register(c *conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	mode := r.match(c.from, c.to).Mode
	if mode == Refuse || len(r.conns) >= maxConnections || r.ctx.Err() != nil {
		return false
	}
	c.blackholed, c.muted, c.silent = mode == Blackhole, mode == Mute, mode == Silent
	key := [2]string{c.from, c.to}
	if r.pairs[key] == nil {
		r.pairs[key] = &PairStats{From: c.from, To: c.to}
	}
	c.pair = r.pairs[key]
	c.pair.Connections++
	r.conns[c] = struct{}{}
	return true
}

func (r *Relay) unregister(c *conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// connect opens the connection to the target from the address of the source, so that the target sees its real peer.
func (c *conn) connect() bool {
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(c.from)}}
	target, err := d.DialContext(c.ended, "tcp", c.to)
	if err != nil {
		return false
	}
	c.targetMu.Lock()
	defer c.targetMu.Unlock()
	c.target = target.(*net.TCPConn)
	return c.ended.Err() == nil
}

// await returns the rule of the connection. In a blackhole it waits for the reset that follows.
func (r *Relay) await(c *conn) (activeRule, bool) {
	r.mu.Lock()
	rule, blackholed := r.match(c.from, c.to), c.blackholed
	r.mu.Unlock()
	if blackholed {
		<-c.ended.Done()
		return rule, false
	}
	return rule, c.ended.Err() == nil
}

func (r *Relay) isSilent(c *conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.silent
}

type chunk struct {
	due  time.Time
	data []byte // Empty at the end of the stream.
}

// copy forwards one direction: 0 to the target, 1 to the source. Reading and writing are separate so that a delay does
// not lower the throughput.
func (r *Relay) copy(c *conn, dst, src *net.TCPConn, direction int) {
	chunks := make(chan chunk, queuedChunks)
	var writer sync.WaitGroup
	writer.Go(func() { r.write(c, dst, chunks, direction) })
	defer writer.Wait()
	defer close(chunks)
	for {
		buffer := make([]byte, chunkBytes)
		n, err := src.Read(buffer)
		rule, ok := r.await(c)
		if !ok {
			return
		}
		if r.isSilent(c) {
			if err == nil {
				continue
			}
			if direction == 0 {
				c.reset()
			}
			return // The source does not see an end of the target.
		}
		if err != nil && !errors.Is(err, io.EOF) {
			c.reset()
			return
		}
		due := time.Now().Add(time.Duration(rule.LatencyMillis) * time.Millisecond)
		if n > 0 && !c.send(chunks, chunk{due, buffer[:n]}) {
			return
		}
		if err != nil {
			c.send(chunks, chunk{due: due})
			return
		}
	}
}

func (c *conn) send(chunks chan<- chunk, k chunk) bool {
	select {
	case chunks <- k:
		return true
	case <-c.ended.Done():
		return false
	}
}

func (r *Relay) write(c *conn, dst *net.TCPConn, chunks <-chan chunk, direction int) {
	for k := range chunks {
		control.Sleep(c.ended.Done(), time.Until(k.due))
		rule, ok := r.await(c)
		if !ok || rule.limiters[direction].WaitN(c.ended, len(k.data)) != nil {
			continue
		}
		// The rules may have changed while the bytes waited for the rate.
		if _, ok := r.await(c); !ok {
			continue
		}
		if rule.Mode == Mute && direction == 1 || r.isSilent(c) {
			continue
		}
		if len(k.data) == 0 {
			_ = dst.CloseWrite()
			continue
		}
		if _, err := dst.Write(k.data); err != nil {
			c.reset()
			continue
		}
		r.count(c, direction, len(k.data))
	}
}

func (r *Relay) count(c *conn, direction, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if direction == 0 {
		c.pair.BytesToTarget += int64(n)
		return
	}
	c.pair.BytesToSource += int64(n)
}
