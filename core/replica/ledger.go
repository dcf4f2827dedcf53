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

	// A turn that takes up a stream states the turn that began it, and the number of the last event before its own.
	Resumes string `json:"resumes,omitempty"`
	After   uint64 `json:"after,omitempty"`
}

// Merge combines two reports of the same charge. A settled charge takes precedence over an open one. Otherwise the larger
// charge takes precedence. The version is that of the highest attempt in either report, also if the other one is settled, and
// the stream that the turn takes up is that of either report. The result does not depend on the order in which reports arrive.
func (c Charge) Merge(other Charge) Charge {
	merged, versioned := c, c
	if other.Settled != c.Settled && other.Settled || other.Settled == c.Settled && other.Tokens > c.Tokens {
		merged = other
	}
	if other.Attempt > c.Attempt || other.Attempt == c.Attempt && other.Version > c.Version {
		versioned = other
	}
	merged.Version, merged.Attempt = versioned.Version, versioned.Attempt
	resumed := c
	if other.Resumes > c.Resumes || other.Resumes == c.Resumes && other.After > c.After {
		resumed = other
	}
	merged.Resumes, merged.After = resumed.Resumes, resumed.After
	return merged
}

// hasNoEvents reports whether the turn has ended and none of its events has reached the caller.
func (c Charge) hasNoEvents() bool { return c.Settled && c.Tokens == 0 }

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

// EventSource returns the turn from which a caller has an event of a stream, by the number of the event: of the turns that
// took the stream up before this event, the one that did so last. It reports false if two turns took it up after the same
// event, since nothing shows which of them the caller has read.
func (l Ledger) EventSource(begun string, event uint64) (source string, ok bool) {
	source, ok = begun, true
	after := uint64(0)
	for id, c := range l {
		if c.Resumes != begun || c.After >= event || c.After < after || c.hasNoEvents() {
			continue
		}
		ok = c.After > after
		source, after = id, c.After
	}
	return source, ok
}

// SoleVersion returns the version of the streams of all turns but one. It is empty if they differ, or if one is unknown. Turns
// that have ended without an event do not count.
func (l Ledger) SoleVersion(except string) string {
	version := ""
	for id, c := range l {
		switch {
		case id == except || c.hasNoEvents():
		case c.Version == "" || version != "" && c.Version != version:
			return ""
		default:
			version = c.Version
		}
	}
	return version
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
