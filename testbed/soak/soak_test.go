package soak

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"jackdawbay.dev/testbed/process"
)

var (
	seeds    = flag.Int("seeds", 2, "Number of seeds to play after the regression cases.")
	first    = flag.Uint64("first", 1, "First seed.")
	duration = flag.Duration("faults", 6*time.Second, "Time with faults for each seed.")
	losses   = flag.Int("losses", 3, "Losses of replica VMs in series for each seed.")
	large    = flag.Bool("large", false, "Use 30 gateways, 5 replicas and 60 callers.")
	together = flag.Int("together", 5, "Seeds that are played at the same time.")
)

// regression is a seed that has failed, with its cause.
type regression struct {
	seed  uint64
	cause string
}

var (
	regressions       []regression // Of TestSoak.
	seriesRegressions = []regression{
		{6, "members heard of a successor only when watches of a silent store timed out, after the next loss"},
		{10, "members heard of a successor only when watches of a silent store timed out, after the next loss"},
		{19, "a set of two replicas never changed again when one of them was replaced for good"},
		{22, "members heard of a successor only when watches of a silent store timed out, after the next loss"},
		{23, "a set of two replicas never changed again when one of them was replaced for good"},
		{24, "members heard of a successor only when watches of a silent store timed out, after the next loss"},
		{1021, "a set of two replicas never changed again when one of them was replaced for good"},
		{1034, "a set of two replicas never changed again when one of them was replaced for good"},
	}
)

var binaries string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(process.RunWithDaemon(func(dir string) int {
		binaries = dir
		return m.Run()
	}))
}

// Guards against every broken promise that callers and upstreams can see while processes are killed, stopped, frozen and
// wiped, links break, and the store and the upstreams fail, one after the other and at the same time.
func TestSoak(t *testing.T) { play(t, regressions, Config{Duration: *duration}) }

// Guards against service that ends for good, and against lost turns, when replica VMs are emptied, wiped and replaced one
// after the other while the store falls silent: no more disks are lost at once than tolerated, and each VM had its time to
// catch up.
func TestLossesInSeries(t *testing.T) { play(t, seriesRegressions, Config{Losses: *losses}) }

func play(t *testing.T, regressions []regression, cfg Config) {
	places := make(chan struct{}, *together)
	cases := regressions[:len(regressions):len(regressions)]
	for i := range *seeds {
		cases = append(cases, regression{seed: *first + uint64(i)})
	}
	for _, c := range cases {
		cfg := cfg
		cfg.Seed = c.seed
		t.Run(fmt.Sprint("seed ", c.seed), func(t *testing.T) {
			t.Parallel()
			places <- struct{}{}
			defer func() { <-places }()
			playSeed(t, cfg, c.cause)
		})
	}
}

func playSeed(t *testing.T, cfg Config, cause string) {
	cfg.Binaries, cfg.Dir = binaries, t.TempDir()
	cfg.Gateways, cfg.Replicas, cfg.Callers = 3, 3, 10
	if *large {
		cfg.Gateways, cfg.Replicas, cfg.Callers = 30, 5, 60
	}
	if keep := os.Getenv("JACKDAWBAY_SOAK_DIR"); keep != "" {
		cfg.Dir = fmt.Sprintf("%s/seed-%d", keep, cfg.Seed)
		must.NoError(t, os.MkdirAll(cfg.Dir, 0o700))
	}
	r, err := Run(cfg)
	must.NoError(t, err)
	t.Log(r.String())
	must.Positive(t, r.AcknowledgedTurns, must.Sprint("a run without a kept turn proves nothing"))
	must.SliceEmpty(t, r.Violations, must.Sprint(cause))
}
