package server

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// deadlineRecorder records the read deadline that is set when the handler returns.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (d *deadlineRecorder) SetReadDeadline(t time.Time) error {
	d.deadline = t
	return nil
}

// TestBodiesThatDoNotArrive guards against a connection and a goroutine held for each body that does not arrive:
// net/http reads, without a bound in time of its own, what a handler leaves unread.
func TestBodiesThatDoNotArrive(t *testing.T) {
	s := newRawServer(t, nil)
	s.Settings.Announce = "token"
	serve := func(method, target, token string) *deadlineRecorder {
		r := httptest.NewRequest(method, target, strings.NewReader("{}"))
		r.Header.Set("Authorization", "Bearer "+token)
		w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
		s.newHTTPServer().Handler.ServeHTTP(w, r)
		return w
	}
	for _, target := range []string{"POST /v1/announce", "POST /v1/completions", "POST /v1/chat/completions", "GET /v1/models", "GET /v1/hosts", "GET /healthz", "GET /readyz", "POST /else"} {
		method, path, _ := strings.Cut(target, " ")
		if w := serve(method, path, ""); w.deadline.IsZero() || time.Until(w.deadline) > time.Minute {
			t.Errorf("%s with an unread body, status %d: deadline %v", target, w.Code, w.deadline)
		}
	}
	// The deadline would end the connection of a caller that waits for its response.
	if w := serve(http.MethodPost, "/v1/announce", "token"); !w.deadline.IsZero() {
		t.Errorf("body read, status %d: a deadline is still set", w.Code)
	}
}
