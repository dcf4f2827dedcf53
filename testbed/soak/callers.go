package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"jackdawbay.dev/testbed/deployment"
)

// callerConnection is a caller's connection to a gateway. It is reused until it fails, is closed, or another gateway is chosen.
type callerConnection struct {
	target *deployment.VM
	conn   *deployment.Connection
}

func (c *callerConnection) send(g *deployment.VM, call deployment.Call) deployment.Response {
	if c == nil {
		return deployment.Send(g, call)
	}
	if c.conn == nil || c.target != g {
		c.close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		conn, err := deployment.Dial(ctx, g)
		if err != nil {
			return deployment.Response{Err: err}
		}
		c.conn, c.target = conn, g
	}
	resp := c.conn.Send(call)
	if resp.Err != nil || resp.Close {
		c.close()
	}
	return resp
}

func (c *callerConnection) close() {
	if c != nil && c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// runCaller runs programs and service calls until the run is stopped.
func (s *soakRun) runCaller(r *rand.Rand) {
	c := &callerConnection{}
	defer c.close()
	for !s.isStopped() {
		switch r.IntN(4) {
		case 0:
			s.runBudgetedProgram(r, c)
		case 1:
			s.callServices(r, c)
		default:
			s.runRetainedProgram(r, c)
		}
	}
}

func (s *soakRun) randomGateway(r *rand.Rand) *deployment.VM {
	return s.d.Gateways[r.IntN(len(s.d.Gateways))]
}

// runRetainedProgram runs turns, each of which continues the previous one, with service calls between them.
func (s *soakRun) runRetainedProgram(r *rand.Rand, c *callerConnection) {
	program := deployment.NewID()
	var last *turn
	for range 2 + r.IntN(5) {
		if s.isStopped() {
			return
		}
		resp := deployment.Response{}
		for range 3 {
			resp = s.sendTurn(s.randomGateway(r), c, program, last, 1<<20)
			if resp.Status == http.StatusOK && resp.Err == nil {
				break
			}
			time.Sleep(time.Duration(50+r.IntN(200)) * time.Millisecond)
		}
		if resp.Status != http.StatusOK || resp.Err != nil {
			return
		}
		s.checks.mu.Lock()
		last = s.checks.acknowledged[len(s.checks.acknowledged)-1]
		for i := len(s.checks.acknowledged) - 1; i >= 0; i-- {
			if s.checks.acknowledged[i].program == program {
				last = s.checks.acknowledged[i]
				break
			}
		}
		s.checks.mu.Unlock()
		if r.IntN(2) == 0 {
			s.callServices(r, c)
		}
	}
}

// sendTurn sends one attempt of a turn on the retained route and records its result.
func (s *soakRun) sendTurn(g *deployment.VM, c *callerConnection, program string, previous *turn, budget int64) deployment.Response {
	call := deployment.Call{Path: deployment.PathRetained, ID: deployment.NewID(), Program: program, Budget: budget, MaxTokens: turnTokens,
		Body: "input-" + deployment.NewID() + strings.Repeat(".", s.cfg.BodyBytes) + ";", Deadline: 2500 * time.Millisecond}
	if previous != nil {
		call.PreviousTurn = previous.id
	}
	s.checks.recordRequest(call, previous.history()+call.Body, true)
	resp := c.send(g, call)
	s.checks.checkResponse(call, resp)
	if resp.Status == http.StatusNotFound && previous != nil {
		s.checks.addViolation("%s: 404 although turn %s was acknowledged", call.ID, previous.id)
	}
	if resp.Status == http.StatusOK && resp.Err == nil {
		s.checks.mu.Lock()
		s.checks.acknowledged = append(s.checks.acknowledged, &turn{id: call.ID, program: program, input: call.Body, previous: previous})
		s.checks.mu.Unlock()
	}
	return resp
}

// runBudgetedProgram runs concurrent turns of one program until its budget is exhausted.
func (s *soakRun) runBudgetedProgram(r *rand.Rand, c *callerConnection) {
	program := deployment.NewID()
	budget := int64(turnTokens * (2 + r.IntN(6)))
	for range 12 {
		if s.isStopped() {
			return
		}
		var turns sync.WaitGroup
		exhausted := false
		var mu sync.Mutex
		for i := range 1 + r.IntN(3) {
			g := s.randomGateway(r)
			conn := c
			if i > 0 {
				conn = nil
			}
			turns.Go(func() {
				call := deployment.Call{Path: deployment.PathResumable, ID: deployment.NewID(), Program: program, Budget: budget, MaxTokens: turnTokens, Deadline: 2500 * time.Millisecond}
				s.checks.recordRequest(call, "", false)
				resp := conn.send(g, call)
				s.checks.checkResponse(call, resp)
				if resp.Status == http.StatusPaymentRequired {
					mu.Lock()
					exhausted = true
					mu.Unlock()
				}
			})
		}
		turns.Wait()
		if exhausted && r.IntN(2) == 0 {
			return
		}
	}
}

// callServices calls the plain services.
func (s *soakRun) callServices(r *rand.Rand, c *callerConnection) {
	for range 1 + r.IntN(4) {
		call := deployment.Call{Path: deployment.PathOrder, ID: deployment.NewID(), Deadline: 1500 * time.Millisecond, Body: "order"}
		atMostOnce := true
		switch r.IntN(3) {
		case 0:
			call.Path, call.Method, call.Body, atMostOnce = deployment.PathLookup, http.MethodGet, "", false
		case 1:
			call.Method, call.Body = http.MethodGet, ""
		}
		if r.IntN(12) == 0 {
			call.CloseAfter = time.Duration(r.IntN(30)) * time.Millisecond
		}
		s.checks.recordRequest(call, call.Body, atMostOnce)
		resp := c.send(s.randomGateway(r), call)
		s.checks.checkResponse(call, resp)
		if resp.Status == http.StatusNotFound {
			s.checks.addViolation("%s: 404 on a route that is in every configuration", call.ID)
		}
	}
}
