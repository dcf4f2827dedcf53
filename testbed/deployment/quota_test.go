package deployment

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"jackdawbay.dev/core/replica"
	"jackdawbay.dev/core/route"
	"jackdawbay.dev/daemon/quota"
	"jackdawbay.dev/daemon/transport"
)

// view returns the view of the replicas in the store.
func (d *Deployment) view() (v replica.View) {
	if o, ok := d.Store.Get("jackdawbay-views", "main"); ok {
		_ = json.Unmarshal(o.Spec, &v) // An invalid view has no members, and the test fails.
	}
	return v
}

// Guards against a limit that real replicas exceed in a window, or that they no longer issue, while they are killed, restarted
// and replaced. Each client stands for a gateway.
func TestLimitWhileReplicasFail(t *testing.T) {
	options := defaultOptions()
	options.Gateways, options.Replicas = 1, 4
	d := startDeployment(t, options)
	o := &route.Organisation{Name: "o", RatePerSecond: 200, Burst: 100}
	const clients, interval, duration = 6, 10 * time.Millisecond, 14 * time.Second
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	var mu sync.Mutex
	var admitted []time.Duration
	startedAt := time.Now()
	var running sync.WaitGroup
	for i := range clients {
		c := quota.NewClient(t.Context(), quota.Config{
			VM: fmt.Sprint("client-", i), DataCentre: []string{"zone-a", "zone-b", "zone-c"}[i%3], Region: "r", RegionOf: func(string) string { return "r" },
			ViewOf: func(string) replica.View { return d.view() }, Lifetime: 200 * time.Millisecond,
			Client: transport.NewClient(transport.Options{DialTimeout: time.Second}), Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(),
		})
		running.Add(1)
		go func() {
			defer running.Done()
			tick := time.NewTicker(interval)
			defer tick.Stop()
			var requests sync.WaitGroup
			defer requests.Wait()
			for ctx.Err() == nil {
				<-tick.C
				requests.Add(1)
				go func() {
					defer requests.Done()
					if _, err := c.Acquire(ctx, o, 1); err == nil {
						mu.Lock()
						admitted = append(admitted, time.Since(startedAt))
						mu.Unlock()
					}
				}()
			}
		}()
	}
	members := d.CurrentMembers()
	time.Sleep(3 * time.Second)
	d.KillVM(members[0])
	must.NoError(t, d.StartVM(members[0]))
	time.Sleep(3 * time.Second)
	d.KillVM(members[1])
	must.NoError(t, d.WipeDisk(members[1]))
	must.NoError(t, d.StartVM(members[1]))
	time.Sleep(4 * time.Second)
	must.NoError(t, d.FreezeVM(members[2]))
	time.Sleep(1500 * time.Millisecond)
	must.NoError(t, d.ThawVM(members[2]))
	running.Wait()

	const window = 5 * time.Second
	allowed := int((o.RatePerSecond*window.Seconds()+o.Burst)*1.1 + 20)
	slices.Sort(admitted)
	first, most, late := 0, 0, 0
	for i, at := range admitted {
		for at-admitted[first] >= window {
			first++
		}
		most = max(most, i-first+1)
		if at > 3*time.Second {
			late++
		}
	}
	t.Logf("at most %d of %d allowed requests in a window; %.2f of the rate from 3 s on", most, allowed, float64(late)/(o.RatePerSecond*(duration-3*time.Second).Seconds()))
	test.LessEq(t, allowed, most)
	test.Greater(t, 0.4*o.RatePerSecond*(duration-3*time.Second).Seconds(), float64(late))
}
