// Package crowd simulates many clients that the operators do not control. Their request bodies are large, and most stop just
// short of their end with the connection left open. The tests check that a process stays within the memory and the file
// descriptors of its own settings, and that it still serves an ordinary request.
package crowd

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"time"
)

// connectionTimeout ends a client that the process neither answers nor disconnects.
const connectionTimeout = 60 * time.Second

// writeBytes is the size of one write of a body that is sent as fast as possible.
const writeBytes = 64 << 10

// Body describes how a client sends a request body.
type Body struct {
	Bytes      int64 // Size without the chunk framing.
	Chunked    bool  // The size is not announced.
	PieceBytes int   // Size of a chunk, or of one write of an announced body.
	StopShort  bool  // The client stops one byte (or the last chunk) before the end and leaves the connection open.
	StopAfter  int64 // The client stops after this number of bytes and leaves the connection open; zero for no such stop.
}

// Client is one connection of the crowd.
type Client struct {
	conn net.Conn
	sent chan struct{} // Closed when the client sends nothing more.

	mu     sync.Mutex
	status string // Start of the status line; empty while there is no response.
}

// Crowd is a set of clients that are connected at the same time.
type Crowd struct{ clients []*Client }

// Connect adds a client that sends a head and a body. The head ends before the header that frames the body; a client without
// a body sends exactly the head.
func (c *Crowd) Connect(address, head string, body *Body) error {
	conn, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return err
	}
	if err := conn.SetDeadline(time.Now().Add(connectionTimeout)); err != nil {
		return err
	}
	client := &Client{conn: conn, sent: make(chan struct{})}
	c.clients = append(c.clients, client)
	go client.send(head, body)
	go client.receive()
	return nil
}

// WaitUntilSent waits until every client has sent what it is going to send or was disconnected. It returns after the timeout
// also if some clients are still sending, which is no fault: a process may stop reading.
func (c *Crowd) WaitUntilSent(timeout time.Duration) (sent int) {
	deadline := time.After(timeout)
	for _, client := range c.clients {
		select {
		case <-client.sent:
			sent++
		case <-deadline:
			return sent
		}
	}
	return sent
}

// Statuses counts the clients by the status code of their response; the empty string counts those without one.
func (c *Crowd) Statuses() map[string]int {
	counts := map[string]int{}
	for _, client := range c.clients {
		client.mu.Lock()
		counts[client.status]++
		client.mu.Unlock()
	}
	return counts
}

// Close disconnects all clients.
func (c *Crowd) Close() {
	for _, client := range c.clients {
		_ = client.conn.Close() // The process may have closed it already.
	}
}

// send writes the request. It ends at the first error, which means that the process has disconnected the client.
func (c *Client) send(head string, body *Body) {
	defer close(c.sent)
	if body == nil {
		_, _ = c.conn.Write([]byte(head)) // See above.
		return
	}
	if body.Chunked {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	} else {
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n", body.Bytes)
	}
	if _, err := c.conn.Write([]byte(head)); err != nil {
		return
	}
	left := body.Bytes
	if body.StopShort && !body.Chunked {
		left--
	}
	if body.StopAfter > 0 {
		left = min(left, body.StopAfter)
	}
	piece, piecesPerWrite := bytes.Repeat([]byte{'x'}, body.PieceBytes), int64(1)
	if body.Chunked {
		piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
		piecesPerWrite = max(int64(writeBytes/len(piece)), 1) // The process cannot tell that tiny chunks are sent many at a time.
	}
	write := bytes.Repeat(piece, int(piecesPerWrite))
	for left > 0 {
		if !body.Chunked {
			write = write[:min(int64(len(write)), left)]
		} else if pieces := max(left/int64(body.PieceBytes), 1); pieces < piecesPerWrite {
			piecesPerWrite = pieces
			write = write[:pieces*int64(len(piece))]
		}
		if _, err := c.conn.Write(write); err != nil {
			return
		}
		left -= int64(body.PieceBytes) * piecesPerWrite
	}
	if body.Chunked && !body.StopShort && body.StopAfter == 0 {
		_, _ = c.conn.Write([]byte("0\r\n\r\n")) // See above.
	}
}

// receive reads the start of the response and then ignores what follows until the connection ends.
func (c *Client) receive() {
	buffer := make([]byte, 4096)
	var line []byte
	for {
		n, err := c.conn.Read(buffer)
		if len(line) < len("HTTP/1.1 200") {
			line = append(line, buffer[:n]...)
			if fields := bytes.Fields(line); len(fields) > 1 && len(fields[1]) >= 3 {
				c.mu.Lock()
				c.status = string(fields[1][:3])
				c.mu.Unlock()
			}
		}
		if err != nil {
			return
		}
	}
}
