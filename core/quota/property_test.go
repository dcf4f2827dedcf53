package quota

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

var seeds = flag.Int("quota-seeds", 2, "Seeds for each scenario of the property test.")

// Bound of the page: in a window, (rate*window + burst)*(1 + over) + slack requests.
const (
	testWindow = 5 * time.Second
	testOver   = 0.1
	testSlack  = 20
)

// scenario is one load with the faults of a simulated deployment.
type scenario struct {
	limit       Limit
	load        float64 // Offered load relative to the rate.
	skew        float64 // Requests of the busiest gateway relative to the mean; it changes every 2 s.
	partition   int     // Issuers of the current set that are cut off from everyone after 5 s.
	faults      bool    // Partitions, restarts, delayed messages and changes of the view at random.
	limitAt     time.Duration
	laterLimit  Limit
	minUsable   float64
	maxRefused  float64 // Max share of the requests that is refused; zero for no check.
	replicas    int
	setSize     int
	seconds     int
	warmUp      time.Duration
	keepOldView bool // Removed members never learn of a later view, and some gateways follow them.
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// simReplica is a replica of the simulation.
type simReplica struct {
	name       string
	dataCentre int
	issuer     *Issuer
	version    uint64 // View on disk.
	process    int    // Counts the restarts.
	downUntil  time.Duration
	side       int // Replicas and gateways of different sides cannot reach each other; negative: nobody.
}

// simGateway is a gateway of the simulation.
type simGateway struct {
	dataCentre int
	allowance  *Allowance
	version    uint64
	side       int
	process    int
	inFlight   bool
	waiters    []time.Duration // Arrival times.
}

// simulation is a deployment with one organisation.
type simulation struct {
	sc       scenario
	rng      *rand.Rand
	now      time.Duration
	seq      int
	queue    eventQueue
	replicas []*simReplica
	gateways []*simGateway
	views    []View
	changing bool
	uses     []time.Duration
	offered  int
	refused  int
	failed   int
	calls    int
	maxShare float64         // Largest sum of the shares of all issuers at any time.
	configAt []time.Duration // When each gateway gets the later limit.
}

var epoch = time.Unix(1_000_000, 0)

func (s *simulation) clock() time.Time { return epoch.Add(s.now) }

func (s *simulation) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, run})
}

func (s *simulation) delay(a, b int) time.Duration {
	d := 200 * time.Microsecond
	switch {
	case a/3 != b/3:
		d = 12 * time.Millisecond
	case a != b:
		d = 700 * time.Microsecond
	}
	d += time.Duration(s.rng.ExpFloat64() * float64(300*time.Microsecond))
	if s.sc.faults && s.rng.Float64() < 0.02 {
		d += time.Duration(s.rng.Float64() * float64(250*time.Millisecond))
	}
	return d
}

func (s *simulation) canReach(a, b int) bool {
	return a == b && a >= 0 && !(s.sc.faults && s.rng.Float64() < 0.005)
}

func newSimulation(sc scenario, seed uint64) *simulation {
	s := &simulation{sc: sc, rng: rand.New(rand.NewPCG(seed, 7)), views: []View{{}}}
	for i := range sc.replicas {
		r := &simReplica{name: fmt.Sprintf("r%d", i), dataCentre: i % 6}
		r.issuer = NewIssuer(r.name, MinCapacity(testSlack), Tolerance{Window: testWindow, Over: testOver, Slack: testSlack}, s.clock())
		s.replicas = append(s.replicas, r)
	}
	for i := range 60 {
		s.gateways = append(s.gateways, &simGateway{dataCentre: i % 6, allowance: NewAllowance(Lifetime(testWindow, testOver))})
	}
	var members []string
	for _, r := range s.replicas[:sc.setSize] {
		members = append(members, r.name)
	}
	s.publish(View{Version: 1, Sets: []Set{newSet(members)}})
	for _, r := range s.replicas {
		s.after(time.Duration(s.rng.Float64()*float64(ConfirmInterval)), func() { s.confirm(r) })
	}
	return s
}

func newSet(members []string) Set { return Set{Members: members, Quorum: len(members)/2 + 1} }

func (s *simulation) replica(name string) *simReplica {
	for _, r := range s.replicas {
		if r.name == name {
			return r
		}
	}
	return nil
}

// publish writes a view to the store. Processes that can reach it learn of it soon after.
func (s *simulation) publish(v View) {
	s.views = append(s.views, v)
	for _, r := range s.replicas {
		s.after(time.Duration(s.rng.Float64()*float64(200*time.Millisecond)), func() { s.learn(r) })
	}
	for _, g := range s.gateways {
		s.after(time.Duration(s.rng.Float64()*float64(200*time.Millisecond)), func() {
			if g.side == 0 {
				g.version = max(g.version, v.Version)
			}
		})
	}
}

// learn gives a replica the newest view if it reaches the store.
func (s *simulation) learn(r *simReplica) {
	if r.side == 0 && s.now >= r.downUntil {
		r.version = s.views[len(s.views)-1].Version
		r.issuer.SetView(s.views[r.version], s.clock())
	}
}

// confirm asks the other members for their confirmation.
func (s *simulation) confirm(r *simReplica) {
	s.after(ConfirmInterval, func() { s.confirm(r) })
	s.checkShares()
	if s.now < r.downUntil {
		return
	}
	if s.rng.Float64() < 0.2 {
		s.learn(r)
	}
	sentAt, process := s.clock(), r.process
	r.issuer.Tick(sentAt)
	for _, m := range r.issuer.Members(sentAt) {
		peer := s.replica(m)
		if !s.canReach(r.side, peer.side) {
			continue
		}
		s.after(s.delay(r.dataCentre, peer.dataCentre), func() {
			if s.now < peer.downUntil {
				return
			}
			c := peer.issuer.Confirm(r.name, s.clock())
			s.after(s.delay(r.dataCentre, peer.dataCentre), func() {
				if r.process == process && s.now >= r.downUntil && s.canReach(r.side, peer.side) {
					r.issuer.Receive(m, c, sentAt, s.clock())
				}
			})
		})
	}
}

// checkShares records the sum of the shares. The bound holds for any demand as long as the sum is at most 1.
func (s *simulation) checkShares() {
	sum := 0.0
	for _, r := range s.replicas {
		if s.now >= r.downUntil {
			sum += r.issuer.Share(s.clock())
		}
	}
	s.maxShare = max(s.maxShare, sum)
}

func (s *simulation) restart(r *simReplica, down time.Duration) {
	r.process++
	r.downUntil = s.now + down
	process := r.process
	s.after(down, func() {
		if r.process != process {
			return
		}
		r.issuer = NewIssuer(r.name, MinCapacity(testSlack), Tolerance{Window: testWindow, Over: testOver, Slack: testSlack}, s.clock())
		if r.version > 0 {
			r.issuer.SetView(s.views[r.version], s.clock())
		}
	})
}

// replace starts a change of the view that replaces the member at an index of the current set by a spare.
func (s *simulation) replace(index int) {
	v := s.views[len(s.views)-1]
	set := v.Sets[len(v.Sets)-1].Members
	if spare, ok := s.spare(set); ok && len(v.Sets) == 1 {
		members := slices.Clone(set)
		members[index%len(members)] = spare
		s.change(members)
	}
}

// changeAtRandom starts a change that replaces, adds or removes a member, also while up to two earlier sets are still read.
func (s *simulation) changeAtRandom() {
	v := s.views[len(s.views)-1]
	members := slices.Clone(v.Sets[len(v.Sets)-1].Members)
	if len(v.Sets) > 2 || len(v.Sets) == 2 && s.rng.Float64() < 0.7 {
		return
	}
	spare, ok := s.spare(members)
	index := s.rng.IntN(len(members))
	switch kind := s.rng.IntN(6); {
	case kind == 0 && len(members) > 1 && len(members) >= s.sc.setSize:
		members = slices.Delete(members, index, index+1)
	case kind <= 2 && ok && len(members) <= s.sc.setSize:
		members = append(members, spare)
	case ok:
		members[index] = spare
	default:
		return
	}
	s.change(members)
}

// spare returns a replica that reaches the store and is not in the set.
func (s *simulation) spare(set []string) (string, bool) {
	for _, i := range s.rng.Perm(len(s.replicas)) {
		if r := s.replicas[i]; r.side == 0 && !slices.Contains(set, r.name) {
			return r.name, true
		}
	}
	return "", false
}

func (s *simulation) change(members []string) {
	v := s.views[len(s.views)-1]
	s.publish(View{Version: v.Version + 1, Sets: append(slices.Clone(v.Sets), newSet(members))})
	if !s.changing {
		s.changing = true
		s.after(500*time.Millisecond, s.settle)
	}
}

// settle drops the earlier set once a read quorum of it has adopted the view, as the copies require.
func (s *simulation) settle() {
	v := s.views[len(s.views)-1]
	for _, set := range v.Sets {
		adopted := 0
		for _, m := range set.Members {
			if s.replica(m).version >= v.Version {
				adopted++
			}
		}
		if adopted < len(set.Members)-set.Quorum+1 {
			s.after(300*time.Millisecond, s.settle)
			return
		}
	}
	s.changing = false
	s.publish(View{Version: v.Version + 1, Sets: v.Sets[len(v.Sets)-1:]})
}

// order returns the issuers in the order of their distance.
func (s *simulation) order(g *simGateway) []string {
	v := s.views[g.version]
	if len(v.Sets) == 0 {
		return nil
	}
	names := append([]string{}, v.Sets[len(v.Sets)-1].Members...)
	distance := func(name string) int {
		switch d := s.replica(name).dataCentre; {
		case d == g.dataCentre:
			return 0
		case d/3 == g.dataCentre/3:
			return 1
		}
		return 2
	}
	sort.SliceStable(names, func(i, j int) bool { return distance(names[i]) < distance(names[j]) })
	return names
}

func (s *simulation) currentLimit(gateway int) Limit {
	if s.sc.limitAt > 0 && s.now >= s.configAt[gateway] {
		return s.sc.laterLimit
	}
	return s.sc.limit
}

func (s *simulation) request(index int) {
	g := s.gateways[index]
	s.offered++
	g.allowance.SetLimit(s.currentLimit(index))
	now := s.clock()
	g.allowance.Arrive(now)
	if _, ok := g.allowance.Take(now); ok {
		s.use()
	} else {
		g.waiters = append(g.waiters, s.now)
	}
	if !g.inFlight {
		s.step(g)
	}
}

// use records a request that reaches an upstream. A gateway sends it within the lifetime of a unit or takes another one.
func (s *simulation) use() {
	hold := time.Duration(0)
	if s.rng.Float64() < 0.5 {
		hold = time.Duration(s.rng.Float64() * float64(Lifetime(testWindow, testOver)))
	}
	s.uses = append(s.uses, s.now+hold)
}

// step serves the waiting requests and asks the next issuer.
func (s *simulation) step(g *simGateway) {
	now := s.clock()
	for len(g.waiters) > 0 && s.now-g.waiters[0] > MaxWait {
		g.waiters = g.waiters[1:]
		s.refused++
	}
	for len(g.waiters) > 0 {
		if _, ok := g.allowance.Take(now); !ok {
			break
		}
		g.waiters = g.waiters[1:]
		s.use()
	}
	order := s.order(g)
	name, units, ok := g.allowance.Next(now, order, len(g.waiters))
	if !ok {
		if len(g.waiters) > 0 {
			if _, over := g.allowance.Refusal(now, order, 0); !over {
				s.failed += len(g.waiters)
			}
		}
		s.refused += len(g.waiters)
		g.waiters = nil
		g.allowance.EndRound()
		g.inFlight = false
		return
	}
	g.inFlight = true
	s.calls++
	r := s.replica(name)
	limit, version, process := g.allowance.Limit(), g.version, g.process
	done := false
	finish := func(record func()) {
		if !done && g.process == process {
			done = true
			record()
			s.step(g)
		}
	}
	s.after(IssuerTimeout, func() { finish(func() { g.allowance.Unreachable(s.clock(), name) }) })
	if !s.canReach(g.side, r.side) {
		return
	}
	s.after(s.delay(g.dataCentre, r.dataCentre), func() {
		if s.now < r.downUntil {
			return
		}
		refused := version > r.issuer.Version() || !r.issuer.IsMember() || !r.issuer.Available(s.clock())
		issued, retry := 0, time.Duration(0)
		if !refused {
			issued, retry = r.issuer.Issue(s.clock(), "o", limit, units)
		}
		s.after(s.delay(g.dataCentre, r.dataCentre), func() {
			if !s.canReach(g.side, r.side) {
				return
			}
			finish(func() {
				if refused {
					g.allowance.Unreachable(s.clock(), name)
				} else {
					g.allowance.Granted(s.clock(), now, name, issued, retry)
				}
			})
		})
	})
}

// arrivals schedules the requests of the callers as a Poisson process.
func (s *simulation) arrivals() {
	rate := s.sc.limit.RatePerSecond
	if s.sc.limitAt > 0 {
		rate = max(rate, s.sc.laterLimit.RatePerSecond)
	}
	s.after(time.Duration(s.rng.ExpFloat64()/(rate*s.sc.load)*float64(time.Second)), func() {
		busiest := int(s.now/(2*time.Second)) * 7 % len(s.gateways)
		index := s.rng.IntN(len(s.gateways))
		if s.rng.Float64() < (s.sc.skew-1)/float64(len(s.gateways)-1) {
			index = busiest
		}
		s.request(index)
		s.arrivals()
	})
}

// fault injects one fault at random.
func (s *simulation) fault() {
	s.after(time.Duration(s.rng.ExpFloat64()*float64(400*time.Millisecond)), func() {
		switch s.rng.IntN(7) {
		case 0:
			s.restart(s.replicas[s.rng.IntN(len(s.replicas))], time.Duration(s.rng.Float64()*float64(1500*time.Millisecond)))
		case 1: // A restarted gateway has no units and no waiting requests.
			g := s.gateways[s.rng.IntN(len(s.gateways))]
			g.process++
			g.allowance, g.inFlight, g.waiters = NewAllowance(Lifetime(testWindow, testOver)), false, nil
		case 2, 3: // Some replicas and gateways are on the side without the store for a while.
			for _, r := range s.replicas {
				if s.rng.Float64() < 0.25 {
					r.side = 1
					s.after(time.Duration(s.rng.Float64()*float64(6*time.Second)), func() { r.side = 0; s.learn(r) })
				}
			}
			for _, g := range s.gateways {
				if s.rng.Float64() < 0.25 {
					g.side = 1
					s.after(time.Duration(s.rng.Float64()*float64(6*time.Second)), func() {
						g.side = 0
						g.version = s.views[len(s.views)-1].Version
					})
				}
			}
		case 4:
			r := s.replicas[s.rng.IntN(len(s.replicas))]
			r.side = -1
			s.after(time.Duration(s.rng.Float64()*float64(3*time.Second)), func() { r.side = 0; s.learn(r) })
		case 5, 6:
			s.changeAtRandom()
		}
		s.fault()
	})
}

func (s *simulation) run() {
	warmUp := max(s.sc.warmUp, 3*time.Second)
	for range s.gateways {
		s.configAt = append(s.configAt, s.sc.limitAt+time.Duration(s.rng.Float64()*float64(time.Second)))
	}
	s.after(warmUp, s.arrivals)
	if s.sc.faults {
		s.after(warmUp, s.fault)
	}
	if s.sc.partition > 0 {
		s.after(warmUp, func() {
			for _, r := range s.replicas[:s.sc.partition] {
				r.side = -1
			}
		})
	}
	if s.sc.keepOldView {
		s.after(warmUp, func() {
			s.replicas[0].side, s.replicas[1].side = 1, 1
			for _, g := range s.gateways[:20] {
				g.side = 1
			}
			s.replace(0)
			s.after(5*time.Second, func() { s.replace(1) })
		})
	}
	end := warmUp + time.Duration(s.sc.seconds)*time.Second
	for len(s.queue) > 0 && s.queue[0].at < end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
}

// checkBound returns the largest excess over the bound in any window, and the largest use of a window relative to the limit
// without tolerance.
func (s *simulation) checkBound() (excess float64, relative float64) {
	excess = -1e9
	first := 0
	slices.Sort(s.uses)
	for i, at := range s.uses {
		for at-s.uses[first] >= testWindow {
			first++
		}
		l := s.sc.limit
		if s.sc.limitAt > 0 {
			// The higher limit holds until one window after all gateways have the configuration.
			if at > s.sc.limitAt+time.Second+testWindow || s.sc.laterLimit.RatePerSecond > l.RatePerSecond && at > s.sc.limitAt {
				l = s.sc.laterLimit
			}
		}
		allowed := l.RatePerSecond*testWindow.Seconds() + l.Burst
		n := float64(i - first + 1)
		excess = max(excess, n-allowed*(1+testOver)-testSlack)
		relative = max(relative, n/allowed)
	}
	return excess, relative
}

// usable returns the units that were used relative to the limit, from a time on.
func (s *simulation) usable(from time.Duration) float64 {
	n := 0
	for _, at := range s.uses {
		if at >= from {
			n++
		}
	}
	l := s.sc.limit
	if s.sc.limitAt > 0 {
		l = s.sc.laterLimit
	}
	return float64(n) / (l.RatePerSecond * (s.now - from).Seconds())
}

// secondsFor returns a duration with enough units to measure a share of them.
func secondsFor(l Limit) int {
	if l.RatePerSecond < 10 {
		return 120
	}
	return 15
}

// Guards against more requests in a window than the limit allows, under partitions, restarts, delays and changes of the view,
// and against a limit of which too little can be used.
func TestBoundHoldsInEveryWindow(t *testing.T) {
	small := Limit{RatePerSecond: 2, Burst: 3, Version: 1}
	medium := Limit{RatePerSecond: 40, Burst: 60, Version: 1}
	large := Limit{RatePerSecond: 512, Burst: 512, Version: 1}
	base := scenario{replicas: 8, setSize: 5, seconds: 15, load: 2, skew: 1}
	cases := map[string]scenario{}
	add := func(name string, change func(sc *scenario)) {
		sc := base
		change(&sc)
		cases[name] = sc
	}
	for name, l := range map[string]Limit{"small": small, "medium": medium, "large": large} {
		for _, skew := range []float64{1, 5, 50} {
			add(fmt.Sprintf("%s, skew %v, no faults", name, skew), func(sc *scenario) {
				sc.limit, sc.skew, sc.minUsable = l, skew, 0.95
				sc.seconds = secondsFor(l)
			})
			add(fmt.Sprintf("%s, skew %v, faults", name, skew), func(sc *scenario) {
				sc.limit, sc.skew, sc.faults, sc.seconds = l, skew, true, 30
			})
			add(fmt.Sprintf("%s, skew %v, a third of the issuers cut off", name, skew), func(sc *scenario) {
				sc.limit, sc.skew, sc.partition, sc.minUsable = l, skew, 2, 0.8
				sc.seconds = secondsFor(l)
			})
			add(fmt.Sprintf("%s, skew %v, removed issuers keep the old view", name, skew), func(sc *scenario) {
				sc.limit, sc.skew, sc.keepOldView, sc.seconds = l, skew, true, 25
			})
			add(fmt.Sprintf("%s, skew %v, below the limit", name, skew), func(sc *scenario) {
				sc.limit, sc.skew, sc.load, sc.maxRefused = l, skew, 0.7, 0.01
				if l == small {
					sc.load = 0.5
				}
			})
		}
	}
	add("large, load 50", func(sc *scenario) { sc.limit, sc.load, sc.minUsable, sc.seconds = large, 50, 0.95, 8 })
	add("small, load 50", func(sc *scenario) { sc.limit, sc.load, sc.minUsable, sc.seconds = small, 50, 0.95, secondsFor(small) })
	for _, size := range []int{1, 2, 3, 4, 7} {
		add(fmt.Sprintf("medium, %d issuers, faults", size), func(sc *scenario) {
			sc.limit, sc.skew, sc.faults, sc.seconds, sc.setSize, sc.replicas = medium, 5, true, 40, size, size+3
		})
	}
	// All buckets are full when the requests and the faults begin.
	burst := Limit{RatePerSecond: 5, Burst: 1000, Version: 1}
	for _, skew := range []float64{1, 50} {
		add(fmt.Sprintf("low rate and high burst, skew %v, faults", skew), func(sc *scenario) {
			sc.limit, sc.load, sc.skew, sc.faults, sc.warmUp = burst, 50, skew, true, 200*time.Second
		})
		add(fmt.Sprintf("low rate and high burst, skew %v, a third of the issuers cut off", skew), func(sc *scenario) {
			sc.limit, sc.load, sc.skew, sc.partition, sc.warmUp = burst, 50, skew, 2, 200*time.Second
		})
	}
	add("limit falls", func(sc *scenario) {
		sc.limit, sc.limitAt, sc.laterLimit, sc.faults, sc.seconds = large, 10*time.Second, Limit{40, 60, 2}, true, 25
	})
	add("limit rises", func(sc *scenario) {
		sc.limit, sc.limitAt, sc.laterLimit, sc.faults, sc.seconds = medium, 10*time.Second, Limit{512, 512, 2}, true, 25
	})
	for name, sc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			worst, minUsable, maxRefused, failed, calls, uses, maxRelative := -1e9, 1e9, 0.0, 0, 0, 0, 0.0
			for seed := range *seeds {
				s := newSimulation(sc, uint64(seed)+1)
				s.run()
				excess, relative := s.checkBound()
				test.LessEq(t, 1+1e-9, s.maxShare, test.Sprintf("seed %d: shares of all issuers", seed+1))
				test.LessEq(t, 0, excess, test.Sprintf("seed %d: requests over the bound", seed+1))
				worst, maxRelative = max(worst, excess), max(maxRelative, relative)
				from := max(sc.warmUp, 3*time.Second) + 2*time.Second
				if sc.limitAt > 0 {
					from = sc.limitAt + 2*time.Second
				}
				minUsable = min(minUsable, s.usable(from))
				maxRefused = max(maxRefused, float64(s.refused)/float64(max(s.offered, 1)))
				failed, calls, uses = failed+s.failed, calls+s.calls, uses+len(s.uses)
			}
			t.Logf("%s: over the bound %.0f, window/limit %.3f, usable %.3f, refused %.4f, unavailable %d, calls for each use %.2f",
				name, worst, maxRelative, minUsable, maxRefused, failed, float64(calls)/float64(max(uses, 1)))
			if sc.minUsable > 0 {
				test.GreaterEq(t, sc.minUsable, minUsable)
			}
			if sc.maxRefused > 0 {
				test.LessEq(t, sc.maxRefused, maxRefused)
			}
			must.Positive(t, uses)
		})
	}
}
