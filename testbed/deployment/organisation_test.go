package deployment

import (
	"bytes"
	"io"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/testbed/standin/backend"
)

// keyMark is a part of all keys in these tests.
const keyMark = "secret-key-of-"

const (
	northKey      = keyMark + "north"
	northOtherKey = keyMark + "north-2"
	southKey      = keyMark + "south"
)

// configurationDelay is the time within which a change of the configuration must be in force in each gateway.
const configurationDelay = 4 * time.Second

func organisationOptions() Options {
	o := defaultOptions()
	o.Organisations = []Organisation{{"north", []string{northKey, northOtherKey}}, {"south", []string{southKey}}}
	o.PublicPaths = []string{PathLookup}
	return o
}

// runOf returns the only run of a request.
func (d *Deployment) runOf(t *testing.T, id string) backend.Run {
	t.Helper()
	var runs []backend.Run
	for _, u := range append(d.Engines[:len(d.Engines):len(d.Engines)], d.Services...) {
		for _, r := range u.Runs() {
			if r.ID == id {
				runs = append(runs, r)
			}
		}
	}
	must.SliceLen(t, 1, runs)
	return runs[0]
}

// waitForLog waits until the log of a VM contains a text. A process writes its log some 100 ms later.
func (d *Deployment) waitForLog(t *testing.T, vm *VM, text string) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !strings.Contains(d.ReadLog(vm), text); time.Sleep(20 * time.Millisecond) {
		must.True(t, time.Now().Before(deadline), must.Sprint(vm.Name, " has not logged ", text))
	}
}

// Guards against a turn of another organisation that is found, in the cache of a gateway, at the replicas, or after a restart of
// all processes, and against equal program and request IDs of two organisations that share a history.
func TestTurnsOfOrganisationsAreIsolated(t *testing.T) {
	d := startDeployment(t, organisationOptions())
	north := d.mustServe(t, d.Gateways[0], newTurnCall("p", "", "north asks;").WithKey(northKey))
	southCall := newTurnCall("p", "", "south asks;").WithKey(southKey)
	southCall.ID = north.ID
	resp := Send(d.Gateways[0], southCall)
	must.EqOp(t, http.StatusOK, resp.Status, must.Sprint(resp.Err, resp.Body))
	onlyNorth := d.mustServe(t, d.Gateways[0], newTurnCall("q", "", "north alone;").WithKey(northKey))
	check := func(phase string) {
		for _, g := range d.Gateways {
			foreign, resp := d.sendWithRetries(t, g, newTurnCall("q", onlyNorth.ID, "x").WithKey(southKey))
			test.EqOp(t, http.StatusNotFound, resp.Status, test.Sprint(phase, resp.Body))
			test.EqOp(t, 0, d.countRuns(foreign.ID))
			next := d.mustServe(t, g, newTurnCall("q", onlyNorth.ID, "next").WithKey(northOtherKey))
			test.StrHasPrefix(t, "north alone;", d.runOf(t, next.ID).Body, test.Sprint(phase))
			next = d.mustServe(t, g, newTurnCall("p", north.ID, "next").WithKey(northKey))
			test.StrHasPrefix(t, "north asks;", d.runOf(t, next.ID).Body, test.Sprint(phase))
			next = d.mustServe(t, g, newTurnCall("p", north.ID, "next").WithKey(southKey))
			test.StrHasPrefix(t, "south asks;", d.runOf(t, next.ID).Body, test.Sprint(phase))
		}
	}
	check("before a restart")
	d.killAndRestartAll(t)
	check("after a restart")
}

// Guards against a key that reaches an upstream, a log, a metric or a disk, against an organisation that a caller states, and
// against a withdrawn key that still works after the time for a change of the configuration, also on an open connection.
func TestKeysStayInGateways(t *testing.T) {
	d := startDeployment(t, organisationOptions())
	spoofed := map[string]string{
		"x-jackdawbay-tenant": "south", "X-JACKDAWBAY-TENANT": "west", "X_Jackdawbay_Tenant": "west", "Connection": "X-Jackdawbay-Tenant, keep-alive",
	}
	for path, wantWithoutKey := range map[string]int{PathLookup: http.StatusOK, PathOrder: http.StatusUnauthorized, PathResumable: http.StatusUnauthorized} {
		newCall := func() Call {
			return Call{Path: path, ID: NewID(), Program: "p-" + NewID(), Budget: 1 << 20, MaxTokens: turnTokens, Header: spoofed}
		}
		c := d.mustServe(t, d.Gateways[0], newCall().WithKey(northKey))
		run := d.runOf(t, c.ID)
		test.Eq(t, []string{"north"}, run.Header["X-Jackdawbay-Tenant"], test.Sprint(path))
		for name, values := range run.Header {
			test.StrNotContains(t, strings.Join(values, " "), keyMark, test.Sprint(name))
			test.False(t, strings.EqualFold(name, "X_Jackdawbay_Tenant"), test.Sprint(name))
		}
		for _, key := range []string{"", keyMark + "nobody"} {
			c := newCall()
			if key != "" {
				c = c.WithKey(key)
			}
			resp := Send(d.Gateways[1], c)
			test.EqOp(t, wantWithoutKey, resp.Status, test.Sprint(path, key, resp.Body))
			if resp.Status == http.StatusOK {
				_, ok := d.runOf(t, c.ID).Header["X-Jackdawbay-Tenant"]
				test.False(t, ok)
			} else {
				test.EqOp(t, 0, d.countRuns(c.ID))
			}
		}
	}
	d.mustServe(t, d.Gateways[0], newTurnCall("p", "", "input").WithKey(northKey))

	newOrder := func(key string) Call { return Call{Path: PathOrder, ID: NewID()}.WithKey(key) }
	var open []*Connection
	for _, g := range d.Gateways {
		conn, err := Dial(t.Context(), g)
		must.NoError(t, err)
		defer conn.Close()
		must.EqOp(t, http.StatusOK, conn.Send(newOrder(northKey)).Status)
		open = append(open, conn)
	}
	d.Options.Organisations = []Organisation{{"north", []string{northOtherKey}}, {"south", []string{southKey}}}
	d.Configure(nil)
	acknowledged := time.Now()
	for time.Since(acknowledged) < configurationDelay {
		time.Sleep(50 * time.Millisecond)
	}
	for i, g := range d.Gateways {
		refused := newOrder(northKey)
		test.EqOp(t, http.StatusUnauthorized, open[i].Send(refused).Status)
		test.EqOp(t, 0, d.countRuns(refused.ID))
		test.EqOp(t, http.StatusUnauthorized, Send(g, newOrder(northKey)).Status)
		test.EqOp(t, http.StatusOK, Send(g, newOrder(northOtherKey)).Status)
	}

	for _, g := range d.Gateways {
		for _, want := range []string{" organisation=north auth=valid", " auth=unknown"} {
			d.waitForLog(t, g, want)
		}
		resp, err := http.Get("http://" + g.ReadyAddress + "/metrics")
		must.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close() // The body was read.
		must.NoError(t, err)
		test.StrContains(t, string(body), `jackdawbay_unauthenticated_total{reason="unknown"}`)
		test.StrContains(t, string(body), `jackdawbay_organisation_request_seconds_count{organisation="north"}`)
		test.StrNotContains(t, string(body), keyMark)
	}
	for _, vm := range d.allVMs() {
		test.StrNotContains(t, d.ReadLog(vm), keyMark)
	}
	must.NoError(t, filepath.WalkDir(d.Options.Dir, func(path string, e fs.DirEntry, err error) error {
		if err != nil || !e.Type().IsRegular() {
			return err
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		test.False(t, bytes.Contains(raw, []byte(keyMark)), test.Sprint(path))
		return nil
	}))
}
