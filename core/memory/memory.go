// Package memory decides who may use the memory of a process: which request may hold more bytes, and which ones give way when
// memory is short. It addresses the load of many clients that send large bodies and stop just short of their end. The package
// has no I/O; the time is passed in.
package memory

import (
	"container/list"
	"sync"
	"time"
)

// Decision is the result of a reservation.
type Decision int

// Values of Decision.
const (
	Refused Decision = iota // The bytes are not reserved, and nobody gives way.
	Wait                    // The bytes are not reserved. Others were told to give way; try again after Released.
	Granted                 // The bytes are reserved.
)

// Config configures an Account.
type Config struct {
	Bytes         int64         // Limit of all holders together.
	ReservedBytes int64         // Part of Bytes that only small holders and responses may use.
	SmallBytes    int64         // A holder with at most this number of bytes is small.
	StalledAfter  time.Duration // A client that has sent too little, or taken nothing, for this time has stopped.
	// ProgressBytes is the number of bytes that count as progress. With single bytes as progress, a client could keep its
	// memory by sending one now and then.
	ProgressBytes int64
}

// Account counts the bytes of all holders. It is safe for concurrent use. A nil Account grants everything.
type Account struct {
	cfg Config

	mu       sync.Mutex
	used     int64
	leaving  int64         // Bytes of holders that were told to give way and have not released them.
	awaiting *list.List    // Holders that wait for their client, in the order of its last progress.
	sending  int           // Those of them that wait for it to take a response.
	released chan struct{} // Closed at the next release; nil if nobody waits.
	evicted  uint64
	refused  uint64
}

// New returns an account.
func New(cfg Config) *Account { return &Account{cfg: cfg, awaiting: list.New()} }

// Holder is a user of the account, for example a request. Close must be called. The methods of a nil Holder grant everything.
type Holder struct {
	account      *Account
	evict        func()
	bytes        int64
	isEvicted    bool
	element      *list.Element // Set while the holder waits for its client.
	isSending    bool
	lastProgress time.Time
	sinceMark    int64 // Bytes received since lastProgress.
}

// Open adds a holder without bytes.
func (a *Account) Open() *Holder {
	if a == nil {
		return nil
	}
	return &Holder{account: a}
}

// Usage describes the state of an account.
type Usage struct {
	Bytes     int64  // Reserved bytes.
	Receiving int    // Holders whose client is sending.
	Evicted   uint64 // Holders that were told to give way so far.
	Refused   uint64 // Refused reservations so far.
}

// Usage returns the state of the account.
func (a *Account) Usage() Usage {
	if a == nil {
		return Usage{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return Usage{Bytes: a.used, Receiving: a.awaiting.Len() - a.sending, Evicted: a.evicted, Refused: a.refused}
}

// Released returns a channel that is closed when bytes are released.
func (a *Account) Released() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.released == nil {
		a.released = make(chan struct{})
	}
	return a.released
}

// Account returns the account of the holder.
func (h *Holder) Account() *Account {
	if h == nil {
		return nil
	}
	return h.account
}

// StartReceiving marks the client of the holder as sending. From now on, the holder may have to give way: evict is then called
// once, without a lock held. It must not block.
func (h *Holder) StartReceiving(now time.Time, evict func()) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.await(now, evict)
}

// StartSending marks that the client of the holder has to take a part of its response. It is like StartReceiving; the progress is
// StopSending.
func (h *Holder) StartSending(now time.Time, evict func()) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.await(now, evict)
	h.isSending = true
	h.account.sending++
}

// StopSending marks that the client has taken the part.
func (h *Holder) StopSending() { h.StopReceiving() }

func (h *Holder) await(now time.Time, evict func()) {
	h.unlist()
	h.evict, h.lastProgress, h.sinceMark = evict, now, 0
	if !h.isEvicted {
		h.element = h.account.awaiting.PushBack(h)
	}
}

// Received records bytes that have arrived from the client.
func (h *Holder) Received(now time.Time, n int64) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.sinceMark += n; h.sinceMark < h.account.cfg.ProgressBytes || h.element == nil {
		return
	}
	h.lastProgress, h.sinceMark = now, 0
	h.account.awaiting.MoveToBack(h.element)
}

// StopReceiving marks that the client does not send any more. It reports whether the holder was told to give way.
func (h *Holder) StopReceiving() (evicted bool) {
	if h == nil {
		return false
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.unlist()
	return h.isEvicted
}

func (h *Holder) unlist() {
	if h.element != nil {
		h.account.awaiting.Remove(h.element)
		h.element = nil
	}
	if h.isSending {
		h.isSending = false
		h.account.sending--
	}
}

// Reserve reserves bytes for data of the client. When memory is short, holders whose clients have stopped sending or reading give way,
// the longest silent first. Holders that make progress keep their bytes. A small holder may use the reserved part, and any
// stopped holder gives way to it; a large holder gets memory only from large ones.
func (h *Holder) Reserve(now time.Time, n int64) Decision { return h.reserve(now, n, false) }

// ReserveResponse reserves bytes for data that cannot be refused without loss, since the request may have run. It may use the
// reserved part.
func (h *Holder) ReserveResponse(now time.Time, n int64) Decision { return h.reserve(now, n, true) }

func (h *Holder) reserve(now time.Time, n int64, isResponse bool) Decision {
	if h == nil {
		return Granted
	}
	a := h.account
	a.mu.Lock()
	if h.isEvicted {
		a.refused++
		a.mu.Unlock()
		return Refused
	}
	isPreferred := isResponse || h.bytes+n <= a.cfg.SmallBytes
	limit := a.cfg.Bytes
	if !isPreferred {
		limit -= a.cfg.ReservedBytes
	}
	if a.used+n <= limit {
		a.used += n
		h.bytes += n
		a.mu.Unlock()
		return Granted
	}
	victims, found := a.stalledHolders(now, a.used-a.leaving+n-limit, h, isPreferred)
	if !found {
		a.refused++
		a.mu.Unlock()
		return Refused
	}
	for _, v := range victims {
		a.markEvicted(v)
	}
	a.mu.Unlock()
	for _, v := range victims {
		v.evict()
	}
	return Wait
}

// stalledHolders returns holders whose clients have stopped sending and that have at least the missing bytes together. It
// reports false if there are not enough.
func (a *Account) stalledHolders(now time.Time, missing int64, except *Holder, includeSmall bool) ([]*Holder, bool) {
	var victims []*Holder
	for e := a.awaiting.Front(); e != nil && missing > 0; e = e.Next() {
		v := e.Value.(*Holder)
		if now.Sub(v.lastProgress) < a.cfg.StalledAfter {
			break
		}
		if v == except || v.bytes == 0 || !includeSmall && v.bytes <= a.cfg.SmallBytes {
			continue
		}
		victims = append(victims, v)
		missing -= v.bytes
	}
	return victims, missing <= 0
}

func (a *Account) markEvicted(h *Holder) {
	h.unlist()
	h.isEvicted = true
	a.leaving += h.bytes
	a.evicted++
}

// EvictStalled tells the holder whose client has been silent for longest to give way, for example because connections are
// short. It reports false if no client has stopped sending.
func (a *Account) EvictStalled(now time.Time) bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	e := a.awaiting.Front()
	if e == nil || now.Sub(e.Value.(*Holder).lastProgress) < a.cfg.StalledAfter {
		a.mu.Unlock()
		return false
	}
	h := e.Value.(*Holder)
	a.markEvicted(h)
	a.mu.Unlock()
	h.evict()
	return true
}

// Add counts bytes without a decision. It is for memory that is in use already or that is bounded elsewhere.
func (h *Holder) Add(n int64) {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.used += n
	h.bytes += n
	if h.isEvicted {
		h.account.leaving += n
	}
}

// Release returns bytes, at most those that the holder has. A request that is aborted closes its holder before its parts end.
func (h *Holder) Release(n int64) {
	if h == nil || n == 0 {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.release(min(n, h.bytes))
}

func (h *Holder) release(n int64) {
	a := h.account
	a.used -= n
	h.bytes -= n
	if h.isEvicted {
		a.leaving -= n
	}
	if a.released != nil {
		close(a.released)
		a.released = nil
	}
}

// Close returns all bytes of the holder. Later calls do nothing.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.unlist()
	h.release(h.bytes)
}
