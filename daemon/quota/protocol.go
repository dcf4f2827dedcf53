// Package quota enforces the limits of organisations on requests per second. Replicas issue units, and gateways spend one for
// each request. The decisions are in core/quota.
package quota

import (
	"time"

	"jackdawbay.dev/core/quota"
	"jackdawbay.dev/core/replica"
)

// HTTP paths on the replica listener.
const (
	PathQuota   = "/replica/v1/quota"
	PathConfirm = "/replica/v1/quota/confirm"
)

// Limits of messages.
const (
	maxMessageBytes = 64 << 10
	maxUnits        = 1 << 16 // Units in one request.
	maxRequests     = 256     // Organisations in one message.
)

// unitsRequest asks an issuer for units.
type unitsRequest struct {
	View     uint64         `json:"view"` // Version of the gateway's view.
	Disk     string         `json:"disk"` // Disk of the issuer in that view.
	Requests []organisation `json:"requests"`
}

// organisation is the part of a unitsRequest for one organisation.
type organisation struct {
	Organisation string  `json:"organisation"`
	Rate         float64 `json:"rate"`
	Burst        float64 `json:"burst"`
	Version      uint64  `json:"version"` // Version of the configuration.
	Units        int     `json:"units"`
}

// unitsResponse answers a unitsRequest, with one grant for each organisation.
type unitsResponse struct {
	Grants []grant `json:"grants"`
}

type grant struct {
	Units       int     `json:"units"`
	RetryMillis float64 `json:"retry_ms"` // Time until the next unit; zero if all units were issued.
}

// confirmRequest asks a member of the view to confirm an issuer.
type confirmRequest struct {
	From       string `json:"from"`
	Disk       string `json:"disk"`    // Disk of the member that is asked.
	IdleMillis int64  `json:"idle_ms"` // Time since the issuer or one of the others last got a request for units.
}

// confirmResponse answers a confirmRequest.
type confirmResponse struct {
	Version   uint64   `json:"version"`
	Confirmed bool     `json:"confirmed"`
	Excluded  []string `json:"excluded,omitempty"`
}

// issuerView returns the sets of a view and their quorums.
func issuerView(v replica.View) quota.View {
	view := quota.View{Version: v.Version}
	for i, set := range v.Sets {
		s := quota.Set{Quorum: v.WriteQuorumOf(i)}
		for _, m := range set {
			s.Members = append(s.Members, m.Key())
		}
		view.Sets = append(view.Sets, s)
	}
	return view
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
