package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is one attempt of a client.
type Request struct {
	Method, Path, ID string
	Header           map[string]string
	Body             string
	Deadline         time.Duration
}

// Event is one event that a client has received whole.
type Event struct {
	ID   int
	Data string
}

// Answer is what a client has received for an attempt.
type Answer struct {
	Status     int // Zero if no head was received.
	RetryAfter time.Duration
	Body       string
	Events     []Event
	Whole      bool
	Err        error
	At         time.Time
}

// NewID returns a random ID of an attempt.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // Never fails.
	return hex.EncodeToString(b[:])
}

// Send sends an attempt over a new connection and reads the answer.
func (d *Deployment) Send(g *VM, r Request) Answer {
	d.Recordf("client sends %s (%s) to %s, headers %v, body of %d bytes", shortID(r.ID), r.Path, g.Name, r.Header, len(r.Body))
	a := d.exchange(g, r)
	a.At = time.Now()
	d.Recordf("client gets for %s from %s: status %d, whole: %v, events %d, error %v%s", shortID(r.ID), g.Name, a.Status, a.Whole, len(a.Events), a.Err, textOf(a))
	return a
}

// shortID returns an ID for the record; of a long one the first 16 characters, which differ, and the length.
func shortID(id string) string {
	if len(id) <= 24 {
		return id
	}
	return fmt.Sprintf("%.16s... (%d characters)", id, len(id))
}

func textOf(a Answer) string {
	if a.Status == http.StatusOK || a.Body == "" {
		return ""
	}
	return ", body " + a.Body
}

// exchange is like Send without lines in the record.
func (d *Deployment) exchange(g *VM, r Request) Answer {
	if r.Deadline == 0 {
		r.Deadline = 3 * time.Second
	}
	if r.Method == "" {
		r.Method = http.MethodPost
	}
	conn, err := net.DialTimeout("tcp", g.Front, time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(r.Deadline + 300*time.Millisecond))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Jackdawbay-Request-Id: %s\r\nX-Jackdawbay-Deadline-Ms: %d\r\n", r.Method, r.Path, Host, r.ID, r.Deadline.Milliseconds())
	for name, value := range r.Header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	if r.Method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(r.Body))
	}
	if _, err := io.WriteString(conn, head.String()+"\r\n"+r.Body); err != nil {
		return Answer{Err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.Method})
	if err != nil {
		return Answer{Err: err}
	}
	a := Answer{Status: resp.StatusCode}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = time.Duration(s * float64(time.Second))
	}
	if resp.Header.Get("Content-Type") != "text/event-stream" {
		raw, err := io.ReadAll(resp.Body)
		a.Body, a.Err, a.Whole = string(raw), err, err == nil
		return a
	}
	a.Err = readEvents(bufio.NewReader(resp.Body), &a.Events)
	a.Whole = errors.Is(a.Err, io.EOF)
	if a.Whole {
		a.Err = nil
	}
	return a
}

// readEvents reads events until the stream ends. The error is io.EOF if it ends between two events.
func readEvents(in *bufio.Reader, events *[]Event) error {
	var e Event
	started := false
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			if errors.Is(err, io.EOF) && (started || line != "") {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		line = strings.TrimSuffix(line, "\n")
		switch {
		case line == "" && started:
			*events = append(*events, e)
			e, started = Event{}, false
		case strings.HasPrefix(line, "id: "):
			e.ID, _ = strconv.Atoi(line[len("id: "):])
			started = true
		case strings.HasPrefix(line, "data: "):
			e.Data = line[len("data: "):]
			started = true
		}
	}
}
