package ingress

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbay.dev/api/errkind"
	"jackdawbay.dev/core/memory"
	"jackdawbay.dev/daemon/intake"
)

// Memory of a request, as multiples of its body.
const (
	decodingCopies = 4 // While it is decoded.
	decodedCopies  = 2 // While the request is served.
)

// retryAfterNoMemory is the time after which clients that have stopped sending give way to others.
const retryAfterNoMemory = time.Second

// decodeBody reads the body of a request and decodes it into dst. Each error has an error kind. The memory is that of the holder, which
// the caller closes; it is nil after an error.
func (s *Server) decodeBody(w http.ResponseWriter, r *http.Request, dst any) (*memory.Holder, error) {
	held := s.intake.Open()
	body, err := s.readBody(w, r, held)
	if err == nil {
		err = DecodeStrict(body, dst)
	}
	if err != nil {
		held.Close()
		return nil, err
	}
	held.Release((decodingCopies - decodedCopies) * int64(len(body)))
	return held, nil
}

func (s *Server) readBody(w http.ResponseWriter, r *http.Request, held *memory.Holder) ([]byte, error) {
	pieces, err := s.intake.Read(w, r, held, s.cfg.MaxBodyBytes)
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		return nil, errkind.Newf(errkind.BodyTooLarge, "The limit is %d bytes.", s.cfg.MaxBodyBytes)
	case errors.Is(err, intake.ErrNoProgress):
		return nil, errkind.New(errkind.BodyTimeout, "")
	case errors.IsAny(err, intake.ErrNoMemory, intake.ErrGaveWay):
		return nil, overloaded()
	case err != nil:
		return nil, errkind.Wrap(errkind.MalformedBody, err, "The body was not received whole.")
	}
	body, ok := s.intake.Join(r.Context(), held, pieces)
	if !ok || !intake.Reserve(r.Context(), held, (decodingCopies-1)*int64(len(body))) {
		return nil, overloaded()
	}
	return body, nil
}

func overloaded() error {
	return errkind.New(errkind.Overloaded, "").WithRetryAfter(retryAfterNoMemory)
}

// rejectBody rejects a request whose body may not have been read.
func (s *Server) rejectBody(w http.ResponseWriter, r *http.Request, tenant string, err error) {
	s.intake.PrepareRejection(w, r)
	s.reject(w, tenant, err)
	s.intake.Linger(w, r)
}
