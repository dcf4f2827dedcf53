package capacity

import (
	"context"
	"sync"
	"time"

	"jackdawbay.dev/daemon/clock"
)

// openLoopResult holds the results of an open-loop load.
type openLoopResult struct {
	mu              sync.Mutex
	latenciesMillis []float64 // Measured from the scheduled start of a call.
	failures        map[string]int
	totalValue      int64 // Sum of the values that the calls returned, such as tokens.
}

// runOpenLoop starts calls at a fixed rate, independently of their responses, and waits for the last one.
func runOpenLoop(ctx context.Context, rate float64, duration time.Duration, call func(i int) (int64, error)) *openLoopResult {
	r := &openLoopResult{failures: map[string]int{}}
	interval := time.Duration(float64(time.Second) / rate)
	start := time.Now()
	var group sync.WaitGroup
	for i := 0; ; i++ {
		due := start.Add(time.Duration(i) * interval)
		if due.Sub(start) >= duration || !clock.Sleep(ctx, time.Until(due)) {
			break
		}
		group.Go(func() {
			value, err := call(i)
			r.record(due, value, err)
		})
	}
	group.Wait()
	return r
}

func (r *openLoopResult) record(due time.Time, value int64, err error) {
	ms := milliseconds(time.Since(due))
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.failures[errorKind(err)]++
		return
	}
	r.latenciesMillis = append(r.latenciesMillis, ms)
	r.totalValue += value
}
