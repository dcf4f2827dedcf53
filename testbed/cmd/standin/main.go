// Command standin runs a stand-in for an external system, or the relay that injects link faults between processes.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"jackdawbay.dev/testbed/relay"
	"jackdawbay.dev/testbed/standin/control"
	"jackdawbay.dev/testbed/standin/engine"
	"jackdawbay.dev/testbed/standin/platform"
	"jackdawbay.dev/testbed/standin/service"
)

// shutdownTimeout is the maximum time for open requests to finish after SIGTERM.
const shutdownTimeout = 2 * time.Second

// readHeaderTimeout limits how long a connection may stay open without a complete request header.
const readHeaderTimeout = 10 * time.Second

type commonFlags struct {
	Listen  string `required:"" env:"STANDIN_LISTEN" placeholder:"IP:PORT" help:"Address to listen on; port 0 picks a free one."`
	KeyFile string `env:"STANDIN_KEY_FILE" help:"File with the valid bearer keys, one a line; without it every key is accepted."`
}

type platformCommand struct {
	commonFlags
	WritesPerSecond float64 `env:"STANDIN_WRITES_PER_SECOND" default:"300" help:"Rate limit of writes; 0 is unlimited."`
	ReadsPerSecond  float64 `env:"STANDIN_READS_PER_SECOND" default:"2000" help:"Rate limit of reads and watches; 0 is unlimited."`
	KeptEvents      int     `env:"STANDIN_KEPT_EVENTS" default:"10000" help:"Events kept for watches."`
}

type engineCommand struct {
	commonFlags
	Model           []string      `env:"STANDIN_MODEL" default:"model-a=1" help:"Models ready at the start, as NAME or NAME=VERSION; none starts without a model."`
	Role            string        `env:"STANDIN_ROLE" default:"mixed" help:"Role in load reports."`
	Slots           int           `env:"STANDIN_SLOTS" default:"16" help:"Requests that run at once."`
	PrefillRate     float64       `env:"STANDIN_PREFILL_RATE" default:"8000" help:"Prompt tokens computed a second."`
	DecodePerToken  time.Duration `env:"STANDIN_DECODE_PER_TOKEN" default:"20ms" help:"Time of a token with one running request."`
	DecodeGrowth    time.Duration `env:"STANDIN_DECODE_GROWTH" default:"1ms" help:"Added for each further running request."`
	CacheTokens     int           `env:"STANDIN_CACHE_TOKENS" default:"400000" help:"Size of the prefix cache in tokens."`
	LoadLag         time.Duration `env:"STANDIN_LOAD_LAG" default:"200ms" help:"Age of load reports."`
	EventLag        time.Duration `env:"STANDIN_EVENT_LAG" default:"200ms" help:"Age at which cache events become visible."`
	EventGapEvery   int           `env:"STANDIN_EVENT_GAP_EVERY" help:"Every n-th cache event is lost; 0 loses none."`
	ChecksFencing   bool          `env:"STANDIN_CHECKS_FENCING" help:"Refuses orders with a stale fencing token."`
	ModelLoadTime   time.Duration `env:"STANDIN_MODEL_LOAD_TIME" default:"30s" help:"Time to load a model."`
	KeepStreams     time.Duration `env:"STANDIN_KEEP_STREAMS" default:"1m" help:"How long an ended stream can be resumed."`
	KVBytesPerToken int           `name:"kv-bytes-per-token" env:"STANDIN_KV_BYTES_PER_TOKEN" default:"128" help:"Size of an exported cache."`
	Seed            uint64        `env:"STANDIN_SEED" help:"Seed of the replies."`
	ReplyTokens     int           `env:"STANDIN_REPLY_TOKENS" help:"Length of replies; 0 draws it from the call."`
	Speed           float64       `env:"STANDIN_SPEED" default:"1" help:"Divides every duration of the model."`
}

type serviceCommand struct {
	commonFlags
	HonoursIdempotencyKeys bool          `env:"STANDIN_HONOURS_IDEMPOTENCY_KEYS" help:"Runs a repeated Idempotency-Key once."`
	Latency                time.Duration `env:"STANDIN_LATENCY" help:"Time between the effect of a call and its response."`
}

type relayCommand struct {
	Listen string   `required:"" env:"STANDIN_LISTEN" placeholder:"IP:PORT" help:"Address of the control interface."`
	Link   []string `required:"" env:"STANDIN_LINK" placeholder:"LISTEN=TARGET" help:"Listen address and target; repeat for more links."`
}

type commandLine struct {
	Platform platformCommand `cmd:"" help:"Object API with versions, watches and a VM list."`
	Engine   engineCommand   `cmd:"" help:"Model engine with continuous batching and a prefix cache."`
	Service  serviceCommand  `cmd:"" help:"Tool service or plain service that counts its runs."`
	Relay    relayCommand    `cmd:"" help:"TCP relay that breaks, delays and counts links."`
}

func main() {
	var cli commandLine
	k := kong.Parse(&cli, kong.Name("standin"), kong.UsageOnError(),
		kong.Description("Stand-ins for the outside systems of jackdawbay, for tests on loopback."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	k.FatalIfErrorf(k.Run())
}

// Run runs the platform stand-in.
func (c *platformCommand) Run(ctx context.Context) error {
	keys, err := control.ReadKeys(c.KeyFile)
	if err != nil {
		return err
	}
	p := platform.New(platform.Config{
		Keys: keys, WritesPerSecond: c.WritesPerSecond, ReadsPerSecond: c.ReadsPerSecond, RetainedEvents: c.KeptEvents,
	})
	return serve(ctx, c.Listen, p.Handler())
}

// Run runs the engine stand-in.
func (c *engineCommand) Run(ctx context.Context) error {
	keys, err := control.ReadKeys(c.KeyFile)
	if err != nil {
		return err
	}
	models := c.Model
	if len(models) == 1 && models[0] == "none" {
		models = nil
	}
	e := engine.New(engine.Config{
		Keys: keys, Models: models, Role: c.Role, Slots: c.Slots,
		Timing: engine.Timing{
			PrefillTokensPerSecond: c.PrefillRate, DecodePerToken: c.DecodePerToken, DecodeGrowth: c.DecodeGrowth,
		},
		CacheTokens: c.CacheTokens, LoadReportDelay: c.LoadLag, EventDelay: c.EventLag, DropEveryNthEvent: c.EventGapEvery,
		CheckFencingTokens: c.ChecksFencing, ModelLoadDuration: c.ModelLoadTime, StreamRetention: c.KeepStreams,
		KVBytesPerToken: c.KVBytesPerToken, Generation: engine.GenerationConfig{Seed: c.Seed, OutputTokens: c.ReplyTokens}, SpeedFactor: c.Speed,
	})
	defer e.Close()
	return serve(ctx, c.Listen, e.Handler())
}

// Run runs the service stand-in.
func (c *serviceCommand) Run(ctx context.Context) error {
	keys, err := control.ReadKeys(c.KeyFile)
	if err != nil {
		return err
	}
	s := service.New(service.Config{Keys: keys, HonoursIdempotencyKeys: c.HonoursIdempotencyKeys, Latency: c.Latency})
	return serve(ctx, c.Listen, s.Handler())
}

// Run runs the relay.
func (c *relayCommand) Run(ctx context.Context) error {
	links := make([]relay.Link, len(c.Link))
	for i, text := range c.Link {
		link, err := relay.ParseLink(text)
		if err != nil {
			return err
		}
		links[i] = link
	}
	r, err := relay.Start(links)
	if err != nil {
		return err
	}
	defer r.Close()
	return serve(ctx, c.Listen, r.Handler())
}

// serve serves the handler until the context ends. The contexts of open requests end at the same time.
func serve(ctx context.Context, listen string, h http.Handler) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", listen)
	}
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(l) }()
	fmt.Printf("ready address=%s\n", l.Addr())
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(shutdownCtx) != nil {
		_ = server.Close()
	}
	return nil
}
