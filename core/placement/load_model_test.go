package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"jackdawbay.dev/core/admission"
)

// loadModel is a small in-memory model of many gateways in front of engines, for tests of the decision alone. Each gateway is a
// Group that sees only its own requests and the loads in its own responses. An engine has slots, a FIFO queue, a prefill
// speed, a prefix cache with a token limit, and faults.
type loadModel struct {
	gateways, engines int
	shares            []float64     // Traffic shares of the gateways, ascending and cumulative.
	perSecond         float64       // First turns per second; each program has programTurns turns.
	duration          time.Duration // Simulated time.
	hotShare          float64       // Share of the programs that use shared prompt 0; the rest is spread by a power law.
	seed              uint64
	choose            func(g *Group, now time.Time, r Request) (Choice, bool)
	newGroup          func() *Group
	queued            bool          // Gateways have a queue.
	timeout           time.Duration // Time that a caller waits for a turn; zero is unlimited. It returns after a rejection.
	reportsSlowdown   bool          // Engines report the time that work takes.
	faultOf           func(engine int, at time.Duration) fault
}

// fault is the state of an engine at a time.
type fault struct {
	slowdown float64 // Zero is the usual speed.
	failing  float64 // Share of the requests that fail.
	down     bool
}

// Sizes of the model. They follow the users' deployments, scaled so that a run takes a second or two.
const (
	programTurns      = 5
	sharedPrompts     = 40
	modelPrefill      = 100.0 // Tokens per millisecond.
	modelDecodeMS     = 350.0
	modelQueue        = 24
	modelCacheTokens  = 150_000
	modelMaxSends     = 6
	modelRetryAfter   = 250 * time.Millisecond // For a request that no engine accepts.
	modelThinkMS      = 300.0
	modelFailureMS    = 20.0
	modelMeasuredFrom = 5 * time.Second // The caches are filled and the gateways have reports.
)

type modelRequest struct {
	gateway   int
	session   string
	turn      int
	parts     []PromptPart
	shared    int // Number of shared parts at the start.
	excluded  map[string]bool
	sends     int
	arrivedAt time.Time
	sentAt    time.Time
	engine    int
	waiter    uint64
	returned  bool // The caller has come back after a rejection.
	tieBreak  float64
}

type modelEngine struct {
	slots, running int
	queue          []*modelRequest
	cache          map[uint64]int64 // Time of the last use by prefix.
	cacheSize      map[uint64]int64
	cachedTokens   int64
	busy           float64 // Integral of running requests in milliseconds.
	occupied       float64 // Integral of running and waiting requests.
	lastChange     time.Time
	requests       int
	generation     int // Counts the outages, which lose the running requests.
	wasDown        bool
}

type modelEvent struct {
	at  time.Time
	seq int
	run func(now time.Time)
}

type modelEvents []modelEvent

func (e modelEvents) Len() int { return len(e) }
func (e modelEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e modelEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)   { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// loadResult is the outcome of a run. Loads are of the measured time.
type loadResult struct {
	completed, failedSends, rejections, lost int
	promptTokens, sharedReadAgain            int64
	busiest                                  float64 // Slot time of the busiest engine relative to the mean.
	perEngine                                []int   // Requests by engine.
	p50, p95, p99                            time.Duration

	// With a timeout.
	inTime, late, programs     int     // Turns complete within the timeout and after it, and complete programs.
	shed, shedWithFreeSlots    int     // Rejections by gateways, and those while an engine had a free slot.
	engineQueue                float64 // Mean number of requests that wait at an engine, for each slot.
	longestHeld                time.Duration
	firstTurns, laterTurns     int // Turns complete in time.
	firstOffered, laterOffered int
}

func (r loadResult) readAgainShare() float64 {
	return float64(r.sharedReadAgain) / float64(max(r.promptTokens, 1))
}

func (r loadResult) String() string {
	return fmt.Sprintf("read again %.3f, busiest %.2f, failed sends %d, rejections %d, lost %d, completed %d, p50 %d p95 %d p99 %d ms",
		r.readAgainShare(), r.busiest, r.failedSends, r.rejections, r.lost, r.completed, r.p50.Milliseconds(), r.p95.Milliseconds(), r.p99.Milliseconds())
}

type modelRun struct {
	loadModel
	random    *rand.Rand
	events    modelEvents
	seq       int
	groups    []*Group
	queues    []*admission.Queue
	waiting   []map[uint64]*modelRequest
	waiters   uint64
	state     []*modelEngine
	read      map[uint64]bool // Shared prefixes that some engine has read.
	result    loadResult
	latencies []time.Duration
}

func (m loadModel) run() loadResult {
	r := &modelRun{loadModel: m, random: rand.New(rand.NewPCG(m.seed, 7)), read: map[uint64]bool{}}
	var list []Upstream
	for i := range m.engines {
		slots := 8 + i%5
		r.state = append(r.state, &modelEngine{slots: slots, cache: map[uint64]int64{}, cacheSize: map[uint64]int64{}, lastChange: startTime})
		list = append(list, Upstream{ID: fmt.Sprint("u", i), Address: fmt.Sprint(i), Slots: slots, RoundTrip: time.Millisecond})
	}
	for range m.gateways {
		g := m.newGroup()
		g.Update(list)
		r.groups = append(r.groups, g)
		r.queues = append(r.queues, admission.NewQueue(r.random.Float64))
		r.waiting = append(r.waiting, map[uint64]*modelRequest{})
	}
	for at := 0.0; at < m.duration.Seconds(); at += r.random.ExpFloat64() / m.perSecond {
		r.at(startTime.Add(time.Duration(at*float64(time.Second))), r.startProgram)
	}
	for at := time.Duration(0); at < m.duration; at += 10 * time.Millisecond {
		r.at(startTime.Add(at), r.applyOutages)
	}
	r.at(startTime.Add(modelMeasuredFrom), func(now time.Time) {
		for _, e := range r.state {
			e.account(now)
			e.busy, e.occupied, e.requests = 0, 0, 0
		}
	})
	end := startTime.Add(m.duration)
	for len(r.events) > 0 && r.events[0].at.Before(end) {
		e := heap.Pop(&r.events).(modelEvent)
		e.run(e.at)
	}
	total, highest, slots, busy := 0.0, 0.0, 0, 0.0
	for _, e := range r.state {
		e.account(end)
		total += e.occupied
		busy += e.busy
		slots += e.slots
		highest = max(highest, e.occupied/float64(e.slots))
		r.result.perEngine = append(r.result.perEngine, e.requests)
	}
	r.result.busiest = highest / (total / float64(slots))
	r.result.engineQueue = (total - busy) / float64(slots) / float64((m.duration - modelMeasuredFrom).Milliseconds())
	slices.Sort(r.latencies)
	at := func(q float64) time.Duration {
		if len(r.latencies) == 0 {
			return 0
		}
		return r.latencies[int(q*float64(len(r.latencies)-1))]
	}
	r.result.p50, r.result.p95, r.result.p99 = at(0.5), at(0.95), at(0.99)
	return r.result
}

func (r *modelRun) at(t time.Time, run func(now time.Time)) {
	r.seq++
	heap.Push(&r.events, modelEvent{t, r.seq, run})
}

func (r *modelRun) afterMS(now time.Time, ms float64, run func(now time.Time)) {
	r.at(now.Add(time.Duration(ms*float64(time.Millisecond))), run)
}

func (e *modelEngine) account(now time.Time) {
	ms := float64(now.Sub(e.lastChange)) / float64(time.Millisecond)
	e.busy += ms * float64(e.running)
	e.occupied += ms * float64(e.running+len(e.queue))
	e.lastChange = now
}

func (r *modelRun) measured(now time.Time) bool { return now.Sub(startTime) >= modelMeasuredFrom }

func (r *modelRun) startProgram(now time.Time) {
	prompt := 0
	if r.random.Float64() >= r.hotShare {
		// A power law over the prompts: prompt k is used in proportion to 1/sqrt(k).
		u := r.random.Float64()
		prompt = 1 + int(u*u*(sharedPrompts-1))
	}
	at := r.random.Float64()
	gateway, _ := slices.BinarySearch(r.shares, at)
	q := &modelRequest{gateway: min(gateway, r.gateways-1), session: fmt.Sprintf("s%d", r.random.Uint64()), shared: 2}
	q.parts = []PromptPart{
		{fmt.Sprint("system", prompt), 4000 + int64(prompt*1370%8000)},
		{fmt.Sprint("tools", prompt, r.random.IntN(3)), 2000},
	}
	r.startTurn(now, q)
}

func (r *modelRun) startTurn(now time.Time, q *modelRequest) {
	next := *q
	next.turn++
	next.parts = append(slices.Clone(q.parts), PromptPart{fmt.Sprint(q.session, next.turn), 800})
	next.returned = false
	if r.measured(now) {
		if next.turn == 1 {
			r.result.firstOffered++
		} else {
			r.result.laterOffered++
		}
	}
	next.excluded, next.sends, next.arrivedAt, next.tieBreak = map[string]bool{}, 0, now, r.random.Float64()
	if r.measured(now) {
		for _, p := range next.parts {
			r.result.promptTokens += p.Tokens
		}
	}
	r.send(now, &next)
}

func (r *modelRun) send(now time.Time, q *modelRequest) {
	g := r.groups[q.gateway]
	if q.sends++; q.sends > modelMaxSends {
		r.reject(now, q, modelRetryAfter)
		return
	}
	if r.queued {
		r.enqueue(now, q)
		return
	}
	c, ok := r.choose(g, now, Request{Parts: q.parts, Excluded: q.excluded, TieBreak: q.tieBreak})
	if !ok {
		r.reject(now, q, modelRetryAfter)
		return
	}
	r.sendTo(now, q, c)
}

// sendTo sends a request to the chosen engine.
func (r *modelRun) sendTo(now time.Time, q *modelRequest, c Choice) {
	g := r.groups[q.gateway]
	g.RecordStart(now, c.Upstream.ID, q.parts)
	_, err := fmt.Sscanf(c.Upstream.ID, "u%d", &q.engine)
	if err != nil {
		panic(err)
	}
	q.sentAt = now
	r.afterMS(now, 0.5, func(now time.Time) { r.arrive(now, q) })
}

func (r *modelRun) deadline(q *modelRequest) time.Time {
	if r.timeout == 0 {
		return q.arrivedAt.Add(time.Hour)
	}
	return q.arrivedAt.Add(r.timeout)
}

// enqueue sends a request or adds it to the queue of its gateway, as the gateway does.
func (r *modelRun) enqueue(now time.Time, q *modelRequest) {
	g, queue := r.groups[q.gateway], r.queues[q.gateway]
	request := Request{Parts: q.parts, Excluded: q.excluded, TieBreak: q.tieBreak}
	if queue.Len() == 0 {
		c, ok := g.Choose(now, request)
		if !ok {
			r.reject(now, q, modelRetryAfter)
			return
		}
		if !c.Full {
			queue.RecordStart(now, "")
			r.sendTo(now, q, c)
			return
		}
	}
	r.waiters++
	q.waiter = r.waiters
	d := queue.Enqueue(now, admission.Waiter{ID: q.waiter, Continues: q.turn > 1 || q.returned, Arrived: q.arrivedAt, Deadline: r.deadline(q), WorkLeft: queue.Work()})
	if !d.Queued {
		r.shed(now, q, d.RetryAfter)
		return
	}
	r.waiting[q.gateway][q.waiter] = q
	r.admit(now, q.gateway)
}

func (r *modelRun) shed(now time.Time, q *modelRequest, after time.Duration) {
	if r.measured(now) {
		r.result.shed++
		for _, e := range r.state {
			if e.running < e.slots && !e.wasDown {
				r.result.shedWithFreeSlots++
				break
			}
		}
	}
	r.reject(now, q, after)
}

// reject gives a caller an error. It comes back if a third of its time left allows.
func (r *modelRun) reject(now time.Time, q *modelRequest, after time.Duration) {
	if r.timeout == 0 || after > r.deadline(q).Sub(now)/3 {
		r.lose(now)
		return
	}
	r.at(now.Add(after), func(now time.Time) {
		q.sends, q.excluded, q.returned = 0, map[string]bool{}, true
		r.send(now, q)
	})
}

func (r *modelRun) admit(now time.Time, gateway int) {
	g, queue, waiting := r.groups[gateway], r.queues[gateway], r.waiting[gateway]
	take := func(a admission.Admitted, c Choice) {
		q := waiting[a.Waiter.ID]
		delete(waiting, a.Waiter.ID)
		queue.RecordStart(now, "")
		r.result.longestHeld = max(r.result.longestHeld, a.Waited)
		r.sendTo(now, q, c)
	}
	for {
		w, ok := queue.First()
		if !ok {
			return
		}
		q := waiting[w.ID]
		c, ok := g.Choose(now, Request{Parts: q.parts, Excluded: q.excluded, TieBreak: q.tieBreak, Counted: true})
		if !ok || c.Full {
			break
		}
		a, _ := queue.Take(now)
		take(a, c)
	}
	for _, w := range queue.Expired(now) {
		q := waiting[w.ID]
		delete(waiting, w.ID)
		r.shed(now, q, queue.RetryAfter())
	}
	for _, a := range queue.Next(now) {
		q := waiting[a.Waiter.ID]
		c, ok := g.Choose(now, Request{Parts: q.parts, Excluded: q.excluded, TieBreak: q.tieBreak, Counted: true, UseFailing: true})
		if ok {
			take(a, c)
			continue
		}
		delete(waiting, a.Waiter.ID)
		r.reject(now, q, modelRetryAfter)
	}
	if at, ok := queue.NextCheck(now); ok {
		r.at(at, func(now time.Time) {
			if due, ok := queue.NextCheck(now); ok && !due.After(now.Add(time.Millisecond)) {
				r.admit(now, gateway)
			}
		})
	}
}

// end records the end of a request at its gateway.
func (r *modelRun) end(now time.Time, q *modelRequest, duration time.Duration) {
	r.queues[q.gateway].RecordEnd(duration)
	r.admit(now, q.gateway)
}

func (r *modelRun) lose(now time.Time) {
	if r.measured(now) {
		r.result.lost++
	}
}

func (r *modelRun) faultAt(engine int, now time.Time) fault {
	f := fault{}
	if r.faultOf != nil {
		f = r.faultOf(engine, now.Sub(startTime))
	}
	if f.slowdown == 0 {
		f.slowdown = 1
	}
	return f
}

// applyOutages loses the requests of engines that went down.
func (r *modelRun) applyOutages(now time.Time) {
	for i, e := range r.state {
		down := r.faultAt(i, now).down
		if down && !e.wasDown {
			e.account(now)
			e.generation++
			e.running = 0
			waiting := e.queue
			e.queue = nil
			for _, q := range waiting {
				r.unreachable(now, q)
			}
			clear(e.cache)
			clear(e.cacheSize)
			e.cachedTokens = 0
		}
		e.wasDown = down
	}
}

func (r *modelRun) id(q *modelRequest) string { return fmt.Sprint("u", q.engine) }

func (r *modelRun) unreachable(now time.Time, q *modelRequest) {
	if r.measured(now) {
		r.result.failedSends++
	}
	r.groups[q.gateway].RecordUnreachable(now, r.id(q))
	r.end(now, q, 0)
	q.excluded[r.id(q)] = true
	r.send(now, q)
}

func (r *modelRun) arrive(now time.Time, q *modelRequest) {
	e := r.state[q.engine]
	if e.wasDown {
		r.unreachable(now, q)
		return
	}
	if e.running >= e.slots && len(e.queue) >= modelQueue {
		if r.measured(now) {
			r.result.rejections++
		}
		g := r.groups[q.gateway]
		g.RecordEnd(now, r.id(q), false, 0)
		g.Eject(now.Add(60*time.Millisecond), r.id(q))
		r.end(now, q, 0)
		q.excluded[r.id(q)] = true
		r.send(now, q)
		return
	}
	e.account(now)
	e.requests++
	if e.running < e.slots {
		r.start(now, q)
		return
	}
	e.queue = append(e.queue, q)
}

func (r *modelRun) start(now time.Time, q *modelRequest) {
	e, g, f := r.state[q.engine], r.groups[q.gateway], r.faultAt(q.engine, now)
	e.running++
	generation := e.generation
	if r.random.Float64() < f.failing {
		r.afterMS(now, modelFailureMS, func(now time.Time) {
			if e.generation != generation {
				r.unreachable(now, q)
				return
			}
			r.free(now, e)
			if r.measured(now) {
				r.result.failedSends++
			}
			g.RecordEnd(now, r.id(q), true, 0)
			r.end(now, q, 0)
			q.excluded[r.id(q)] = true
			r.send(now, q)
		})
		return
	}
	prefill := float64(r.readMissing(now, e, q)) / modelPrefill
	decode := modelDecodeMS * (0.5 + 0.5*r.random.ExpFloat64()) * (1 + 0.6*float64(e.running)/float64(e.slots))
	r.afterMS(now, prefill*f.slowdown, func(now time.Time) {
		if e.generation != generation {
			return
		}
		l := Load{Running: e.running, Waiting: len(e.queue), Slots: e.slots}
		if r.reportsSlowdown {
			l.Slowdown = r.faultAt(q.engine, now).slowdown
		}
		g.RecordLoad(now, r.id(q), l)
		r.queues[q.gateway].RecordReport(now)
		r.admit(now, q.gateway)
	})
	r.afterMS(now, (prefill+decode)*f.slowdown, func(now time.Time) {
		if e.generation != generation {
			r.unreachable(now, q)
			return
		}
		r.free(now, e)
		g.RecordEnd(now, r.id(q), false, now.Sub(q.sentAt))
		r.end(now, q, now.Sub(q.sentAt))
		late := now.After(r.deadline(q))
		if r.measured(now) {
			r.countTurn(q, late)
			r.result.completed++
			r.latencies = append(r.latencies, now.Sub(q.arrivedAt))
		}
		if q.turn < programTurns && !late {
			r.afterMS(now, modelThinkMS*r.random.ExpFloat64(), func(now time.Time) { r.startTurn(now, q) })
		}
	})
}

func (r *modelRun) countTurn(q *modelRequest, late bool) {
	switch {
	case late:
		r.result.late++
		return
	case q.turn == 1:
		r.result.firstTurns++
	default:
		r.result.laterTurns++
	}
	r.result.inTime++
	if q.turn == programTurns {
		r.result.programs++
	}
}

func (r *modelRun) free(now time.Time, e *modelEngine) {
	e.account(now)
	e.running--
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		r.start(now, next)
	}
}

// readMissing reads the missing parts of a prompt into the cache of an engine and returns their tokens.
func (r *modelRun) readMissing(now time.Time, e *modelEngine, q *modelRequest) int64 {
	hashes := appendPrefixHashes(nil, q.parts)
	missing := int64(0)
	for i, h := range hashes {
		if _, ok := e.cache[h]; !ok {
			missing += q.parts[i].Tokens
			e.cacheSize[h] = q.parts[i].Tokens
			e.cachedTokens += q.parts[i].Tokens
			if i < q.shared {
				if r.read[h] && r.measured(now) {
					r.result.sharedReadAgain += q.parts[i].Tokens
				}
				r.read[h] = true
			}
		}
		e.cache[h] = now.UnixNano()
	}
	for e.cachedTokens > modelCacheTokens {
		oldest, at := uint64(0), int64(1<<62)
		for h, used := range e.cache {
			if used < at || used == at && h < oldest {
				oldest, at = h, used
			}
		}
		e.cachedTokens -= e.cacheSize[oldest]
		delete(e.cache, oldest)
		delete(e.cacheSize, oldest)
	}
	return missing
}

// skewedShares returns cumulative shares of gateways in which some get many times the requests of others.
func skewedShares(n int) []float64 {
	var shares []float64
	total := 0.0
	for i := range n {
		total += 1 / float64(3+i%19)
		shares = append(shares, total)
	}
	for i := range shares {
		shares[i] /= total
	}
	return shares
}
