package node

import (
	"fmt"
	"net/http"
	"net/http/pprof"
	"runtime"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
)

// isReady reports whether callers can be served: the daemon is in the roster, has loaded the records and is not
// stopping.
func (n *Node) isReady() bool {
	return n.agent.IsMember() && n.config.IsLoaded() && !n.agent.IsLeaving()
}

func (n *Node) newOpsHandler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "ok")
	})
	m.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !n.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = fmt.Fprintln(w, "not ready")
			return
		}
		_, _ = fmt.Fprintln(w, "ready")
	})
	m.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.updateGauges()
		n.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	m.HandleFunc("/debug/pprof/profile", pprof.Profile)
	m.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
	return m
}

// updateGauges sets the gauges to the current state.
func (n *Node) updateGauges() {
	setGauge := func(name string, v float64) { n.metrics.GetOrCreateGauge(name, nil).Set(v) }
	r := n.agent.Roster()
	setGauge("jackdawbay_roster_term", float64(r.Term))
	setGauge("jackdawbay_roster_members", float64(len(r.Members)))
	setGauge("jackdawbay_shards_owned", float64(len(r.ShardsOf(n.agent.Incarnation()))))
	setGauge("jackdawbay_platform_writes_total", float64(n.store.Stats.Writes.Load()))
	setGauge("jackdawbay_platform_reads_total", float64(n.store.Stats.Reads.Load()))
	setGauge("jackdawbay_platform_watches_total", float64(n.store.Stats.Watches.Load()))
	setGauge("jackdawbay_platform_bytes_out_total", float64(n.store.Stats.BytesOut.Load()))
	setGauge("jackdawbay_platform_bytes_in_total", float64(n.store.Stats.BytesIn.Load()))
	setGauge("jackdawbay_peer_bytes_total", float64(n.peers.Bytes()))
	setGauge("jackdawbay_goroutines", float64(runtime.NumGoroutine()))
	for _, s := range n.pool.Stats() {
		setGauge(fmt.Sprintf("jackdawbay_queue_waiting{group=%q}", s.Group), float64(s.Waiting))
		setGauge(fmt.Sprintf("jackdawbay_slots_granted{group=%q}", s.Group), float64(s.Granted))
	}
}
