package gateway

import (
	"context"
	"time"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/placement"
	"jackdawbay.dev/core/route"
)

// Limiter enforces the limits of organisations on requests per second. The function release returns the unit of a request that
// never ran.
type Limiter interface {
	Acquire(ctx context.Context, o *route.Organisation, configVersion uint64) (release func(), err error)
}

// quotaUnit is the unit of a request.
type quotaUnit struct {
	release    func() // Nil if the request needs no unit.
	acquiredAt time.Time
}

// acquireUnit takes a unit of the request's organisation. If there is none, the caller has received an error response. The body
// of a request that is refused is not read.
func (c *call) acquireUnit() bool {
	err := c.takeUnit()
	if err != nil {
		c.respondWithoutUnit(err)
	}
	return err == nil
}

func (c *call) takeUnit() error {
	if c.g.cfg.Limiter == nil || c.organisation == nil || c.organisation.RatePerSecond <= 0 {
		return nil
	}
	release, err := c.g.cfg.Limiter.Acquire(c.r.Context(), c.organisation, c.configVersion)
	if err == nil {
		c.unit = quotaUnit{release: release, acquiredAt: time.Now()}
	}
	return err
}

func (c *call) respondWithoutUnit(err error) {
	if c.r.Context().Err() != nil {
		c.abort("caller_gone")
	}
	e := errkind.From(err)
	c.respondError(e.Kind, e.Detail, e.RetryAfter)
}

// renewUnit takes another unit for a request that has not run, if its unit has expired while the body was read or the request
// waited. Otherwise requests that were held back could reach upstreams together, above the limit. If there is no unit, the
// caller has received an error response, and the request is not sent to the upstream that was chosen.
func (c *call) renewUnit(u placement.Upstream) bool {
	if c.unit.release == nil || len(c.mayHaveRun) > 0 || time.Since(c.unit.acquiredAt) < c.g.cfg.UnitLifetime {
		return true
	}
	c.unit = quotaUnit{} // It has expired, so it cannot be returned.
	err := c.takeUnit()
	if err != nil {
		c.g.upstreams.recordEnd(c.service, u.ID, false, 0)
		c.respondWithoutUnit(err)
	}
	return err == nil
}

// releaseUnit returns the unit of a request that never ran.
func (c *call) releaseUnit() {
	if c.unit.release != nil && len(c.mayHaveRun) == 0 {
		c.unit.release()
	}
	c.unit = quotaUnit{}
}
