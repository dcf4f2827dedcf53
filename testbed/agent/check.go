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

// CheckConfig configures the final check.
type CheckConfig struct {
	Topology            Topology
	Reports             []Report
	ResponseTimeout     time.Duration // Timeout of reads from daemons, services and engines.
	CacheReleaseTimeout time.Duration // Maximum time until no engine caches an ended program.
}

// Check compares the reports with the ledgers of the services, the histories and budgets at the daemons and the caches
// of the engines. It returns all violations. It returns an error if a ledger cannot be read.
func Check(ctx context.Context, cfg CheckConfig) ([]string, error) {
	c := &checker{cfg: cfg}
	runs, err := c.countRuns(ctx)
	if err != nil {
		return nil, err
	}
	c.checkOrders(runs)
	c.checkCallKeys()
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

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// countRuns returns the number of runs of every business key, summed over all services.
func (c *checker) countRuns(ctx context.Context) (map[string]int, error) {
	total := map[string]int{}
	for name, url := range c.cfg.Topology.ServiceURLs {
		var body struct {
			Runs map[string]int `json:"runs"`
		}
		if err := c.getJSON(ctx, url+"/control/runs", &body); err != nil {
			return nil, errors.Wrapf(err, "read the ledger of %s", name)
		}
		for key, n := range body.Runs {
			total[key] += n
		}
	}
	return total, nil
}

func (c *checker) getJSON(ctx context.Context, url string, result any) error {
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
	return json.Unmarshal(raw, result)
}

// checkOrders checks that each key ran at most once and that the outcome reported to the caller is correct.
func (c *checker) checkOrders(runs map[string]int) {
	for key, n := range runs {
		if n > 1 {
			c.addViolation("key %s ran %d times", key, n)
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
		c.addViolation("order %s was rejected as not run but ran; responses: %v", o.Key, o.Responses)
	case o.Outcome == ReportedDone && runs != 1:
		c.addViolation("order %s was reported as done but ran %d times; responses: %v", o.Key, runs, o.Responses)
	}
}

// checkCallKeys checks that no call key occurs in the turns of two programs.
func (c *checker) checkCallKeys() {
	owner := map[string]string{}
	for _, r := range c.cfg.Reports {
		for _, p := range r.Programs {
			for _, t := range p.Turns {
				if other, ok := owner[t.CallKey]; ok && other != p.ID {
					c.addViolation("call key %s is a turn of %s and of %s", t.CallKey, other, p.ID)
				}
				owner[t.CallKey] = p.ID
			}
		}
	}
}

// checkProgram compares the caller's record of a program with the state and history at its owner.
func (c *checker) checkProgram(ctx context.Context, p Program) {
	for _, f := range p.Violations {
		c.addViolation("program %s: %s", p.ID, f)
	}
	if p.ID == "" {
		return
	}
	c.checkDigestChain(p)
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ResponseTimeout)
	defer cancel()
	handle := c.programHandle(p.ID)
	state, err := readWithRetry(ctx, handle.Describe)
	if err != nil {
		c.addViolation("program %s cannot be read: %v", p.ID, err)
		return
	}
	turns, err := readWithRetry(ctx, handle.History)
	if err != nil {
		c.addViolation("history of %s cannot be read: %v", p.ID, err)
		return
	}
	c.compareHistory(p, state, turns)
	if state.SpentTokens > state.BudgetTokens {
		c.addViolation("program %s spent %d of %d tokens", p.ID, state.SpentTokens, state.BudgetTokens)
	}
	if p.RequestedBudgetTokens > 0 && state.BudgetTokens > p.RequestedBudgetTokens {
		c.addViolation("program %s has a budget of %d tokens, its caller requested %d", p.ID, state.BudgetTokens, p.RequestedBudgetTokens)
	}
}

// checkDigestChain checks that the turns that the caller received lead to the digest of its last response, and that
// their usage is within the requested budget.
func (c *checker) checkDigestChain(p Program) {
	digest := caller.InitialDigest(p.ID)
	usedTokens := int64(0)
	for _, t := range p.Turns {
		next, err := caller.NextDigest(digest, t)
		if err != nil {
			c.addViolation("program %s: turn %d cannot be encoded: %v", p.ID, t.Sequence, err)
			return
		}
		digest = next
		usedTokens += t.Usage.Total()
	}
	if p.Digest != "" && digest != p.Digest {
		c.addViolation("program %s: the digest of the caller's turns differs from the digest of its responses", p.ID)
	}
	if p.RequestedBudgetTokens > 0 && usedTokens > p.RequestedBudgetTokens {
		c.addViolation("program %s used %d of %d tokens", p.ID, usedTokens, p.RequestedBudgetTokens)
	}
}

// compareHistory checks that the owner's history starts with the caller's turns and is consistent. Further turns belong
// to the caller's last call, whose response it may not have received.
func (c *checker) compareHistory(p Program, state caller.Program, turns []caller.Turn) {
	if len(turns) < len(p.Turns) {
		c.addViolation("program %s: the owner has %d turns, the caller received %d", p.ID, len(turns), len(p.Turns))
		return
	}
	digest := caller.InitialDigest(p.ID)
	for i, t := range turns {
		if i < len(p.Turns) && !equalTurns(t, p.Turns[i]) {
			c.addViolation("program %s: turn %d differs from the turn that the caller received", p.ID, i+1)
		}
		next, err := caller.NextDigest(digest, t)
		if err != nil || t.Sequence != uint64(i)+1 {
			c.addViolation("program %s: turn %d breaks the digest chain: sequence %d, %v", p.ID, i+1, t.Sequence, err)
			return
		}
		digest = next
	}
	if digest != state.Digest {
		c.addViolation("program %s: the digest of the history differs from the digest of its state", p.ID)
	}
	if len(turns) > len(p.Turns) && p.Ended {
		c.checkUnreceivedTurns(p, turns[len(p.Turns):])
	}
}

// checkUnreceivedTurns reports turns that the caller did not receive, except for orders whose reported outcome is
// unknown.
func (c *checker) checkUnreceivedTurns(p Program, unreceived []caller.Turn) {
	for _, t := range unreceived {
		allowed := false
		for _, o := range p.Orders {
			allowed = allowed || o.Key == t.CallKey && o.Outcome == ReportedUnknown
		}
		if !allowed {
			c.addViolation("program %s: the caller did not receive turn %d (%s)", p.ID, t.Sequence, t.CallKey)
		}
	}
}

func equalTurns(a, b caller.Turn) bool {
	if reflect.DeepEqual(a, b) {
		return true
	}
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && string(x) == string(y)
}

func (c *checker) programHandle(id string) *client.Program {
	cl := &client.Client{Key: c.cfg.Topology.TenantKey}
	for _, url := range c.cfg.Topology.CallerURLs {
		cl.BaseURLs = append(cl.BaseURLs, url)
	}
	return cl.Program(id)
}

// readWithRetry repeats a read until it succeeds, fails with an error that is not repeatable, or the context ends.
func readWithRetry[T any](ctx context.Context, read func(context.Context) (T, error)) (T, error) {
	for {
		tryCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		value, err := read(tryCtx)
		cancel()
		if err == nil || !client.IsRetryable(err) || !clock.Sleep(ctx, retryInterval) {
			return value, err
		}
	}
}

// checkCaches waits until no engine caches an ended program, and reports a violation when the cache release timeout
// expires.
func (c *checker) checkCaches(ctx context.Context) {
	deadline := time.Now().Add(c.cfg.CacheReleaseTimeout)
	for {
		caches, err := c.cachesOfEndedPrograms(ctx)
		if err == nil && len(caches) == 0 {
			return
		}
		if time.Now().After(deadline) || !clock.Sleep(ctx, retryInterval) {
			c.addViolation("engines still cache ended programs after %s: %s (%v)", c.cfg.CacheReleaseTimeout, strings.Join(caches, ", "), err)
			return
		}
	}
}

func (c *checker) cachesOfEndedPrograms(ctx context.Context) ([]string, error) {
	ended := map[string]bool{}
	for _, r := range c.cfg.Reports {
		for _, p := range r.Programs {
			ended[p.ID] = p.Ended
		}
	}
	var caches []string
	for name, url := range c.cfg.Topology.EngineURLs {
		var body struct {
			Programs []struct {
				Program string `json:"program"`
				Tokens  int64  `json:"tokens"`
			} `json:"programs"`
		}
		if err := c.getJSON(ctx, url+"/v1/cache", &body); err != nil {
			return nil, errors.Wrapf(err, "read the cache of %s", name)
		}
		for _, p := range body.Programs {
			if ended[p.Program] {
				caches = append(caches, fmt.Sprintf("%s: %s (%d tokens)", name, p.Program, p.Tokens))
			}
		}
	}
	return caches, nil
}
