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

// measuredFleet is a running fleet and a client of its peer protocol.
type measuredFleet struct {
	*fleet.Fleet
	dir   string
	peers *peer.Client
}

// layout is the size and the settings of a fleet.
type layout struct {
	dataCentres    int
	daemons        int // Per data centre.
	engines        int // Per data centre.
	engineArgs     []string
	daemonArgs     []string
	platformWrites string // Write rate limit of the platform; empty keeps the stand-in's default of 300 per second, "0" sets no limit.
}

// writesEnv sets the write rate limit of the platform stand-in. The fleet passes no flag for it.
const writesEnv = "STANDIN_WRITES_PER_SECOND"

func (l layout) fleetConfig(binaryDir, dir string) fleet.Config {
	c := fleet.Config{BinaryDir: binaryDir, Dir: dir, EngineArgs: l.engineArgs, DaemonArgs: l.daemonArgs}
	if l.platformWrites != "" && l.platformWrites != "0" {
		// The daemons share the write rate of the platform, as in an operator's settings.
		c.DaemonArgs = append(slices.Clone(c.DaemonArgs), "--fleet-writes="+l.platformWrites)
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

// startFleet starts a fleet. The caller stops it with close.
func startFleet(ctx context.Context, binaryDir string, l layout) (*measuredFleet, error) {
	dir, err := os.MkdirTemp("", "jackdawbay-capacity-")
	if err != nil {
		return nil, errors.Wrap(err, "create fleet directory")
	}
	if l.platformWrites != "" {
		if err := os.Setenv(writesEnv, l.platformWrites); err != nil {
			return nil, errors.Wrap(err, "set write rate")
		}
		defer func() { _ = os.Unsetenv(writesEnv) }()
	}
	f, err := fleet.Start(ctx, l.fleetConfig(binaryDir, dir))
	if err != nil {
		return nil, errors.Wrapf(err, "start fleet (logs in %s)", dir)
	}
	key, err := os.ReadFile(filepath.Join(dir, "peer.key"))
	if err != nil {
		f.Close()
		return nil, errors.Wrap(err, "read peer key")
	}
	keys := peer.Keys{strings.TrimSpace(string(key))}
	return &measuredFleet{Fleet: f, dir: dir, peers: peer.NewClient(keys, transport.Options{DialTimeout: time.Second})}, nil
}

func (mf *measuredFleet) close() {
	mf.Close()
	// The error is ignored: a remaining directory in the temporary directory does no harm.
	_ = os.RemoveAll(mf.dir)
}

// coordinators returns the VMs of the coordinators, according to one daemon of each data centre.
func (mf *measuredFleet) coordinators(ctx context.Context, daemons []*fleet.Daemon) (map[string]bool, error) {
	coordinators := map[string]bool{}
	queried := map[string]bool{}
	for _, d := range daemons {
		if queried[d.DataCentre] {
			continue
		}
		queried[d.DataCentre] = true
		var update peer.RosterUpdate
		if err := mf.peers.Get(ctx, d.ReadyFields["peer"], peer.PathRoster, &update); err != nil {
			return nil, errors.Wrap(err, "read roster")
		}
		if m, ok := update.Roster.Member(update.Roster.Coordinator); ok {
			coordinators[m.VM] = true
		}
	}
	return coordinators, nil
}

// maxIdleConnsPerHost keeps the connections of the load open. With a lower limit, calls at a high rate dial again each
// time.
const maxIdleConnsPerHost = 512

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true}}
}

// newCaller returns a client that calls the given daemons, or all daemons of the fleet if none are given.
func (mf *measuredFleet) newCaller(daemons ...*fleet.Daemon) *client.Client {
	c := mf.NewClient(daemons...)
	c.HTTP = newHTTPClient()
	return c
}

const programBudgetTokens = 100_000_000

// createWorkers is the maximum number of programs that are created at the same time.
const createWorkers = 32

// createPrograms creates n programs. If withCall is set, each makes one stock check.
func createPrograms(ctx context.Context, c *client.Client, n int, withCall bool) ([]*client.Program, error) {
	programs := make([]*client.Program, n)
	errs := make([]error, createWorkers)
	var group sync.WaitGroup
	for w := range createWorkers {
		group.Go(func() {
			for i := w; i < n && errs[w] == nil; i += createWorkers {
				programs[i], errs[w] = createProgram(ctx, c, withCall)
			}
		})
	}
	group.Wait()
	return programs, errors.Join(errs...)
}

func createProgram(ctx context.Context, c *client.Client, withCall bool) (*client.Program, error) {
	var p *client.Program
	err := retryWhileRepeatable(ctx, func() (err error) {
		p, err = c.Create(ctx, caller.CreateProgram{Model: fleet.ModelName, BudgetTokens: programBudgetTokens})
		return err
	})
	if err != nil || !withCall {
		return p, err
	}
	return p, retryWhileRepeatable(ctx, func() error { return stockCheck(ctx, p, "first") })
}

// retryWhileRepeatable retries a request while its error is repeatable and the context has not ended.
func retryWhileRepeatable(ctx context.Context, request func() error) error {
	const interval = 20 * time.Millisecond
	for {
		err := request()
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

// settleTime is the time after the start of a fleet until rosters and status no longer change.
const settleTime = 2 * time.Second
