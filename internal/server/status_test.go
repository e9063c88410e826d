package server

import (
	"errors"
	"fmt"
	"net/http"
	"testing"

	"github.com/trefoilloft/trefoilloft/internal/requester"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// TestStatusesThatAreNone guards against a response without a valid status that a caller gets as an answer.
func TestStatusesThatAreNone(t *testing.T) {
	for _, status := range []string{"000", "000 x", "020 x", "099 x", "2OO OK", "20 OK", "2000 OK", ""} {
		t.Run(fmt.Sprintf("%q", status), func(t *testing.T) {
			t.Parallel()
			for _, body := range []string{wholeCompletion, tokenEvents(0, 1) + stopEvents} {
				invalid := response(status, "application/json", body)
				s := newRawServer(t, serveRaw(t, 2, func(rawRequest) (string, bool) { return invalid, true }))
				for _, stream := range []bool{false, true} {
					if w := s.ask(t, stream); w.Code < 500 {
						t.Errorf("stream %v: status %d, body %s", stream, w.Code, w.Body)
					}
				}
				call := &serviceCall{route: &schema.Route{Name: "r"}, method: http.MethodPost, path: "/", header: http.Header{}}
				if answer, err := s.sendToService(t, call); err == nil || errors.Is(err, requester.ErrNotSent) {
					t.Errorf("error %v, answer %+v", err, answer)
				}
			}
		})
	}
}
