package replica

import (
	"maps"
	"slices"
)

// Charge is the amount that one turn takes from its program's token budget. While the turn is in progress, it is an upper
// bound of the turn's tokens.
type Charge struct {
	Turn    string `json:"turn"`
	Tokens  int64  `json:"tokens"`
	Settled bool   `json:"settled,omitempty"` // The turn has ended, and Tokens is the number that was delivered to the caller.

	// Version is the version of the upstream that began the stream of the turn; empty if it is unknown. The one with the highest
	// Attempt is right, since a turn may get to several upstreams before its first event.
	Version string `json:"version,omitempty"`
	Attempt int    `json:"attempt,omitempty"`
}

// Merge combines two reports of the same charge. A settled charge takes precedence over an open one. Otherwise the larger
// charge takes precedence. The version is that of the highest attempt in either report, also if the other one is settled. The
// result does not depend on the order in which reports arrive.
func (c Charge) Merge(other Charge) Charge {
	merged, versioned := c, c
	if other.Settled != c.Settled && other.Settled || other.Settled == c.Settled && other.Tokens > c.Tokens {
		merged = other
	}
	if other.Attempt > c.Attempt || other.Attempt == c.Attempt && other.Version > c.Version {
		versioned = other
	}
	merged.Version, merged.Attempt = versioned.Version, versioned.Attempt
	return merged
}

// Ledger maps the turns of one program to their charges.
type Ledger map[string]Charge

// Add merges a charge into the ledger and reports whether the ledger changed.
func (l Ledger) Add(c Charge) bool {
	old, ok := l[c.Turn]
	if !ok {
		l[c.Turn] = c
		return true
	}
	merged := old.Merge(c)
	l[c.Turn] = merged
	return merged != old
}

// Charges returns all charges in unspecified order.
func (l Ledger) Charges() []Charge { return slices.Collect(maps.Values(l)) }

// TotalExcept returns the token total of all charges except that of one turn.
func (l Ledger) TotalExcept(except string) int64 {
	var total int64
	for id, c := range l {
		if id != except {
			total += c.Tokens
		}
	}
	return total
}

// CanAdmit reports whether a turn of up to maxTokens fits in the budget together with all other charges.
func (l Ledger) CanAdmit(turn string, maxTokens, budget int64) bool {
	return l.TotalExcept(turn)+maxTokens <= budget
}
