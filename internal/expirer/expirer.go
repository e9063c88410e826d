// Package expirer bounds the time in which the body of a request must arrive. It does not bound its length.
package expirer

import (
	"io"
	"net/http"
	"time"
)

// Handler returns a handler that passes requests to h. A body must arrive within timeout after h was called. Later
// reads of it fail, those of net/http too, which reads what h has left and then closes the connection.
func Handler(h http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			h.ServeHTTP(w, r)
			return
		}
		rc := http.NewResponseController(w)
		_ = rc.SetReadDeadline(time.Now().Add(timeout)) // on failure, a slow body holds its connection
		limited := r.WithContext(r.Context())
		limited.Body = &body{ReadCloser: r.Body, rc: rc}
		h.ServeHTTP(w, limited)
	})
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	rc *http.ResponseController
}

// Read reads from the body. Its end removes the read deadline, by which net/http would otherwise take the caller
// for gone.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		_ = b.rc.SetReadDeadline(time.Time{})
	}
	return n, err
}
