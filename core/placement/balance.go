package placement

import (
	"math"
	"slices"
	"time"
)

// Parameters of the placement among many gateways. The figures behind them are in docs/design/admission.md; TestManyGateways
// shows them.
const (
	// minHomes is the number of upstreams that read a shared prompt part of small demand. More than one give a choice when one of
	// them is busy.
	minHomes = 3
	// homeHeadroom is the ratio of the share of the upstreams that read a part to its share of the requests.
	homeHeadroom = 2.0
	// maxHomes bounds the number of homes of a part.
	maxHomes = 32
	// maxSharedDepth is the number of parts at the start of a prompt that are taken for shared ones.
	maxSharedDepth = 3
	// minBranches is the number of different continuations after which a prefix counts as shared. A session has one, or few if
	// its program tries alternatives.
	minBranches = 3
	// demandHalfLife is the time after which a request counts half for the share of a part.
	demandHalfLife = 5 * time.Second
	// homeCandidates and randomCandidates are the numbers of homes and of other upstreams that a decision compares. With more of
	// them, gateways with the same old reports choose the same upstream.
	homeCandidates   = 2
	randomCandidates = 1
	// minCandidates is the number of upstreams that a decision compares for a request without shared parts.
	minCandidates = 3
	// busyCandidates is the number of further upstreams that a decision compares if the others have no free slot.
	busyCandidates = 3
	// fallbackCandidates is the number of upstreams that a decision compares if none of the others may get the request.
	fallbackCandidates = 8
	// loadWeight is the cost of a full upstream over an idle one, in mean request durations. With less, the homes of parts in
	// demand have more than 1.15 times the mean load.
	loadWeight = 1.0
	// maxDemands and maxHolders bound the memory for prefixes and for the upstreams of sessions. A gateway has fewer sessions
	// within the lifetime of a prefix in an engine's cache.
	maxDemands = 1024
	maxHolders = 8192
	// shortQueueShare is the number of waiting requests for each slot up to which an upstream gets further ones while others wait at
	// the gateways. With 0.25, engines had free slots while a quarter of the rejections were made, since gateways learn of a free
	// slot late; with 0.6 in none.
	shortQueueShare = 0.6
	// freeListMaxAge is the age up to which the list of upstreams with room is used again. Within it, upstreams are added as their
	// requests end or as they report a load.
	freeListMaxAge = 25 * time.Millisecond
	// freeCandidates is the number of upstreams with room that a decision compares if the other candidates are full.
	freeCandidates = 3
	// maxUsableFailureRate is the failure rate above which an upstream gets no requests that could wait for another one.
	maxUsableFailureRate = 0.25
	// meanLoadMaxAge is the age up to which the mean load of all upstreams is used again.
	meanLoadMaxAge = 10 * time.Millisecond
)

// demand is the demand for a prefix as observed by this daemon.
type demand struct {
	count    float64 // Requests, with exponential decay.
	at       time.Time
	lastNext uint64 // Prefix that continued this one last.
	branches int
	order    []int32 // The first maxHomes upstreams in rendezvous order.
	epoch    uint64  // List of upstreams for which order holds.
}

func (d *demand) add(now time.Time) {
	d.count = d.decayed(now) + 1
	d.at = now
}

func (d *demand) decayed(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.count * math.Exp2(-float64(now.Sub(d.at))/float64(demandHalfLife))
}

// balancer is the state of the placement among many gateways.
type balancer struct {
	enabled       bool
	list          []*upstreamState // The upstreams of the own region, or all if there are none.
	remote        []*upstreamState // The upstreams of other regions.
	slotSums      []int            // Slots up to and including each upstream.
	epoch         uint64           // Counts the lists.
	decisions     uint64
	random        uint64
	suspicion     bool // Suspicions are honoured in this decision.
	lastSuspicion time.Time
	demands       map[uint64]*demand
	total         demand
	holders       map[uint64]*upstreamState // Upstream that got a prefix last.
	olderHolders  map[uint64]*upstreamState // Holders that are forgotten next.
	meanLoad      float64                   // Mean load of other daemons for each slot.
	meanLoadAt    time.Time
	free, failing []int32 // Upstreams that had room at freeAt or have changed since, without and with many failures.
	freeAt        time.Time

	homes, keys []rendezvousKey // Scratch space.
	candidates  []candidate     // Scratch space.
}

// candidate is an upstream that a decision compares.
type candidate struct {
	u         *upstreamState
	homeDepth int // Number of parts that it has read, if it is one of their homes.
}

type rendezvousKey struct {
	weight float64
	index  int32
}

// SetBalanced selects the placement for many gateways that each see a small part of the traffic.
func (g *Group) SetBalanced(enabled bool) { g.balance.enabled = enabled }

func newBalancer() balancer {
	return balancer{demands: map[uint64]*demand{}, holders: map[uint64]*upstreamState{}}
}

func (b *balancer) update(g *Group) {
	b.list, b.remote, b.slotSums = b.list[:0], b.remote[:0], b.slotSums[:0]
	b.free, b.failing, b.freeAt = b.free[:0], b.failing[:0], time.Time{}
	for _, id := range g.ids {
		u := g.upstreams[id]
		u.idHash = appendHash(fnvOffset, id)
		if u.info.OtherRegion {
			b.remote = append(b.remote, u)
		} else {
			b.list = append(b.list, u)
		}
	}
	if len(b.list) == 0 {
		b.list, b.remote = b.remote, nil
	}
	sum := 0
	for i, u := range b.list {
		u.index = int32(i)
		sum += max(u.info.Slots, 1)
		b.slotSums = append(b.slotSums, sum)
	}
	for _, u := range b.remote {
		u.index = math.MaxInt32
	}
	b.epoch++
	for _, holders := range []map[uint64]*upstreamState{b.holders, b.olderHolders} {
		for h, u := range holders {
			if g.upstreams[u.info.ID] != u {
				delete(holders, h)
			}
		}
	}
}

// mix is the finalizer of MurmurHash3. It spreads the bits of a 64-bit value.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// nextRandom returns a value that depends on the tie-break of the request and on the number of decisions.
func (b *balancer) nextRandom() uint64 {
	b.random = mix(b.random + 0x9e3779b97f4a7c15)
	return b.random
}

func uniform(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }

// chooseBalanced returns the cheapest of few candidates: the upstream of the session, some homes of the shared parts of the
// prompt, and others at random.
func (g *Group) chooseBalanced(now time.Time, r Request) (Choice, bool) {
	b := &g.balance
	b.decisions++
	b.random = math.Float64bits(r.TieBreak) + b.decisions*0x9e3779b97f4a7c15
	b.suspicion = now.Before(b.lastSuspicion) && g.honoursSuspicions(now)
	g.prefixHashes = appendPrefixHashes(g.prefixHashes[:0], r.Parts)
	b.candidates = b.candidates[:0]
	if !r.Counted {
		b.observe(now, g.prefixHashes)
	}
	g.addHomes(now, r)
	for i := len(g.prefixHashes) - 1; i >= 0; i-- {
		if u := b.holder(g.prefixHashes[i]); u != nil {
			g.addCandidate(now, r, u)
			break
		}
	}
	g.addRandom(now, r, max(randomCandidates, minCandidates-len(b.candidates)))
	mean := g.meanLoadPerSlot(now)
	best, found := g.cheapest(now, r, b.candidates, mean)
	if !found || best.SlotsBusy {
		compared := len(b.candidates)
		g.addRandom(now, r, busyCandidates)
		g.addRemote(now, r, busyCandidates)
		if other, ok := g.cheapest(now, r, b.candidates[compared:], mean); ok && (!found || other.CostMS < best.CostMS) {
			best, found = other, true
		}
	}
	if found && !best.Full {
		return best, true
	}
	if other, ok := g.chooseFree(now, r, mean); ok {
		return other, true
	}
	if !found {
		best, found = g.chooseFallback(now, r, mean)
	}
	if best.Full {
		best.FailingHasRoom = len(b.failing) > 0
	}
	return best, found
}

// chooseFree compares some of the upstreams with room.
func (g *Group) chooseFree(now time.Time, r Request, mean float64) (Choice, bool) {
	b := &g.balance
	if b.freeAt.IsZero() || now.Sub(b.freeAt) > freeListMaxAge {
		g.listFree(now, mean)
	}
	lists := [][]int32{b.free, b.failing}
	if !r.UseFailing {
		lists = lists[:1]
	}
	for _, list := range lists {
		c, ok := g.cheapestWithRoom(now, r, mean, len(list), func(i int) *upstreamState { return b.list[list[i]] })
		if ok {
			return c, true
		}
	}
	return g.cheapestWithRoom(now, r, mean, len(b.remote), func(i int) *upstreamState { return b.remote[i] })
}

// cheapestWithRoom compares the first upstreams with room of a list, from a random position on.
func (g *Group) cheapestWithRoom(now time.Time, r Request, mean float64, n int, at func(i int) *upstreamState) (Choice, bool) {
	b := &g.balance
	b.candidates = b.candidates[:0]
	start := int(b.nextRandom() >> 1)
	for i := 0; i < n && len(b.candidates) < freeCandidates; i++ {
		if u := at((start + i) % n); g.isEligible(now, r, u) && !g.isFull(now, u, mean) {
			b.candidates = append(b.candidates, candidate{u: u})
		}
	}
	return g.cheapest(now, r, b.candidates, mean)
}

// listFree lists the upstreams with room.
func (g *Group) listFree(now time.Time, mean float64) {
	b := &g.balance
	b.free, b.failing, b.freeAt = b.free[:0], b.failing[:0], now
	for i, u := range b.list {
		switch {
		case !g.isEligible(now, Request{}, u) || g.isFull(now, u, mean):
		case u.currentFailureRate(now) > maxUsableFailureRate:
			b.failing = append(b.failing, int32(i))
		default:
			b.free = append(b.free, int32(i))
		}
	}
}

// noteChange adds an upstream that may have room by now.
func (b *balancer) noteChange(u *upstreamState) {
	if !b.enabled || b.freeAt.IsZero() || len(b.free) >= 2*len(b.list) || int(u.index) >= len(b.list) || b.list[u.index] != u {
		return
	}
	if u.health.failureRate <= maxUsableFailureRate {
		b.free = append(b.free, u.index)
	}
}

// isFull reports whether an upstream is estimated to have no free slot and no room in a short queue.
func (g *Group) isFull(now time.Time, u *upstreamState, mean float64) bool {
	slots := float64(max(u.info.Slots, 1))
	return isFullAt(g.estimateLoad(now, u, u.usualLoad(now, mean)*slots), slots, u.expectedSlowdown(now))
}

func isFullAt(load, slots, slowdown float64) bool {
	return load > slots-1+max(slots*shortQueueShare/max(slowdown, 1), 0.5)
}

// chooseFallback compares some of the upstreams that may get the request. Ejected upstreams are considered only if no other
// upstream is eligible.
func (g *Group) chooseFallback(now time.Time, r Request, mean float64) (Choice, bool) {
	b := &g.balance
	n := len(b.list) + len(b.remote)
	for pass := 0; pass < 2 && n > 0; pass++ {
		start := int(b.nextRandom() % uint64(n))
		b.candidates = b.candidates[:0]
		for i := 0; i < n && len(b.candidates) < fallbackCandidates; i++ {
			k := (start + i) % n
			var u *upstreamState
			if k < len(b.list) {
				u = b.list[k]
			} else {
				u = b.remote[k-len(b.list)]
			}
			if u.info.Draining || g.isLeaving(u.info.ID) || !r.allows(u) || pass == 0 && now.Before(u.ejectedUntil) {
				continue
			}
			b.candidates = append(b.candidates, candidate{u: u})
		}
		if c, ok := g.cheapest(now, r, b.candidates, mean); ok {
			// An upstream that has rejected a request because it was full is full until its ejection ends.
			u := g.upstreams[c.Upstream.ID]
			c.Full = c.Full || now.Before(u.ejectedUntil) && !now.Before(u.failedUntil)
			return c, true
		}
	}
	return Choice{}, false
}

func (g *Group) cheapest(now time.Time, r Request, candidates []candidate, mean float64) (Choice, bool) {
	var best *upstreamState
	var bestChoice Choice
	for _, c := range candidates {
		e := g.estimateBalanced(now, c, r, mean)
		e.CostMS += uniform(g.balance.nextRandom()) * maxTieBreakMS
		if best == nil || e.CostMS < bestChoice.CostMS {
			best, bestChoice = c.u, e
		}
	}
	return bestChoice, best != nil
}

// mayGet reports whether an upstream may get a request in the first place. An upstream in its slow start may get a share of the
// requests.
func (g *Group) mayGet(now time.Time, r Request, u *upstreamState) bool {
	if !g.isEligible(now, r, u) {
		return false
	}
	share := u.slowStartShare(now)
	return share >= 1 || uniform(mix(g.balance.random^u.idHash)) < share
}

func (g *Group) isEligible(now time.Time, r Request, u *upstreamState) bool {
	if u.info.Draining || now.Before(u.ejectedUntil) || g.balance.suspicion && now.Before(u.suspectedUntil) {
		return false
	}
	return (len(g.leaving) == 0 || !g.isLeaving(u.info.ID)) && r.allows(u)
}

func (g *Group) addCandidate(now time.Time, r Request, u *upstreamState) {
	if u.candidateOf != g.balance.decisions && g.mayGet(now, r, u) {
		u.candidateOf = g.balance.decisions
		g.balance.candidates = append(g.balance.candidates, candidate{u: u})
	}
}

// addRandom adds upstreams at random in proportion to their slots.
func (g *Group) addRandom(now time.Time, r Request, n int) {
	b := &g.balance
	if len(b.list) == 0 {
		return
	}
	slots := uint64(b.slotSums[len(b.slotSums)-1])
	for range n {
		i, _ := slices.BinarySearch(b.slotSums, int(b.nextRandom()%slots)+1)
		for range min(n, len(b.list)) { // A group may have few upstreams.
			if u := b.list[i]; u.candidateOf != b.decisions {
				g.addCandidate(now, r, u)
				break
			}
			i = (i + 1) % len(b.list)
		}
	}
}

// addRemote adds upstreams of other regions at random.
//
// Load: gateways in two regions with a slow link between them. Candidates from all regions cost a round trip of 24 ms for half of
// the requests; on a day of the bench, the programs in time fell from 0.93 to 0.71.
func (g *Group) addRemote(now time.Time, r Request, n int) {
	b := &g.balance
	for range min(n, len(b.remote)) {
		g.addCandidate(now, r, b.remote[b.nextRandom()%uint64(len(b.remote))])
	}
}

// observe counts a request in the demand for the prefixes of its prompt.
func (b *balancer) observe(now time.Time, hashes []uint64) {
	b.total.add(now)
	for depth := range min(len(hashes), maxSharedDepth) {
		d := b.demands[hashes[depth]]
		if d == nil {
			if len(b.demands) >= maxDemands {
				b.evictDemands(now)
			}
			d = &demand{}
			b.demands[hashes[depth]] = d
		}
		d.add(now)
		if depth+1 < len(hashes) && d.lastNext != hashes[depth+1] {
			d.lastNext = hashes[depth+1]
			d.branches++
		}
	}
}

// evictDemands removes prefixes of little demand until a quarter of the space is free.
func (b *balancer) evictDemands(now time.Time) {
	for limit := 0.5; len(b.demands) > maxDemands*3/4; limit *= 2 {
		for h, d := range b.demands {
			if d.decayed(now) < limit {
				delete(b.demands, h)
			}
		}
	}
}

// addHomes adds homes of the shared parts of a prompt. The homes of the first part are the first upstreams in rendezvous order,
// as many as its share of the requests of this daemon needs. The homes of the next shared part are among them. All gateways
// have the same order, so they agree on the homes of a part without exchanging messages.
//
// Load: gateways that each choose an upstream of their own for a shared prompt, so that all engines read it and evict others.
func (g *Group) addHomes(now time.Time, r Request) {
	b, hashes := &g.balance, g.prefixHashes
	if len(hashes) == 0 {
		return
	}
	b.homes = b.homes[:0]
	first := b.demands[hashes[0]]
	if first == nil {
		return
	}
	if first.epoch != b.epoch {
		first.order, first.epoch = b.rendezvousOrder(first.order[:0], hashes[0]), b.epoch
	}
	total := b.total.decayed(now)
	n := g.homeCount(first.decayed(now) / total)
	for _, i := range first.order {
		if len(b.homes) >= n {
			break
		}
		if g.mayGet(now, r, b.list[i]) {
			b.homes = append(b.homes, rendezvousKey{index: i})
		}
	}
	depth := 1
	for ; depth < min(len(hashes), maxSharedDepth); depth++ {
		d := b.demands[hashes[depth]]
		if d == nil || d.branches < minBranches || len(b.homes) <= minHomes {
			break
		}
		for i := range b.homes {
			b.homes[i].weight = rendezvousWeight(b.list[b.homes[i].index], hashes[depth])
		}
		slices.SortFunc(b.homes, compareRendezvous)
		b.homes = b.homes[:min(len(b.homes), g.homeCount(d.decayed(now)/total))]
	}
	for n := 0; n < homeCandidates && len(b.homes) > 0; n++ {
		i := int(b.nextRandom() % uint64(len(b.homes)))
		u := b.list[b.homes[i].index]
		u.candidateOf = b.decisions
		b.candidates = append(b.candidates, candidate{u, depth})
		b.homes = append(b.homes[:i], b.homes[i+1:]...)
	}
}

func (g *Group) homeCount(share float64) int {
	return min(max(int(math.Ceil(share*float64(len(g.ids))*homeHeadroom)), minHomes), maxHomes)
}

// rendezvousOrder appends the first upstreams of a prefix in rendezvous order.
func (b *balancer) rendezvousOrder(order []int32, prefix uint64) []int32 {
	b.keys = b.keys[:0]
	for i, u := range b.list {
		b.keys = append(b.keys, rendezvousKey{rendezvousWeight(u, prefix), int32(i)})
	}
	slices.SortFunc(b.keys, compareRendezvous)
	for _, key := range b.keys[:min(len(b.keys), maxHomes)] {
		order = append(order, key.index)
	}
	return order
}

// rendezvousWeight returns the weight of an upstream for a prefix. The share of the prefixes for which an upstream has the
// highest weight is its share of the slots.
func rendezvousWeight(u *upstreamState, prefix uint64) float64 {
	return -float64(max(u.info.Slots, 1)) / math.Log(uniform(mix(u.idHash^prefix)))
}

func compareRendezvous(a, b rendezvousKey) int {
	switch {
	case a.weight > b.weight:
		return -1
	case a.weight < b.weight:
		return 1
	}
	return int(a.index - b.index)
}

func (b *balancer) holder(prefix uint64) *upstreamState {
	if u := b.holders[prefix]; u != nil {
		return u
	}
	return b.olderHolders[prefix]
}

// recordHolder records that an upstream got a prompt.
func (b *balancer) recordHolder(u *upstreamState, parts []PromptPart) {
	if !b.enabled || len(parts) == 0 {
		return
	}
	if len(b.holders) >= maxHolders/2 {
		b.olderHolders, b.holders = b.holders, make(map[uint64]*upstreamState, maxHolders/2)
	}
	h := uint64(fnvOffset)
	for _, p := range parts {
		h = appendHash(h, p.ID)
	}
	b.holders[h] = u
}

// meanLoadPerSlot returns the mean load caused by other daemons for each slot, over the upstreams with a recent report.
func (g *Group) meanLoadPerSlot(now time.Time) float64 {
	b := &g.balance
	if !b.meanLoadAt.IsZero() && now.Sub(b.meanLoadAt) < meanLoadMaxAge {
		return b.meanLoad
	}
	sum, slots := 0.0, 0.0
	for _, u := range b.list {
		if u.reportedAt.IsZero() || now.Sub(u.reportedAt) > 4*g.weights.ReportHalfLife {
			continue
		}
		sum += max(0, float64(u.reportedLoad.Running+u.reportedLoad.Waiting-u.inFlightAtReport))
		slots += float64(max(u.info.Slots, 1))
	}
	b.meanLoad, b.meanLoadAt = 0, now
	if slots > 0 {
		b.meanLoad = sum / slots
	}
	return b.meanLoad
}

func (g *Group) estimateBalanced(now time.Time, candidate candidate, r Request, mean float64) Choice {
	u := candidate.u
	c := Choice{Upstream: u.info}
	if !u.reportedAt.IsZero() {
		c.ReportAge = now.Sub(u.reportedAt)
	}
	for i := len(r.Parts) - 1; i >= candidate.homeDepth; i-- {
		if _, ok := u.cachedPrefixes.lastUsed[g.prefixHashes[i]]; ok {
			break
		}
		c.MissingTokens += r.Parts[i].Tokens
	}
	slots := float64(max(u.info.Slots, 1))
	c.EstimatedRunning = g.estimateLoad(now, u, u.usualLoad(now, mean)*slots)
	slowdown := u.expectedSlowdown(now)
	c.Full = isFullAt(c.EstimatedRunning, slots, slowdown)
	work := g.meanServiceMS*(1+loadWeight*min(c.EstimatedRunning/slots, 1)) + float64(c.MissingTokens)/g.weights.PrefillTokensPerMS
	if excess := c.EstimatedRunning - slots + 1; excess > 0 {
		c.SlotsBusy = true
		work += excess / slots * g.meanServiceMS * (1 + g.weights.BusySlowdown)
	}
	if u.info.WarmUpRemaining > 0 {
		work += g.meanServiceMS
	}
	c.CostMS = float64(u.info.RoundTrip)/float64(time.Millisecond) + work*slowdown + g.meanServiceMS*u.failureCost(now)
	return c
}
