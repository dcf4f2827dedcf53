package ingress

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
)

// errNoReaders is the cause of a call that was cancelled because its response has no reader left.
var errNoReaders = errors.New("no reader is left")

// maxResponseBytes bounds the text of one response.
const maxResponseBytes = 8 << 20

// streamKey identifies the response of a call in flight. It includes the call key and the body, so that a reader never
// gets the response to another call of the same program, nor to another body under the same key, which the owner
// rejects.
type streamKey struct {
	tenant   string
	program  string
	sequence uint64
	callKey  string
	bodyHash [sha256.Size]byte
}

func (c *call) streamKey() streamKey {
	model := *c.body.Model
	model.Stream = false
	// Encoding cannot fail, because the types contain no channels or functions.
	raw, _ := json.Marshal(model)
	return streamKey{c.tenant, c.program, c.body.Sequence, c.body.CallKey, sha256.Sum256(raw)}
}

// streamRegistry holds the response streams of the calls in flight in this daemon.
type streamRegistry struct {
	readerGrace  time.Duration
	mu           sync.Mutex
	streamsByKey map[streamKey]*responseStream
}

func newStreamRegistry(readerGrace time.Duration) *streamRegistry {
	return &streamRegistry{readerGrace: readerGrace, streamsByKey: map[streamKey]*responseStream{}}
}

// responseStream buffers the text of one response. Readers can follow it from any byte offset.
type responseStream struct {
	registry *streamRegistry
	key      streamKey
	cancel   context.CancelFunc

	mu          sync.Mutex
	text        []byte
	result      *caller.Result
	err         error
	done        bool
	changed     chan struct{} // Closed and replaced when a field above changes.
	readers     int
	cancelTimer *time.Timer // Cancels the call after the grace period without a reader.
}

// getOrCreate returns the response stream of a call and whether it was created. cancel is called when the stream has had
// no reader for the grace period.
func (r *streamRegistry) getOrCreate(key streamKey, cancel context.CancelFunc) (stream *responseStream, created bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if stream, ok := r.streamsByKey[key]; ok {
		return stream, false
	}
	stream = &responseStream{registry: r, key: key, cancel: cancel, changed: make(chan struct{})}
	r.streamsByKey[key] = stream
	return stream, true
}

// lookup returns the response stream of the call with the given sequence of a program.
func (r *streamRegistry) lookup(tenant, program string, sequence uint64) (*responseStream, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, stream := range r.streamsByKey {
		if key.tenant == tenant && key.program == program && key.sequence == sequence {
			return stream, true
		}
	}
	return nil, false
}

func (r *streamRegistry) remove(key streamKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.streamsByKey, key)
}

func (s *responseStream) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *responseStream) appendText(text string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.text)+len(text) > maxResponseBytes {
		return errkind.New(errkind.UpstreamFailed, "The answer is too long.")
	}
	s.text = append(s.text, text...)
	s.notifyLocked()
	return nil
}

// setStoredText sets the text of a response that was recorded earlier.
func (s *responseStream) setStoredText(r *caller.Result) {
	if r.Turn.Message == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text = []byte(r.Turn.Message.Content)
	s.notifyLocked()
}

func (s *responseStream) textLength() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.text)
}

// finish ends the response. Attached readers still receive the end; later readers read the response from the owner's
// history.
func (s *responseStream) finish(result *caller.Result, err error) {
	s.mu.Lock()
	s.result, s.err, s.done = result, err, true
	s.notifyLocked()
	if s.cancelTimer != nil {
		s.cancelTimer.Stop()
	}
	s.mu.Unlock()
	s.registry.remove(s.key)
}

// attach registers a reader and returns the function that unregisters it. The call is cancelled when it has had no
// reader for the grace period.
func (s *responseStream) attach() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
	if s.cancelTimer != nil {
		s.cancelTimer.Stop()
	}
	return s.detach
}

func (s *responseStream) detach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	if s.readers > 0 || s.done {
		return
	}
	s.cancelTimer = time.AfterFunc(s.registry.readerGrace, s.cancelIfIdle)
}

func (s *responseStream) cancelIfIdle() {
	s.mu.Lock()
	idle := s.readers == 0 && !s.done
	s.mu.Unlock()
	if idle {
		s.cancel()
	}
}

// waitForText waits for text after a byte offset. done is true if the response has ended and no text is left.
func (s *responseStream) waitForText(ctx context.Context, offset int) (text string, done bool, err error) {
	for {
		s.mu.Lock()
		if offset > len(s.text) && s.done {
			s.mu.Unlock()
			return "", true, errkind.New(errkind.InvalidValue, "The offset is after the end of the answer.")
		}
		if offset < len(s.text) {
			text := string(s.text[offset:])
			s.mu.Unlock()
			return text, false, nil
		}
		if s.done {
			s.mu.Unlock()
			return "", true, nil
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return "", false, errkind.Wrap(errkind.CallerGone, ctx.Err(), "")
		case <-changed:
		}
	}
}

// waitForResult waits for the end of the response.
func (s *responseStream) waitForResult(ctx context.Context) (*caller.Result, error) {
	for {
		s.mu.Lock()
		done, result, err, changed := s.done, s.result, s.err, s.changed
		s.mu.Unlock()
		if done {
			return result, err
		}
		select {
		case <-ctx.Done():
			return nil, errkind.Wrap(errkind.CallerGone, ctx.Err(), "")
		case <-changed:
		}
	}
}
