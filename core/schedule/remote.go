package schedule

import "time"

// DataCentreLoad is the delayed state of one engine group in one data centre, as observed from the data centre of a call.
type DataCentreLoad struct {
	DataCentre      string
	IsHome          bool // The data centre of the program's owner.
	OtherRegion     bool
	RoundTrip       time.Duration
	Slots           int // Slots of the engines that serve the model; zero if there are none.
	Running         int
	Waiting         int
	MeanServiceTime time.Duration // Mean time that a call holds a slot.
	CachedTokens    int64         // Tokens of the program's history that an engine there has cached.
	MemoryFull      bool          // The running programs need all engine memory there.
}

// RemoteCall describes a call for the choice of a data centre.
type RemoteCall struct {
	PromptTokens  int64
	HistoryTokens int64
	OutputTokens  int64 // Expected response length.
}

// Bytes per token on a link between data centres.
const (
	promptBytesPerToken = 4   // Prompt text.
	outputBytesPerToken = 200 // One server-sent event per token.
)

// otherRegionSecondsPerMB is the cost of sending one megabyte between regions, in seconds, at a cache weight of one. It
// represents the price of the traffic.
const otherRegionSecondsPerMB = 3.0

const (
	// memoryFullWaitSeconds is the expected wait of a new program for memory at a data centre whose engine memory is full.
	memoryFullWaitSeconds = 5.0
	// expectedNewProgramCalls is the number of calls that a new program is expected to make.
	expectedNewProgramCalls = 8
)

// LinkBytes returns the bytes that a call sends over a link.
func (c RemoteCall) LinkBytes() int64 {
	return promptBytesPerToken*c.PromptTokens + outputBytesPerToken*c.OutputTokens
}

// expectedLinkBytes returns the bytes that a call causes on a link. For a new program it includes the later calls, which
// will run where the prefix is.
func (c RemoteCall) expectedLinkBytes() int64 {
	if c.HistoryTokens == 0 {
		return expectedNewProgramCalls * c.LinkBytes()
	}
	return c.LinkBytes()
}

// DataCentreWeights are the weights for the choice of a data centre.
type DataCentreWeights struct {
	Latency, Cache         float64
	PrefillTokensPerSecond float64
}

// ChooseDataCentre returns the index of the data centre for a call: the one with the lowest weighted cost of waiting,
// recomputation and paid traffic. A data centre of another region is eligible only if the link budget covers the call. It
// returns -1 if no data centre is eligible.
func ChooseDataCentre(now time.Time, c RemoteCall, loads []DataCentreLoad, w DataCentreWeights, link *LinkBudget) int {
	best, bestCost := -1, 0.0
	for i, l := range loads {
		if l.Slots <= 0 {
			continue
		}
		if l.OtherRegion && !link.Covers(now, c.LinkBytes()) {
			continue
		}
		cost := dataCentreCost(c, l, w)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

func dataCentreCost(c RemoteCall, l DataCentreLoad, w DataCentreWeights) float64 {
	cached := min(l.CachedTokens, c.HistoryTokens)
	missingSeconds := float64(c.PromptTokens-cached) / w.PrefillTokensPerSecond
	utilisation := min(float64(l.Running)/float64(l.Slots), 1)
	slowdownSeconds := loadSlowdown * utilisation * float64(c.OutputTokens) / DefaultDecodeTokensPerSecond
	cost := w.Latency*(l.ExpectedWaitSeconds()+missingSeconds+slowdownSeconds+l.RoundTrip.Seconds()) + w.Cache*missingSeconds
	if l.MemoryFull && c.HistoryTokens == 0 {
		cost += w.Latency * memoryFullWaitSeconds
	}
	if l.OtherRegion {
		cost += w.Cache * otherRegionSecondsPerMB * float64(c.expectedLinkBytes()) / 1e6
	}
	return cost
}

// ExpectedWaitSeconds estimates the seconds until a new call gets a slot.
func (l DataCentreLoad) ExpectedWaitSeconds() float64 {
	ahead := l.Running + l.Waiting + 1 - l.Slots
	if ahead <= 0 {
		return 0
	}
	return float64(ahead) * l.MeanServiceTime.Seconds() / float64(l.Slots)
}

// LinkBudget is a token bucket of bytes for the link between two regions.
type LinkBudget struct {
	BytesPerSecond float64
	BurstBytes     float64 // Capacity of the bucket.
	available      float64
	refilledAt     time.Time
}

// linkBurstDuration is the duration whose budget may be used at once.
const linkBurstDuration = 10 * time.Second

// NewLinkBudget returns a full budget for a rate in bytes per second.
func NewLinkBudget(bytesPerSecond int64) *LinkBudget {
	burst := float64(bytesPerSecond) * linkBurstDuration.Seconds()
	return &LinkBudget{BytesPerSecond: float64(bytesPerSecond), BurstBytes: burst, available: burst}
}

// Covers reports whether the budget covers the bytes now. A nil budget covers nothing.
func (b *LinkBudget) Covers(now time.Time, bytes int64) bool {
	if b == nil {
		return false
	}
	b.refill(now)
	return b.available >= float64(bytes)
}

// Spend deducts bytes that a call has sent or will send. The balance may become negative, which delays later calls.
func (b *LinkBudget) Spend(now time.Time, bytes int64) {
	b.refill(now)
	b.available -= float64(bytes)
}

func (b *LinkBudget) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.refilledAt = now
	}
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 {
		b.available = min(b.BurstBytes, b.available+elapsed*b.BytesPerSecond)
		b.refilledAt = now
	}
}

// Transfer describes a possible transfer of a program's KV cache to another engine.
type Transfer struct {
	Tokens                 int64
	BytesPerToken          int64 // KV cache size of one token; depends on the model.
	LinkBytesPerSecond     float64
	PrefillTokensPerSecond float64
	OtherRegion            bool
}

// ShouldTransfer reports whether transferring the KV cache costs less than recomputing it. Between regions, the budget must
// also cover the bytes, and the cost includes the price of the traffic.
func ShouldTransfer(now time.Time, t Transfer, w DataCentreWeights, link *LinkBudget) bool {
	bytes := t.Tokens * t.BytesPerToken
	if bytes <= 0 || t.LinkBytesPerSecond <= 0 {
		return false
	}
	transferCost := w.Latency * float64(bytes) / t.LinkBytesPerSecond
	if t.OtherRegion {
		if !link.Covers(now, bytes) {
			return false
		}
		transferCost += w.Cache * otherRegionSecondsPerMB * float64(bytes) / 1e6
	}
	recomputeCost := (w.Latency + w.Cache) * float64(t.Tokens) / t.PrefillTokensPerSecond
	return transferCost < recomputeCost
}
