package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/testbed/deployment"
)

// Sizes and times of the extra case.
const (
	extraServices  = 5                      // One of them crashes: a share of 0.2.
	extraShare     = 0.03                   // Share of the answers of one service that get a copy.
	extraFor       = 5 * time.Second        // Time after a crash for which they do.
	extraCrashes   = 8                      // Crashes of that service.
	extraDown      = 500 * time.Millisecond // From a crash to the restart at the same address.
	extraHeartbeat = 1200 * time.Millisecond
	extraPause     = 2200 * time.Millisecond // From the removal of the old entry to the next crash.
	extraClients   = 32
	extraWork      = 26 * time.Millisecond // As for deposit-charge on the users' sheet.
	extraZone      = "zone-a"
)

// desk is a plain service. Each start has a new ID. After a share of its answers, it sends a copy of the answer late, at the point
// where the next answer on the connection is expected.
type desk struct {
	r       *record
	id      string
	addr    string
	copies  bool
	ran     *runCounter
	entries *deployment.Deployment

	mu         sync.Mutex
	copiesFrom time.Time
	listener   net.Listener
	conns      map[net.Conn]bool
}

// runCounter counts the runs of each request over all services.
type runCounter struct {
	mu   sync.Mutex
	runs map[string][]string // Services that ran a request, by its ID.
}

func (c *runCounter) add(request, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[request] = append(c.runs[request], service)
}

func (s *desk) start() error {
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener, s.addr, s.conns = l, l.Addr().String(), map[net.Conn]bool{}
	s.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c, s.id)
		}
	}()
	s.entries.Store.Put("servers", s.id, map[string]any{"service": deployment.PlainService, "addr": s.addr, "zone": extraZone, "version": "v1",
		"slots": 6, "state": "ready", "coldLeftMs": 0, "born": time.Now().UnixMilli(), "seq": 1})
	return nil
}

func (s *desk) sendsCopies() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.copies && time.Since(s.copiesFrom) < extraFor
}

// crash ends the service like a kill of its process.
func (s *desk) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copiesFrom = time.Now()
	_ = s.listener.Close() // Errors do not matter after a crash.
	for c := range s.conns {
		_ = c.Close() // Errors do not matter after a crash.
	}
}

func (s *desk) serve(c net.Conn, id string) {
	defer func() { _ = c.Close() }() // The exchange is over.
	br := bufio.NewReader(c)
	late := ""
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		request := req.Header.Get("X-Jackdawbay-Request-Id")
		if late != "" {
			if _, err := io.WriteString(c, late); err != nil {
				return
			}
			late = ""
		}
		head := fmt.Sprintf("X-Jackdawbay-Request-Id: %s\r\nX-Jackdawbay-Instance-Id: %s\r\n", request, id)
		var answer string
		if want := req.Header.Get("X-Jackdawbay-Expect-Instance"); want != "" && want != id {
			answer = "HTTP/1.1 421 Misdirected Request\r\n" + head + "Content-Length: 0\r\n\r\n"
			s.r.logf("%s at %s answers 421 to request %s for %s", id, s.addr, request, want)
		} else {
			s.ran.add(request, id)
			s.r.logf("run at %s: request %s", id, request)
			time.Sleep(extraWork)
			answer = "HTTP/1.1 200 OK\r\n" + head + "X-Jackdawbay-Server-Stamp: " + id + "\r\nContent-Length: 4\r\n\r\ndone"
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if s.sendsCopies() && rand.Float64() < extraShare {
			late = answer
			s.r.logf("%s will send its answer to request %s once more", id, request)
		}
	}
}

// runExtra sends requests that may not be repeated, while one of five services crashes and starts again at its address with a
// new ID. The entry of the old ID is removed after three heartbeats of silence. With trouble, that service sends a copy of a
// share of its answers late.
func runExtra(o deployment.Options, r *record, trouble bool) (verdict, error) {
	o.Gateways, o.Replicas, o.Engines, o.EventsPerStream, o.ResponseDelay, o.RetainS = 8, 3, 1, 2, 2*time.Millisecond, 60
	d, err := start(o, r)
	if d != nil {
		defer d.Close()
	}
	if err != nil {
		return verdict{}, err
	}
	ran := &runCounter{runs: map[string][]string{}}
	desks := make([]*desk, extraServices)
	for i := range desks {
		desks[i] = &desk{r: r, id: fmt.Sprintf("desk-%d", i), addr: "127.0.0.1:0", copies: trouble && i == 0, ran: ran, entries: d}
		if err := desks[i].start(); err != nil {
			return verdict{}, err
		}
		defer desks[i].crash()
	}
	time.Sleep(2 * time.Second)
	var sent, served atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range extraClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			vm := d.Gateways[i%len(d.Gateways)]
			for {
				select {
				case <-stop:
					return
				default:
				}
				c := deployment.Call{Path: deployment.PathOrder, ID: deployment.NewID(), Body: "order", Deadline: 1500 * time.Millisecond}
				resp := deployment.Send(vm, c)
				sent.Add(1)
				if resp.Status == http.StatusOK {
					served.Add(1)
				} else {
					r.exchange(vm, c, resp)
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	for n := range extraCrashes {
		s := desks[0]
		old := s.id
		r.logf("%s crashes", old)
		crashedAt := time.Now()
		s.crash()
		time.Sleep(extraDown)
		s.id = fmt.Sprintf("desk-0-start-%d", n+2)
		if err := s.start(); err != nil {
			return verdict{}, err
		}
		r.logf("%s starts at the same address", s.id)
		time.Sleep(time.Until(crashedAt.Add(3 * extraHeartbeat)))
		d.Store.Remove("servers", old)
		r.logf("the entry of %s is removed", old)
		time.Sleep(extraPause)
	}
	close(stop)
	wg.Wait()
	if served.Load() == 0 {
		return verdict{}, errors.New("no request was served")
	}
	twice := 0
	ran.mu.Lock()
	defer ran.mu.Unlock()
	for request, services := range ran.runs {
		if len(services) > 1 {
			twice++
			r.logf("TWICE: request %s ran at %v", request, services)
		}
	}
	state := "HELD"
	if twice > 0 {
		state = "BROKEN"
	}
	return verdict{twice > 0, fmt.Sprintf("%s: %d of %d requests that may not be repeated ran more than once; %d were served", state, twice, sent.Load(), served.Load())}, nil
}
