package schedule

import "time"

// DataCentreLoad is the lagging state of one engine group in one data centre, as seen from the data centre of a call.
type DataCentreLoad struct {
	DataCentre      string
	IsHome          bool // The data centre of the program's owner.
	OtherRegion     bool
	RoundTrip       time.Duration
	Slots           int // Slots of engines that serve the model; zero when there are none.
	Running         int
	Waiting         int
	MeanServiceTime time.Duration // Mean time that a call holds a slot.
	CachedTokens    int64         // Part of the program's history that an engine there holds.
	MemoryFull      bool          // The programs under way need all engine memory there.
}

// RemoteCall describes a call for the choice of a data centre.
type RemoteCall struct {
	PromptTokens  int64
	HistoryTokens int64
	OutputTokens  int64 // Expected.
}

// Bytes on a link between data centres for one call.
const (
	promptBytesPerToken = 4   // Text of the prompt.
	outputBytesPerToken = 200 // One server-sent event for each token.
)

// crossRegionSeconds is the cost of sending one megabyte between regions, in seconds, at a cache weight of one. It stands
// for the price of the traffic.
const crossRegionSeconds = 3.0

const (
	// fullSeconds is the expected wait of a new program for memory at a data centre that is full.
	fullSeconds = 5.0
	// newProgramCalls is the number of calls that a new program is expected to make.
	newProgramCalls = 8
)

// LinkBytes returns the bytes that a call sends over a link.
func (c RemoteCall) LinkBytes() int64 {
	return promptBytesPerToken*c.PromptTokens + outputBytesPerToken*c.OutputTokens
}

// expectedLinkBytes counts the later calls of a new program, which will follow its prefix.
func (c RemoteCall) expectedLinkBytes() int64 {
	if c.HistoryTokens == 0 {
		return newProgramCalls * c.LinkBytes()
	}
	return c.LinkBytes()
}

// DataCentreWeights are the weights of the choice of a data centre.
type DataCentreWeights struct {
	Latency, Cache         float64
	PrefillTokensPerSecond float64
}

// ChooseDataCentre returns the index of the data centre that a call goes to: the one with the least weighted cost of waiting,
// recompute and paid traffic. A data centre of another region is allowed only when the link budget covers the call. It
// returns -1 when no data centre serves the model.
func ChooseDataCentre(now time.Time, c RemoteCall, sites []DataCentreLoad, w DataCentreWeights, link *LinkBudget) int {
	best, bestCost := -1, 0.0
	for i, s := range sites {
		if s.Slots <= 0 {
			continue
		}
		if s.OtherRegion && !link.Covers(now, c.LinkBytes()) {
			continue
		}
		cost := siteCost(c, s, w)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

func siteCost(c RemoteCall, s DataCentreLoad, w DataCentreWeights) float64 {
	cached := min(s.CachedTokens, c.HistoryTokens)
	missing := float64(c.PromptTokens-cached) / w.PrefillTokensPerSecond
	busy := min(float64(s.Running)/float64(s.Slots), 1)
	slower := loadSlope * busy * float64(c.OutputTokens) / DefaultDecodeTokensPerSecond
	cost := w.Latency*(s.ExpectedWaitSeconds()+missing+slower+s.RoundTrip.Seconds()) + w.Cache*missing
	if s.MemoryFull && c.HistoryTokens == 0 {
		cost += w.Latency * fullSeconds
	}
	if s.OtherRegion {
		cost += w.Cache * crossRegionSeconds * float64(c.expectedLinkBytes()) / 1e6
	}
	return cost
}

// Wait estimates the seconds until a new call gets a slot.
func (s DataCentreLoad) ExpectedWaitSeconds() float64 {
	ahead := s.Running + s.Waiting + 1 - s.Slots
	if ahead <= 0 {
		return 0
	}
	return float64(ahead) * s.MeanServiceTime.Seconds() / float64(s.Slots)
}

// LinkBudget is a token bucket of bytes for the link between two regions.
type LinkBudget struct {
	BytesPerSecond float64
	BurstBytes     float64 // Bytes.
	level          float64
	at             time.Time
}

// linkBurst is the time over which a link budget may be used at once.
const linkBurst = 10 * time.Second

// NewLinkBudget returns a full budget for a rate.
func NewLinkBudget(bytesPerSecond int64) *LinkBudget {
	burst := float64(bytesPerSecond) * linkBurst.Seconds()
	return &LinkBudget{BytesPerSecond: float64(bytesPerSecond), BurstBytes: burst, level: burst}
}

// Covers reports whether the budget covers bytes now.
func (b *LinkBudget) Covers(now time.Time, bytes int64) bool {
	if b == nil {
		return false
	}
	b.refill(now)
	return b.level >= float64(bytes)
}

// Spend takes bytes that a call has sent or will send. The level may become negative, which delays later calls.
func (b *LinkBudget) Spend(now time.Time, bytes int64) {
	b.refill(now)
	b.level -= float64(bytes)
}

func (b *LinkBudget) refill(now time.Time) {
	if b.at.IsZero() {
		b.at = now
	}
	if passed := now.Sub(b.at).Seconds(); passed > 0 {
		b.level = min(b.BurstBytes, b.level+passed*b.BytesPerSecond)
		b.at = now
	}
}

// Transfer describes a possible move of a program's KV cache to another engine.
type Transfer struct {
	Tokens                 int64
	BytesPerToken          int64 // Size of the KV cache of one token; depends on the model.
	LinkBytesPerSecond     float64
	PrefillTokensPerSecond float64
	OtherRegion            bool
}

// ShouldTransfer reports whether moving KV cache is cheaper than recomputing it. Between regions the budget has to cover
// the bytes as well, and their price counts.
func ShouldTransfer(now time.Time, t Transfer, w DataCentreWeights, link *LinkBudget) bool {
	bytes := t.Tokens * t.BytesPerToken
	if bytes <= 0 || t.LinkBytesPerSecond <= 0 {
		return false
	}
	move := w.Latency * float64(bytes) / t.LinkBytesPerSecond
	if t.OtherRegion {
		if !link.Covers(now, bytes) {
			return false
		}
		move += w.Cache * crossRegionSeconds * float64(bytes) / 1e6
	}
	recompute := (w.Latency + w.Cache) * float64(t.Tokens) / t.PrefillTokensPerSecond
	return move < recompute
}
