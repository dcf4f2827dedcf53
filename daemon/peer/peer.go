// Package peer defines the messages between daemons and the client that sends them. Messages are JSON over HTTP on a
// separate listener. Each request carries a key that all daemons share.
package peer

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/configstate"
	"jackdawbay.dev/core/membership"
	"jackdawbay.dev/core/program"
	"jackdawbay.dev/daemon/transport"
)

// Paths of the peer listener.
const (
	PathProbe           = "/peer/v1/probe"
	PathRoster          = "/peer/v1/roster"
	PathJoin            = "/peer/v1/join"
	PathLeave           = "/peer/v1/leave"
	PathSuspect         = "/peer/v1/suspect"
	PathHandover        = "/peer/v1/handover"
	PathReclaim         = "/peer/v1/reclaim"
	PathEndedPrograms   = "/peer/v1/programs/gone"
	PathLeavingVMs      = "/peer/v1/vms/leaving"
	PathDrainEngine     = "/peer/v1/engines/drain"
	PathReleaseCaches   = "/peer/v1/caches/release"
	PathCheckpoint      = "/peer/v1/checkpoint"
	PathRecords         = "/peer/v1/records"
	PathGenerations     = "/peer/v1/records/generations"
	PathMemberState     = "/peer/v1/members"
	PathCreateProgram   = "/peer/v1/programs"
	PathDescribeProgram = "/peer/v1/programs/describe"
	PathProgramHistory  = "/peer/v1/programs/history"
	PathEndProgram      = "/peer/v1/programs/end"
	PathAdmitCall       = "/peer/v1/calls/admit"
	PathCompleteCall    = "/peer/v1/calls/complete"
	PathAcquireSlot     = "/peer/v1/slots/acquire"
	PathGroupLoad       = "/peer/v1/slots/load"
	PathReleaseSlot     = "/peer/v1/slots/release"
	PathStreams         = "/peer/v1/streams"
)

// ProbeResponse is the response to a probe.
type ProbeResponse struct {
	Incarnation string `json:"i"`
	Term        uint64 `json:"t"`
	Config      string `json:"c"`           // Digest of the configuration in force.
	Ready       bool   `json:"r,omitempty"` // Whether the daemon serves callers.
}

// SuspectReport reports an unresponsive member.
type SuspectReport struct {
	Incarnation string `json:"incarnation"`
	Refused     bool   `json:"refused"` // The member's address refused the connection.
}

// HandoverRequest requests that an owner stops serving shards. Term is the roster term before the change.
type HandoverRequest struct {
	Term   uint64 `json:"term"`
	Shards []int  `json:"shards"`
}

// HandoverResponse lists the shards that were released after all their entries were durable.
type HandoverResponse struct {
	Released []int `json:"released"`
}

// CheckpointReport lists the checkpoints that an owner has stored. It is sent to the coordinator.
type CheckpointReport struct {
	Owner  string                  `json:"owner"`
	Shards []membership.Checkpoint `json:"shards"`
}

// MemberStateRequest requests the state of a member. Config is the digest of the coordinator's configuration.
type MemberStateRequest struct {
	Config string `json:"config"`
}

// MemberState is the state that a member reports to the coordinator.
type MemberState struct {
	Incarnation string           `json:"incarnation"`
	VM          string           `json:"vm"`
	Config      string           `json:"config"`                // Digest of the configuration in force.
	Generations map[string]int64 `json:"generations,omitempty"` // Omitted if the coordinator has the same digest.
	Shards      []int            `json:"shards"`                // Shards that the member serves.
	Unknown     []UnknownOutcome `json:"unknown,omitempty"`
	State       string           `json:"state"`
	// JournalFailing is set while the daemon cannot store its journal.
	JournalFailing bool `json:"journal_failing,omitempty"`
}

// ProgramIDs lists program ids. In a request they are the programs to look up, and in the response those that no longer run.
type ProgramIDs struct {
	Programs []string `json:"programs"`
}

// LeavingVMs lists the addresses of VMs that the platform reports as leaving. An address is an IP address, with a port if it
// names a single process.
type LeavingVMs struct {
	Addresses []string `json:"addresses"`
}

// DrainRequest stops new calls of a model to an engine until a given time.
type DrainRequest struct {
	Group  string    `json:"group"`
	Engine string    `json:"engine"`
	Model  string    `json:"model"`
	Until  time.Time `json:"until"`
}

// ReleaseCachesRequest lists ended programs whose caches can be released.
type ReleaseCachesRequest struct {
	Programs []string `json:"programs"`
}

// UnknownOutcome identifies a non-idempotent call that may have been executed.
type UnknownOutcome struct {
	Program string `json:"program"`
	CallKey string `json:"call_key"`
}

// Records carries stored records between peers.
type Records struct {
	Records []configstate.StoredRecord `json:"records"`
}

// Generations lists the generations of a daemon's records.
type Generations struct {
	Generations map[string]int64 `json:"generations"`
}

// CreateRequest requests that an owner starts a program.
type CreateRequest struct {
	Tenant string               `json:"tenant"`
	ID     string               `json:"id"`
	Body   caller.CreateProgram `json:"body"`
}

// ProgramRef identifies a program of a tenant.
type ProgramRef struct {
	Tenant string `json:"tenant"`
	ID     string `json:"id"`
	From   uint64 `json:"from,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// ProgramDescription is the state of a program. Ingress is the daemon that sends its call in flight.
type ProgramDescription struct {
	Program  caller.Program `json:"program"`
	Ingress  string         `json:"ingress,omitempty"`
	InFlight uint64         `json:"in_flight,omitempty"` // Sequence number of the call in flight; zero if there is none.
}

// History is a part of a program's turns.
type History struct {
	Turns []caller.Turn `json:"turns"`
}

// AcquireRequest requests an engine slot from a dispatcher. The response is sent when the slot is granted.
type AcquireRequest struct {
	Ticket         string    `json:"ticket"`
	Group          string    `json:"group"`
	Program        string    `json:"program"`
	Parent         string    `json:"parent,omitempty"`
	Tenant         string    `json:"tenant"`
	Class          string    `json:"class,omitempty"`
	Model          string    `json:"model"`
	PromptTokens   int64     `json:"prompt_tokens"`
	HistoryTokens  int64     `json:"history_tokens"`
	MaxTokens      int64     `json:"max_tokens"`
	ExpectedTokens int64     `json:"expected_tokens"` // Expected output tokens for the class, used to choose a data centre.
	SpentTokens    int64     `json:"spent_tokens"`
	Deadline       time.Time `json:"deadline"`
	Exclude        []string  `json:"exclude,omitempty"`   // Engines that failed for this call.
	Preferred      string    `json:"preferred,omitempty"` // Engine of the program's latest call.
}

// Slot is a granted engine slot.
type Slot struct {
	Engine  string    `json:"engine"`
	Address string    `json:"address"`
	Expires time.Time `json:"expires"`
	Load    GroupLoad `json:"load"` // Load of the engine group when the slot was granted.
}

// GroupLoad is the load of an engine group in one data centre.
type GroupLoad struct {
	DataCentre    string `json:"data_centre"`
	Slots         int    `json:"slots"`
	Running       int    `json:"running"`
	Waiting       int    `json:"waiting"`
	ServiceMillis int64  `json:"service_ms"` // Mean time for which a call holds a slot.
}

// GroupRef identifies an engine group.
type GroupRef struct {
	Group string `json:"group"`
}

// ReleaseRequest releases a slot.
type ReleaseRequest struct {
	Ticket  string       `json:"ticket"`
	Group   string       `json:"group"`
	Engine  string       `json:"engine"`
	Program string       `json:"program"`
	Failed  bool         `json:"failed,omitempty"`
	Usage   caller.Usage `json:"usage"`
}

// Messages that are defined by package program.
type (
	AdmitRequest = program.AdmitRequest
	Completion   = program.Completion
)

// RosterUpdate carries a new roster.
type RosterUpdate struct {
	Roster membership.Roster `json:"roster"`
}

// Keys are the accepted keys of the peer listener. Requests are sent with the first key. All keys are accepted, so that they
// can be rotated.
type Keys []string

// Accepts reports whether a request carries one of the keys.
func (k Keys) Accepts(r *http.Request) bool {
	providedKey, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return false
	}
	match := 0
	for _, key := range k {
		match |= subtle.ConstantTimeCompare([]byte(providedKey), []byte(key))
	}
	return match == 1
}

// ErrUnreachable means that no valid response arrived. The request may have been executed, unless the error is also
// marked with transport.ErrNotSent.
var ErrUnreachable = errors.New("daemon did not respond")

// Client sends messages to other daemons. It is safe for concurrent use.
type Client struct {
	keys      Keys
	http      *http.Client
	responses *transport.Budget
	bytes     atomic.Int64
}

// NewClient returns a client. Requests carry the first of the keys.
func NewClient(keys Keys, o transport.Options) *Client {
	return &Client{keys: keys, http: transport.NewClient(o), responses: o.ResponseBudget()}
}

// Bytes returns the number of body bytes sent and received so far.
func (c *Client) Bytes() int64 { return c.bytes.Load() }

// Post sends a message and decodes the response. An error response of the peer is returned as an errkind.Error.
func (c *Client) Post(ctx context.Context, address, path string, message, response any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	return c.do(ctx, http.MethodPost, address, path, body, response)
}

// Get sends a GET request to a peer and decodes the response.
func (c *Client) Get(ctx context.Context, address, path string, response any) error {
	return c.do(ctx, http.MethodGet, address, path, nil, response)
}

func (c *Client) do(ctx context.Context, method, address, path string, body []byte, response any) error {
	resp, err := c.Open(ctx, method, address, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := c.responses.ReadAll(resp.Body, transport.MaxResponseBytes)
	c.bytes.Add(int64(len(data)))
	if err != nil {
		return errors.Mark(err, ErrUnreachable)
	}
	if resp.StatusCode != http.StatusOK {
		return errkind.Parse(data)
	}
	if response == nil {
		return nil
	}
	if err := json.Unmarshal(data, response); err != nil {
		return errors.Mark(errors.Wrap(err, "decode response"), ErrUnreachable)
	}
	return nil
}

// Open sends a request and returns the response with an unread body, for streams.
func (c *Client) Open(ctx context.Context, method, address, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Mark(err, transport.ErrNotSent)
	}
	req.Header.Set("Authorization", "Bearer "+c.keys[0])
	req.Header.Set("User-Agent", "")
	c.bytes.Add(int64(len(body)))
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Mark(err, ErrUnreachable)
	}
	return resp, nil
}
