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

// errAbandoned ends an answer that no reader wants any more.
var errAbandoned = errors.New("no reader is left")

// maxAnswerBytes bounds the text of one answer.
const maxAnswerBytes = 8 << 20

// liveKey names an answer that is being made. The call key and the body are part of it, so that a reader never gets the
// answer to another call of the same program, nor to another body under the same key, which the owner refuses.
type liveKey struct {
	tenant   string
	program  string
	sequence uint64
	callKey  string
	body     [sha256.Size]byte
}

func (c *call) liveKey() liveKey {
	model := *c.body.Model
	model.Stream = false
	// The types hold no channels or functions, so encoding cannot fail.
	raw, _ := json.Marshal(model)
	return liveKey{c.tenant, c.program, c.body.Sequence, c.body.CallKey, sha256.Sum256(raw)}
}

// liveStreams holds the answers that are being made in this daemon.
type liveStreams struct {
	grace time.Duration
	mu    sync.Mutex
	byKey map[liveKey]*liveStream
}

func newLiveStreams(grace time.Duration) *liveStreams {
	return &liveStreams{grace: grace, byKey: map[liveKey]*liveStream{}}
}

// liveStream is the text of one answer so far. Readers follow it from any offset.
type liveStream struct {
	owner  *liveStreams
	key    liveKey
	cancel context.CancelFunc

	mu      sync.Mutex
	text    []byte
	result  *caller.Result
	err     error
	done    bool
	changed chan struct{}
	readers int
	timer   *time.Timer
}

// open returns the answer of a call, and whether it is new. cancel ends the call when no reader is left.
func (l *liveStreams) open(key liveKey, cancel context.CancelFunc) (st *liveStream, fresh bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if st, ok := l.byKey[key]; ok {
		return st, false
	}
	st = &liveStream{owner: l, key: key, cancel: cancel, changed: make(chan struct{})}
	l.byKey[key] = st
	return st, true
}

// find returns the answer of a program's sequence that is being made here.
func (l *liveStreams) find(tenant, program string, sequence uint64) (*liveStream, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, st := range l.byKey {
		if key.tenant == tenant && key.program == program && key.sequence == sequence {
			return st, true
		}
	}
	return nil, false
}

func (l *liveStreams) remove(key liveKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byKey, key)
}

func (s *liveStream) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *liveStream) append(text string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.text)+len(text) > maxAnswerBytes {
		return errkind.New(errkind.UpstreamFailed, "The answer is too long.")
	}
	s.text = append(s.text, text...)
	s.notifyLocked()
	return nil
}

// replay sets the text of an answer that was recorded before.
func (s *liveStream) replay(r *caller.Result) {
	if r.Turn.Message == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text = []byte(r.Turn.Message.Content)
	s.notifyLocked()
}

func (s *liveStream) length() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.text)
}

// finish ends the answer. From then on the owner's history serves it; readers that are attached still get the end.
func (s *liveStream) finish(result *caller.Result, err error) {
	s.mu.Lock()
	s.result, s.err, s.done = result, err, true
	s.notifyLocked()
	if s.timer != nil {
		s.timer.Stop()
	}
	s.mu.Unlock()
	s.owner.remove(s.key)
}

// attach counts a reader in. The returned function counts it out; when no reader is left for the grace time, the answer
// is cancelled.
func (s *liveStream) attach() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
	if s.timer != nil {
		s.timer.Stop()
	}
	return s.detach
}

func (s *liveStream) detach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	if s.readers > 0 || s.done {
		return
	}
	s.timer = time.AfterFunc(s.owner.grace, s.abandon)
}

func (s *liveStream) abandon() {
	s.mu.Lock()
	idle := s.readers == 0 && !s.done
	s.mu.Unlock()
	if idle {
		s.cancel()
	}
}

// next waits for text after an offset. done is true when the answer has ended and no text is left.
func (s *liveStream) next(ctx context.Context, offset int) (text string, done bool, err error) {
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

// wait waits for the end of the answer.
func (s *liveStream) wait(ctx context.Context) (*caller.Result, error) {
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
