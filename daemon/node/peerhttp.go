package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/membership"
	"jackdawbay.dev/core/program"
	"jackdawbay.dev/daemon/intake"
	"jackdawbay.dev/daemon/peer"
)

// maxPeerBodyBytes bounds a message between daemons. An admission request contains the caller's window.
const maxPeerBodyBytes = 32 << 20

// handle adapts a function from message to response to an HTTP handler.
func handle[Message, Response any](f func(context.Context, Message) (Response, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var m Message
		if r.Method == http.MethodPost {
			d := json.NewDecoder(r.Body)
			if err := d.Decode(&m); err != nil {
				errkind.Write(w, errkind.Wrap(errkind.MalformedBody, err, ""))
				return
			}
		}
		response, err := f(r.Context(), m)
		if err != nil {
			errkind.Write(w, err)
			return
		}
		writeResponse(w, response)
	}
}

func writeResponse(w http.ResponseWriter, response any) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h["Date"] = nil // Omitted to save bytes: most of the control traffic is probes, and peers do not use the date.
	// The connection may be closed; the peer then retries the message.
	_ = json.NewEncoder(w).Encode(response)
}

type empty struct{}

func (n *Node) newPeerHandler(r *router) http.Handler {
	m := mux.NewRouter()
	post := func(path string, h http.HandlerFunc) { m.HandleFunc(path, h).Methods(http.MethodPost) }
	get := func(path string, h http.HandlerFunc) { m.HandleFunc(path, h).Methods(http.MethodGet) }
	get(peer.PathProbe, handle(n.handleProbe))
	get(peer.PathRoster, handle(n.handleGetRoster))
	post(peer.PathMemberState, handle(n.handleMemberState))
	post(peer.PathRoster, handle(n.handleRosterUpdate))
	post(peer.PathJoin, handle(n.handleJoin))
	post(peer.PathLeave, handle(n.handleLeave))
	post(peer.PathSuspect, handle(n.handleSuspect))
	post(peer.PathHandover, handle(n.handleHandover))
	post(peer.PathReclaim, handle(n.handleReclaim))
	post(peer.PathCheckpoint, handle(n.handleCheckpoints))
	post(peer.PathRecords, handle(n.handleRecords))
	post(peer.PathGenerations, handle(n.handleGenerations))
	post(peer.PathEndedPrograms, handle(n.handleEndedPrograms))
	post(peer.PathLeavingVMs, handle(n.handleLeavingVMs))
	post(peer.PathDrainEngine, handle(n.handleDrain))
	post(peer.PathReleaseCaches, handle(n.handleReleaseCaches))
	post(peer.PathCreateProgram, handle(func(ctx context.Context, c peer.CreateRequest) (any, error) {
		return r.createLocal(ctx, n.agent.Loop(), c)
	}))
	post(peer.PathDescribeProgram, handle(func(ctx context.Context, ref peer.ProgramRef) (any, error) {
		return describeLocal(ctx, n.agent.Loop(), ref)
	}))
	post(peer.PathProgramHistory, handle(func(ctx context.Context, ref peer.ProgramRef) (any, error) {
		return historyLocal(ctx, n.agent.Loop(), ref)
	}))
	post(peer.PathEndProgram, handle(func(ctx context.Context, ref peer.ProgramRef) (any, error) {
		return empty{}, r.endLocal(ctx, n.agent.Loop(), ref)
	}))
	post(peer.PathAdmitCall, handle(func(ctx context.Context, req program.AdmitRequest) (any, error) {
		return r.admitLocal(ctx, n.agent.Loop(), req)
	}))
	post(peer.PathCompleteCall, handle(func(ctx context.Context, c program.Completion) (any, error) {
		return r.completeLocal(ctx, n.agent.Loop(), c)
	}))
	post(peer.PathAcquireSlot, handle(n.pool.Acquire))
	post(peer.PathGroupLoad, handle(func(_ context.Context, g peer.GroupRef) (any, error) {
		return n.pool.Load(g.Group), nil
	}))
	post(peer.PathReleaseSlot, handle(func(_ context.Context, rel peer.ReleaseRequest) (any, error) {
		n.pool.Release(rel)
		return empty{}, nil
	}))
	get(peer.PathStreams, n.serveStream)
	return n.requirePeerKey(m)
}

// requirePeerKey rejects requests without a key of the peer listener.
func (n *Node) requirePeerKey(next http.Handler) http.Handler {
	keys := peer.Keys(n.settings.PeerKeys)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !keys.Accepts(r) {
			errkind.Write(w, errkind.New(errkind.Unauthenticated, ""))
			return
		}
		n.intake.Buffered(next, maxPeerBodyBytes, func(w http.ResponseWriter, err error) {
			if errors.Is(err, intake.ErrTooLarge) {
				errkind.Write(w, errkind.New(errkind.BodyTooLarge, ""))
				return
			}
			errkind.Write(w, errkind.New(errkind.Overloaded, ""))
		}).ServeHTTP(w, r)
	})
}

func (n *Node) handleProbe(context.Context, empty) (peer.ProbeResponse, error) {
	return peer.ProbeResponse{
		Incarnation: n.agent.Incarnation(),
		Term:        n.agent.Roster().Term,
		Config:      n.config.Digest(),
		Ready:       n.isReady(),
	}, nil
}

func (n *Node) handleGetRoster(context.Context, empty) (peer.RosterUpdate, error) {
	return peer.RosterUpdate{Roster: n.agent.Roster()}, nil
}

func (n *Node) handleRosterUpdate(_ context.Context, p peer.RosterUpdate) (empty, error) {
	n.agent.ApplyRosterIfNewer(p.Roster, 0)
	return empty{}, nil
}

func (n *Node) handleJoin(ctx context.Context, m membership.Member) (peer.RosterUpdate, error) {
	r, err := n.agent.HandleJoin(ctx, m)
	return peer.RosterUpdate{Roster: r}, err
}

func (n *Node) handleLeave(ctx context.Context, m membership.Member) (peer.RosterUpdate, error) {
	r, err := n.agent.HandleLeave(ctx, m.Incarnation)
	return peer.RosterUpdate{Roster: r}, err
}

func (n *Node) handleSuspect(ctx context.Context, s peer.SuspectReport) (empty, error) {
	go n.agent.HandleSuspect(context.WithoutCancel(ctx), s)
	return empty{}, nil
}

func (n *Node) handleHandover(ctx context.Context, h peer.HandoverRequest) (peer.HandoverResponse, error) {
	return n.agent.ReleaseShards(ctx, h), nil
}

func (n *Node) handleReclaim(ctx context.Context, h peer.HandoverRequest) (empty, error) {
	return empty{}, n.agent.HandleReclaim(ctx, h)
}

func (n *Node) handleCheckpoints(ctx context.Context, c peer.CheckpointReport) (empty, error) {
	return empty{}, n.agent.HandleCheckpoints(ctx, c)
}

func (n *Node) handleRecords(_ context.Context, r peer.Records) (empty, error) {
	n.config.ApplyFromPeer(r)
	return empty{}, nil
}

func (n *Node) handleGenerations(_ context.Context, g peer.Generations) (peer.Records, error) {
	return peer.Records{Records: n.config.NewerThan(g.Generations)}, nil
}

func (n *Node) handleReleaseCaches(_ context.Context, r peer.ReleaseCachesRequest) (empty, error) {
	for _, p := range r.Programs {
		n.pool.ReleaseProgramCache(p)
	}
	return empty{}, nil
}

func (n *Node) handleEndedPrograms(ctx context.Context, request peer.ProgramIDs) (peer.ProgramIDs, error) {
	ended, err := endedProgramsLocal(ctx, n.agent.Loop(), request.Programs)
	return peer.ProgramIDs{Programs: ended}, err
}

func (n *Node) handleDrain(_ context.Context, d peer.DrainRequest) (empty, error) {
	n.pool.DrainModel(d.Group, d.Engine, d.Model, d.Until)
	return empty{}, nil
}

func (n *Node) handleLeavingVMs(_ context.Context, l peer.LeavingVMs) (empty, error) {
	n.pool.SetLeaving(l.Addresses)
	return empty{}, nil
}

func streamPath(tenant, programID string, sequence uint64, offset int) string {
	q := url.Values{}
	q.Set("tenant", tenant)
	q.Set("program", programID)
	return fmt.Sprintf("%s?%s&sequence=%d&offset=%d", peer.PathStreams, q.Encode(), sequence, offset)
}

// serveStream serves the response of a call in flight in this daemon to another daemon.
func (n *Node) serveStream(w http.ResponseWriter, r *http.Request) {
	var sequence uint64
	var offset int
	q := r.URL.Query()
	if _, err := fmt.Sscan(q.Get("sequence"), &sequence); err != nil {
		errkind.Write(w, errkind.Wrap(errkind.InvalidValue, err, ""))
		return
	}
	if _, err := fmt.Sscan(q.Get("offset"), &offset); err != nil {
		errkind.Write(w, errkind.Wrap(errkind.InvalidValue, err, ""))
		return
	}
	if !n.ingress.ServeActiveStream(w, r, q.Get("tenant"), q.Get("program"), sequence, offset) {
		errkind.Write(w, errkind.New(errkind.StreamGone, ""))
	}
}
