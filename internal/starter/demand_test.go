package starter

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/forwarder"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

type ignoredAnswer struct{}

func (ignoredAnswer) SendHead(int, http.Header, int64) {}
func (ignoredAnswer) SendChunk([]byte) error           { return nil }
func (ignoredAnswer) Finish()                          {}
func (ignoredAnswer) Abort()                           {}
func (ignoredAnswer) Refuse(*forwarder.Refusal)        {}

// TestDemandIsReported guards against an entry host whose demand never reaches the control hosts where callers compete
// for too little capacity, and against one that reports it elsewhere.
func TestDemandIsReported(t *testing.T) {
	for _, contended := range []bool{false, true} {
		e := newDirectory(t)
		e.Contended, e.RetryBudget.Window = contended, 10*time.Second
		now := e.Timer.Now()
		e.Forwarder.Serve(context.Background(), &forwarder.Request{
			ID: "i", Host: "bound", Method: "GET", Path: "/z/", ArrivedAt: now, DeadlineAt: now + time.Second,
		}, ignoredAnswer{})
		e.applyLoads(nil, []*schema.RegionDigest{{Region: "b", Routes: []*schema.ModelDigest{{Name: "p", Slots: 4}}}})
		loads := e.ownState().Loads
		switch {
		case !contended:
			if len(loads) > 0 {
				t.Errorf("reported without need: %v", loads)
			}
		case len(loads) != 1 || loads[0].Pool != "p" || len(loads[0].Demands) != 1 || len(loads[0].Demands[0].Homes) != 3 || loads[0].Demands[0].Work <= 0:
			t.Errorf("reported %v, want demand for pool p with three homes", loads)
		}
	}
}
