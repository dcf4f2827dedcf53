// Package relay passes the objects of the platform's store from VM to VM, so that the number of calls to the store does not
// grow with the number of VMs. A Server reads the store for others. A Mirror reads from a server, or from the store itself.
package relay

import (
	"encoding/json"
	"time"

	"jackdawbay.dev/core/placement"
	"jackdawbay.dev/daemon/platform"
)

// PathStream is the HTTP path of a server. The response is a sequence of JSON messages, one in each line. It begins with all
// objects of each kind and does not end before the server loses the store.
const PathStream = "/relay/v1/stream"

// PathReports is the HTTP path at which a server takes the reports of other VMs about upstreams that they cannot reach.
const PathReports = "/relay/v1/reports"

// kindSuspicions is the kind of the messages about upstreams that several VMs cannot reach. They are not objects of the store.
const kindSuspicions = "suspicions"

const (
	// heartbeatInterval is the max time between two messages.
	heartbeatInterval = 400 * time.Millisecond
	// silenceTimeout is the time without a message after which a server counts as failed. It allows for a pause of a VM with
	// a small share of a CPU, and is well below the time within which a configuration must be in force.
	silenceTimeout = 1300 * time.Millisecond
	// reregistrationTime is the time after an outage of the store within which missing objects may return.
	reregistrationTime = 3 * time.Second
	// maxMessageBytes limits one message. A list of the largest described deployment has 300 KB.
	maxMessageBytes = 8 << 20
)

// reports is the body of a request to PathReports.
type reports struct {
	VM        string              `json:"vm"`
	Upstreams []placement.Process `json:"upstreams"`
}

// message is one change of the objects of a kind, or a heartbeat without a kind.
type message struct {
	Kind     string            `json:"kind,omitempty"`
	Revision uint64            `json:"revision,omitempty"` // Store revision that includes the change.
	IsFull   bool              `json:"full,omitempty"`     // Objects are all objects of the kind.
	Objects  []platform.Object `json:"objects,omitempty"`
	Statuses []json.RawMessage `json:"statuses,omitempty"` // Statuses of the objects, if one of them has a status.
	Deleted  []string          `json:"deleted,omitempty"`

	// AvailableMS is the time for which the server has had the store, if that is below reregistrationTime. Objects that lapsed
	// while the store was away may still be missing.
	AvailableMS int64 `json:"available_ms,omitempty"`

	Suspected []placement.Process `json:"suspected,omitempty"` // Upstreams that several VMs cannot reach.
}

// encode returns the message as a line. A value that encoding/json cannot embed, such as a deeply nested one, is replaced by
// null. No receiver could decode it either.
func (m message) encode() ([]byte, error) {
	hasStatus := false
	objects := make([]platform.Object, len(m.Objects))
	statuses := make([]json.RawMessage, len(m.Objects))
	for i, o := range m.Objects {
		o.Value, statuses[i] = embeddable(o.Value), embeddable(o.Status)
		hasStatus = hasStatus || len(o.Status) > 0
		objects[i] = o
	}
	m.Objects = objects
	if hasStatus {
		m.Statuses = statuses
	}
	raw, err := json.Marshal(m)
	return append(raw, '\n'), err
}

func embeddable(raw json.RawMessage) json.RawMessage {
	if !json.Valid(raw) {
		return json.RawMessage("null")
	}
	return raw
}

// decodeMessage decodes a line.
func decodeMessage(line []byte) (message, error) {
	var m message
	if err := json.Unmarshal(line, &m); err != nil {
		return message{}, err
	}
	for i := range m.Objects {
		if i < len(m.Statuses) && string(m.Statuses[i]) != "null" {
			m.Objects[i].Status = m.Statuses[i]
		}
	}
	return m, nil
}
