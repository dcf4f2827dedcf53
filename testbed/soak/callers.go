package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"jackdawbay.dev/testbed/deployment"
)

// connection is the kept connection of a caller. It is used until it ends.
type connection struct {
	to   *deployment.VM
	keep *deployment.Connection
}

func (c *connection) send(g *deployment.VM, call deployment.Call) deployment.Response {
	if c == nil {
		return deployment.Send(g, call)
	}
	if c.keep == nil || c.to != g {
		c.close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		keep, err := deployment.Dial(ctx, g)
		if err != nil {
			return deployment.Response{Err: err}
		}
		c.keep, c.to = keep, g
	}
	a := c.keep.Send(call)
	if a.Err != nil || a.Close {
		c.close()
	}
	return a
}

func (c *connection) close() {
	if c != nil && c.keep != nil {
		c.keep.Close()
		c.keep = nil
	}
}

// caller runs programs until the end.
func (s *soak) caller(r *rand.Rand) {
	c := &connection{}
	defer c.close()
	for !s.stopped() {
		switch r.IntN(4) {
		case 0:
			s.loopingProgram(r, c)
		case 1:
			s.tools(r, c)
		default:
			s.keptProgram(r, c)
		}
	}
}

func (s *soak) gateway(r *rand.Rand) *deployment.VM { return s.d.Gateways[r.IntN(len(s.d.Gateways))] }

// keptProgram runs turns that continue each other, with tool calls between them.
func (s *soak) keptProgram(r *rand.Rand, c *connection) {
	program := deployment.NewID()
	var last *turn
	for range 2 + r.IntN(5) {
		if s.stopped() {
			return
		}
		a := deployment.Response{}
		for range 3 {
			a = s.sendTurn(s.gateway(r), c, program, last, 1<<20)
			if a.Status == http.StatusOK && a.Err == nil {
				break
			}
			time.Sleep(time.Duration(50+r.IntN(200)) * time.Millisecond)
		}
		if a.Status != http.StatusOK || a.Err != nil {
			return
		}
		s.checks.mu.Lock()
		last = s.checks.turns[len(s.checks.turns)-1]
		for i := len(s.checks.turns) - 1; i >= 0; i-- {
			if s.checks.turns[i].program == program {
				last = s.checks.turns[i]
				break
			}
		}
		s.checks.mu.Unlock()
		if r.IntN(2) == 0 {
			s.tools(r, c)
		}
	}
}

// sendTurn sends one attempt of a turn that is kept.
func (s *soak) sendTurn(g *deployment.VM, c *connection, program string, previous *turn, budget int64) deployment.Response {
	call := deployment.Call{Path: deployment.PathRetained, ID: deployment.NewID(), Program: program, Budget: budget, MaxTokens: most,
		Body: "input-" + deployment.NewID() + ";", Deadline: 2500 * time.Millisecond}
	if previous != nil {
		call.PreviousTurn = previous.id
	}
	s.checks.begin(call, previous.history()+call.Body, true)
	a := c.send(g, call)
	s.checks.end(call, a)
	if a.Status == http.StatusNotFound && previous != nil {
		s.checks.violate("%s: 404 although turn %s was acknowledged", call.ID, previous.id)
	}
	if a.Status == http.StatusOK && a.Err == nil {
		s.checks.mu.Lock()
		s.checks.turns = append(s.checks.turns, &turn{id: call.ID, program: program, input: call.Body, previous: previous})
		s.checks.mu.Unlock()
	}
	return a
}

// loopingProgram starts turns side by side until its budget is spent.
func (s *soak) loopingProgram(r *rand.Rand, c *connection) {
	program := deployment.NewID()
	budget := int64(most * (2 + r.IntN(6)))
	for range 12 {
		if s.stopped() {
			return
		}
		var side sync.WaitGroup
		spent := false
		var mu sync.Mutex
		for i := range 1 + r.IntN(3) {
			g := s.gateway(r)
			own := c
			if i > 0 {
				own = nil
			}
			side.Go(func() {
				call := deployment.Call{Path: deployment.PathResumable, ID: deployment.NewID(), Program: program, Budget: budget, MaxTokens: most, Deadline: 2500 * time.Millisecond}
				s.checks.begin(call, "", false)
				a := own.send(g, call)
				s.checks.end(call, a)
				if a.Status == http.StatusPaymentRequired {
					mu.Lock()
					spent = true
					mu.Unlock()
				}
			})
		}
		side.Wait()
		if spent && r.IntN(2) == 0 {
			return
		}
	}
}

// tools calls plain services.
func (s *soak) tools(r *rand.Rand, c *connection) {
	for range 1 + r.IntN(4) {
		call := deployment.Call{Path: deployment.PathOrder, ID: deployment.NewID(), Deadline: 1500 * time.Millisecond, Body: "order"}
		once := true
		switch r.IntN(3) {
		case 0:
			call.Path, call.Method, call.Body, once = deployment.PathLookup, http.MethodGet, "", false
		case 1:
			call.Method, call.Body = http.MethodGet, ""
		}
		if r.IntN(12) == 0 {
			call.CloseAfter = time.Duration(r.IntN(30)) * time.Millisecond
		}
		s.checks.begin(call, call.Body, once)
		a := c.send(s.gateway(r), call)
		s.checks.end(call, a)
		if a.Status == http.StatusNotFound {
			s.checks.violate("%s: 404 on a route of every configuration", call.ID)
		}
	}
}
