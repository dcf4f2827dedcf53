// Package placement chooses the upstream for a request from what one daemon knows: its own requests under way, the loads that
// upstreams report with their responses, the prompts that engines have read, and recent failures. It does no I/O.
package placement

import (
	"math"
	"time"
)

// Weights of the estimate. They are settings; the defaults hold for engines of unknown speed.
type Weights struct {
	PrefillTokensPerMS float64       // Speed at which an engine reads a prompt, until it has been observed.
	ReportHalfLife     time.Duration // Age at which a reported load counts half.
	EjectAfterFailures int           // Consecutive failures after which an upstream is avoided.
	InitialEjection    time.Duration // First time for which it is avoided; doubles with each repetition.
	MaxEjection        time.Duration
	BusySlowdown       float64 // Share by which a full engine is slower than an idle one.
}

// DefaultWeights returns the defaults.
func DefaultWeights() Weights {
	return Weights{
		PrefillTokensPerMS: 200,
		ReportHalfLife:     400 * time.Millisecond,
		EjectAfterFailures: 2,
		InitialEjection:    500 * time.Millisecond,
		MaxEjection:        4 * time.Second,
		BusySlowdown:       0.6,
	}
}

// Upstream is what the catalog says of one upstream.
type Upstream struct {
	ID              string
	Address         string
	Slots           int
	RoundTrip       time.Duration // Round trip to it.
	StartMillis     int64
	Draining        bool
	WarmUpRemaining time.Duration
}

// Part is one part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int64
}

// Request is what placement needs to know of a request.
type Request struct {
	Parts    []PromptPart
	Excluded map[string]bool // Upstreams that have failed or refused this request.
	TieBreak float64         // Between 0 and 1; spreads equal choices over the daemons.
}

// Load is a load that an upstream reported.
type Load struct {
	Running, Waiting, Slots int
}

type upstream struct {
	info       Upstream
	running    int // Requests of this daemon under way.
	reported   Load
	reportedAt time.Time
	ownThen    int // Own requests under way when the load was reported.
	failures   int
	ejections  int
	avoidUntil time.Time
	parts      partSet
}

// Choice is a chosen upstream with the inputs of the decision.
type Choice struct {
	Upstream         Upstream
	EstimatedRunning float64       // Estimated requests there, of all daemons.
	ReportAge        time.Duration // Age of the reported load; zero without a report.
	MissingTokens    int64         // Tokens of the prompt that the upstream has to read, as far as is known.
	CostMS           float64
	SlotsBusy        bool // All its slots are estimated to be taken.
}

// Group is the set of upstreams of one service. It is not safe for concurrent use.
type Group struct {
	weights   Weights
	upstreams map[string]*upstream
	order     []string
	hashes    []uint64 // Of the prompt that is being placed.
	serviceMS float64  // Moving average of the time that a request takes.
}

// initialServiceMS is used until a request has been observed.
const initialServiceMS = 100

// serviceSmoothing is the weight of one observation in the moving average.
const serviceSmoothing = 0.05

// NewGroup returns an empty group.
func NewGroup(w Weights) *Group {
	return &Group{weights: w, upstreams: map[string]*upstream{}, serviceMS: initialServiceMS}
}

// Update replaces the list of upstreams. What is known of one is kept while it is the same process.
func (g *Group) Update(list []Upstream) {
	next := make(map[string]*upstream, len(list))
	g.order = g.order[:0]
	for _, info := range list {
		u, ok := g.upstreams[info.ID]
		if !ok || u.info.StartMillis != info.StartMillis || u.info.Address != info.Address {
			u = &upstream{}
		}
		u.info = info
		next[info.ID] = u
		g.order = append(g.order, info.ID)
	}
	g.upstreams = next
}

// Choose returns the upstream with the lowest expected time, or false where none may take the request.
func (g *Group) Choose(now time.Time, r Request) (Choice, bool) {
	best := Choice{CostMS: math.Inf(1)}
	found := false
	g.hashes = prefixes(g.hashes[:0], r.Parts)
	mean := g.meanOthers(now)
	for pass := 0; pass < 2 && !found; pass++ {
		for i, id := range g.order {
			u := g.upstreams[id]
			if u.info.Draining || r.Excluded[id] || pass == 0 && now.Before(u.avoidUntil) {
				continue
			}
			c := g.estimate(now, u, r, mean)
			c.CostMS += spread(r.TieBreak, i, len(g.order))
			if c.CostMS < best.CostMS {
				best, found = c, true
			}
		}
	}
	return best, found
}

// spreadMS bounds the part of a cost that only spreads equal choices.
const spreadMS = 1.0

func spread(spot float64, i, n int) float64 {
	_, part := math.Modf(spot + float64(i)/float64(max(n, 1)))
	return part * spreadMS
}

func (g *Group) estimate(now time.Time, u *upstream, r Request, mean float64) Choice {
	c := Choice{Upstream: u.info}
	if !u.reportedAt.IsZero() {
		c.ReportAge = now.Sub(u.reportedAt)
	}
	c.EstimatedRunning = g.load(now, u, mean)
	c.MissingTokens = u.parts.missing(r.Parts, g.hashes)
	slots := float64(max(u.info.Slots, 1))
	busy := min(c.EstimatedRunning/slots, 1)
	c.CostMS = float64(u.info.RoundTrip)/float64(time.Millisecond) +
		float64(c.MissingTokens)/g.weights.PrefillTokensPerMS +
		g.serviceMS*g.weights.BusySlowdown*busy
	if over := c.EstimatedRunning - slots + 1; over > 0 {
		c.SlotsBusy = true
		c.CostMS += over / slots * g.serviceMS * (1 + g.weights.BusySlowdown)
	}
	if u.info.WarmUpRemaining > 0 {
		c.CostMS += g.serviceMS
	}
	return c
}

// load estimates the requests at an upstream: what it reported, corrected by the own requests since. As the report ages, the
// share of other daemons decays towards the mean over all upstreams.
func (g *Group) load(now time.Time, u *upstream, mean float64) float64 {
	own := float64(u.running)
	if u.reportedAt.IsZero() {
		return own + mean
	}
	others := float64(u.reported.Running+u.reported.Waiting) - float64(u.ownThen)
	if others < 0 {
		others = 0
	}
	age := float64(now.Sub(u.reportedAt)) / float64(g.weights.ReportHalfLife)
	fresh := math.Exp2(-age)
	return own + others*fresh + mean*(1-fresh)
}

// meanOthers is the mean load by other daemons over the upstreams with a recent report.
func (g *Group) meanOthers(now time.Time) float64 {
	sum, n := 0.0, 0
	for _, id := range g.order {
		u := g.upstreams[id]
		if u.reportedAt.IsZero() || now.Sub(u.reportedAt) > 4*g.weights.ReportHalfLife {
			continue
		}
		sum += max(0, float64(u.reported.Running+u.reported.Waiting-u.ownThen))
		n++
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// Started notes that a request was sent.
func (g *Group) RecordStart(now time.Time, id string, parts []PromptPart) {
	u, ok := g.upstreams[id]
	if !ok {
		return
	}
	u.running++
	u.parts.add(now, parts)
}

// Reported notes a load that came with a response.
func (g *Group) RecordLoad(now time.Time, id string, l Load) {
	if u, ok := g.upstreams[id]; ok {
		u.reported, u.reportedAt, u.ownThen = l, now, u.running
	}
}

// Ended notes the end of a request. Took is its time at the upstream, or zero if that says nothing.
func (g *Group) RecordEnd(now time.Time, id string, failed bool, took time.Duration) {
	if took > 0 && !failed {
		g.serviceMS += serviceSmoothing * (float64(took)/float64(time.Millisecond) - g.serviceMS)
	}
	u, ok := g.upstreams[id]
	if !ok {
		return
	}
	if u.running > 0 {
		u.running--
	}
	if !failed {
		u.failures, u.ejections = 0, 0
		return
	}
	u.failures++
	if u.failures >= g.weights.EjectAfterFailures {
		u.failures = 0
		pause := min(g.weights.InitialEjection<<min(u.ejections, 8), g.weights.MaxEjection)
		u.ejections++
		u.avoidUntil = now.Add(pause)
	}
}

// Avoid keeps new requests from an upstream for a time, unless no other one is left.
func (g *Group) Eject(until time.Time, id string) {
	if u, ok := g.upstreams[id]; ok && until.After(u.avoidUntil) {
		u.avoidUntil = until
	}
}
