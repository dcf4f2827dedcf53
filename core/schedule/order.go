package schedule

import (
	"math"
	"time"
)

// Constants of the queue order and of the estimates.
const (
	// decodeWeight is the engine work of one generated token in prefill tokens, in a typical batch.
	decodeWeight = 12.0
	// spentToService converts a program's spent tokens to engine work. It is below one because most prompt tokens are
	// cached.
	spentToService = 0.25
	// averageWeight is the weight of a new value in a moving average.
	averageWeight = 0.1
	// basePenaltySeconds is the penalty of every ticket. It makes class weights order new programs.
	basePenaltySeconds = 2.0
	// tenantPenaltySeconds is the penalty of a tenant that uses twice its share.
	tenantPenaltySeconds = 10.0
	// maxTenantExcess limits the tenant penalty, and thereby the maximum wait.
	maxTenantExcess = 3.0
	// deadlineMarginSeconds is the time before a deadline that is held in reserve.
	deadlineMarginSeconds = 2.0
	defaultOutputTokens   = 300.0 // Tokens.
	defaultSlotSeconds    = 8.0   // Seconds.
)

func movingAverage(old, value float64) float64 { return old + averageWeight*(value-old) }

// queueKey returns the sort key of a ticket in the queue, in seconds of ageing. Every ticket ages at the same rate, so the
// order of two tickets does not change while they wait, and a heap can store them.
func (d *Dispatcher) queueKey(it *item) float64 {
	ageing := max(d.cfg.Placement.AgeingPerSecond, minAgeingPerSecond)
	arrival := it.Enqueued.Sub(d.keyEpoch).Seconds()
	if !d.cfg.isEnabled(ServiceOrder) {
		return arrival * ageing
	}
	weight := it.class.limit.Weight
	if weight <= 0 {
		weight = 1
	}
	penalty := basePenaltySeconds + d.cfg.ServicePenalty*math.Log2(1+it.root.attainedService/d.cfg.ServiceUnit)
	penalty += tenantPenaltySeconds * d.tenants.Excess(it.Tenant)
	key := arrival*ageing + penalty/weight
	if it.Deadline.IsZero() {
		return key
	}
	latest := it.Deadline.Sub(d.keyEpoch).Seconds() - d.expectedRunSeconds(it) - deadlineMarginSeconds
	return min(key, latest*ageing)
}

// expectedRunSeconds estimates how long a call runs once it has a slot.
func (d *Dispatcher) expectedRunSeconds(it *item) float64 {
	missing := it.PromptTokens
	if len(it.program.prefixes) > 0 {
		missing -= min(it.HistoryTokens, it.PromptTokens)
	}
	return float64(missing)/d.cfg.PrefillTokensPerSecond + it.expectedOutputTokens()/d.cfg.DecodeTokensPerSecond
}

// expectedOutputTokens estimates the length of a response in tokens.
func (it *item) expectedOutputTokens() float64 {
	expected := it.class.meanOutputTokens
	if it.MaxTokens > 0 {
		expected = min(expected, float64(it.MaxTokens))
	}
	return expected
}

// callContextTokens estimates the engine memory in tokens that a call needs.
func (it *item) callContextTokens() int64 { return it.PromptTokens + int64(it.expectedOutputTokens()) }

// Shares tracks the engine work of each tenant with exponential decay. The zero value is not usable; see NewShares.
type Shares struct {
	work        map[string]float64
	weights     map[string]float64
	totalWork   float64
	totalWeight float64 // Total weight of the tenants in work.
	decayedAt   time.Time
}

// shareHalfLife is the time after which the weight of past work in a tenant's share is one half.
const shareHalfLife = 30 * time.Second

// negligibleWork is the decayed work, in prefill tokens, below which a tenant counts as idle.
const negligibleWork = 100.0

// NewShares returns shares of equal weights.
func NewShares() *Shares {
	s := &Shares{}
	s.init()
	return s
}

func (s *Shares) init() {
	s.work = map[string]float64{}
	s.weights = map[string]float64{}
}

func (s *Shares) weightOf(tenant string) float64 {
	if w := s.weights[tenant]; w > 0 {
		return w
	}
	return 1
}

func (s *Shares) setWeight(tenant string, weight float64) {
	if _, ok := s.work[tenant]; ok {
		s.totalWeight -= s.weightOf(tenant)
		defer func() { s.totalWeight += s.weightOf(tenant) }()
	}
	if weight <= 0 {
		delete(s.weights, tenant)
		return
	}
	s.weights[tenant] = weight
}

// Add adds work of a tenant, in prefill tokens or in milliseconds of a slot.
func (s *Shares) Add(now time.Time, tenant string, work float64) {
	s.decay(now)
	if _, ok := s.work[tenant]; !ok {
		s.totalWeight += s.weightOf(tenant)
	}
	s.work[tenant] += work
	s.totalWork += work
}

// decay halves the work of all tenants for each half-life that has elapsed.
func (s *Shares) decay(now time.Time) {
	if s.decayedAt.IsZero() {
		s.decayedAt = now
	}
	for now.Sub(s.decayedAt) >= shareHalfLife && len(s.work) > 0 {
		s.decayedAt = s.decayedAt.Add(shareHalfLife)
		s.halve()
	}
	if now.Sub(s.decayedAt) >= shareHalfLife {
		s.decayedAt = now
	}
}

func (s *Shares) halve() {
	s.totalWork = 0
	for tenant, tenantWork := range s.work {
		tenantWork /= 2
		if tenantWork < negligibleWork {
			s.totalWeight -= s.weightOf(tenant)
			delete(s.work, tenant)
			continue
		}
		s.work[tenant] = tenantWork
	}
	for _, tenantWork := range s.work {
		s.totalWork += tenantWork
	}
}

// Excess returns by how much a tenant exceeds its share: 0 at or below the share, 1 at twice the share.
func (s *Shares) Excess(tenant string) float64 {
	tenantWork := s.work[tenant]
	if tenantWork == 0 || len(s.work) < 2 {
		return 0
	}
	share := tenantWork / s.totalWork
	entitled := s.weightOf(tenant) / s.totalWeight
	return min(max(share/entitled-1, 0), maxTenantExcess)
}
