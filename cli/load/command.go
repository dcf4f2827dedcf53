// Package load generates a seeded, bounded workload for daemons. It reports latencies, rejected requests and wrong
// responses.
package load

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/client"
	"jackdawbay.dev/api/httpcheck"
)

// Command implements the verb load.
type Command struct {
	BaseURL     []string      `name:"base-url" required:"" help:"Base URL of a daemon's caller listener on a loopback address; repeat for more daemons." env:"JACKDAWBAY_BASE_URLS" placeholder:"URL"`
	KeyFile     string        `required:"" help:"File with the bearer key of the tenant." env:"JACKDAWBAY_KEY_FILE"`
	Model       string        `required:"" help:"Model of the model calls."`
	Stock       string        `default:"stock-checks" help:"Upstream of the stock checks."`
	Orders      string        `default:"printer" help:"Upstream of the non-idempotent orders."`
	Seed        uint64        `default:"1" help:"Seed of the workload."`
	Rate        float64       `default:"5" help:"Programs that arrive a second, at most 1000."`
	Duration    time.Duration `default:"30s" help:"Time in which programs arrive, at most 10 minutes."`
	Drain       time.Duration `default:"30s" help:"Time after the last arrival in which programs may finish, at most 5 minutes."`
	Mix         string        `default:"agent=40,order=20,stock=40" help:"Share of each class in per cent."`
	PromptBytes int           `default:"400" help:"Median size of a new prompt in bytes."`
	MaxTokens   int           `default:"64" help:"Largest answer in tokens."`
	PauseMedian time.Duration `default:"200ms" help:"Median of the tool pauses; their tail is heavy."`
	MaxPause    time.Duration `default:"10s" help:"Longest tool pause."`
	MaxPrograms int           `default:"5000" help:"Programs under way at most; arrivals beyond it are counted and not started."`
	Plot        string        `help:"CSV file for the latency distributions." placeholder:"FILE"`
}

// Limits of a run.
const (
	maxProgramsPerSecond = 1000
	maxDuration          = 10 * time.Minute
	maxDrain             = 5 * time.Minute
	maxPrograms          = 20_000
	maxPromptBytes       = 1 << 20
	maxTokens            = 4096
)

// Validate checks the flags. Kong calls it after parsing.
func (c *Command) Validate() error {
	checks := []struct {
		ok   bool
		text string
	}{
		{c.Rate > 0 && c.Rate <= maxProgramsPerSecond, "rate must be above 0 and at most 1000"},
		{c.Duration > 0 && c.Duration <= maxDuration, "duration must be above 0 and at most 10m"},
		{c.Drain >= 0 && c.Drain <= maxDrain, "drain must be between 0 and 5m"},
		{c.PromptBytes > 0 && c.PromptBytes <= maxPromptBytes, "prompt-bytes must be between 1 and 1048576"},
		{c.MaxTokens > 0 && c.MaxTokens <= maxTokens, "max-tokens must be between 1 and 4096"},
		{c.MaxPrograms > 0 && c.MaxPrograms <= maxPrograms, "max-programs must be between 1 and 20000"},
		{c.PauseMedian > 0 && c.MaxPause >= c.PauseMedian && c.MaxPause <= maxDuration, "pause-median must be above 0 and at most max-pause, and max-pause at most 10m"},
	}
	for _, check := range checks {
		if !check.ok {
			return errors.New(check.text)
		}
	}
	for _, u := range c.BaseURL {
		if err := checkLoopback(u); err != nil {
			return err
		}
	}
	_, err := ParseMix(c.Mix)
	return err
}

// checkLoopback returns an error if a base URL is not on this machine. Load must not reach daemons that serve real
// callers.
func checkLoopback(base string) error {
	u, err := url.Parse(base)
	if err != nil {
		return errors.Wrapf(err, "base URL %q", base)
	}
	ip := net.ParseIP(u.Hostname())
	if u.Scheme != "http" || ip == nil || !ip.IsLoopback() {
		return errors.Newf("base URL %q is not http on a loopback address", base)
	}
	return nil
}

// ParseMix parses a class mix such as "agent=40,order=20,stock=40".
func ParseMix(text string) (Mix, error) {
	m := Mix{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(part, "=")
		var share int
		if _, err := fmt.Sscanf(value, "%d", &share); err != nil || !ok {
			return nil, errors.Newf("part %q of the class mix is not CLASS=PERCENT", part)
		}
		m[Class(name)] += share
	}
	return m, m.Check()
}

// Execute runs the load and writes its progress. It returns a complete report and an error if any response was wrong.
func (c *Command) Execute(ctx context.Context, progress io.Writer) (Report, error) {
	key, err := os.ReadFile(c.KeyFile)
	if err != nil {
		return Report{}, errors.Wrap(err, "read key file")
	}
	mix, err := ParseMix(c.Mix)
	if err != nil {
		return Report{}, err
	}
	options := Options{
		BaseURLs:    c.BaseURL,
		Key:         strings.TrimSpace(string(key)),
		Model:       c.Model,
		Stock:       c.Stock,
		Orders:      c.Orders,
		Seed:        c.Seed,
		Rate:        c.Rate,
		Duration:    c.Duration,
		Drain:       c.Drain,
		Mix:         mix,
		Params:      c.programParams(),
		MaxPrograms: c.MaxPrograms,
		Progress:    progress,
	}
	report, stats := RunLoad(ctx, options)
	if err := c.writePlot(stats); err != nil {
		return report, err
	}
	if report.Counts.Faults > 0 {
		return report, errors.Newf("%d responses were wrong", report.Counts.Faults)
	}
	return report, nil
}

func (c *Command) programParams() ProgramParams {
	params := DefaultProgramParams()
	params.KeyPrefix = fmt.Sprintf("load-%d-%d", c.Seed, time.Now().UnixMilli())
	params.PromptBytes = c.PromptBytes
	params.MaxTokens = c.MaxTokens
	params.PauseMedian = c.PauseMedian
	params.MaxPause = c.MaxPause
	return params
}

func (c *Command) writePlot(s *Stats) error {
	if c.Plot == "" {
		return nil
	}
	f, err := os.Create(c.Plot)
	if err != nil {
		return errors.Wrap(err, "create plot file")
	}
	if err := s.WritePlot(f); err != nil {
		_ = f.Close()
		return errors.Wrap(err, "write plot file")
	}
	return errors.Wrap(f.Close(), "close plot file")
}

// maxIdleConnsPerHost allows connections to be reused at a high rate. With a lower limit, most calls would open a new
// connection.
const maxIdleConnsPerHost = 512

// NewClient returns a client that sends requests to the daemons in round-robin order.
func NewClient(baseURLs []string, key string) *client.Client {
	transport := httpcheck.NewTransport(&http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true})
	return &client.Client{BaseURLs: baseURLs, Key: key, HTTP: &http.Client{Transport: transport}}
}
