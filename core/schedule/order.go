package schedule

import (
	"math"
	"time"
)

// Constants of the queue order and of the estimates.
const (
	// decodeWeight is the engine work of one generated token in prefill tokens, in a usual batch.
	decodeWeight = 12.0
	// spentToService converts a program's spent tokens to engine work. Most prompt tokens are cached, so it is below one.
	spentToService = 0.25
	// averageStep is the weight of a new value in a moving average.
	averageStep = 0.1
	// basePenalty is the part of the penalty in seconds that every ticket has, so that class weights order new programs.
	basePenalty = 2.0
	// tenantPenalty is the penalty in seconds of a tenant that uses twice its share.
	tenantPenalty = 10.0
	// maxTenantExcess bounds the tenant penalty, and with it the longest wait.
	maxTenantExcess = 3.0
	// deadlineMargin is the part of the time before a deadline that is kept in reserve, in seconds.
	deadlineMargin = 2.0
	defaultOutput  = 300.0 // Tokens.
	defaultService = 8.0   // Seconds.
)

func average(old, value float64) float64 { return old + averageStep*(value-old) }

// key returns the place of a ticket in the queue, in seconds of ageing. Because every ticket ages at the same rate, the
// order of two tickets does not change while they wait, and a heap holds it.
func (d *Dispatcher) key(it *item) float64 {
	ageing := max(d.cfg.Placement.AgeingPerSecond, minAgeing)
	arrival := it.Enqueued.Sub(d.epoch).Seconds()
	if !d.cfg.on(ServiceOrder) {
		return arrival * ageing
	}
	weight := it.class.limit.Weight
	if weight <= 0 {
		weight = 1
	}
	penalty := basePenalty + d.cfg.ServicePenalty*math.Log2(1+it.root.service/d.cfg.ServiceUnit)
	penalty += tenantPenalty * d.tenants.excess(it.Tenant)
	key := arrival*ageing + penalty/weight
	if it.Deadline.IsZero() {
		return key
	}
	latest := it.Deadline.Sub(d.epoch).Seconds() - d.runSeconds(it) - deadlineMargin
	return min(key, latest*ageing)
}

// runSeconds estimates how long a call runs without waiting.
func (d *Dispatcher) runSeconds(it *item) float64 {
	missing := it.PromptTokens
	if len(it.program.prefixes) > 0 {
		missing -= min(it.HistoryTokens, it.PromptTokens)
	}
	return float64(missing)/d.cfg.PrefillTokensPerSecond + it.output()/d.cfg.DecodeTokensPerSecond
}

// output estimates the length of a response in tokens.
func (it *item) output() float64 {
	expected := it.class.output
	if it.MaxTokens > 0 {
		expected = min(expected, float64(it.MaxTokens))
	}
	return expected
}

// context is the engine memory in tokens that a call is expected to need.
func (it *item) context() int64 { return it.PromptTokens + int64(it.output()) }

// tenantShares follows the engine work of each tenant with exponential decay.
type tenantShares struct {
	used    map[string]float64
	weights map[string]float64
	total   float64
	weight  float64 // Sum of the weights of the tenants in used.
	decayed time.Time
}

// shareHalfLife is the time after which work counts half in a tenant's share.
const shareHalfLife = 30 * time.Second

// negligibleWork is the decayed work below which a tenant counts as idle, in prefill tokens.
const negligibleWork = 100.0

func (s *tenantShares) init() {
	s.used = map[string]float64{}
	s.weights = map[string]float64{}
}

func (s *tenantShares) weightOf(tenant string) float64 {
	if w := s.weights[tenant]; w > 0 {
		return w
	}
	return 1
}

func (s *tenantShares) setWeight(tenant string, weight float64) {
	if _, ok := s.used[tenant]; ok {
		s.weight -= s.weightOf(tenant)
		defer func() { s.weight += s.weightOf(tenant) }()
	}
	if weight <= 0 {
		delete(s.weights, tenant)
		return
	}
	s.weights[tenant] = weight
}

func (s *tenantShares) add(now time.Time, tenant string, work float64) {
	s.decay(now)
	if _, ok := s.used[tenant]; !ok {
		s.weight += s.weightOf(tenant)
	}
	s.used[tenant] += work
	s.total += work
}

// decay halves the work of all tenants for each half-life that has passed.
func (s *tenantShares) decay(now time.Time) {
	if s.decayed.IsZero() {
		s.decayed = now
	}
	for now.Sub(s.decayed) >= shareHalfLife && len(s.used) > 0 {
		s.decayed = s.decayed.Add(shareHalfLife)
		s.halve()
	}
	if now.Sub(s.decayed) >= shareHalfLife {
		s.decayed = now
	}
}

func (s *tenantShares) halve() {
	s.total = 0
	for tenant, used := range s.used {
		used /= 2
		if used < negligibleWork {
			s.weight -= s.weightOf(tenant)
			delete(s.used, tenant)
			continue
		}
		s.used[tenant] = used
	}
	for _, used := range s.used {
		s.total += used
	}
}

// excess returns by how much a tenant exceeds its share: 0 at or below it, 1 at twice the share.
func (s *tenantShares) excess(tenant string) float64 {
	used := s.used[tenant]
	if used == 0 || len(s.used) < 2 {
		return 0
	}
	share := used / s.total
	entitled := s.weightOf(tenant) / s.weight
	return min(max(share/entitled-1, 0), maxTenantExcess)
}
