package ingress

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
)

// Metrics holds the histograms and counters of the ingress. Durations are in seconds.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns metrics that are registered in set.
func NewMetrics(set *metrics.Set) *Metrics { return &Metrics{set: set} }

func (m *Metrics) observeDuration(name, tenant, class string, d time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`%s{tenant=%q,class=%q}`, name, tenant, class)).Update(d.Seconds())
}

func (m *Metrics) addToCounter(name, tenant, class string, n int64) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{tenant=%q,class=%q}`, name, tenant, class)).AddInt64(n)
}

func (m *Metrics) observeAdmission(tenant, class string, d time.Duration) {
	m.observeDuration("jackdawbay_admission_seconds", tenant, class, d)
}

func (m *Metrics) observeQueueWait(tenant, class string, d time.Duration) {
	m.observeDuration("jackdawbay_queue_wait_seconds", tenant, class, d)
}

func (m *Metrics) observeFirstToken(tenant, class string, d time.Duration) {
	m.observeDuration("jackdawbay_time_to_first_token_seconds", tenant, class, d)
}

func (m *Metrics) observeTokenInterval(tenant, class string, d time.Duration) {
	m.observeDuration("jackdawbay_time_between_tokens_seconds", tenant, class, d)
}

func (m *Metrics) observeCall(tenant, class string, d time.Duration) {
	m.observeDuration("jackdawbay_call_seconds", tenant, class, d)
}

// ObserveProgram records the duration of a program, from its creation to its newest call, and its number of turns.
func (m *Metrics) ObserveProgram(tenant, class string, duration time.Duration, turns int) {
	m.observeDuration("jackdawbay_program_seconds", tenant, class, duration)
	m.addToCounter("jackdawbay_program_turns_total", tenant, class, int64(turns))
}

// addCrossRegionBytes counts the bytes of a call that crossed between regions.
func (m *Metrics) addCrossRegionBytes(tenant, class string, bytes int64) {
	m.addToCounter("jackdawbay_cross_region_bytes_total", tenant, class, bytes)
}

func (m *Metrics) countRejection(tenant string, kind errkind.Kind) {
	name := fmt.Sprintf(`jackdawbay_refusals_total{tenant=%q,kind=%q}`, tenant, string(kind))
	m.set.GetOrCreateCounter(name).Inc()
}

// addUsage counts the tokens of a call. Wasted cache tokens are the tokens of the history that the engine had to
// recompute because they were not in its cache.
func (m *Metrics) addUsage(tenant, class string, u caller.Usage, historyTokens int64) {
	m.addToCounter("jackdawbay_prompt_tokens_total", tenant, class, u.PromptTokens)
	m.addToCounter("jackdawbay_cached_tokens_total", tenant, class, u.CachedTokens)
	m.addToCounter("jackdawbay_completion_tokens_total", tenant, class, u.CompletionTokens)
	m.addToCounter("jackdawbay_wasted_cache_tokens_total", tenant, class, max(min(historyTokens, u.PromptTokens)-u.CachedTokens, 0))
}
