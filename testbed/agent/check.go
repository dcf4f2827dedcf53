package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/client"
	"jackdawbay.dev/daemon/clock"
)

// CheckConfig describes the final check.
type CheckConfig struct {
	Topology            Topology
	Reports             []Report
	ResponseTimeout     time.Duration // Bound of waiting for the daemons' answers.
	CacheReleaseTimeout time.Duration // Time within which no engine holds cache of an ended program.
}

// Check compares reports with the ledgers of the services, the histories and budgets at the daemons and the caches of the
// engines. It returns every violation.
func Check(ctx context.Context, cfg CheckConfig) ([]string, error) {
	c := &checker{cfg: cfg}
	runs, err := c.runs(ctx)
	if err != nil {
		return nil, err
	}
	c.checkOrders(runs)
	c.checkMixing()
	for _, r := range cfg.Reports {
		for _, p := range r.Programs {
			c.checkProgram(ctx, p)
		}
	}
	c.checkCaches(ctx)
	return c.violations, nil
}

type checker struct {
	cfg        CheckConfig
	violations []string
}

func (c *checker) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// runs returns the runs of every business key, summed over all services.
func (c *checker) runs(ctx context.Context) (map[string]int, error) {
	total := map[string]int{}
	for name, url := range c.cfg.Topology.ServiceURLs {
		var body struct {
			Runs map[string]int `json:"runs"`
		}
		if err := c.get(ctx, url+"/control/runs", &body); err != nil {
			return nil, errors.Wrapf(err, "ledger of %s", name)
		}
		for key, n := range body.Runs {
			total[key] += n
		}
	}
	return total, nil
}

func (c *checker) get(ctx context.Context, url string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ResponseTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.cfg.Topology.UpstreamKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	const maxBytes = 16 << 20
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s: status %d: %.200s", url, resp.StatusCode, raw)
	}
	return json.Unmarshal(raw, into)
}

// checkOrders checks that each key ran at most once and that the caller was told the truth about it.
func (c *checker) checkOrders(runs map[string]int) {
	for key, n := range runs {
		if n > 1 {
			c.violation("key %s ran %d times", key, n)
		}
	}
	for _, r := range c.cfg.Reports {
		for _, p := range r.Programs {
			for _, o := range p.Orders {
				c.checkOrder(o, runs[o.Key])
			}
		}
	}
}

func (c *checker) checkOrder(o Order, runs int) {
	switch {
	case o.Outcome == ReportedNotRun && runs > 0:
		c.violation("order %s was refused as not run, and it ran; answers: %v", o.Key, o.Responses)
	case o.Outcome == ReportedDone && runs != 1:
		c.violation("order %s was answered as done, and it ran %d times; answers: %v", o.Key, runs, o.Responses)
	}
}

// checkMixing checks that no turn of one program names a call of another one.
func (c *checker) checkMixing() {
	owner := map[string]string{}
	for _, r := range c.cfg.Reports {
		for _, p := range r.Programs {
			for _, t := range p.Turns {
				if other, ok := owner[t.CallKey]; ok && other != p.ID {
					c.violation("call key %s is a turn of %s and of %s", t.CallKey, other, p.ID)
				}
				owner[t.CallKey] = p.ID
			}
		}
	}
}

// checkProgram compares the caller's record of a program with that of its owner.
func (c *checker) checkProgram(ctx context.Context, p Program) {
	for _, f := range p.Violations {
		c.violation("program %s: %s", p.ID, f)
	}
	if p.ID == "" {
		return
	}
	c.checkChain(p)
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ResponseTimeout)
	defer cancel()
	handle := c.handle(p.ID)
	state, err := persist(ctx, handle.Describe)
	if err != nil {
		c.violation("program %s cannot be read: %v", p.ID, err)
		return
	}
	turns, err := persist(ctx, handle.History)
	if err != nil {
		c.violation("history of %s cannot be read: %v", p.ID, err)
		return
	}
	c.compareHistory(p, state, turns)
	if state.SpentTokens > state.BudgetTokens {
		c.violation("program %s spent %d of %d tokens", p.ID, state.SpentTokens, state.BudgetTokens)
	}
	if p.RequestedBudgetTokens > 0 && state.BudgetTokens > p.RequestedBudgetTokens {
		c.violation("program %s has a budget of %d tokens, its caller asked for %d", p.ID, state.BudgetTokens, p.RequestedBudgetTokens)
	}
}

// checkChain computes the digest of the turns that the caller got.
func (c *checker) checkChain(p Program) {
	digest := caller.InitialDigest(p.ID)
	used := int64(0)
	for _, t := range p.Turns {
		next, err := caller.NextDigest(digest, t)
		if err != nil {
			c.violation("program %s: turn %d cannot be encoded: %v", p.ID, t.Sequence, err)
			return
		}
		digest = next
		used += t.Usage.Total()
	}
	if p.Digest != "" && digest != p.Digest {
		c.violation("program %s: the turns of the caller lead to another digest than its answers", p.ID)
	}
	if p.RequestedBudgetTokens > 0 && used > p.RequestedBudgetTokens {
		c.violation("program %s used %d of %d tokens", p.ID, used, p.RequestedBudgetTokens)
	}
}

// compareHistory checks that the owner's history is the caller's. Turns after those of the caller are the caller's own
// last call, whose answer it may have missed.
func (c *checker) compareHistory(p Program, state caller.Program, turns []caller.Turn) {
	if len(turns) < len(p.Turns) {
		c.violation("program %s: the owner has %d turns, the caller got %d", p.ID, len(turns), len(p.Turns))
		return
	}
	digest := caller.InitialDigest(p.ID)
	for i, t := range turns {
		if i < len(p.Turns) && !sameTurn(t, p.Turns[i]) {
			c.violation("program %s: turn %d differs from what the caller got", p.ID, i+1)
		}
		next, err := caller.NextDigest(digest, t)
		if err != nil || t.Sequence != uint64(i)+1 {
			c.violation("program %s: turn %d breaks the chain: sequence %d, %v", p.ID, i+1, t.Sequence, err)
			return
		}
		digest = next
	}
	if digest != state.Digest {
		c.violation("program %s: the history does not lead to the digest of its state", p.ID)
	}
	if len(turns) > len(p.Turns) && p.Ended {
		c.checkMissed(p, turns[len(p.Turns):])
	}
}

// checkMissed allows turns that the caller has no answer to only for orders that it was told to be unknown.
func (c *checker) checkMissed(p Program, missed []caller.Turn) {
	for _, t := range missed {
		allowed := false
		for _, o := range p.Orders {
			allowed = allowed || o.Key == t.CallKey && o.Outcome == ReportedUnknown
		}
		if !allowed {
			c.violation("program %s: the caller never got turn %d (%s)", p.ID, t.Sequence, t.CallKey)
		}
	}
}

func sameTurn(a, b caller.Turn) bool {
	if reflect.DeepEqual(a, b) {
		return true
	}
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && string(x) == string(y)
}

func (c *checker) handle(id string) *client.Program {
	cl := &client.Client{Key: c.cfg.Topology.TenantKey}
	for _, url := range c.cfg.Topology.CallerURLs {
		cl.BaseURLs = append(cl.BaseURLs, url)
	}
	return cl.Program(id)
}

// persist repeats a read until it has an answer.
func persist[T any](ctx context.Context, read func(context.Context) (T, error)) (T, error) {
	for {
		tryCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		value, err := read(tryCtx)
		cancel()
		if err == nil || !client.IsRetryable(err) || !clock.Sleep(ctx, retryInterval) {
			return value, err
		}
	}
}

// checkCaches waits until no engine holds cache of an ended program.
func (c *checker) checkCaches(ctx context.Context) {
	deadline := time.Now().Add(c.cfg.CacheReleaseTimeout)
	for {
		held, err := c.heldCaches(ctx)
		if err == nil && len(held) == 0 {
			return
		}
		if time.Now().After(deadline) || !clock.Sleep(ctx, retryInterval) {
			c.violation("engines hold cache of ended programs after %s: %s (%v)", c.cfg.CacheReleaseTimeout, strings.Join(held, ", "), err)
			return
		}
	}
}

func (c *checker) heldCaches(ctx context.Context) ([]string, error) {
	ended := map[string]bool{}
	for _, r := range c.cfg.Reports {
		for _, p := range r.Programs {
			ended[p.ID] = p.Ended
		}
	}
	var held []string
	for name, url := range c.cfg.Topology.EngineURLs {
		var body struct {
			Programs []struct {
				Program string `json:"program"`
				Tokens  int64  `json:"tokens"`
			} `json:"programs"`
		}
		if err := c.get(ctx, url+"/v1/cache", &body); err != nil {
			return nil, errors.Wrapf(err, "cache of %s", name)
		}
		for _, p := range body.Programs {
			if ended[p.Program] {
				held = append(held, fmt.Sprintf("%s: %s (%d tokens)", name, p.Program, p.Tokens))
			}
		}
	}
	return held, nil
}
