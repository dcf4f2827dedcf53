package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/gorilla/mux"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/membership"
	"jackdawbay.dev/core/program"
	"jackdawbay.dev/daemon/peer"
)

// maxPeerBody bounds a message between daemons. An admission carries a caller's window.
const maxPeerBody = 32 << 20

// handle adapts a function from message to answer to an HTTP handler.
func handle[Message, Answer any](f func(context.Context, Message) (Answer, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var m Message
		if r.Method == http.MethodPost {
			d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPeerBody))
			if err := d.Decode(&m); err != nil {
				errkind.Write(w, errkind.Wrap(errkind.MalformedBody, err, ""))
				return
			}
		}
		answer, err := f(r.Context(), m)
		if err != nil {
			errkind.Write(w, err)
			return
		}
		writeAnswer(w, answer)
	}
}

func writeAnswer(w http.ResponseWriter, answer any) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h["Date"] = nil // Probes are the larger part of the control traffic; peers do not use the date.
	// The connection may be gone; the peer repeats the message then.
	_ = json.NewEncoder(w).Encode(answer)
}

type none struct{}

func (n *Node) peerHandler(r *router) http.Handler {
	m := mux.NewRouter()
	post := func(path string, h http.HandlerFunc) { m.HandleFunc(path, h).Methods(http.MethodPost) }
	get := func(path string, h http.HandlerFunc) { m.HandleFunc(path, h).Methods(http.MethodGet) }
	get(peer.PathProbe, handle(n.answerProbe))
	get(peer.PathRoster, handle(n.answerRoster))
	post(peer.PathMemberState, handle(n.answerMember))
	post(peer.PathRoster, handle(n.acceptRoster))
	post(peer.PathJoin, handle(n.acceptJoin))
	post(peer.PathLeave, handle(n.acceptLeave))
	post(peer.PathSuspect, handle(n.acceptSuspect))
	post(peer.PathHandover, handle(n.acceptHandover))
	post(peer.PathReclaim, handle(n.acceptReclaim))
	post(peer.PathCheckpoint, handle(n.acceptCheckpoint))
	post(peer.PathRecords, handle(n.acceptRecords))
	post(peer.PathGenerations, handle(n.answerGenerations))
	post(peer.PathEndedPrograms, handle(n.answerGone))
	post(peer.PathLeavingVMs, handle(n.acceptLeaving))
	post(peer.PathDrainEngine, handle(n.acceptDrain))
	post(peer.PathReleaseCaches, handle(n.acceptReleaseCaches))
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
		return none{}, r.endLocal(ctx, n.agent.Loop(), ref)
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
		return none{}, nil
	}))
	get(peer.PathStreams, n.serveStream)
	return n.peerOnly(m)
}

// peerOnly refuses requests without a key of the peer listener.
func (n *Node) peerOnly(next http.Handler) http.Handler {
	keys := peer.Keys(n.set.PeerKeys)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !keys.Accepts(r) {
			errkind.Write(w, errkind.New(errkind.Unauthenticated, ""))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (n *Node) answerProbe(context.Context, none) (peer.ProbeResponse, error) {
	return peer.ProbeResponse{
		Incarnation: n.agent.Incarnation(),
		Term:        n.agent.Roster().Term,
		Config:      n.config.Digest(),
		Ready:       n.ready(),
	}, nil
}

func (n *Node) answerRoster(context.Context, none) (peer.RosterUpdate, error) {
	return peer.RosterUpdate{Roster: n.agent.Roster()}, nil
}

func (n *Node) acceptRoster(_ context.Context, p peer.RosterUpdate) (none, error) {
	n.agent.ApplyRosterIfNewer(p.Roster, 0)
	return none{}, nil
}

func (n *Node) acceptJoin(ctx context.Context, m membership.Member) (peer.RosterUpdate, error) {
	r, err := n.agent.HandleJoin(ctx, m)
	return peer.RosterUpdate{Roster: r}, err
}

func (n *Node) acceptLeave(ctx context.Context, m membership.Member) (peer.RosterUpdate, error) {
	r, err := n.agent.HandleLeave(ctx, m.Incarnation)
	return peer.RosterUpdate{Roster: r}, err
}

func (n *Node) acceptSuspect(ctx context.Context, s peer.SuspectReport) (none, error) {
	go n.agent.HandleSuspect(context.WithoutCancel(ctx), s)
	return none{}, nil
}

func (n *Node) acceptHandover(ctx context.Context, h peer.HandoverRequest) (peer.HandoverResponse, error) {
	return n.agent.ReleaseShards(ctx, h), nil
}

func (n *Node) acceptReclaim(ctx context.Context, h peer.HandoverRequest) (none, error) {
	return none{}, n.agent.HandleReclaim(ctx, h)
}

func (n *Node) acceptCheckpoint(ctx context.Context, c peer.CheckpointReport) (none, error) {
	return none{}, n.agent.HandleCheckpoints(ctx, c)
}

func (n *Node) acceptRecords(_ context.Context, r peer.Records) (none, error) {
	n.config.ApplyFromPeer(r)
	return none{}, nil
}

func (n *Node) answerGenerations(_ context.Context, g peer.Generations) (peer.Records, error) {
	return peer.Records{Records: n.config.NewerThan(g.Generations)}, nil
}

func (n *Node) acceptReleaseCaches(_ context.Context, r peer.ReleaseCachesRequest) (none, error) {
	for _, p := range r.Programs {
		n.pool.ReleaseProgramCache(p)
	}
	return none{}, nil
}

func (n *Node) answerGone(ctx context.Context, g peer.ProgramIDs) (peer.ProgramIDs, error) {
	gone, err := goneLocal(ctx, n.agent.Loop(), g.Programs)
	return peer.ProgramIDs{Programs: gone}, err
}

func (n *Node) acceptDrain(_ context.Context, d peer.DrainRequest) (none, error) {
	n.pool.DrainModel(d.Group, d.Engine, d.Model, d.Until)
	return none{}, nil
}

func (n *Node) acceptLeaving(_ context.Context, l peer.LeavingVMs) (none, error) {
	n.pool.SetLeaving(l.Addresses)
	return none{}, nil
}

func streamPath(tenant, programID string, sequence uint64, offset int) string {
	q := url.Values{}
	q.Set("tenant", tenant)
	q.Set("program", programID)
	return fmt.Sprintf("%s?%s&sequence=%d&offset=%d", peer.PathStreams, q.Encode(), sequence, offset)
}

// serveStream serves an answer that this daemon makes to another daemon.
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
