package records

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	v1 "jackdawbay.dev/api/records/v1"
	v2 "jackdawbay.dev/api/records/v2"
)

// setSpec sets the field of the record's kind from a validated spec in the record's version.
func (r *Record) setSpec(spec any) error {
	raw, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	switch r.Kind {
	case KindDataCentre:
		r.DataCentre, err = convertSpec(raw, func(s v1.DataCentre) DataCentre { return DataCentre(s) })
	case KindTenant:
		r.Tenant, err = convertSpec(raw, func(s v1.Tenant) Tenant { return Tenant(s) })
	case KindModel:
		r.Model, err = convertSpec(raw, modelFromV1)
	case KindResolution:
		r.Resolution, err = convertSpec(raw, func(s v1.Resolution) Resolution {
			return Resolution{Program: s.Program, CallKey: s.CallKey, Outcome: ResolutionOutcome(s.Outcome), Reason: s.Reason}
		})
	default:
		if r.Version == V1 {
			return r.setSpecV1(raw)
		}
		return r.setSpecV2(raw)
	}
	return err
}

func (r *Record) setSpecV1(raw []byte) (err error) {
	switch r.Kind {
	case KindUpstream:
		r.Upstream, err = convertSpec(raw, upstreamFromV1)
	case KindBudget:
		r.Budget, err = convertSpec(raw, budgetFromV1)
	case KindLimit:
		r.Limit, err = convertSpec(raw, limitFromV1)
	case KindPlacement:
		r.Placement, err = convertSpec(raw, placementFromV1)
	}
	return err
}

func (r *Record) setSpecV2(raw []byte) (err error) {
	switch r.Kind {
	case KindUpstream:
		r.Upstream, err = convertSpec(raw, upstreamFromV2)
	case KindBudget:
		r.Budget, err = convertSpec(raw, budgetFromV2)
	case KindLimit:
		r.Limit, err = convertSpec(raw, limitFromV2)
	case KindPlacement:
		r.Placement, err = convertSpec(raw, placementFromV2)
	}
	return err
}

func convertSpec[S, T any](raw []byte, f func(S) T) (*T, error) {
	var s S
	if err := json.Unmarshal(raw, &s); err != nil {
		return nil, err
	}
	t := f(s)
	return &t, nil
}

// versionedSpec returns the spec of the record as a document type of its version.
func (r Record) versionedSpec() (any, error) {
	switch {
	case r.Kind == KindDataCentre && r.DataCentre != nil:
		return v1.DataCentre(*r.DataCentre), nil
	case r.Kind == KindTenant && r.Tenant != nil:
		return v1.Tenant(*r.Tenant), nil
	case r.Kind == KindModel && r.Model != nil:
		return v1.Model(*r.Model), nil
	case r.Kind == KindResolution && r.Resolution != nil:
		s := r.Resolution
		return v1.Resolution{Program: s.Program, CallKey: s.CallKey, Outcome: string(s.Outcome), Reason: s.Reason}, nil
	case r.Kind == KindUpstream && r.Upstream != nil:
		return convertToVersion(r.Version, *r.Upstream, upstreamToV1, upstreamToV2), nil
	case r.Kind == KindBudget && r.Budget != nil:
		return convertToVersion(r.Version, *r.Budget, budgetToV1, budgetToV2), nil
	case r.Kind == KindLimit && r.Limit != nil:
		return convertToVersion(r.Version, *r.Limit, limitToV1, limitToV2), nil
	case r.Kind == KindPlacement && r.Placement != nil:
		return convertToVersion(r.Version, *r.Placement, placementToV1, placementToV2), nil
	}
	return nil, fmt.Errorf("record %s has no spec of its kind", r.Key())
}

func convertToVersion[T, A, B any](v Version, t T, toV1 func(T) A, toV2 func(T) B) any {
	if v == V1 {
		return toV1(t)
	}
	return toV2(t)
}

// durationFromSeconds converts a number of seconds. The decoder has verified that it is a whole number of milliseconds.
func durationFromSeconds(s float64) time.Duration {
	return time.Duration(math.Round(s*1000)) * time.Millisecond
}

// durationFromText parses a duration. It ignores the error, because the decoder has validated the text.
func durationFromText(s string) time.Duration {
	d, _ := time.ParseDuration(s)
	return d
}

func modelFromV1(s v1.Model) Model {
	m := Model(s)
	if len(m.Adapters) == 0 {
		m.Adapters = nil
	}
	if len(m.Replicas) == 0 {
		m.Replicas = nil
	}
	return m
}

func upstreamFromV1(s v1.Upstream) Upstream {
	u := Upstream{
		Type: UpstreamType(s.Type), Group: s.Group, DataCentre: s.DataCentre, Address: s.Address, Role: s.Role,
		Slots: s.Slots, CacheTokens: s.CacheTokens, ChecksFencing: s.ChecksFencing,
		HonoursIdempotencyKeys: s.HonoursIdempotencyKeys, OutcomeLookup: s.OutcomeLookup, Leaving: s.Leaving,
	}
	for _, r := range s.Routes {
		u.Routes = append(u.Routes, Route{Method: r.Method, PathPrefix: r.PathPrefix, Repeatable: r.Repeatable,
			Timeout: durationFromSeconds(r.TimeoutSeconds)})
	}
	return u
}

func upstreamToV1(u Upstream) v1.Upstream {
	s := v1.Upstream{
		Type: string(u.Type), Group: u.Group, DataCentre: u.DataCentre, Address: u.Address, Role: u.Role,
		Slots: u.Slots, CacheTokens: u.CacheTokens, ChecksFencing: u.ChecksFencing,
		HonoursIdempotencyKeys: u.HonoursIdempotencyKeys, OutcomeLookup: u.OutcomeLookup, Leaving: u.Leaving,
	}
	for _, r := range u.Routes {
		s.Routes = append(s.Routes, v1.Route{Method: r.Method, PathPrefix: r.PathPrefix, Repeatable: r.Repeatable,
			TimeoutSeconds: r.Timeout.Seconds()})
	}
	return s
}

// upstreamFromV2 converts a v2 upstream. It uses the v1 conversion for the fields that both versions share.
func upstreamFromV2(s v2.Upstream) Upstream {
	u := upstreamFromV1(v1.Upstream{
		Type: s.Type, Group: s.Group, DataCentre: s.DataCentre, Address: s.Address, Role: s.Role,
		Slots: s.Slots, CacheTokens: s.CacheTokens, ChecksFencing: s.ChecksFencing,
		HonoursIdempotencyKeys: s.HonoursIdempotencyKeys, OutcomeLookup: s.OutcomeLookup, Leaving: s.Leaving,
	})
	for _, r := range s.Routes {
		u.Routes = append(u.Routes, Route{Method: r.Method, PathPrefix: r.PathPrefix,
			Repeatable: r.Idempotency == v2.IdempotencySafe, Timeout: durationFromText(r.Timeout)})
	}
	return u
}

func upstreamToV2(u Upstream) v2.Upstream {
	s := v2.Upstream{
		Type: string(u.Type), Group: u.Group, DataCentre: u.DataCentre, Address: u.Address, Role: u.Role,
		Slots: u.Slots, CacheTokens: u.CacheTokens, ChecksFencing: u.ChecksFencing,
		HonoursIdempotencyKeys: u.HonoursIdempotencyKeys, OutcomeLookup: u.OutcomeLookup, Leaving: u.Leaving,
	}
	for _, r := range u.Routes {
		idempotency := v2.IdempotencyUnsafe
		if r.Repeatable {
			idempotency = v2.IdempotencySafe
		}
		s.Routes = append(s.Routes, v2.Route{Method: r.Method, PathPrefix: r.PathPrefix, Idempotency: idempotency,
			Timeout: FormatDuration(r.Timeout)})
	}
	return s
}

func budgetFromV1(s v1.Budget) Budget {
	b := Budget(s)
	if len(b.Shares) == 0 {
		b.Shares = nil
	}
	return b
}

func budgetToV1(b Budget) v1.Budget { return v1.Budget(b) }

func budgetFromV2(s v2.Budget) Budget {
	b := Budget{Tenant: s.Tenant, TokensPerProgram: s.Tokens.PerProgram, TokensPerDay: s.Tokens.PerDay, LinkBytesPerDay: s.LinkBytesPerDay}
	for _, share := range s.Shares {
		if b.Shares == nil {
			b.Shares = map[string]float64{}
		}
		b.Shares[share.DataCentre] = share.Fraction
	}
	return b
}

func budgetToV2(b Budget) v2.Budget {
	s := v2.Budget{Tenant: b.Tenant, Tokens: v2.BudgetTokens{PerProgram: b.TokensPerProgram, PerDay: b.TokensPerDay}, LinkBytesPerDay: b.LinkBytesPerDay}
	for _, dc := range slices.Sorted(maps.Keys(b.Shares)) {
		s.Shares = append(s.Shares, v2.Share{DataCentre: dc, Fraction: b.Shares[dc]})
	}
	return s
}

func limitFromV1(s v1.Limit) Limit {
	return Limit{
		Class: s.Class, MaxTurns: s.MaxTurns, QueueDepth: s.QueueDepth, CallTimeout: durationFromSeconds(s.CallTimeoutSeconds),
		ToolTimeout: durationFromSeconds(s.ToolTimeoutSeconds), ProgramExpiry: durationFromSeconds(s.ProgramExpirySeconds),
		RetryRatio: s.RetryRatio, MaxAttempts: s.MaxAttempts, Weight: s.Weight,
	}
}

func limitToV1(l Limit) v1.Limit {
	return v1.Limit{
		Class: l.Class, MaxTurns: l.MaxTurns, QueueDepth: l.QueueDepth, CallTimeoutSeconds: l.CallTimeout.Seconds(),
		ToolTimeoutSeconds: l.ToolTimeout.Seconds(), ProgramExpirySeconds: l.ProgramExpiry.Seconds(),
		RetryRatio: l.RetryRatio, MaxAttempts: l.MaxAttempts, Weight: l.Weight,
	}
}

func limitFromV2(s v2.Limit) Limit {
	return Limit{
		Class: s.Class, MaxTurns: s.MaxTurns, QueueDepth: s.QueueDepth, CallTimeout: durationFromText(s.CallTimeout),
		ToolTimeout: durationFromText(s.ToolTimeout), ProgramExpiry: durationFromText(s.ProgramExpiry),
		RetryRatio: s.Retry.Ratio, MaxAttempts: s.Retry.MaxAttempts, Weight: s.Weight,
	}
}

func limitToV2(l Limit) v2.Limit {
	return v2.Limit{
		Class: l.Class, MaxTurns: l.MaxTurns, QueueDepth: l.QueueDepth, CallTimeout: FormatDuration(l.CallTimeout),
		ToolTimeout: FormatDuration(l.ToolTimeout), ProgramExpiry: FormatDuration(l.ProgramExpiry),
		Retry: v2.Retry{Ratio: l.RetryRatio, MaxAttempts: l.MaxAttempts}, Weight: l.Weight,
	}
}

func placementFromV1(s v1.Placement) Placement {
	return Placement{
		Group: s.Group, LatencyWeight: s.LatencyWeight, CacheWeight: s.CacheWeight, LinkBytesPerSecond: s.LinkBytesPerSecond,
		AgeingPerSecond: s.AgeingPerSecond, HoldPaused: durationFromSeconds(s.HoldPausedSeconds),
	}
}

func placementToV1(p Placement) v1.Placement {
	return v1.Placement{
		Group: p.Group, LatencyWeight: p.LatencyWeight, CacheWeight: p.CacheWeight, LinkBytesPerSecond: p.LinkBytesPerSecond,
		AgeingPerSecond: p.AgeingPerSecond, HoldPausedSeconds: p.HoldPaused.Seconds(),
	}
}

func placementFromV2(s v2.Placement) Placement {
	return Placement{
		Group: s.Group, LatencyWeight: s.LatencyWeight, CacheWeight: s.CacheWeight, LinkBytesPerSecond: s.LinkBytesPerSecond,
		AgeingPerSecond: s.AgeingPerSecond, HoldPaused: durationFromText(s.HoldPaused),
	}
}

func placementToV2(p Placement) v2.Placement {
	return v2.Placement{
		Group: p.Group, LatencyWeight: p.LatencyWeight, CacheWeight: p.CacheWeight, LinkBytesPerSecond: p.LinkBytesPerSecond,
		AgeingPerSecond: p.AgeingPerSecond, HoldPaused: FormatDuration(p.HoldPaused),
	}
}
