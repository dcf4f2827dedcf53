// Package relay forwards TCP connections between processes on loopback addresses. Rules cut, delay or slow down connections.
// The relay identifies the sender by the source address of a connection, so each process must bind its connections to its own
// address.
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

// Mode is the effect of a rule on the connections that it matches.
type Mode string

// Values of Mode.
const (
	Pass      Mode = "pass"
	Blackhole Mode = "blackhole" // Forwards neither data nor closes; resets the connections when the rule is removed.
	Refuse    Mode = "refuse"    // Resets connections.
	Mute      Mode = "mute"      // Forwards data only to the target; resets the connections when the rule is removed.
	Silent    Mode = "silent"    // Forwards neither data nor closes, even after the rule is removed; new connections work then.
)

// Rule applies to the connections whose source address starts with From and whose target starts with To.
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

// PairStats is the traffic between a source address and a target.
type PairStats struct {
	From          string `json:"from"`
	To            string `json:"to"`
	Connections   int64  `json:"connections"`
	BytesToTarget int64  `json:"bytes_to_target"`
	BytesToSource int64  `json:"bytes_to_source"`
}

const (
	chunkBytes      = 16 << 10
	maxQueuedChunks = 256 // Limits the data in flight in one direction of a connection to 4 MiB.
	maxConnections  = 4096
	dialTimeout     = 5 * time.Second
)

// ParseLink parses a link in the form LISTEN=TARGET.
func ParseLink(text string) (Link, error) {
	listen, target, ok := strings.Cut(text, "=")
	if !ok || listen == "" || target == "" {
		return Link{}, errors.Newf("invalid link %q: want LISTEN=TARGET", text)
	}
	return Link{Listen: listen, Target: target}, nil
}

// activeRule is a rule and the rate limiters of its two directions.
type activeRule struct {
	Rule
	limiters [2]*rate.Limiter
}

// Relay forwards the connections of its links. Handler serves its control interface; Close stops it.
type Relay struct {
	ctx        context.Context
	stop       context.CancelFunc
	listeners  []net.Listener
	handler    http.Handler
	goroutines sync.WaitGroup

	mu    sync.Mutex
	rules []activeRule
	conns map[*conn]struct{}
	pairs map[[2]string]*PairStats
}

// Start opens the listeners of the links. A link with listen port 0 gets a free port, which Addresses returns.
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
		r.goroutines.Go(func() { r.accept(l, link.Target) })
	}
	m := control.NewRouter()
	m.HandleFunc("/control/links", r.handleRules).Methods(http.MethodGet, http.MethodPut)
	m.HandleFunc("/control/stats", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, http.StatusOK, map[string]any{"pairs": r.Stats()})
	}).Methods(http.MethodGet)
	r.handler = m
	return r, nil
}

// Addresses returns the listen addresses of the links in order.
func (r *Relay) Addresses() []string {
	addresses := make([]string, len(r.listeners))
	for i, l := range r.listeners {
		addresses[i] = l.Addr().String()
	}
	return addresses
}

// Handler returns the handler of the control interface.
func (r *Relay) Handler() http.Handler { return r.handler }

// Close closes the listeners, resets all connections and waits until they have ended.
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
	r.goroutines.Wait()
}

// SetRules replaces the rules. It resets connections that a blackhole or mute rule no longer matches, and connections that a
// refuse rule now matches. A connection that was silent stays silent until its source closes it.
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
		switch mode := r.matchRule(c.from, c.to).Mode; {
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

// Stats returns the traffic of each pair of source and target, sorted by both.
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

// defaultRule applies to connections that no rule matches.
var defaultRule = activeRule{Rule: Rule{Mode: Pass}, limiters: [2]*rate.Limiter{newLimiter(0), newLimiter(0)}}

// matchRule returns the first rule that matches a connection, or defaultRule. The caller holds r.mu.
func (r *Relay) matchRule(from, to string) activeRule {
	for _, rule := range r.rules {
		if strings.HasPrefix(from, rule.From) && strings.HasPrefix(to, rule.To) {
			return rule
		}
	}
	return defaultRule
}

func (r *Relay) handleRules(w http.ResponseWriter, req *http.Request) {
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
		r.goroutines.Go(func() { r.serve(c.(*net.TCPConn), target) })
	}
}

// conn is a forwarded connection. Its target is nil until the relay has connected to it.
type conn struct {
	from, to   string
	source     *net.TCPConn
	connCtx    context.Context
	cancel     context.CancelFunc
	blackholed bool // Has matched a blackhole rule. Guarded by Relay.mu.
	muted      bool // Has matched a mute rule, so data to the source may be lost. Guarded by Relay.mu.
	silent     bool // Has matched a silent rule and forwards no more data. Guarded by Relay.mu.
	targetMu   sync.Mutex
	target     *net.TCPConn
	pair       *PairStats
}

// reset closes the connections to the source and the target with a TCP reset.
func (c *conn) reset() {
	c.cancel()
	resetConn(c.source)
	c.targetMu.Lock()
	defer c.targetMu.Unlock()
	if c.target != nil {
		resetConn(c.target)
	}
}

func resetConn(c *net.TCPConn) {
	// With a linger time of 0, Close sends a reset and discards unsent data.
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
	c.connCtx, c.cancel = context.WithCancel(r.ctx)
	defer c.reset()
	if !r.register(c) {
		return
	}
	defer r.unregister(c)
	if _, ok := r.waitForRule(c); !ok {
		return
	}
	if r.isSilent(c) {
		_, _ = io.Copy(io.Discard, source) // Returns when the source closes the connection.
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
	mode := r.matchRule(c.from, c.to).Mode
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

// connect opens the connection to the target from the source's address, so that the target observes the address of the sender.
// It reports whether the connection can be used.
func (c *conn) connect() bool {
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(c.from)}}
	target, err := d.DialContext(c.connCtx, "tcp", c.to)
	if err != nil {
		return false
	}
	c.targetMu.Lock()
	defer c.targetMu.Unlock()
	c.target = target.(*net.TCPConn)
	return c.connCtx.Err() == nil
}

// waitForRule returns the rule of the connection and whether the connection can still forward data. If the connection has matched
// a blackhole rule, waitForRule waits until it is reset.
func (r *Relay) waitForRule(c *conn) (activeRule, bool) {
	r.mu.Lock()
	rule, blackholed := r.matchRule(c.from, c.to), c.blackholed
	r.mu.Unlock()
	if blackholed {
		<-c.connCtx.Done()
		return rule, false
	}
	return rule, c.connCtx.Err() == nil
}

func (r *Relay) isSilent(c *conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.silent
}

type chunk struct {
	due  time.Time
	data []byte // Empty for the end of the stream.
}

// copy forwards data in one direction: 0 to the target, 1 to the source. A separate goroutine writes, so that a delay does not
// reduce the throughput.
func (r *Relay) copy(c *conn, dst, src *net.TCPConn, direction int) {
	chunks := make(chan chunk, maxQueuedChunks)
	var writer sync.WaitGroup
	writer.Go(func() { r.write(c, dst, chunks, direction) })
	defer writer.Wait()
	defer close(chunks)
	for {
		buffer := make([]byte, chunkBytes)
		n, err := src.Read(buffer)
		rule, ok := r.waitForRule(c)
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
			return // The source must not observe that the target has closed the connection.
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
	case <-c.connCtx.Done():
		return false
	}
}

func (r *Relay) write(c *conn, dst *net.TCPConn, chunks <-chan chunk, direction int) {
	for k := range chunks {
		control.Sleep(c.connCtx.Done(), time.Until(k.due))
		rule, ok := r.waitForRule(c)
		if !ok || rule.limiters[direction].WaitN(c.connCtx, len(k.data)) != nil {
			continue
		}
		// The rules may have changed while the data waited for the rate limiter.
		if _, ok := r.waitForRule(c); !ok {
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
		r.countBytes(c, direction, len(k.data))
	}
}

func (r *Relay) countBytes(c *conn, direction, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if direction == 0 {
		c.pair.BytesToTarget += int64(n)
		return
	}
	c.pair.BytesToSource += int64(n)
}
