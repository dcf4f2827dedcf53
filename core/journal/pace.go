package journal

import "time"

// journalShare is the part of the platform's writes that journals may use. The rest is for rosters, seals, checkpoints,
// records and tenant grants, which must get through while all journals are busy.
const journalShare = 0.8

// WriteRatePerDaemon returns the creates a second that each of a number of daemons may make, so that all of them together stay
// below their share of the platform's limit.
func WriteRatePerDaemon(daemons int, platformWritesPerSecond float64) float64 {
	return journalShare * max(platformWritesPerSecond, 0) / float64(max(daemons, 1))
}

// bucket is a token bucket for creates. A rate of zero sets no limit.
type bucket struct {
	rate   float64 // Tokens a second.
	burst  float64
	tokens float64 // At the time of at.
	at     time.Time
}

func newBucket(rate float64, burst int) bucket {
	size := float64(max(burst, 1))
	return bucket{rate: rate, burst: size, tokens: size}
}

// level returns the tokens at a time. A clock that goes back adds none.
func (b *bucket) level(now time.Time) float64 {
	if b.at.IsZero() || now.Before(b.at) {
		return b.tokens
	}
	return min(b.burst, b.tokens+now.Sub(b.at).Seconds()*b.rate)
}

func (b *bucket) take(now time.Time) {
	b.tokens = b.level(now) - 1
	if now.After(b.at) {
		b.at = now
	}
}

// next returns the earliest time at which a token is there; the zero time means at once.
func (b *bucket) next() time.Time {
	if b.rate <= 0 || b.tokens >= 1 {
		return time.Time{}
	}
	// Rounded up, so that the level at the returned time is not just below one token.
	wait := time.Duration((1-b.tokens)/b.rate*float64(time.Second)) + time.Microsecond
	return b.at.Add(wait)
}
