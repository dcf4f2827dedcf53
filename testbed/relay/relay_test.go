package relay

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// startEchoServer starts an echo server. It returns the server's address and a channel with the IP address of each peer.
func startEchoServer(t *testing.T) (string, <-chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	peers := make(chan string, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			peers <- c.RemoteAddr().(*net.TCPAddr).IP.String()
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String(), peers
}

func startRelay(t *testing.T, rules ...Rule) (*Relay, string, <-chan string) {
	t.Helper()
	target, peers := startEchoServer(t)
	r, err := Start([]Link{{Listen: "127.0.0.1:0", Target: target}})
	must.NoError(t, err)
	t.Cleanup(r.Close)
	must.NoError(t, r.SetRules(rules))
	return r, target, peers
}

func dial(t *testing.T, r *Relay, from string) net.Conn {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	c, err := d.Dial("tcp", r.Addresses()[0])
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	must.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return c
}

// exchange sends the payload and returns the received bytes, up to the same length, and the read error.
func exchange(c net.Conn, payload []byte) ([]byte, error) {
	go func() { _, _ = c.Write(payload) }()
	got := make([]byte, len(payload))
	n, err := io.ReadFull(c, got)
	return got[:n], err
}

// dialAndRead opens a connection and reads one byte. It returns the error of the dial or the read.
func dialAndRead(r *Relay, from string) (int, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}, Deadline: time.Now().Add(10 * time.Second)}
	c, err := d.Dial("tcp", r.Addresses()[0])
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		return 0, err
	}
	return c.Read(make([]byte, 1))
}

// isBlocked reports whether the connection neither receives data nor is closed within 100 ms.
func isBlocked(t *testing.T, c net.Conn) bool {
	t.Helper()
	must.NoError(t, c.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err := exchange(c, []byte("lost"))
	must.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

func assertReset(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := c.Read(make([]byte, 1))
	test.ErrorIs(t, err, syscall.ECONNRESET)
}

func TestFirstMatchingRuleWins(t *testing.T) {
	r, target, _ := startRelay(t)
	blackhole, refuse := Rule{Mode: Blackhole}, Rule{Mode: Refuse}
	from := func(rule Rule, prefix string) Rule { rule.From = prefix; return rule }
	to := func(rule Rule, prefix string) Rule { rule.To = prefix; return rule }
	cases := []struct {
		name  string
		rules []Rule
		want  Mode
	}{
		{"no rule", nil, Pass},
		{"source prefix", []Rule{from(blackhole, "127.0.2.")}, Blackhole},
		{"other source prefix", []Rule{from(blackhole, "127.0.3.")}, Pass},
		{"target", []Rule{to(refuse, target)}, Refuse},
		{"other target", []Rule{to(refuse, "127.0.9.")}, Pass},
		{"pass before a blackhole", []Rule{{From: "127.0.2.1", Mode: Pass}, blackhole}, Pass},
		{"refuse before a blackhole", []Rule{refuse, blackhole}, Refuse},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			must.NoError(t, r.SetRules(tc.rules))
			if tc.want == Refuse {
				// The reset may arrive before or after the dial returns.
				_, err := dialAndRead(r, "127.0.2.1")
				test.ErrorIs(t, err, syscall.ECONNRESET)
				return
			}
			c := dial(t, r, "127.0.2.1")
			switch tc.want {
			case Blackhole:
				test.True(t, isBlocked(t, c))
			case Pass:
				got, err := exchange(c, []byte("hello"))
				test.NoError(t, err)
				test.Eq(t, "hello", string(got))
			}
		})
	}
}

func TestBlackhole(t *testing.T) {
	cases := []struct {
		name  string
		use   func(t *testing.T, c net.Conn) // Called while the blackhole rule is set.
		after []Rule
	}{
		{"idle connection", func(*testing.T, net.Conn) {}, nil},
		{"connection with traffic", func(t *testing.T, c net.Conn) { test.True(t, isBlocked(t, c)) }, nil},
		{"blackhole replaced by refuse", func(*testing.T, net.Conn) {}, []Rule{{Mode: Refuse}}},
		{"blackhole replaced by a delay", func(*testing.T, net.Conn) {}, []Rule{{Mode: Pass, LatencyMillis: 1}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r, _, _ := startRelay(t)
			oldConn := dial(t, r, "127.0.2.1")
			_, err := exchange(oldConn, []byte("hello"))
			must.NoError(t, err)
			must.NoError(t, r.SetRules([]Rule{{From: "127.0.2.", Mode: Blackhole}}))
			newConn := dial(t, r, "127.0.2.2")
			tc.use(t, oldConn)
			tc.use(t, newConn)
			test.True(t, isBlocked(t, newConn))
			must.NoError(t, r.SetRules(tc.after))
			assertReset(t, oldConn)
			assertReset(t, newConn)
			test.Eq(t, 5, r.Stats()[0].BytesToTarget)
		})
	}
}

// Guards against silent connections that become usable or are closed when the rule is removed. A response, a reset or a close
// would show the client that it has to retry.
func TestSilentConnectionsStaySilentAfterRuleIsRemoved(t *testing.T) {
	r, _, _ := startRelay(t)
	idle, busy := dial(t, r, "127.0.2.1"), dial(t, r, "127.0.2.2")
	for _, c := range []net.Conn{idle, busy} {
		_, err := exchange(c, []byte("hello"))
		must.NoError(t, err)
	}
	must.NoError(t, r.SetRules([]Rule{{Mode: Silent}}))
	during := dial(t, r, "127.0.2.3")
	test.True(t, isBlocked(t, busy))
	test.True(t, isBlocked(t, during))
	must.NoError(t, r.SetRules(nil))
	for _, c := range []net.Conn{idle, busy, during} {
		test.True(t, isBlocked(t, c))
	}
	got, err := exchange(dial(t, r, "127.0.2.3"), []byte("hello"))
	test.NoError(t, err)
	test.Eq(t, "hello", string(got))
	for _, c := range []net.Conn{idle, busy, during} {
		must.NoError(t, c.Close())
	}
	connCount := func() int {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.conns)
	}
	deadline := time.Now().Add(5 * time.Second)
	for connCount() > 1 && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	test.EqOp(t, 1, connCount(), test.Sprint("connections that their source has closed are removed"))
}

func TestRefuseRuleResetsOpenConnections(t *testing.T) {
	r, _, _ := startRelay(t)
	c, other := dial(t, r, "127.0.2.1"), dial(t, r, "127.0.4.1")
	_, err := exchange(c, []byte("hello"))
	must.NoError(t, err)
	must.NoError(t, r.SetRules([]Rule{{From: "127.0.2.", Mode: Refuse}}))
	assertReset(t, c)
	_, err = exchange(other, []byte("hello"))
	test.NoError(t, err)
}

func TestLatencyAndRate(t *testing.T) {
	const size = 256 << 10
	cases := []struct {
		name     string
		rule     Rule
		min, max time.Duration
	}{
		{"no rule", Rule{Mode: Pass}, 0, 2 * time.Second},
		// A delay that was applied to each chunk in sequence would take 16 times as long.
		{"delay does not lower throughput", Rule{Mode: Pass, LatencyMillis: 150}, 300 * time.Millisecond, 2 * time.Second},
		// The two directions have separate rates and overlap; the first chunk passes immediately.
		{"rate", Rule{Mode: Pass, BytesPerSecond: 480 << 10}, 500 * time.Millisecond, 5 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r, _, _ := startRelay(t, tc.rule)
			payload := bytes.Repeat([]byte("0123456789abcdef"), size/16)
			c := dial(t, r, "127.0.2.1")
			start := time.Now()
			got, err := exchange(c, payload)
			elapsed := time.Since(start)
			must.NoError(t, err)
			test.True(t, bytes.Equal(payload, got))
			test.Between(t, tc.min, elapsed, tc.max)
		})
	}
}

func TestStatsCountBytesByPair(t *testing.T) {
	r, target, peers := startRelay(t)
	for _, from := range []string{"127.0.2.1", "127.0.2.1", "127.0.2.2"} {
		c := dial(t, r, from)
		_, err := exchange(c, []byte("hello"))
		must.NoError(t, err)
		test.Eq(t, from, <-peers, test.Sprint("the target observes the source's address"))
		must.NoError(t, c.(*net.TCPConn).CloseWrite())
		_, err = c.Read(make([]byte, 1))
		test.ErrorIs(t, err, io.EOF)
	}
	test.Eq(t, []PairStats{{"127.0.2.1", target, 2, 10, 10}, {"127.0.2.2", target, 1, 5, 5}}, r.Stats())
}

func TestUnreachableTargetResetsConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	target := l.Addr().String()
	must.NoError(t, l.Close())
	r, err := Start([]Link{{Listen: "127.0.0.1:0", Target: target}})
	must.NoError(t, err)
	defer r.Close()
	_, err = dialAndRead(r, "127.0.2.1")
	test.ErrorIs(t, err, syscall.ECONNRESET)
}

func TestControl(t *testing.T) {
	r, _, _ := startRelay(t)
	server := httptest.NewServer(r.Handler())
	defer server.Close()
	cases := []struct {
		name, body string
		status     int
		want       string
	}{
		{"rules", `[{"from":"127.0.2.","to":"127.0.3.1:7001","mode":"blackhole","latency_ms":1,"bytes_per_second":2}]`, 200,
			`[{"from":"127.0.2.","to":"127.0.3.1:7001","mode":"blackhole","latency_ms":1,"bytes_per_second":2}]`},
		{"no rules", `[]`, 200, `[]`},
		{"unknown mode", `[{"mode":"maybe"}]`, 400, `{"error":`},
		{"negative latency", `[{"mode":"pass","latency_ms":-1}]`, 400, `{"error":`},
		{"unknown field", `[{"mode":"pass","delay":1}]`, 400, `{"error":`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			request, err := http.NewRequestWithContext(t.Context(), "PUT", server.URL+"/control/links", strings.NewReader(tc.body))
			must.NoError(t, err)
			response, err := http.DefaultClient.Do(request)
			must.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			must.NoError(t, err)
			test.Eq(t, tc.status, response.StatusCode)
			test.StrHasPrefix(t, tc.want, string(body))
		})
	}
}

func TestParseLink(t *testing.T) {
	link, err := ParseLink("127.0.0.1:1=127.0.0.1:2")
	test.NoError(t, err)
	test.Eq(t, Link{"127.0.0.1:1", "127.0.0.1:2"}, link)
	for _, text := range []string{"", "a", "=b", "a="} {
		_, err := ParseLink(text)
		test.Error(t, err, test.Sprint(text))
	}
}
