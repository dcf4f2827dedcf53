// Package fleet starts a complete installation on loopback: the platform, engines, services, and daemons in several
// data centres. Each runs as a separate process. The package also writes the records that describe them.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/client"
	"jackdawbay.dev/api/records"
	"jackdawbay.dev/testbed/process"
)

// Keys of the test bed. They are not used outside of it.
const (
	TenantKey   = "tenant-key-of-the-test-bed"
	PlatformKey = "platform-key-of-the-test-bed"
	PeerKey     = "peer-key-of-the-test-bed"
	UpstreamKey = "upstream-key-of-the-test-bed"
)

// Names in the records of a fleet.
const (
	TenantName        = "merrimack-falls"
	ModelName         = "kit-model"
	EngineGroup       = "kit-agents"
	PrinterService    = "printer"      // Tool service whose orders are not repeatable.
	StockCheckService = "stock-checks" // Plain service whose calls are repeatable.
)

// DataCentre is the size of one data centre.
type DataCentre struct {
	Name        string
	Region      string
	DaemonCount int
	EngineCount int
}

// Config configures a fleet.
type Config struct {
	BinaryDir   string
	Dir         string // Directory for keys and logs.
	DataCentres []DataCentre
	EngineArgs  []string
	DaemonArgs  []string
	PrinterArgs []string
}

// Daemon is one daemon process.
type Daemon struct {
	*process.Process
	VM         string
	DataCentre string
	CallerURL  string
	OpsURL     string

	args []string
}

// Fleet is a running installation.
type Fleet struct {
	Processes   *process.Group
	Platform    *process.Process
	PlatformURL string
	Engines     map[string]*process.Process
	Services    map[string]*process.Process
	Daemons     []*Daemon
	Records     []records.Record

	cfg Config
}

// Start starts all processes and waits until every daemon is ready. The caller stops them with Close.
func Start(ctx context.Context, cfg Config) (*Fleet, error) {
	f := &Fleet{
		cfg:       cfg,
		Processes: process.NewGroup(cfg.BinaryDir, cfg.Dir),
		Engines:   map[string]*process.Process{},
		Services:  map[string]*process.Process{},
	}
	for _, step := range []func(context.Context) error{f.writeKeys, f.startUpstreams, f.writeRecords, f.startDaemons, f.waitUntilReady} {
		if err := step(ctx); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// Close stops all processes.
func (f *Fleet) Close() { f.Processes.StopAll() }

func (f *Fleet) keyFile(name string) string { return filepath.Join(f.cfg.Dir, name+".key") }

func (f *Fleet) writeKeys(context.Context) error {
	for name, key := range map[string]string{"platform": PlatformKey, "peer": PeerKey, "upstream": UpstreamKey} {
		if err := os.WriteFile(f.keyFile(name), []byte(key+"\n"), 0o600); err != nil {
			return errors.Wrap(err, "write key")
		}
	}
	return nil
}

func (f *Fleet) startUpstreams(context.Context) error {
	platform, err := f.Processes.Start("platform", "standin", "platform", "--listen=127.0.0.1:0", "--key-file="+f.keyFile("platform"))
	if err != nil {
		return err
	}
	f.Platform = platform
	f.PlatformURL = "http://" + platform.ReadyFields["address"]
	if err := f.addRecord(records.KindTenant, TenantName, map[string]any{
		"keyHashes": []string{records.HashKey(TenantKey)}, "weight": 1, "maxPrograms": 100_000,
	}); err != nil {
		return err
	}
	if err := f.addRecord(records.KindModel, ModelName, map[string]any{
		"group": EngineGroup, "version": "1", "contextTokens": 128_000, "maxOutputTokens": 2000, "weightBytes": 1 << 30,
	}); err != nil {
		return err
	}
	for _, dc := range f.cfg.DataCentres {
		if err := f.addRecord(records.KindDataCentre, dc.Name, map[string]any{"region": dc.Region}); err != nil {
			return err
		}
		if err := f.startEngines(dc); err != nil {
			return err
		}
	}
	return f.startServices()
}

func (f *Fleet) startEngines(dc DataCentre) error {
	for i := range dc.EngineCount {
		name := fmt.Sprintf("%s-engine-%d", dc.Name, i+1)
		args := append([]string{"engine", "--listen=127.0.0.1:0", "--model=" + ModelName, "--checks-fencing", "--key-file=" + f.keyFile("upstream")}, f.cfg.EngineArgs...)
		p, err := f.Processes.Start(name, "standin", args...)
		if err != nil {
			return err
		}
		f.Engines[name] = p
		err = f.addRecord(records.KindUpstream, name, map[string]any{
			"type": "engine", "group": EngineGroup, "dataCentre": dc.Name, "address": p.ReadyFields["address"],
			"slots": 16, "cacheTokens": 400_000, "checksFencing": true,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startServices() error {
	dataCentre := f.cfg.DataCentres[0].Name
	for _, s := range []struct {
		name  string
		args  []string
		route map[string]any
	}{
		{PrinterService, f.cfg.PrinterArgs, map[string]any{"method": "POST", "pathPrefix": "/orders", "idempotency": "unsafe", "timeout": "5s"}},
		{StockCheckService, nil, map[string]any{"method": "GET", "pathPrefix": "/stock", "idempotency": "safe", "timeout": "2s"}},
	} {
		args := append([]string{"service", "--listen=127.0.0.1:0", "--key-file=" + f.keyFile("upstream")}, s.args...)
		p, err := f.Processes.Start(s.name, "standin", args...)
		if err != nil {
			return err
		}
		f.Services[s.name] = p
		err = f.addRecord(records.KindUpstream, s.name, map[string]any{
			"type": "service", "dataCentre": dataCentre, "address": p.ReadyFields["address"], "routes": []any{s.route},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) addRecord(kind records.Kind, name string, spec map[string]any) error {
	decoded, err := NewRecord(kind, name, spec)
	f.Records = append(f.Records, decoded...)
	return err
}

// NewRecord decodes a document in the form that an operator writes, so that it is validated and gets its defaults.
func NewRecord(kind records.Kind, name string, spec map[string]any) ([]records.Record, error) {
	document, err := json.Marshal(map[string]any{
		"apiVersion": records.V2,
		"kind":       kind,
		"metadata":   map[string]any{"name": name, "generation": 1},
		"spec":       spec,
	})
	if err != nil {
		return nil, err
	}
	decoded, err := records.Decode(document)
	return decoded, errors.Wrapf(err, "record %s %s", kind, name)
}

func (f *Fleet) writeRecords(ctx context.Context) error {
	for _, r := range f.Records {
		if err := f.PutRecord(ctx, r, 0); err != nil {
			return err
		}
	}
	return nil
}

// PutRecord writes a record to the platform if the stored record has the version ifVersion.
func (f *Fleet) PutRecord(ctx context.Context, r records.Record, ifVersion uint64) error {
	value, err := records.EncodeStored(r)
	if err != nil {
		return errors.Wrapf(err, "encode record %s", r.Key())
	}
	body, err := json.Marshal(map[string]any{"if_version": ifVersion, "value": json.RawMessage(value)})
	if err != nil {
		return err
	}
	_, err = f.sendPlatformRequest(ctx, http.MethodPut, "/v1/objects/config/"+r.Key(), body)
	return errors.Wrapf(err, "write record %s", r.Key())
}

// RequestPlatform sends a JSON request to the platform stand-in, with its key, and returns the response body.
func (f *Fleet) RequestPlatform(ctx context.Context, method, path string, body any) ([]byte, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return f.sendPlatformRequest(ctx, method, path, raw)
}

func (f *Fleet) sendPlatformRequest(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	return sendRequest(ctx, method, f.PlatformURL+path, PlatformKey, body)
}

// sendRequest sends one request and returns the body of its response. A status of 400 or above is an error.
func sendRequest(ctx context.Context, method, url, key string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, errors.Newf("%s %s: status %d: %s", method, url, resp.StatusCode, data)
	}
	return data, nil
}

func (f *Fleet) startDaemons(context.Context) error {
	var group sync.WaitGroup
	var mu sync.Mutex
	var startErr error
	for _, dc := range f.cfg.DataCentres {
		for i := range dc.DaemonCount {
			group.Go(func() {
				d, err := f.StartDaemon(fmt.Sprintf("%s-vm-%d", dc.Name, i+1), dc.Name)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					startErr = err
					return
				}
				f.Daemons = append(f.Daemons, d)
			})
		}
	}
	group.Wait()
	return startErr
}

// StartDaemon starts one daemon without adding it to Daemons.
func (f *Fleet) StartDaemon(vm, dataCentre string) (*Daemon, error) {
	args := append([]string{
		"--vm=" + vm,
		"--data-centre=" + dataCentre,
		"--listen=127.0.0.1:0",
		"--peer-listen=127.0.0.1:0",
		"--ops-listen=127.0.0.1:0",
		"--platform-url=" + f.PlatformURL,
		"--platform-key-file=" + f.keyFile("platform"),
		"--peer-key-file=" + f.keyFile("peer"),
		"--upstream-key-file=" + f.keyFile("upstream"),
		"--drain-delay=0s",
	}, f.cfg.DaemonArgs...)
	p, err := f.Processes.Start(vm, "jackdawbayd", args...)
	if err != nil {
		return nil, err
	}
	return &Daemon{
		Process:    p,
		VM:         vm,
		DataCentre: dataCentre,
		CallerURL:  "http://" + p.ReadyFields["address"],
		OpsURL:     "http://" + p.ReadyFields["ops"],
		args:       args,
	}, nil
}

const readyPollInterval = 50 * time.Millisecond

func (f *Fleet) waitUntilReady(ctx context.Context) error {
	for _, d := range f.Daemons {
		if err := d.AwaitReady(ctx); err != nil {
			return errors.Wrapf(err, "daemon %s is not ready", d.VM)
		}
	}
	return nil
}

// AwaitReady waits until the daemon serves callers or the context ends.
func (d *Daemon) AwaitReady(ctx context.Context) error {
	for {
		if _, err := sendRequest(ctx, http.MethodGet, d.OpsURL+"/readyz", "", nil); err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyPollInterval):
		}
	}
}

// NewClient returns a client that calls the given daemons in turn, or all daemons of the fleet if none are given.
func (f *Fleet) NewClient(daemons ...*Daemon) *client.Client {
	if len(daemons) == 0 {
		daemons = f.Daemons
	}
	c := &client.Client{Key: TenantKey}
	for _, d := range daemons {
		c.BaseURLs = append(c.BaseURLs, d.CallerURL)
	}
	return c
}

// RunsByBusinessKey returns the number of runs of each business key at a service.
func (f *Fleet) RunsByBusinessKey(ctx context.Context, service string) (map[string]int, error) {
	data, err := sendRequest(ctx, http.MethodGet, "http://"+f.Services[service].ReadyFields["address"]+"/control/runs", UpstreamKey, nil)
	if err != nil {
		return nil, err
	}
	var out struct {
		Runs map[string]int `json:"runs"`
	}
	err = json.Unmarshal(data, &out)
	return out.Runs, err
}
