package replica

import (
	"maps"
	"slices"
)

// Charge is what one turn takes of its program's token budget. It is the turn's worst case until the turn has ended.
type Charge struct {
	Turn    string `json:"turn"`
	Tokens  int64  `json:"tokens"`
	Settled bool   `json:"settled,omitempty"` // Tokens is what reached the caller.
}

// Merge joins two reports of one charge. A settled charge goes before an open one; otherwise the larger one counts, so that
// the order in which reports arrive does not matter.
func (c Charge) Merge(o Charge) Charge {
	switch {
	case c.Settled != o.Settled && o.Settled:
		return o
	case c.Settled != o.Settled:
		return c
	case o.Tokens > c.Tokens:
		return o
	default:
		return c
	}
}

// Ledger is the set of charges of one program.
type Ledger map[string]Charge

// Add merges a charge and reports whether the ledger changed.
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

// Charges lists the charges, in no order.
func (l Ledger) Charges() []Charge { return slices.Collect(maps.Values(l)) }

// Spent is the sum of all charges but that of one turn.
func (l Ledger) TotalExcept(except string) int64 {
	var sum int64
	for id, c := range l {
		if id != except {
			sum += c.Tokens
		}
	}
	return sum
}

// Admits reports whether a budget holds the worst case of a turn beside all other charges.
func (l Ledger) CanAdmit(turn string, worst, budget int64) bool {
	return l.TotalExcept(turn)+worst <= budget
}
