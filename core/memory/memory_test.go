package memory

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

var start = time.Unix(1_000_000, 0)

func testConfig() Config {
	return Config{Bytes: 1000, ReservedBytes: 200, SmallBytes: 50, StalledAfter: time.Second, ProgressBytes: 10}
}

// Guards against decisions that grant more than the limit, let a client with progress give way, or let a client keep its
// memory that has stopped sending.
func TestReserve(t *testing.T) {
	type holder struct {
		bytes    int64
		progress time.Duration // Time of the last progress after the start.
		received int64         // Bytes of that progress.
	}
	now := start.Add(10 * time.Second)
	for _, c := range []struct {
		name       string
		others     []holder
		held       int64
		reserve    int64
		isResponse bool
		want       Decision
		evicted    []int
	}{
		{name: "fits", others: []holder{{bytes: 700}}, reserve: 100, want: Granted},
		{name: "large holder may not use the reserved part", others: []holder{{700, 10 * time.Second, 10}}, reserve: 101, want: Refused},
		{name: "small holder may use the reserved part", others: []holder{{900, 10 * time.Second, 10}}, reserve: 50, want: Granted},
		{name: "response may use the reserved part", others: []holder{{700, 10 * time.Second, 10}}, reserve: 300, isResponse: true, want: Granted},
		{name: "holder that became large", others: []holder{{770, 10 * time.Second, 10}}, held: 30, reserve: 30, want: Refused},
		{name: "longest silent gives way", others: []holder{{400, 5 * time.Second, 10}, {400, 4 * time.Second, 10}}, reserve: 100, want: Wait, evicted: []int{1}},
		{name: "several give way", others: []holder{{400, 5 * time.Second, 10}, {400, 4 * time.Second, 10}}, reserve: 500, want: Wait, evicted: []int{0, 1}},
		{name: "progress keeps memory", others: []holder{{400, 9500 * time.Millisecond, 10}, {400, 4 * time.Second, 10}}, reserve: 500, want: Refused},
		{name: "single bytes are no progress", others: []holder{{800, 9500 * time.Millisecond, 9}}, reserve: 100, want: Wait, evicted: []int{0}},
		{name: "small ones do not give way to a large one", others: []holder{{50, 0, 10}, {750, 10 * time.Second, 10}}, reserve: 60, want: Refused},
		{name: "small ones give way to a small one", others: []holder{{50, 0, 10}, {950, 10 * time.Second, 10}}, reserve: 40, want: Wait, evicted: []int{0}},
		{name: "holder without bytes does not give way", others: []holder{{0, 0, 10}, {800, 10 * time.Second, 10}}, reserve: 100, want: Refused},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := New(testConfig())
			evicted := map[int]bool{}
			holders := make([]*Holder, len(c.others))
			for i, o := range c.others {
				h := a.Open()
				h.StartReceiving(start, func() { evicted[i] = true })
				h.Add(o.bytes)
				holders[i] = h
			}
			for at := time.Duration(0); at <= 10*time.Second; at += 500 * time.Millisecond {
				for i, o := range c.others {
					if o.progress == at {
						holders[i].Received(start.Add(at), o.received)
					}
				}
			}
			asking := a.Open()
			asking.Add(c.held)
			decide := asking.Reserve
			if c.isResponse {
				decide = asking.ReserveResponse
			}
			used := a.Usage().Bytes
			test.EqOp(t, c.want, decide(now, c.reserve))
			must.EqOp(t, len(c.evicted), len(evicted))
			for _, i := range c.evicted {
				test.True(t, evicted[i])
				test.True(t, holders[i].StopReceiving())
				holders[i].Close()
			}
			if c.want == Granted {
				used += c.reserve
			}
			if c.want == Wait {
				test.EqOp(t, Granted, decide(now, c.reserve), test.Sprint("after the others have given way"))
			} else {
				test.EqOp(t, used, a.Usage().Bytes)
			}
		})
	}
}

// Guards against further holders that give way while the memory of the first is about to be released.
func TestLeavingBytesCount(t *testing.T) {
	a := New(testConfig())
	evicted := 0
	for range 2 {
		h := a.Open()
		h.StartReceiving(start, func() { evicted++ })
		h.Add(400)
	}
	now := start.Add(time.Minute)
	test.EqOp(t, Wait, a.Open().Reserve(now, 100))
	test.EqOp(t, Wait, a.Open().Reserve(now, 100))
	test.EqOp(t, 1, evicted)
	test.True(t, a.EvictStalled(now))
	test.False(t, a.EvictStalled(now))
	test.EqOp(t, 2, evicted)
}

// Guards against waiting for a release that has happened, and against memory that is not returned.
func TestReleased(t *testing.T) {
	a := New(testConfig())
	h := a.Open()
	must.EqOp(t, Granted, h.Reserve(start, 800))
	released := a.Released()
	h.Release(300)
	select {
	case <-released:
	default:
		t.Fatal("the release is not signalled")
	}
	h.Close()
	h.Close()
	test.EqOp(t, 0, a.Usage().Bytes)
}

// Guards against a nil account, which has no limit.
func TestNoAccount(t *testing.T) {
	var a *Account
	h := a.Open()
	test.EqOp(t, Granted, h.Reserve(start, 1<<40))
	h.StartReceiving(start, nil)
	h.Received(start, 1)
	test.False(t, h.StopReceiving())
	h.Add(1)
	h.Release(1)
	h.Close()
	test.False(t, a.EvictStalled(start))
}

// Guards against sequences of operations after which the account is above its limit, or not empty without holders.
func TestRandomOperations(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		a := New(testConfig())
		now := start
		var open []*Holder
		for range 500 {
			now = now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
			switch i := random.IntN(10); {
			case i < 2:
				h := a.Open()
				h.StartReceiving(now, func() {})
				open = append(open, h)
			case len(open) == 0:
			case i < 6:
				_ = open[random.IntN(len(open))].Reserve(now, random.Int64N(200)) // Any decision is valid.
			case i < 8:
				open[random.IntN(len(open))].Received(now, random.Int64N(20))
			default:
				k := random.IntN(len(open))
				open[k].Close()
				open = append(open[:k], open[k+1:]...)
			}
			must.LessEq(t, 1000, a.Usage().Bytes, must.Sprintf("seed %d", seed))
		}
		for _, h := range open {
			h.Close()
		}
		must.EqOp(t, Usage{Evicted: a.evicted, Refused: a.refused}, a.Usage(), must.Sprintf("seed %d", seed))
		must.EqOp(t, 0, a.leaving, must.Sprintf("seed %d", seed))
	}
}

// BenchmarkReserveRefused measures a decision with 600 holders that all have stopped sending and are small.
func BenchmarkReserveRefused(b *testing.B) {
	cfg := testConfig()
	a := New(cfg)
	for range 600 {
		h := a.Open()
		h.StartReceiving(start, func() {})
		h.Add(2)
	}
	h := a.Open()
	for b.Loop() {
		if h.Reserve(start.Add(time.Minute), 1000) != Refused {
			b.Fatal("not refused")
		}
	}
}

// BenchmarkReserveGranted measures a reservation and its release without shortage.
func BenchmarkReserveGranted(b *testing.B) {
	h := New(testConfig()).Open()
	now := start
	for b.Loop() {
		h.Reserve(now, 10)
		h.Release(10)
	}
}

// Guards against bytes that are returned twice, after which others get more than there is.
func TestReleaseAfterClose(t *testing.T) {
	a := New(testConfig())
	h := a.Open()
	must.EqOp(t, Granted, h.Reserve(start, 100))
	h.Close()
	h.Release(100)
	test.EqOp(t, 0, a.Usage().Bytes)
}

// Guards against a client that does not take its response and keeps the memory that others need, and against one that does and gives
// way.
func TestStoppedReaderGivesWay(t *testing.T) {
	for name, stopped := range map[string]bool{"reads": false, "has stopped": true} {
		t.Run(name, func(t *testing.T) {
			a := New(testConfig())
			evicted := false
			reader := a.Open()
			must.EqOp(t, Granted, reader.ReserveResponse(start, 900))
			reader.StartSending(start, func() { evicted = true })
			test.EqOp(t, 0, a.Usage().Receiving, test.Sprint("its body has arrived"))
			if !stopped {
				reader.StopSending()
				reader.StartSending(start.Add(1500*time.Millisecond), func() { evicted = true })
			}
			want := Refused
			if stopped {
				want = Wait
			}
			test.EqOp(t, want, a.Open().Reserve(start.Add(2*time.Second), 200))
			test.EqOp(t, stopped, evicted)
		})
	}
}
