package gateway

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/route"
)

// authentication is the result of checking the key of a request. It is empty if the configuration has no organisations.
type authentication string

// Results of checking a key.
const (
	keyValid     authentication = "valid"
	keyMissing   authentication = "missing"   // No header Authorization.
	keyMalformed authentication = "malformed" // Several headers Authorization, or one that is not "Bearer KEY".
	keyUnknown   authentication = "unknown"   // The key belongs to no organisation of the configuration in force.
)

// authenticate determines the organisation of a request. It reports whether the request may proceed. If not, the caller has
// received an error response. Each request uses the table in force at its start, so that a withdrawn key is refused from the
// next request of an open connection on.
func (c *call) authenticate(table *route.Table) bool {
	if strings.ContainsAny(c.meta.RequestID+c.meta.Program+c.meta.PreviousTurn+c.meta.ResumedRequest, idSeparator+streamSeparator) {
		c.respondError(errkind.BadHeader, "An ID has a control character.", 0)
		return false
	}
	if !table.HasOrganisations() {
		return true
	}
	c.authentication, c.organisation = checkKey(table, c.r.Header.Values("Authorization"))
	if c.organisation != nil || c.route.Public {
		return true
	}
	c.g.stats.countUnauthenticated(c.authentication)
	c.w.Header().Set("WWW-Authenticate", "Bearer")
	c.respondError(errkind.Unauthenticated, "", 0)
	return false
}

// checkKey checks the values of the headers Authorization of a request. Several values are malformed even if one of them is
// valid, since it is not certain which one an earlier proxy has checked.
func checkKey(table *route.Table, values []string) (authentication, *route.Organisation) {
	if len(values) == 0 {
		return keyMissing, nil
	}
	if len(values) > 1 {
		return keyMalformed, nil
	}
	if _, ok := route.BearerKey(values[0]); !ok {
		return keyMalformed, nil
	}
	if o, ok := table.Authenticate(values[0]); ok {
		return keyValid, o
	}
	return keyUnknown, nil
}

// organisationName returns the name of the organisation, or an empty string.
func (c *call) organisationName() string {
	if c.organisation == nil {
		return ""
	}
	return c.organisation.Name
}

// priority returns the priority rank of the request; 0 is the highest.
func (c *call) priority() int {
	if c.organisation != nil && c.organisation.Priority != nil {
		return *c.organisation.Priority
	}
	return c.route.Priority
}

// organisationLogAttrs returns the attributes of the organisation for the log line of a request. There are none if the
// configuration has no organisations.
func (c *call) organisationLogAttrs() []any {
	if c.authentication == "" {
		return nil
	}
	return []any{"organisation", c.organisationName(), "auth", string(c.authentication)}
}

// idSeparator separates the name of an organisation from an ID in stored data. Neither contains it: names of organisations
// have no control characters, and IDs with this character are rejected. So an ID without an organisation cannot equal one of
// an organisation.
const idSeparator = "\x1f"

// storedID returns the ID under which the replicas and the turn cache keep a program or a turn of the caller. Without an
// organisation it is the ID itself. The empty ID means that there is no program or no previous turn, and stays empty.
func (c *call) storedID(id string) string {
	if c.organisation == nil || id == "" {
		return id
	}
	return c.organisation.Name + idSeparator + id
}

// callerID returns the ID that a caller sent, and its organisation, from the ID in stored data.
func callerID(stored string) (organisation, id string) {
	organisation, id, ok := strings.Cut(stored, idSeparator)
	if !ok {
		return "", stored
	}
	return organisation, id
}

// maxOrganisationSeries bounds the organisations with metrics of their own. A histogram has up to 40 lines, and a VM of a
// gateway 112 MB, while a configuration may have thousands of organisations.
const maxOrganisationSeries = 50

// organisationStats holds the metrics of organisations. The first maxOrganisationSeries organisations that send a request get
// metrics of their own, and all others share those with an empty name.
type organisationStats struct {
	set *metrics.Set

	mu     sync.Mutex
	byName map[string]organisationSeries
}

type organisationSeries struct {
	duration *metrics.Histogram
	limited  *metrics.Counter // Responses with status 429.
}

func newOrganisationStats(set *metrics.Set) *organisationStats {
	return &organisationStats{set: set, byName: map[string]organisationSeries{}}
}

// observe records a request of an organisation.
func (s *organisationStats) observe(name string, status int, duration time.Duration) {
	series := s.series(name)
	series.duration.Update(duration.Seconds())
	if status == http.StatusTooManyRequests {
		series.limited.Inc()
	}
}

// labelEscaper escapes label values. Names of organisations have no line breaks.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`)

func (s *organisationStats) series(name string) organisationSeries {
	s.mu.Lock()
	defer s.mu.Unlock()
	series, ok := s.byName[name]
	if ok {
		return series
	}
	if len(s.byName) >= maxOrganisationSeries {
		name = ""
		if series, ok = s.byName[name]; ok {
			return series
		}
	}
	labels := `{organisation="` + labelEscaper.Replace(name) + `"}`
	series = organisationSeries{
		duration: s.set.GetOrCreateHistogram("jackdawbay_organisation_request_seconds" + labels),
		limited:  s.set.GetOrCreateCounter("jackdawbay_organisation_limited_total" + labels),
	}
	s.byName[name] = series
	return series
}

// countUnauthenticated counts a response with status 401.
func (s *stats) countUnauthenticated(reason authentication) {
	s.set.GetOrCreateCounter(`jackdawbay_unauthenticated_total{reason="` + string(reason) + `"}`).Inc()
}
