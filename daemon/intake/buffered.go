package intake

import (
	"bytes"
	"io"
	"net/http"
)

// decodedCopies is the memory of a message that is decoded, as a multiple of its body.
const decodedCopies = 3

// Buffered returns a handler that reads the body of a request within the limits before it calls the next one, for bodies that are
// decoded at once. The function reject responds to a request whose body was not taken.
func (in *Intake) Buffered(next http.Handler, limit int64, reject func(w http.ResponseWriter, err error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held := in.Open()
		defer held.Close()
		pieces, err := in.Read(w, r, held, limit)
		var n int64
		readers := make([]io.Reader, len(pieces))
		for i, p := range pieces {
			n += int64(len(p))
			readers[i] = bytes.NewReader(p)
		}
		if err == nil && !Reserve(r.Context(), held, decodedCopies*n) {
			in.count(ErrNoMemory)
			err = ErrNoMemory
		}
		if err != nil {
			held.Close()
			w.Header().Set("Connection", "close")
			reject(w, err)
			in.Linger(w, r)
			return
		}
		r.Body = io.NopCloser(io.MultiReader(readers...))
		next.ServeHTTP(w, r)
	})
}
