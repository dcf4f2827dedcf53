package ingress

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
)

// Metrics are the histograms and counters of the ingress. Durations are in seconds.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns metrics that are written with the set.
func NewMetrics(set *metrics.Set) *Metrics { return &Metrics{set: set} }

func (m *Metrics) observe(name, tenant, class string, d time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`%s{tenant=%q,class=%q}`, name, tenant, class)).Update(d.Seconds())
}

func (m *Metrics) add(name, tenant, class string, n int64) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{tenant=%q,class=%q}`, name, tenant, class)).AddInt64(n)
}

func (m *Metrics) admitted(tenant, class string, d time.Duration) {
	m.observe("jackdawbay_admission_seconds", tenant, class, d)
}

func (m *Metrics) dispatched(tenant, class string, d time.Duration) {
	m.observe("jackdawbay_queue_wait_seconds", tenant, class, d)
}

func (m *Metrics) firstToken(tenant, class string, d time.Duration) {
	m.observe("jackdawbay_time_to_first_token_seconds", tenant, class, d)
}

func (m *Metrics) nextToken(tenant, class string, d time.Duration) {
	m.observe("jackdawbay_time_between_tokens_seconds", tenant, class, d)
}

func (m *Metrics) finished(tenant, class string, d time.Duration) {
	m.observe("jackdawbay_call_seconds", tenant, class, d)
}

// ProgramEnded records the latency of a whole program: from its creation to its newest call.
func (m *Metrics) ProgramEnded(tenant, class string, took time.Duration, turns int) {
	m.observe("jackdawbay_program_seconds", tenant, class, took)
	m.add("jackdawbay_program_turns_total", tenant, class, int64(turns))
}

// crossRegion counts bytes of a call that crossed between regions.
func (m *Metrics) crossRegion(tenant, class string, bytes int64) {
	m.add("jackdawbay_cross_region_bytes_total", tenant, class, bytes)
}

func (m *Metrics) refused(tenant string, kind errkind.Kind) {
	name := fmt.Sprintf(`jackdawbay_refusals_total{tenant=%q,kind=%q}`, tenant, string(kind))
	m.set.GetOrCreateCounter(name).Inc()
}

// usage counts tokens. Wasted tokens are those of the history that the engine had to compute again.
func (m *Metrics) usage(tenant, class string, u caller.Usage, history int64) {
	m.add("jackdawbay_prompt_tokens_total", tenant, class, u.PromptTokens)
	m.add("jackdawbay_cached_tokens_total", tenant, class, u.CachedTokens)
	m.add("jackdawbay_completion_tokens_total", tenant, class, u.CompletionTokens)
	m.add("jackdawbay_wasted_cache_tokens_total", tenant, class, max(min(history, u.PromptTokens)-u.CachedTokens, 0))
}
