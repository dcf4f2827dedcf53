package journal

import "time"

// journalWriteShare is the fraction of the platform's write limit that journals may use. The rest is reserved for
// rosters, seals, checkpoints, records and tenant grants, which must not be delayed while all journals are busy.
const journalWriteShare = 0.8

// WriteRatePerDaemon returns the creates per second that each daemon may make, so that all daemons together stay below
// the journals' share of the platform's write limit.
func WriteRatePerDaemon(daemons int, platformWritesPerSecond float64) float64 {
	return journalWriteShare * max(platformWritesPerSecond, 0) / float64(max(daemons, 1))
}

// tokenBucket limits the rate of creates. A rate of zero means no limit.
type tokenBucket struct {
	rate      float64 // Tokens per second.
	burst     float64
	tokens    float64 // Tokens at updatedAt.
	updatedAt time.Time
}

func newTokenBucket(rate float64, burst int) tokenBucket {
	size := float64(max(burst, 1))
	return tokenBucket{rate: rate, burst: size, tokens: size}
}

// tokensAt returns the tokens at a time. If the clock goes back, no tokens are added.
func (b *tokenBucket) tokensAt(now time.Time) float64 {
	if b.updatedAt.IsZero() || now.Before(b.updatedAt) {
		return b.tokens
	}
	return min(b.burst, b.tokens+now.Sub(b.updatedAt).Seconds()*b.rate)
}

func (b *tokenBucket) takeToken(now time.Time) {
	b.tokens = b.tokensAt(now) - 1
	if now.After(b.updatedAt) {
		b.updatedAt = now
	}
}

// nextTokenTime returns the earliest time at which a token is available. The zero time means that one is available now.
func (b *tokenBucket) nextTokenTime() time.Time {
	if b.rate <= 0 || b.tokens >= 1 {
		return time.Time{}
	}
	// The time is rounded up, so that the tokens at the returned time are not just below one.
	wait := time.Duration((1-b.tokens)/b.rate*float64(time.Second)) + time.Microsecond
	return b.updatedAt.Add(wait)
}
