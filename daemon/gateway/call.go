package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/memory"
	"jackdawbay.dev/core/placement"
	"jackdawbay.dev/core/route"
	"jackdawbay.dev/daemon/forward"
	"jackdawbay.dev/daemon/intake"
	"jackdawbay.dev/daemon/quorum"
)

// Limits of a call.
const (
	maxRejections          = 6                       // Rejections by upstreams before the caller gets an error.
	maxSends               = 8                       // Send attempts for one request, including attempts that did not reach an upstream.
	beginTimeout           = 1200 * time.Millisecond // Timeout of the replicas at the start of a turn.
	storeTimeout           = 2500 * time.Millisecond // Timeout of the replicas for storing a turn.
	defaultRequestTimeout  = 30 * time.Second        // For a request without a deadline on a route without a timeout.
	minRemaining           = 5 * time.Millisecond    // A request with less time left is not sent.
	ejectionAfterRejection = 60 * time.Millisecond   // Time for which an upstream is ejected after it rejected a request.
)

// call is the state of one request while it is served.
type call struct {
	g         *Gateway
	w         http.ResponseWriter
	r         *http.Request
	arrivedAt time.Time

	meta           RequestMeta
	route          *route.Route
	configVersion  uint64
	organisation   *route.Organisation // Nil without a valid key, which only public routes accept, or if the configuration has no organisations.
	authentication authentication
	unit           quotaUnit
	service        string
	memory         *memory.Holder
	hasMemory      bool     // The memory of a request without a body is reserved.
	bodyRead       bool     // The body of the caller was read to its end.
	upstreamBody   [][]byte // Body that is sent to the upstream, in pieces.
	callerBody     []byte   // Body that was received from the caller. Only set for turns that are stored.
	deadline       time.Time
	ctx            context.Context
	charged        bool
	tokensPerEvent int64

	excluded        map[string]bool // Upstreams that may not get the request again.
	mayHaveRun      map[string]bool // Upstreams that may have executed the request.
	usedConns       []*forward.Conn // Connections that have carried the request.
	sendCount       int
	rejections      int
	choice          placement.Choice
	timeToFirstByte time.Duration
	beginDuration   time.Duration   // Time to store the charge and to read the history.
	storeDuration   time.Duration   // Time to store the turn.
	quorumFailure   *quorum.Failure // Set if the charge and the history found no quorum.

	buffer         responseBuffer // Memory of the buffered response.
	admission      admissionResult
	retryRefused   bool // The retry budget did not allow another send.
	bufferExceeded bool // The last response exceeded the buffer limits. The request is not sent to its upstream again.
	stream         streamState
	events         *eventLog // Nil if events are not stored while they are delivered.
	version        versionState
	headWritten    bool
	status         int
	outcome        string
	finished       bool
}

func (g *Gateway) newCall(w http.ResponseWriter, r *http.Request, arrivedAt time.Time) *call {
	holder := g.cfg.Intake.Open()
	hasMemory := intake.Reserve(r.Context(), holder, requestBytes)
	return &call{
		g: g, w: w, r: r, arrivedAt: arrivedAt, memory: holder, hasMemory: hasMemory, buffer: responseBuffer{budget: &g.bufferBudget, memory: holder},
	}
}

func (c *call) serve() {
	defer c.finish()
	meta, err := c.g.cfg.Codec.DecodeRequest(c.r.Header)
	if err != nil {
		c.respondError(errkind.BadHeader, err.Error(), 0)
		return
	}
	c.meta = meta
	if !c.hasMemory {
		c.rejectBody(errkind.Overloaded, retryAfterNoMemory)
		return
	}
	table := c.g.cfg.Catalog.Table()
	if table == nil {
		c.respondError(errkind.NoConfiguration, "", retryAfterNoConfiguration)
		return
	}
	c.configVersion = table.Config.Version
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	c.route = table.Lookup(c.r.Host, path)
	if c.route == nil {
		c.respondError(errkind.RouteNotFound, "", 0)
		return
	}
	if !c.authenticate(table) || !c.acquireUnit() {
		return
	}
	if !c.readBody(table.Config.Limits.BodyBytes) {
		return
	}
	timeout := c.route.Timeout
	if c.meta.CallerTimeout > 0 && (timeout <= 0 || c.meta.CallerTimeout < timeout) {
		timeout = c.meta.CallerTimeout
	}
	if timeout <= 0 {
		timeout = defaultRequestTimeout
	}
	c.deadline = c.arrivedAt.Add(timeout)
	if c.g.exceedsStopDeadline(c.deadline) {
		c.respondError(errkind.ShuttingDown, "", retryAfterShutdown)
		return
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(c.g.stopped, cancel)()
	c.ctx = ctx
	c.service = c.route.SelectService(c.serviceKey())
	c.tokensPerEvent = max(table.Config.Services[c.service].TokensPerEvent, 1)
	c.stream.maxEvents = maxEvents(c.meta.MaxTokens, c.tokensPerEvent)
	c.excluded, c.mayHaveRun = map[string]bool{}, map[string]bool{}
	if c.route.HasPromptParts {
		c.meta.Prompt = placement.WithAffinity(c.meta.Prompt, c.meta.AffinityKey)
	}
	if !c.beginTurn() {
		return
	}
	c.dispatch()
}

// finish settles the charge, releases the buffer, and writes the metrics and the log line of the request. Later calls do
// nothing.
func (c *call) finish() {
	if c.finished {
		return
	}
	c.finished = true
	c.releaseUnit()
	c.buffer.release()
	c.memory.Close()
	c.settleCharge()
	c.countTakeUp()
	duration := time.Since(c.arrivedAt)
	c.g.stats.observeRequest(c.route, c.outcome, duration)
	if c.organisation != nil {
		c.g.stats.organisations.observe(c.organisation.Name, c.status, duration)
	}
	c.logRequest(duration)
}
