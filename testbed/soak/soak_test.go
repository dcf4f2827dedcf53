package soak

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"jackdawbay.dev/testbed/process"
)

var (
	seeds         = flag.Int("seeds", 2, "Number of seeds to run after the regression cases.")
	firstSeed     = flag.Uint64("first", 1, "First seed.")
	duration      = flag.Duration("faults", 6*time.Second, "Duration of fault injection for each seed.")
	losses        = flag.Int("losses", 3, "Number of losses of replica VMs in series for each seed.")
	large         = flag.Bool("large", false, "Use 30 gateways, 5 replicas and 60 callers.")
	tolerated     = flag.Int("tolerated", 1, "Number of VMs with a disk that may be lost at the same time. If it is above 1, there are five replicas for each.")
	bodyBytes     = flag.Int("body", 0, "Bytes that are added to the input of each turn.")
	parallelSeeds = flag.Int("together", 5, "Number of seeds to run concurrently.")
)

// regression is a seed whose run failed once, and the cause of that failure.
type regression struct {
	seed  uint64
	cause string
}

var (
	regressions     []regression // Used by TestSoak.
	lossRegressions = []regression{
		{6, "members observed a successor only when watches of an unresponsive store timed out, after the next loss"},
		{10, "members observed a successor only when watches of an unresponsive store timed out, after the next loss"},
		{19, "a set of two replicas could never change again when one of them was permanently replaced"},
		{22, "members observed a successor only when watches of an unresponsive store timed out, after the next loss"},
		{23, "a set of two replicas could never change again when one of them was permanently replaced"},
		{24, "members observed a successor only when watches of an unresponsive store timed out, after the next loss"},
		{1021, "a set of two replicas could never change again when one of them was permanently replaced"},
		{1034, "a set of two replicas could never change again when one of them was permanently replaced"},
	}
)

var binariesDir string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(process.RunWithDaemon(func(dir string) int {
		binariesDir = dir
		return m.Run()
	}))
}

// Guards against every violated guarantee that callers and upstreams can observe while processes are killed, stopped and frozen,
// disks are wiped, and links, the store and upstreams fail, in sequence and at the same time.
func TestSoak(t *testing.T) { runSeeds(t, regressions, Config{Duration: *duration}) }

// Guards against a permanent loss of service, and against lost turns, when replica VMs are evacuated, wiped and replaced one
// after the other while the store is unresponsive at times. No more disks are lost at once than tolerated, and each VM has
// enough time to catch up.
func TestLossesInSeries(t *testing.T) { runSeeds(t, lossRegressions, Config{Losses: *losses}) }

// Guards against a permanent loss of service, and against lost turns, when all processes are killed at the same moment and as
// many disks as tolerated are lost, after a series of losses.
func TestFinalFault(t *testing.T) { runSeeds(t, nil, Config{Losses: *losses, FinalLosses: 1}) }

func runSeeds(t *testing.T, regressions []regression, cfg Config) {
	slots := make(chan struct{}, *parallelSeeds)
	cases := regressions[:len(regressions):len(regressions)]
	for i := range *seeds {
		cases = append(cases, regression{seed: *firstSeed + uint64(i)})
	}
	for _, c := range cases {
		cfg := cfg
		cfg.Seed = c.seed
		t.Run(fmt.Sprint("seed ", c.seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			runSeed(t, cfg, c.cause)
		})
	}
}

func runSeed(t *testing.T, cfg Config, cause string) {
	cfg.Binaries, cfg.Dir = binariesDir, t.TempDir()
	cfg.Gateways, cfg.Replicas, cfg.Callers, cfg.Tolerated = 3, 3, 10, 1
	cfg.BodyBytes = *bodyBytes
	if *large {
		cfg.Gateways, cfg.Replicas, cfg.Callers = 30, 5, 60
	}
	if *tolerated > 1 {
		cfg.Tolerated, cfg.Replicas = *tolerated, 5**tolerated
		cfg.FinalLosses *= *tolerated
	}
	if dir := os.Getenv("JACKDAWBAY_SOAK_DIR"); dir != "" {
		cfg.Dir = filepath.Join(dir, strings.NewReplacer("/", "-", " ", "-").Replace(t.Name())) // Disks of another test must not be used again.
		must.NoError(t, os.MkdirAll(cfg.Dir, 0o700))
	}
	r, err := Run(cfg)
	must.NoError(t, err)
	t.Log(r.String())
	must.Positive(t, r.AcknowledgedTurns, must.Sprint("the run acknowledged no turn, so it checked nothing"))
	must.SliceEmpty(t, r.Violations, must.Sprint(cause))
}
