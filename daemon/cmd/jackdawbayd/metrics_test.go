package main

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"github.com/thejerf/suture/v4"

	"jackdawbay.dev/daemon/site"
)

// Guards against a role that does not serve its metrics at the configured port, and against one that fails to start because
// another process uses that port.
func TestMetricsPort(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = occupied.Close() }) // The test process is ending.
	port := occupied.Addr().(*net.TCPAddr).Port
	var log bytes.Buffer
	p := &process{
		site: site.Settings{IP: "127.0.0.1"}, flags: roleFlags{MetricsPort: uint16(port)}, log: slog.New(slog.NewTextHandler(&log, nil)),
		metrics: metrics.NewSet(), tree: suture.NewSimple("test"),
	}
	p.metrics.NewCounter("jackdawbay_test_total").Set(7)
	p.addMetricsPort()
	test.StrContains(t, log.String(), "metrics are not served at their port")
	p.site.IP = "127.0.0.2" // The same port of another address is free.
	p.addMetricsPort()
	done := p.tree.ServeBackground(t.Context())
	resp, err := http.Get("http://127.0.0.2:" + strconv.Itoa(port) + "/metrics")
	must.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	must.NoError(t, resp.Body.Close())
	test.StrContains(t, string(body), "jackdawbay_test_total 7")
	select {
	case err := <-done:
		t.Fatal(err)
	default:
	}
}

// Guards against a deploy file whose port or path for monitoring differs from the one that the role serves.
func TestDeployFileMatchesMetricsPorts(t *testing.T) {
	raw, err := os.ReadFile("../../../deploy/system.toml")
	must.NoError(t, err)
	ports := regexp.MustCompile(`(?m)^run = ".* --metrics-port=([0-9]+)"$`).FindAllStringSubmatch(string(raw), -1)
	monitoredPorts := regexp.MustCompile(`(?m)^metrics = "([0-9]+)/metrics"$`).FindAllStringSubmatch(string(raw), -1)
	roles := regexp.MustCompile(`(?m)^\[roles\.`).FindAll(raw, -1)
	must.SliceLen(t, len(roles), ports)
	must.SliceLen(t, len(roles), monitoredPorts)
	for i := range roles {
		test.EqOp(t, ports[i][1], monitoredPorts[i][1])
	}
}
