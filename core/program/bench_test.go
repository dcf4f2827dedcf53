package program

import (
	"fmt"
	"runtime"
	"testing"

	"jackdawbay.dev/api/caller"
)

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkProgramMemory reports the memory of a running program with one call in flight, without its history and
// without the journal's backlog. The target is below 2 KB.
func BenchmarkProgramMemory(b *testing.B) {
	const programs = 20_000
	for b.Loop() {
		o := openOwner(func(c *Config) { c.MaxPrograms, c.Journal.MaxBacklogBytes = programs, 1<<30 })
		before := heapBytes()
		for i := 0; o.ProgramCount() < programs; i++ {
			startProgramWithOrder(b, o, fmt.Sprintf("%s.01KAGT4X5Y6Z7ABCDEFGHJ%07d", testDC, i))
		}
		flush(o)
		b.ReportMetric(float64(heapBytes()-before)/programs, "B/program")
		runtime.KeepAlive(o)
	}
}

// startProgramWithOrder starts a program with a non-idempotent call in flight, if the id belongs to the test shard.
func startProgramWithOrder(b *testing.B, o *Owner, id string) {
	if !o.Owns(id) {
		return
	}
	req := caller.CreateProgram{Class: "captain", Model: "kit-agent"}
	if _, err := o.Create(testStart, testTenant, id, req, Limits{BudgetTokens: 1000}); err != nil {
		b.Fatal(err)
	}
	if _, err := o.Admit(testStart, request(id, serviceCall(o, id, "key-"+id), "attempt-"+id)); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkAdmitComplete runs one model call of a program with 400 turns.
func BenchmarkAdmitComplete(b *testing.B) {
	o, id := openOwner(func(c *Config) { c.Journal.MaxBacklogBytes = 1 << 40 }), testID(0)
	lim := Limits{BudgetTokens: 1 << 50}
	if _, err := o.Create(testStart, testTenant, id, caller.CreateProgram{}, lim); err != nil {
		b.Fatal(err)
	}
	p := o.programs[id]
	for i := 0; b.Loop(); i++ {
		if len(p.turns) > 400 {
			p.turns, p.digests, p.pendingTurns = p.turns[:400], p.digests[:400], nil
			o.writer = openOwner(func(c *Config) { c.Journal.MaxBacklogBytes = 1 << 40 }).writer
		}
		c := modelCall(o, id, fmt.Sprint(i))
		attempt := "a" + c.CallKey
		if _, err := o.Admit(testStart, request(id, c, attempt)); err != nil {
			b.Fatal(err)
		}
		if _, err := o.Complete(testStart, completion(id, c, attempt)); err != nil {
			b.Fatal(err)
		}
	}
}
