package node

import (
	"fmt"
	"net/http"
	"net/http/pprof"
	"runtime"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
)

// ready reports whether callers can be served: the daemon is in the roster, has the records and does not stop.
func (n *Node) ready() bool { return n.agent.IsMember() && n.config.IsLoaded() && !n.agent.IsLeaving() }

func (n *Node) opsHandler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, "ok")
	})
	m.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = fmt.Fprintln(w, "not ready")
			return
		}
		_, _ = fmt.Fprintln(w, "ready")
	})
	m.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.writeGauges()
		n.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	m.HandleFunc("/debug/pprof/profile", pprof.Profile)
	m.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index)
	return m
}

// writeGauges copies the present state into the metrics.
func (n *Node) writeGauges() {
	set := func(name string, v float64) { n.metrics.GetOrCreateGauge(name, nil).Set(v) }
	r := n.agent.Roster()
	set("jackdawbay_roster_term", float64(r.Term))
	set("jackdawbay_roster_members", float64(len(r.Members)))
	set("jackdawbay_shards_owned", float64(len(r.ShardsOf(n.agent.Incarnation()))))
	set("jackdawbay_platform_writes_total", float64(n.store.Stats.Writes.Load()))
	set("jackdawbay_platform_reads_total", float64(n.store.Stats.Reads.Load()))
	set("jackdawbay_platform_watches_total", float64(n.store.Stats.Watches.Load()))
	set("jackdawbay_platform_bytes_out_total", float64(n.store.Stats.BytesOut.Load()))
	set("jackdawbay_platform_bytes_in_total", float64(n.store.Stats.BytesIn.Load()))
	set("jackdawbay_peer_bytes_total", float64(n.peers.Bytes()))
	set("jackdawbay_goroutines", float64(runtime.NumGoroutine()))
	for _, s := range n.pool.Stats() {
		set(fmt.Sprintf("jackdawbay_queue_waiting{group=%q}", s.Group), float64(s.Waiting))
		set(fmt.Sprintf("jackdawbay_slots_granted{group=%q}", s.Group), float64(s.Granted))
	}
}
