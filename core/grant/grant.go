// Package grant divides the daily token budget of a tenant. Each data centre has a share; its owners take parts of the
// share from a pool on the platform before they spend them, so that each side of a partition spends only what it holds.
// The package does no I/O.
package grant

import "time"

// Day returns the name of the day to which a time belongs, in UTC.
func Day(now time.Time) string { return now.UTC().Format("2006-01-02") }

// Pool is the part of a data centre's share that has been handed out. It is one platform object for each data centre and
// tenant.
type Pool struct {
	Day     string `json:"day"`
	Granted int64  `json:"granted"`
	WriteID string `json:"write_id"` // Identifies the write, to resolve a lost answer.
}

// Take hands out up to want tokens of a limit, and at least need. It returns zero tokens when need is not left.
func (p Pool) Allocate(day string, limit, need, want int64) (Pool, int64) {
	if p.Day < day {
		p = Pool{Day: day}
	}
	if p.Day > day {
		// Another daemon's clock is on the next day already; nothing is taken from a day that is not ours.
		return p, 0
	}
	left := limit - p.Granted
	if left < need {
		return p, 0
	}
	taken := min(max(want, need), left)
	p.Granted += taken
	return p, taken
}

// Return gives unspent tokens back.
func (p Pool) Return(day string, tokens int64) Pool {
	if p.Day == day {
		p.Granted = max(p.Granted-tokens, 0)
	}
	return p
}

// Chunk returns how many tokens a daemon takes at once: enough for several calls, and a small part of the limit, so that
// a daemon that dies strands little.
func GrantSize(limit, need int64, daemons int) int64 {
	const (
		partsPerDaemon = 20
		calls          = 4
	)
	part := limit / int64(partsPerDaemon*max(daemons, 1))
	return max(part, calls*need)
}

// account is what a daemon holds of one tenant's budget.
type account struct {
	day      string
	granted  int64
	used     int64
	reserved int64
}

// Ledger is what a daemon holds of all tenants' budgets. It is not safe for concurrent use.
type Ledger struct {
	accounts map[string]*account
}

// NewLedger returns a ledger that holds nothing.
func NewLedger() *Ledger { return &Ledger{accounts: map[string]*account{}} }

func (l *Ledger) account(day, tenant string) *account {
	a, ok := l.accounts[tenant]
	if !ok {
		a = &account{day: day}
		l.accounts[tenant] = a
	}
	if a.day < day {
		// What was reserved yesterday is settled against today, which never allows more than was granted.
		*a = account{day: day, reserved: a.reserved, granted: a.reserved}
	}
	return a
}

// Reserve sets tokens aside for a call. It returns how many tokens are missing, zero when the call may run.
func (l *Ledger) Reserve(day, tenant string, tokens int64) (missing int64) {
	a := l.account(day, tenant)
	free := a.granted - a.used - a.reserved
	if free < tokens {
		return tokens - free
	}
	a.reserved += tokens
	return 0
}

// Add puts granted tokens into the account.
func (l *Ledger) AddGrant(day, tenant string, tokens int64) {
	a := l.account(day, tenant)
	if a.day == day {
		a.granted += tokens
	}
}

// Settle ends a reservation and counts what was used. A call that another owner reserved has a reservation of zero.
func (l *Ledger) Settle(day, tenant string, reserved, used int64) {
	a := l.account(day, tenant)
	a.reserved -= reserved
	a.used += used
}

// Unused takes out what is neither used nor reserved, to be returned to the pool.
func (l *Ledger) ReleaseUnused(day, tenant string) int64 {
	a := l.account(day, tenant)
	free := max(a.granted-a.used-a.reserved, 0)
	a.granted -= free
	return free
}

// Tenants returns the tenants with an account.
func (l *Ledger) Tenants() []string {
	list := make([]string, 0, len(l.accounts))
	for t := range l.accounts {
		list = append(list, t)
	}
	return list
}
