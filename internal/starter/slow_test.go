package starter

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
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

// TestBodiesThatDoNotArrive guards against a connection and a goroutine held for each body that does not arrive,
// and memory for those that a handler reads, such as the announcements of a faulty upstream.
func TestBodiesThatDoNotArrive(t *testing.T) {
	for name, c := range map[string]struct {
		read    int64
		bounded bool
	}{"unread": {0, true}, "read in part": {1, true}, "read": {1 << 20, false}} {
		h := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, c.read))
		})
		servers, err := listenAll([]Listener{{Name: "control", Address: "127.0.0.1:0", Handler: h}}, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(servers[0].close)
		w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
		servers[0].server.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader("{}")))
		if bounded := !w.deadline.IsZero() && time.Until(w.deadline) < time.Minute; bounded != c.bounded {
			t.Errorf("%s: deadline %v", name, w.deadline)
		}
	}
}
