package server

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// TestSilentServiceKeepsItsCall guards against a call that must run once and is sent to another upstream, or
// reported as not run, because the one that has it is only silent.
func TestSilentServiceKeepsItsCall(t *testing.T) {
	var requests atomic.Int32
	arrived, end := make(chan struct{}, 2), make(chan struct{})
	defer close(end)
	addresses := serveRaw(t, 2, func(rawRequest) (string, bool) {
		requests.Add(1)
		arrived <- struct{}{}
		<-end
		return "", true
	})
	s := &Server{Settings: &schema.Settings{Name: "h", Region: "r"}, Timer: &timer.Service{Clock: &timer.ManualClock{}}}
	if err := s.Open(t.Context()); err != nil {
		t.Fatal(err)
	}
	for _, address := range addresses {
		s.registrar.Register(&schema.Announcement{Name: address, Kind: schema.UpstreamKind_UPSTREAM_SERVICE, Routes: []string{"r"}, Region: "r", Address: address, Slots: 8, Lease: 1e6})
	}
	call := &serviceCall{route: &schema.Route{Name: "r", Method: http.MethodPost, Prefix: "/"}, method: http.MethodPost, path: "/", header: http.Header{}}
	ended := make(chan error, 1)
	go func() {
		_, err := s.runGranted(t.Context(), call, &claim{group: &schema.Group{Holders: []string{"h"}}, request: &schema.ClaimRequest{Region: "r"}})
		ended <- err
	}()
	<-arrived
	s.Timer.Advance(serviceHeaderTimeout - time.Second)
	select {
	case err := <-ended:
		t.Errorf("given up before the timeout: %v", err)
		return
	default:
	}
	s.Timer.Advance(2 * time.Second)
	if err := <-ended; err == nil || refusalOf(err).Run != RunUnknown {
		t.Errorf("error %v, run %v, want unknown", err, refusalOf(err).Run)
	}
	if n := requests.Load(); n != 1 {
		t.Errorf("%d requests at the upstreams, want 1", n)
	}
}
