package quota

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jackdawbay.dev/core/quota"
	"jackdawbay.dev/core/replica"
	"jackdawbay.dev/daemon/transport"
)

// countingListener counts the bytes of its connections.
type countingListener struct {
	net.Listener
	received, sent atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{c, l}, err
}

type countingConn struct {
	net.Conn
	l *countingListener
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.l.received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.l.sent.Add(int64(n))
	return n, err
}

// BenchmarkMessages is the cost of the messages between processes, with both ends in this process and without TCP/IP headers.
func BenchmarkMessages(b *testing.B) {
	view := replica.View{}
	issuer := NewIssuer(IssuerConfig{
		VM: "vm-replica-1", Disk: "01JE9Z2V6K8Q3W5N7R4T6Y8X1C", View: func() replica.View { return view }, Tolerance: quota.Tolerance{Slack: 20},
		Client: http.DefaultClient, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
	})
	router := http.NewServeMux()
	router.HandleFunc(PathQuota, issuer.HandleQuota)
	router.HandleFunc(PathConfirm, issuer.HandleConfirm)
	server := httptest.NewUnstartedServer(router)
	l := &countingListener{Listener: server.Listener}
	server.Listener = l
	server.Start()
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	self := replica.Member{VM: issuer.cfg.VM, Disk: issuer.cfg.Disk, Address: address, DataCentre: "z"}
	view = replica.View{Version: 17, Epoch: 17, Sets: [][]replica.Member{{self}}}
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go func() { _ = issuer.Run(ctx) }() // Ends with the context.
	client := transport.NewClient(transport.Options{DialTimeout: time.Second})
	units := unitsRequest{View: 17, Disk: self.Disk, Requests: []organisation{
		{Organisation: "organisation-1234", Rate: 50, Burst: 100, Version: 1234, Units: 1},
	}}
	confirm := confirmRequest{From: self.Key(), Disk: self.Disk, IdleMillis: 120}
	if err := post(ctx, client, address, PathConfirm, confirm, &confirmResponse{}); err != nil { // Activates the issuer.
		b.Fatal(err)
	}
	time.Sleep(quota.LeaseDuration + 2*quota.ConfirmInterval)
	for name, send := range map[string]func() error{
		"units":   func() error { return post(ctx, client, address, PathQuota, units, &unitsResponse{}) },
		"confirm": func() error { return post(ctx, client, address, PathConfirm, confirm, &confirmResponse{}) },
	} {
		b.Run(name, func(b *testing.B) {
			received, sent := l.received.Load(), l.sent.Load()
			b.ReportAllocs()
			for b.Loop() {
				if err := send(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(l.received.Load()-received)/float64(b.N), "request-bytes/op")
			b.ReportMetric(float64(l.sent.Load()-sent)/float64(b.N), "response-bytes/op")
		})
	}
}
