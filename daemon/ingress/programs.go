package ingress

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"

	"jackdawbay.dev/api/caller"
	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/daemon/peer"
)

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The connection may be closed; there is no other way to notify the caller.
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Server) createProgram(w http.ResponseWriter, r *http.Request, tenant string) {
	var body caller.CreateProgram
	held, err := s.decodeBody(w, r, &body)
	if err != nil {
		s.rejectBody(w, r, tenant, err)
		return
	}
	defer held.Close()
	endRequest, err := s.beginRequest()
	if err != nil {
		s.reject(w, tenant, err)
		return
	}
	defer endRequest()
	created, err := s.validateAndCreate(r, tenant, body)
	if err != nil {
		s.reject(w, tenant, err)
		return
	}
	writeJSON(w, http.StatusCreated, created)
}

func (s *Server) validateAndCreate(r *http.Request, tenant string, body caller.CreateProgram) (caller.CreatedProgram, error) {
	if err := validateCreateProgram(body); err != nil {
		return caller.CreatedProgram{}, err
	}
	if body.Model != "" {
		if _, ok := s.records().Model(body.Model); !ok {
			return caller.CreatedProgram{}, errkind.New(errkind.UnknownModel, "Model: "+body.Model+".")
		}
	}
	return s.owners.Create(r.Context(), tenant, body)
}

func (s *Server) describeProgram(w http.ResponseWriter, r *http.Request, tenant string) {
	d, err := s.owners.Describe(r.Context(), peer.ProgramRef{Tenant: tenant, ID: mux.Vars(r)["id"]})
	if err != nil {
		s.reject(w, tenant, err)
		return
	}
	writeJSON(w, http.StatusOK, d.Program)
}

func (s *Server) readHistory(w http.ResponseWriter, r *http.Request, tenant string) {
	from, err := parseQueryUint(r, "from")
	if err != nil {
		s.reject(w, tenant, err)
		return
	}
	turns, err := s.owners.History(r.Context(), peer.ProgramRef{Tenant: tenant, ID: mux.Vars(r)["id"], From: from})
	if err != nil {
		s.reject(w, tenant, err)
		return
	}
	if turns == nil {
		turns = []caller.Turn{}
	}
	writeJSON(w, http.StatusOK, peer.History{Turns: turns})
}

func (s *Server) endProgram(w http.ResponseWriter, r *http.Request, tenant string) {
	id := mux.Vars(r)["id"]
	if err := s.owners.End(r.Context(), peer.ProgramRef{Tenant: tenant, ID: id}); err != nil {
		s.reject(w, tenant, err)
		return
	}
	d, err := s.owners.Describe(r.Context(), peer.ProgramRef{Tenant: tenant, ID: id})
	if err != nil {
		s.reject(w, tenant, err)
		return
	}
	writeJSON(w, http.StatusOK, d.Program)
}
