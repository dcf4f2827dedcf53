package capacity

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/client"
	"jackdawbay.dev/daemon/clock"
	"jackdawbay.dev/daemon/peer"
	"jackdawbay.dev/daemon/transport"
	"jackdawbay.dev/testbed/fleet"
)

// bed is one fleet that is being measured.
type bed struct {
	*fleet.Fleet
	folder string
	peers  *peer.Client
}

// layout is the size of a fleet.
type layout struct {
	dataCentres int
	daemons     int // In each data centre.
	engines     int // In each data centre.
	engineArgs  []string
	daemonArgs  []string
	writes      string // Rate limit of the platform's writes; empty is the default of the stand-in, 300 a second.
}

// writesVariable is the variable from which the platform stand-in takes its write rate. The fleet passes no such flag.
const writesVariable = "STANDIN_WRITES_PER_SECOND"

func (l layout) config(binaries, folder string) fleet.Config {
	c := fleet.Config{BinaryDir: binaries, Dir: folder, EngineArgs: l.engineArgs, DaemonArgs: l.daemonArgs}
	if l.writes != "" && l.writes != "0" {
		// The daemons share what the platform takes, as an operator sets it.
		c.DaemonArgs = append(slices.Clone(c.DaemonArgs), "--fleet-writes="+l.writes)
	}
	regions := []string{"merrimack", "seacoast", "wielkopolska"}
	for i := range l.dataCentres {
		c.DataCentres = append(c.DataCentres, fleet.DataCentre{
			Name:        "dc-" + string(rune('a'+i)),
			Region:      regions[i%len(regions)],
			DaemonCount: l.daemons,
			EngineCount: l.engines,
		})
	}
	return c
}

// startBed starts a fleet. The caller ends it with close.
func startBed(ctx context.Context, binaries string, l layout) (*bed, error) {
	folder, err := os.MkdirTemp("", "jackdawbay-capacity-")
	if err != nil {
		return nil, errors.Wrap(err, "create folder")
	}
	if l.writes != "" {
		if err := os.Setenv(writesVariable, l.writes); err != nil {
			return nil, errors.Wrap(err, "set write rate")
		}
		defer func() { _ = os.Unsetenv(writesVariable) }()
	}
	f, err := fleet.Start(ctx, l.config(binaries, folder))
	if err != nil {
		return nil, errors.Wrapf(err, "start fleet; logs are in %s", folder)
	}
	key, err := os.ReadFile(filepath.Join(folder, "peer.key"))
	if err != nil {
		f.Close()
		return nil, errors.Wrap(err, "read peer key")
	}
	keys := peer.Keys{strings.TrimSpace(string(key))}
	return &bed{Fleet: f, folder: folder, peers: peer.NewClient(keys, transport.Options{DialTimeout: time.Second})}, nil
}

func (b *bed) close() {
	b.Close()
	// A folder that stays behind in the temporary directory does no harm.
	_ = os.RemoveAll(b.folder)
}

// coordinators returns the VMs that are coordinators, as the daemons see them.
func (b *bed) coordinators(ctx context.Context, daemons []*fleet.Daemon) (map[string]bool, error) {
	found := map[string]bool{}
	asked := map[string]bool{}
	for _, d := range daemons {
		if asked[d.DataCentre] {
			continue
		}
		asked[d.DataCentre] = true
		var push peer.RosterUpdate
		if err := b.peers.Get(ctx, d.ReadyFields["peer"], peer.PathRoster, &push); err != nil {
			return nil, errors.Wrap(err, "read roster")
		}
		if m, ok := push.Roster.Member(push.Roster.Coordinator); ok {
			found[m.VM] = true
		}
	}
	return found, nil
}

// idlePerHost keeps the connections of a load open; with fewer, each call at a high rate dials again.
const idlePerHost = 512

func newHTTP() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerHost, DisableCompression: true}}
}

// caller returns a client of the given daemons.
func (b *bed) caller(daemons ...*fleet.Daemon) *client.Client {
	c := b.NewClient(daemons...)
	c.HTTP = newHTTP()
	return c
}

const programBudget = 100_000_000

// createWorkers bounds the programs that are created at the same time.
const createWorkers = 32

// createPrograms creates programs, each with one stock check when called is set.
func createPrograms(ctx context.Context, c *client.Client, n int, called bool) ([]*client.Program, error) {
	list := make([]*client.Program, n)
	failed := make([]error, createWorkers)
	var group sync.WaitGroup
	for w := range createWorkers {
		group.Go(func() {
			for i := w; i < n && failed[w] == nil; i += createWorkers {
				list[i], failed[w] = createProgram(ctx, c, called)
			}
		})
	}
	group.Wait()
	return list, errors.Join(failed...)
}

func createProgram(ctx context.Context, c *client.Client, called bool) (*client.Program, error) {
	var p *client.Program
	err := insist(ctx, func() (err error) {
		p, err = c.Create(ctx, caller.CreateProgram{Model: fleet.ModelName, BudgetTokens: programBudget})
		return err
	})
	if err != nil || !called {
		return p, err
	}
	return p, insist(ctx, func() error { return stockCheck(ctx, p, "first") })
}

// insist repeats a request while its refusals allow it.
func insist(ctx context.Context, try func() error) error {
	const interval = 20 * time.Millisecond
	for {
		err := try()
		if err == nil || !client.IsRetryable(err) {
			return err
		}
		if !clock.Sleep(ctx, interval) {
			return err
		}
	}
}

func stockCheck(ctx context.Context, p *client.Program, key string) error {
	_, err := p.InvokeService(ctx, key, caller.ServiceCall{Upstream: fleet.StockCheckService, Method: http.MethodGet, Path: "/stock/jersey-m"})
	return err
}

// settle is the time after the start of a fleet in which rosters and status come to rest.
const settle = 2 * time.Second
