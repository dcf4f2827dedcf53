// Package placement selects the upstream for a request from the state of one daemon: its own requests in flight, the loads
// that upstreams report with their responses, the prompts that engines have processed, and recent failures. It does no I/O.
package placement

import (
	"math"
	"time"

	"jackdawbay.dev/core/streamversion"
)

// Weights are the parameters of the cost estimate. The defaults suit engines of unknown speed.
type Weights struct {
	PrefillTokensPerMS float64       // Prompt processing speed assumed for an engine.
	ReportHalfLife     time.Duration // Age at which the weight of a reported load is one half.
	EjectAfterFailures int           // Consecutive failures after which an upstream is ejected.
	InitialEjection    time.Duration // Duration of the first ejection. It doubles with each further ejection, up to MaxEjection.
	MaxEjection        time.Duration // Max duration of an ejection.
	BusySlowdown       float64       // Fraction by which a full engine is slower than an idle one.
}

// DefaultWeights returns the default parameters.
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

// Upstream is the catalog entry of an upstream.
type Upstream struct {
	ID              string
	Address         string
	Version         string // Software version; empty if it states none.
	Slots           int
	RoundTrip       time.Duration // Network round trip to the upstream.
	OtherRegion     bool          // The upstream is in another region than this daemon.
	StartMillis     int64         // Start of the process in Unix milliseconds. Distinguishes two processes with the same ID.
	Draining        bool
	WarmUpRemaining time.Duration // Time for which the process remains slow after its start.
}

// PromptPart is one part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int64
}

// Request holds the properties of a request that affect its placement.
type Request struct {
	Parts    []PromptPart
	Excluded map[string]bool // IDs of upstreams that have failed or rejected this request.
	// Counted states that an earlier decision has counted the request in the demand for its prompt.
	Counted bool
	// UseFailing allows upstreams that fail many of their requests if all others are full.
	UseFailing bool
	Version    streamversion.Restriction
	TieBreak   float64 // Value from 0 to 1 that spreads requests of several daemons over upstreams of equal cost.
}

// allows reports whether the request may be sent to an upstream as far as its own properties decide that.
func (r Request) allows(u *upstreamState) bool {
	return (len(r.Excluded) == 0 || !r.Excluded[u.info.ID]) && r.Version.Allows(u.info.Version)
}

// Load is the load that an upstream reported.
type Load struct {
	Running, Waiting, Slots int
	Slowdown                float64 // Time that work takes now, relative to the usual time; zero if it is not reported.
}

type upstreamState struct {
	info                Upstream
	inFlight            int // Requests of this daemon in flight.
	reportedLoad        Load
	reportedAt          time.Time
	meanSlowdown        float64 // Average of the reported slowdowns; zero if none is reported.
	inFlightAtReport    int     // Requests of this daemon in flight when the load was reported.
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
	suspectedUntil      time.Time // Other VMs cannot reach it.
	cachedPrefixes      prefixCache
	failedUntil         time.Time // End of the last ejection that followed failures.
	health              health
	idHash              uint64 // Hash of the ID for the rendezvous order.
	index               int32  // Position in the list of the group.
	candidateOf         uint64 // Decision that compared the upstream last.
	isNew               bool   // The process was listed after others and has not been compared yet.
}

// Choice is the selected upstream with the inputs of the decision.
type Choice struct {
	Upstream         Upstream
	EstimatedRunning float64       // Estimated number of requests at the upstream, from all daemons.
	ReportAge        time.Duration // Age of the reported load; zero without a report.
	MissingTokens    int64         // Estimated prompt tokens that the upstream has not cached.
	CostMS           float64
	SlotsBusy        bool // All slots are estimated to be busy.

	// Full states that all upstreams that may get the request are estimated to have no free slot and no room in a short queue.
	// Only set by the placement for many gateways.
	Full bool
	// FailingHasRoom states, if Full is set, that an upstream that fails many of its requests has room.
	FailingHasRoom bool
}

// Group is the set of upstreams of one service. It is not safe for concurrent use.
type Group struct {
	weights       Weights
	upstreams     map[string]*upstreamState
	leaving       map[string]processKey // Upstreams that have stated that they leave, by ID.
	ids           []string
	prefixHashes  []uint64 // Scratch space for the prefixes of the prompt that is being placed.
	meanServiceMS float64  // Moving average of the request duration in milliseconds.
	balance       balancer
}

// processKey distinguishes the processes that have had the same ID.
type processKey struct {
	startMillis int64
	address     string
}

func (u Upstream) processKey() processKey { return processKey{u.StartMillis, u.Address} }

// maxLeaving is the number of leaving upstreams above which those that are no longer listed are forgotten. It is above the
// number of upstreams of a deployment.
const maxLeaving = 2000

// initialServiceMS is the assumed request duration until a request has been observed.
const initialServiceMS = 100

// serviceTimeWeight is the weight of one observation in the moving average.
const serviceTimeWeight = 0.05

// NewGroup returns an empty group.
func NewGroup(w Weights) *Group {
	return &Group{weights: w, upstreams: map[string]*upstreamState{}, leaving: map[string]processKey{}, meanServiceMS: initialServiceMS, balance: newBalancer()}
}

// Update replaces the list of upstreams. The state of an upstream is retained while its process and address are the same.
func (g *Group) Update(entries []Upstream) {
	next := make(map[string]*upstreamState, len(entries))
	g.ids = g.ids[:0]
	for _, info := range entries {
		u, ok := g.upstreams[info.ID]
		if !ok || u.info.processKey() != info.processKey() {
			u = &upstreamState{isNew: len(g.upstreams) > 0}
		}
		u.info = info
		next[info.ID] = u
		g.ids = append(g.ids, info.ID)
	}
	g.upstreams = next
	g.balance.update(g)
	// The entry of a leaving upstream may lapse and return, so that a missing entry alone does not end the exclusion.
	for id, key := range g.leaving {
		u, listed := next[id]
		if listed && u.info.processKey() != key || !listed && len(g.leaving) > maxLeaving {
			delete(g.leaving, id)
		}
	}
}

// RecordLeaving excludes the process of an upstream from new requests for good, since it has stated in a response that it
// leaves. It reports whether that was not known.
func (g *Group) RecordLeaving(u Upstream) bool {
	if g.leaving[u.ID] == u.processKey() {
		return false
	}
	if current, ok := g.upstreams[u.ID]; ok && current.info.processKey() != u.processKey() {
		return false // The response of an earlier process with this ID.
	}
	g.leaving[u.ID] = u.processKey()
	return true
}

func (g *Group) isLeaving(id string) bool {
	_, ok := g.leaving[id]
	return ok
}

// AcceptsRepeat reports whether a request may be sent once more to the process of an upstream: it is listed, and has not stated
// that it leaves.
func (g *Group) AcceptsRepeat(u Upstream) bool {
	current, ok := g.upstreams[u.ID]
	return ok && current.info.processKey() == u.processKey() && current.info.Version == u.Version && !current.info.Draining && !g.isLeaving(u.ID)
}

// Versions returns the version of each upstream and whether it accepts requests, in the order of the list.
func (g *Group) Versions() []streamversion.Upstream {
	versions := make([]streamversion.Upstream, 0, len(g.ids))
	for _, id := range g.ids {
		u := g.upstreams[id].info
		versions = append(versions, streamversion.Upstream{Version: u.Version, Accepts: !u.Draining && !g.isLeaving(id)})
	}
	return versions
}

// Choose returns the upstream with the lowest estimated cost, or false if no upstream is eligible. Ejected upstreams are
// considered only if no other upstream is eligible.
func (g *Group) Choose(now time.Time, r Request) (Choice, bool) {
	if g.balance.enabled {
		return g.chooseBalanced(now, r)
	}
	best := Choice{CostMS: math.Inf(1)}
	found := false
	g.prefixHashes = appendPrefixHashes(g.prefixHashes[:0], r.Parts)
	meanOther := g.meanOtherLoad(now)
	honoursSuspicions := g.honoursSuspicions(now)
	for pass := 0; pass < 2 && !found; pass++ {
		for i, id := range g.ids {
			u := g.upstreams[id]
			if u.info.Draining || g.isLeaving(id) || !r.allows(u) || pass == 0 && now.Before(u.ejectedUntil) {
				continue
			}
			if pass == 0 && honoursSuspicions && now.Before(u.suspectedUntil) {
				continue
			}
			c := g.estimate(now, u, r, meanOther)
			c.CostMS += tieBreakCost(r.TieBreak, i, len(g.ids))
			if c.CostMS < best.CostMS {
				best, found = c, true
			}
		}
	}
	return best, found
}

// maxTieBreakMS is the upper bound of the cost that spreads requests over upstreams of equal cost.
const maxTieBreakMS = 1.0

func tieBreakCost(offset float64, i, n int) float64 {
	_, fraction := math.Modf(offset + float64(i)/float64(max(n, 1)))
	return fraction * maxTieBreakMS
}

func (g *Group) estimate(now time.Time, u *upstreamState, r Request, meanOther float64) Choice {
	c := Choice{Upstream: u.info}
	if !u.reportedAt.IsZero() {
		c.ReportAge = now.Sub(u.reportedAt)
	}
	c.EstimatedRunning = g.estimateLoad(now, u, meanOther)
	c.MissingTokens = u.cachedPrefixes.missingTokens(r.Parts, g.prefixHashes)
	slots := float64(max(u.info.Slots, 1))
	utilisation := min(c.EstimatedRunning/slots, 1)
	c.CostMS = float64(u.info.RoundTrip)/float64(time.Millisecond) +
		float64(c.MissingTokens)/g.weights.PrefillTokensPerMS +
		g.meanServiceMS*g.weights.BusySlowdown*utilisation
	if excess := c.EstimatedRunning - slots + 1; excess > 0 {
		c.SlotsBusy = true
		c.CostMS += excess / slots * g.meanServiceMS * (1 + g.weights.BusySlowdown)
	}
	if u.info.WarmUpRemaining > 0 {
		c.CostMS += g.meanServiceMS
	}
	if extra := u.extraWork(now); extra > 0 {
		c.CostMS += extra * (g.meanServiceMS + float64(c.MissingTokens)/g.weights.PrefillTokensPerMS)
	}
	return c
}

// slowdownHalfLife is the age at which the weight of a reported slowdown is one half. The figure changes several times per
// second, faster than the number of requests.
const slowdownHalfLife = 200 * time.Millisecond

// slowdownAverage is the time constant of the average of reported slowdowns, and usualSlowdown the average up to which an upstream
// counts as usual. A single report says little about the next seconds: with it, requests left the engines that had cached
// their prompts, and the time to the first event rose from 38 to 52 ms (p50) on a calm day of the bench.
const (
	slowdownAverage = time.Second
	usualSlowdown   = 1.5
)

// extraWork estimates the time that work takes at an upstream beyond the usual time, as a fraction of it.
func (u *upstreamState) extraWork(now time.Time) float64 {
	if u.meanSlowdown <= usualSlowdown {
		return 0
	}
	halfLives := float64(now.Sub(u.reportedAt)) / float64(slowdownHalfLife)
	return (u.meanSlowdown - 1) * math.Exp2(-halfLives)
}

func (u *upstreamState) observeSlowdown(now time.Time, slowdown float64) {
	if slowdown <= 0 {
		u.meanSlowdown = 0
		return
	}
	if u.meanSlowdown <= 0 {
		u.meanSlowdown = slowdown
		return
	}
	weight := 1 - math.Exp(-float64(now.Sub(u.reportedAt))/float64(slowdownAverage))
	u.meanSlowdown += weight * (slowdown - u.meanSlowdown)
}

// estimateLoad estimates the number of requests at an upstream: the reported load, corrected by the change of this daemon's
// own requests since the report. As the report ages, the share of other daemons decays towards the mean of all upstreams.
func (g *Group) estimateLoad(now time.Time, u *upstreamState, meanOther float64) float64 {
	ownRequests := float64(u.inFlight)
	if u.reportedAt.IsZero() {
		return ownRequests + meanOther
	}
	otherRequests := float64(u.reportedLoad.Running+u.reportedLoad.Waiting) - float64(u.inFlightAtReport)
	if otherRequests < 0 {
		otherRequests = 0
	}
	halfLives := float64(now.Sub(u.reportedAt)) / float64(g.weights.ReportHalfLife)
	reportWeight := math.Exp2(-halfLives)
	return ownRequests + otherRequests*reportWeight + meanOther*(1-reportWeight)
}

// meanOtherLoad returns the mean load caused by other daemons, over the upstreams with a recent report.
func (g *Group) meanOtherLoad(now time.Time) float64 {
	sum, n := 0.0, 0
	for _, id := range g.ids {
		u := g.upstreams[id]
		if u.reportedAt.IsZero() || now.Sub(u.reportedAt) > 4*g.weights.ReportHalfLife {
			continue
		}
		sum += max(0, float64(u.reportedLoad.Running+u.reportedLoad.Waiting-u.inFlightAtReport))
		n++
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// RecordStart records that a request was sent to an upstream.
func (g *Group) RecordStart(now time.Time, id string, parts []PromptPart) {
	u, ok := g.upstreams[id]
	if !ok {
		return
	}
	u.inFlight++
	u.cachedPrefixes.add(now, parts)
	g.balance.recordHolder(u, parts)
}

// RecordLoad records a load that an upstream reported with a response.
func (g *Group) RecordLoad(now time.Time, id string, l Load) {
	if u, ok := g.upstreams[id]; ok {
		u.observeLoad(l)
		u.observeSlowdown(now, l.Slowdown)
		u.reportedLoad, u.reportedAt, u.inFlightAtReport = l, now, u.inFlight
		g.balance.noteChange(u)
	}
}

// RecordEnd records the end of a request. The argument duration is the time at the upstream, or zero if it is not
// meaningful.
func (g *Group) RecordEnd(now time.Time, id string, failed bool, duration time.Duration) {
	if duration > 0 && !failed {
		g.meanServiceMS += serviceTimeWeight * (float64(duration)/float64(time.Millisecond) - g.meanServiceMS)
	}
	u, ok := g.upstreams[id]
	if !ok {
		return
	}
	if u.inFlight > 0 {
		u.inFlight--
	}
	g.balance.noteChange(u)
	keepsEjections := u.observeEnd(now, failed, float64(duration)/float64(time.Millisecond), g.meanServiceMS) && g.balance.enabled
	if !failed {
		u.consecutiveFailures = 0
		if !keepsEjections {
			u.ejections = 0
		}
		u.suspectedUntil = time.Time{}
		return
	}
	u.consecutiveFailures++
	if u.consecutiveFailures >= g.weights.EjectAfterFailures {
		u.consecutiveFailures = 0
		ejection := min(g.weights.InitialEjection<<min(u.ejections, 8), g.weights.MaxEjection)
		u.ejections++
		u.ejectedUntil, u.failedUntil = now.Add(ejection), now.Add(ejection)
	}
}

// Eject excludes an upstream from new requests until a time, unless no other upstream is eligible.
func (g *Group) Eject(until time.Time, id string) {
	if u, ok := g.upstreams[id]; ok && until.After(u.ejectedUntil) {
		u.ejectedUntil = until
	}
}
