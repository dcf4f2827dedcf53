// Package quota decides how many requests of an organisation may run. Replicas issue units without agreement on each of
// them, and a gateway spends one unit for each request. The package does no I/O, and the clock is passed in.
//
// It addresses callers of one organisation that compete for its limit at all gateways at once.
package quota

import (
	"math"
	"slices"
	"time"
)

// LeaseDuration is the time for which the confirmation of a member is valid. It covers four attempts at ConfirmInterval,
// and is the time for which the share of a lost issuer is missing.
const LeaseDuration = time.Second

// ConfirmInterval is the interval at which an issuer asks the other members for their confirmation.
const ConfirmInterval = 200 * time.Millisecond

// maxBuckets is the maximum number of organisations at one issuer. A deployment has up to 4,500.
const maxBuckets = 16384

// unavailableRetry is the retry time that an issuer names if it may not issue units.
const unavailableRetry = 250 * time.Millisecond

// Set is a set of members of a view. Any two quorums of a set share a member.
type Set struct {
	Members []string
	Quorum  int
}

// View is the part of a replica view that determines the issuers. The last set is the current one.
type View struct {
	Version uint64
	Sets    []Set
}

// Confirmation is the answer of a member to an issuer that asks for its confirmation.
type Confirmation struct {
	Version   uint64   // View of the member.
	Confirmed bool     // The issuer may issue units.
	Excluded  []string // Members that the member has not confirmed for LeaseDuration, and will not confirm for as long.
}

// receivedConfirmation is a confirmation that counts for the issuer.
type receivedConfirmation struct {
	sentAt   time.Time // When the issuer asked for it.
	excluded []string
}

// retiringSet is a set that a later view no longer has.
type retiringSet struct {
	set   Set
	until time.Time
}

// Issuer issues units for a share of the limit of each organisation. It issues only while a quorum of each set of its view
// has confirmed it. This is needed for the bound: a removed member that does not know the newer view would otherwise add its
// share to that of its successor for as long as a partition lasts. Members that no quorum has confirmed have no share; it
// is divided among the others. Issuer is not safe for concurrent use.
type Issuer struct {
	self       string
	view       View
	retiring   []retiringSet
	quietUntil time.Time // Until then, this process neither confirms members nor issues units.

	addedAt      map[string]time.Time // When a member became known; it is confirmed LeaseDuration later.
	askedAt      map[string]time.Time // When a member last asked for a confirmation.
	excludedAt   map[string]time.Time // When a member was last listed as excluded.
	confirmedBy  map[string]receivedConfirmation
	buckets      map[string]*bucket
	generation   uint64 // Counts the leases. A bucket of an earlier lease starts again.
	leaseUntil   time.Time
	share        float64
	raisedFrom   float64 // Smallest share of this lease.
	raisedAt     float64 // shareSeconds when the share last rose.
	raisedTime   time.Time
	minCapacity  float64
	tolerance    Tolerance
	shareSeconds float64 // Integral of the share over time. Buckets are refilled in proportion to it.
	leaseStart   float64 // shareSeconds at the start of the lease.
	refreshedAt  time.Time
}

// bucket is the token bucket of one organisation. It bounds what is issued at once, and the window what is issued within the
// window of the limit.
type bucket struct {
	window     window
	limit      Limit
	units      float64
	filledAt   float64 // shareSeconds of the last refill.
	generation uint64
}

// Limit is the limit of an organisation in one version of the configuration.
type Limit struct {
	RatePerSecond float64
	Burst         float64
	Version       uint64
}

// NewIssuer returns the issuer of a member. The process forgets on a restart what it confirmed, so it waits for
// LeaseDuration first. Buckets hold at least minCapacity units. With a minimum of 1, a fifth of a limit of 2 per second was lost,
// since a full bucket waits for the next request; see MinCapacity.
func NewIssuer(self string, minCapacity float64, t Tolerance, now time.Time) *Issuer {
	return &Issuer{
		self: self, minCapacity: minCapacity, tolerance: t, quietUntil: now.Add(LeaseDuration), refreshedAt: now,
		addedAt: map[string]time.Time{}, askedAt: map[string]time.Time{}, excludedAt: map[string]time.Time{},
		confirmedBy: map[string]receivedConfirmation{}, buckets: map[string]*bucket{},
	}
}

// SetView adopts a newer view. Sets that it no longer has must confirm this issuer for LeaseDuration more.
func (i *Issuer) SetView(v View, now time.Time) {
	if v.Version <= i.view.Version {
		return
	}
	i.refresh(now)
	previous := i.requiredSets(now)
	overlaps := false
	for _, old := range i.view.Sets {
		if slices.ContainsFunc(v.Sets, func(s Set) bool { return slices.Equal(s.Members, old.Members) && s.Quorum == old.Quorum }) {
			overlaps = true
		} else {
			i.retiring = append(i.retiring, retiringSet{old, now.Add(LeaseDuration)})
		}
	}
	if !overlaps {
		i.quietUntil = now.Add(LeaseDuration) // Issuers of views that this process has not seen may have a lease.
	}
	i.view = v
	known := map[string]bool{}
	for _, s := range previous {
		for _, m := range s.Members {
			known[m] = true
		}
	}
	members := i.members(now)
	for _, m := range members {
		if !known[m] {
			i.addedAt[m] = now
		}
	}
	for _, times := range []map[string]time.Time{i.addedAt, i.askedAt} {
		for m := range times {
			if !slices.Contains(members, m) {
				delete(times, m)
			}
		}
	}
	for m, at := range i.excludedAt {
		if now.Sub(at) > LeaseDuration {
			delete(i.excludedAt, m)
		}
	}
	i.recompute(now)
}

// Version returns the version of the view.
func (i *Issuer) Version() uint64 { return i.view.Version }

// IsMember reports whether this issuer is in the current set of its view.
func (i *Issuer) IsMember() bool { return slices.Contains(i.current(), i.self) }

// Members returns the members to ask for a confirmation.
func (i *Issuer) Members(now time.Time) []string {
	return slices.DeleteFunc(i.members(now), func(m string) bool { return m == i.self })
}

func (i *Issuer) current() []string {
	if len(i.view.Sets) == 0 {
		return nil
	}
	return i.view.Sets[len(i.view.Sets)-1].Members
}

func (i *Issuer) requiredSets(now time.Time) []Set {
	sets := slices.Clone(i.view.Sets)
	i.retiring = slices.DeleteFunc(i.retiring, func(r retiringSet) bool { return !now.Before(r.until) })
	for _, r := range i.retiring {
		sets = append(sets, r.set)
	}
	return sets
}

func (i *Issuer) members(now time.Time) []string {
	var members []string
	for _, s := range i.requiredSets(now) {
		members = append(members, s.Members...)
	}
	slices.Sort(members)
	return slices.Compact(members)
}

// Confirm answers a member that asks for a confirmation.
func (i *Issuer) Confirm(from string, now time.Time) Confirmation {
	c := Confirmation{Version: i.view.Version}
	if now.Before(i.quietUntil) || !slices.Contains(i.current(), from) {
		return c
	}
	i.askedAt[from] = now
	c.Confirmed = now.Sub(i.addedAt[from]) >= LeaseDuration
	if at, ok := i.excludedAt[from]; ok && now.Sub(at) <= LeaseDuration {
		c.Confirmed = false // Another issuer may still have its share.
	}
	for _, m := range i.members(now) {
		if m == i.self || m == from || now.Sub(i.askedAt[m]) <= LeaseDuration || now.Sub(i.addedAt[m]) <= LeaseDuration {
			continue
		}
		c.Excluded = append(c.Excluded, m)
		i.excludedAt[m] = now
	}
	return c
}

// Receive records the confirmation of a member for which this issuer asked at sentAt.
func (i *Issuer) Receive(from string, c Confirmation, sentAt, now time.Time) {
	i.refresh(now)
	if last, ok := i.confirmedBy[from]; ok && !sentAt.After(last.sentAt) {
		return
	}
	// A member with a newer view may have confirmed a member that this issuer does not know. Earlier confirmations stay
	// valid for their time.
	if c.Confirmed && c.Version <= i.view.Version {
		i.confirmedBy[from] = receivedConfirmation{sentAt: sentAt, excluded: c.Excluded}
	}
	i.recompute(now)
}

// Activate prepares for the first requests after a time without any, in which the members did not ask for confirmations. None
// of them counts as lost because of that.
func (i *Issuer) Activate(now time.Time) {
	for _, m := range i.members(now) {
		i.askedAt[m] = now
	}
}

// Tick renews the confirmation that this member gives to itself. It is called before the others are asked.
func (i *Issuer) Tick(now time.Time) { i.Receive(i.self, i.Confirm(i.self, now), now, now) }

// refresh adds the time since the last refresh to shareSeconds, as far as the lease covered it.
func (i *Issuer) refresh(now time.Time) {
	end := now
	if i.leaseUntil.Before(end) {
		end = i.leaseUntil
	}
	if end.After(i.refreshedAt) {
		i.shareSeconds += i.share * end.Sub(i.refreshedAt).Seconds()
	}
	i.refreshedAt = now
	if !now.Before(i.leaseUntil) {
		i.share = 0
	}
}

// recompute derives the share and its end from the confirmations. The end covers both the lease and the exclusions.
func (i *Issuer) recompute(now time.Time) {
	previous := i.share
	i.share, i.leaseUntil = 0, now
	sets := i.requiredSets(now)
	if len(sets) == 0 || now.Before(i.quietUntil) {
		return
	}
	until := now.Add(LeaseDuration)
	excluded := map[string]int{} // Number of sets in which a quorum excludes a member.
	for _, s := range sets {
		var sent []time.Time
		excludedBy := map[string][]time.Time{}
		for _, m := range s.Members {
			c, ok := i.confirmedBy[m]
			if !ok || now.Sub(c.sentAt) >= LeaseDuration {
				continue
			}
			sent = append(sent, c.sentAt)
			for _, x := range c.excluded {
				excludedBy[x] = append(excludedBy[x], c.sentAt)
			}
		}
		if s.Quorum == 0 || len(sent) < s.Quorum {
			return
		}
		until = earlier(until, quorumEnd(sent, s.Quorum))
		for x, sent := range excludedBy {
			if len(sent) >= s.Quorum {
				excluded[x]++
				until = earlier(until, quorumEnd(sent, s.Quorum))
			}
		}
	}
	n := 0
	for _, m := range i.members(now) {
		if excluded[m] < len(sets) {
			n++
		}
	}
	i.share, i.leaseUntil = 1/float64(max(n, 1)), until
	switch {
	case previous == 0:
		i.generation++
		i.leaseStart, i.raisedFrom, i.raisedAt, i.raisedTime = i.shareSeconds, i.share, i.shareSeconds, time.Time{}
	case i.share > previous:
		i.raisedAt, i.raisedTime = i.shareSeconds, now
	}
	i.raisedFrom = min(i.raisedFrom, i.share)
}

// quorumEnd returns the time until which a quorum of confirmations with these times is valid.
func quorumEnd(sent []time.Time, quorum int) time.Time {
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	return sent[quorum-1].Add(LeaseDuration)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Available reports whether this issuer may issue units.
func (i *Issuer) Available(now time.Time) bool {
	i.refresh(now)
	return i.share > 0
}

// Share returns the share of the limits that this issuer has.
func (i *Issuer) Share(now time.Time) float64 {
	i.refresh(now)
	return i.share
}

// Issue issues up to the requested number of units. If fewer are issued, retryAfter is the time until the next one. The
// limit of the highest version is in force.
func (i *Issuer) Issue(now time.Time, organisation string, l Limit, units int) (issued int, retryAfter time.Duration) {
	i.refresh(now)
	if i.share <= 0 || units <= 0 {
		return 0, unavailableRetry
	}
	b, ok := i.buckets[organisation]
	if !ok {
		if len(i.buckets) >= maxBuckets && !i.evict() {
			return 0, unavailableRetry
		}
		b = &bucket{limit: l}
		i.buckets[organisation] = b
	}
	if b.generation != i.generation {
		// What was issued before the lease is unknown to this member or was replaced by other members.
		b.generation, b.units, b.filledAt = i.generation, 1, i.leaseStart
	}
	i.fill(b)
	if l.Version > b.limit.Version {
		b.limit = l
		i.fill(b)
	}
	windowLeft := i.windowLimit(now, b.limit) - float64(b.window.sum(now, i.windowDuration()))
	issued = max(min(units, int(min(b.units, windowLeft)+1e-9)), 0) // The sum of refills is not exact.
	b.units -= float64(issued)
	b.window.add(now, i.windowDuration(), issued)
	if issued < units {
		retryAfter = time.Duration(math.Ceil((1 - b.units) / max(b.limit.RatePerSecond*i.share, 1e-3) * float64(time.Second)))
		if windowLeft-float64(issued) < 1 {
			retryAfter = max(retryAfter, b.window.untilNextExpiry(now, i.windowDuration()))
		}
	}
	return issued, retryAfter
}

// windowDuration returns the period over which issued units are limited. A unit may be used for a while after it was issued.
func (i *Issuer) windowDuration() time.Duration { return i.tolerance.Window + maxLifetime }

// windowLimit returns the units that this issuer may issue within windowDuration. Without a window there is no such limit. After
// the share has risen, the lost issuers may have issued theirs within the window.
func (i *Issuer) windowLimit(now time.Time, l Limit) float64 {
	t := i.tolerance
	if t.Window <= 0 {
		return math.Inf(1)
	}
	share := i.share
	if now.Sub(i.raisedTime) < i.windowDuration() {
		share = i.raisedFrom
	}
	limit := l.RatePerSecond*t.Window.Seconds() + l.Burst
	return max((limit*(1+usedOver*t.Over)+usedSlack*t.Slack)*share, i.minCapacity)
}

// Tolerance is the inaccuracy that a limit may have: in any window, (rate*Window + burst)*(1 + Over) + Slack requests.
type Tolerance struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

// Parts of the tolerance that issuers use. The rest covers changes of the shares and the unit with which a bucket starts.
const (
	usedOver  = 0.5
	usedSlack = 0.5
)

// windowAtOnce is the part of the rate of a window that may be issued at once. Callers of an organisation send several times the
// rate within a second: with the burst alone, 0.07 of the programs of a calm day were refused below the limit of the window. The
// whole window at once would double what is issued around a restart of all issuers.
const windowAtOnce = 0.5

// MinCapacity returns the minimum capacity of a bucket for the slack of the bound. The minima of 5 issuers take half of it.
func MinCapacity(slack float64) float64 { return min(max(slack/10, 1), 2) }

// capacity returns the units that the bucket of an issuer with a share may hold.
func (i *Issuer) capacity(l Limit, share float64) float64 {
	t := i.tolerance
	atOnce := l.Burst + windowAtOnce*l.RatePerSecond*t.Window.Seconds() + usedSlack*t.Slack
	return max(atOnce*share, i.minCapacity)
}

func (i *Issuer) fill(b *bucket) {
	rate := b.limit.RatePerSecond
	b.units += rate * (i.shareSeconds - b.filledAt)
	if b.filledAt <= i.raisedAt {
		// The lost issuers may just have issued what their buckets held, so a higher share starts with the earlier capacity.
		b.units = min(b.units, i.capacity(b.limit, i.raisedFrom)+rate*(i.shareSeconds-i.raisedAt))
	}
	b.filledAt = i.shareSeconds
	b.units = min(b.units, i.capacity(b.limit, i.share))
}

// evict removes the full buckets. A new bucket of the same lease is filled in the same way, so that nothing is issued twice.
func (i *Issuer) evict() bool {
	for name, b := range i.buckets {
		if b.generation != i.generation {
			delete(i.buckets, name)
			continue
		}
		i.fill(b)
		if b.units >= i.capacity(b.limit, i.share) {
			delete(i.buckets, name)
		}
	}
	return len(i.buckets) < maxBuckets
}
