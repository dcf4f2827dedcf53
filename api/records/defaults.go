package records

import "time"

// DefaultClass is the class of a program that does not specify one.
const DefaultClass = "default"

// DefaultTokensPerProgram is the token limit of a program whose tenant has no budget record.
const DefaultTokensPerProgram = 2_000_000

// DefaultLimit returns the limits of a class without a record.
func DefaultLimit() Limit {
	return Limit{
		Class:         DefaultClass,
		MaxTurns:      420,
		QueueDepth:    1000,
		CallTimeout:   2 * time.Minute,
		ToolTimeout:   30 * time.Second,
		ProgramExpiry: time.Hour,
		RetryRatio:    0.1,
		MaxAttempts:   3,
		Weight:        1,
	}
}

// DefaultPlacement returns the scheduling weights of an engine group without a record.
func DefaultPlacement(group string) Placement {
	return Placement{
		Group:              group,
		LatencyWeight:      1,
		CacheWeight:        1,
		LinkBytesPerSecond: 250_000,
		AgeingPerSecond:    1,
		HoldPaused:         5 * time.Minute,
	}
}
