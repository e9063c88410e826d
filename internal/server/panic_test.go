package server

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// panicLog receives the work of each panic that is logged.
type panicLog chan string

func (p panicLog) Write(b []byte) (int, error) {
	if line := string(b); strings.Contains(line, "panicked") {
		select {
		case p <- line:
		default:
		}
	}
	return len(b), nil
}

// TestPanicEndsOneTask guards against a host that ends, with the requests of all its callers, because one message
// to another host, or one from it, raised a panic.
func TestPanicEndsOneTask(t *testing.T) {
	config := configurer.New()
	for _, h := range []*schema.Host{{Name: "near", Region: "r"}, {Name: "far", Region: "other"}} {
		h.Listen, h.Internal = h.Name, h.Name
		config.Apply(&schema.Command{Op: &schema.Command_Join{Join: h}})
	}
	newServer := func(t *testing.T) (*Server, panicLog) {
		s, panics := newRawServer(t, nil), make(panicLog, 1)
		s.Log = zerolog.New(panics)
		s.Settings.Controls = []*schema.Control{{Address: "control"}}
		if err := s.distributor.Replace(config.Snapshot()); err != nil {
			t.Fatal(err)
		}
		return s, panics // without a Dialer, each message to another host panics
	}
	c := &claim{group: &schema.Group{Holders: []string{"near"}}, request: &schema.ClaimRequest{Region: "r"}}
	for name, task := range map[string]func(context.Context, *Server){
		"announcement":  func(_ context.Context, s *Server) { s.propagateAnnouncement(&schema.Announcement{Name: "u"}) },
		"digest":        func(ctx context.Context, s *Server) { s.pollDigests(ctx) },
		"withdrawal":    func(_ context.Context, s *Server) { s.propagateWithdrawn([]string{"x"}, "host") },
		"claim":         func(_ context.Context, s *Server) { s.collectClaimReplies(c) },
		"settlement":    func(_ context.Context, s *Server) { s.settleRecord(c, &schema.Record{}) },
		"configuration": func(ctx context.Context, s *Server) { s.followConfig(ctx) },
		"join":          func(ctx context.Context, s *Server) { s.proposer = nil; s.requestToJoin(ctx) },
		"tokens":        func(ctx context.Context, s *Server) { s.limiter.Start(ctx) },
		"report":        func(ctx context.Context, s *Server) { s.startBackground(ctx) },
	} {
		t.Run(name, func(t *testing.T) {
			s, panics := newServer(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				task(ctx, s)
			}()
			select {
			case <-panics:
			case <-time.After(10 * time.Second):
				t.Error("no panic was logged")
			}
			cancel()
			<-ended
		})
	}
}

// TestPanicEndsOneRequest guards against a panic of a request's handler that is not counted, or whose caller takes
// the answer for whole.
func TestPanicEndsOneRequest(t *testing.T) {
	s, panics := newRawServer(t, nil), make(panicLog, 1)
	s.Log = zerolog.New(panics)
	s.distributor = nil // a request that needs the configuration panics
	h := httptest.NewServer(s.newHTTPServer().Handler)
	defer h.Close()
	if response, err := http.Get(h.URL + "/readyz"); err == nil {
		_ = response.Body.Close()
		t.Errorf("status %d", response.StatusCode)
	}
	if line := <-panics; !strings.Contains(line, `"work":"request"`) {
		t.Errorf("log: %s", line)
	}
	if response, err := http.Get(h.URL + "/healthz"); err != nil || response.StatusCode != http.StatusNoContent {
		t.Errorf("the next request: %v, %v", response, err)
	}
	if n := s.inflight.Load(); n != 0 {
		t.Errorf("%d requests in flight", n)
	}
}
