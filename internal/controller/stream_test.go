package controller

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/cataloger"
	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/distributor"
	"github.com/trefoilloft/trefoilloft/internal/persister"
	"github.com/trefoilloft/trefoilloft/internal/resumer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// TestVersionNotInferredOutsideGroup guards against a version of a stream that a control host infers from
// its own view while it belongs to no group: others may have observed another version.
func TestVersionNotInferredOutsideGroup(t *testing.T) {
	folder := t.TempDir() + "/control"
	if err := persister.Init(folder, &schema.Identity{Id: 7, Name: "a"}); err != nil {
		t.Fatal(err)
	}
	clock := &timer.Service{}
	table := &cataloger.Table{Timer: clock, AnnounceInterval: time.Second, IsFirst: true}
	table.Start()
	k := &Cluster{
		Self: &schema.Member{Name: "a", Address: "127.0.0.1:1"}, SeedAddresses: func() []string { return nil }, Table: table,
		Streams: &resumer.Index{Now: clock.Now, MaxStreams: 10},
	}
	k.c = &Controller{
		Settings: &schema.Settings{Name: "a", Internal: "127.0.0.1:1"}, Store: &persister.Store{Folder: folder}, Timer: clock, Cluster: k,
		Dialer: &dialer.Dialer{Timer: clock}, Distributor: &distributor.Distributor{Timer: clock, IsRoot: true}, Log: zerolog.Nop(),
	}
	if err := k.c.Open(); err != nil {
		t.Fatal(err)
	}
	table.StoreUpstream(&schema.Announcement{Name: "u", Pool: "p", Region: "r", Address: "a:1", Software: "v1", Incarnation: 1, Number: 1, Slots: 1}, true)
	s := &ClusterService{Cluster: k}
	reply, err := s.FindStream(context.Background(), &schema.FindStreamRequest{Stream: 5, Pool: "p", Within: 45})
	if err != nil {
		t.Fatal(err)
	}
	if reply.Inferred || reply.Found {
		t.Errorf("a host without a group attributes the stream to %q", reply.Software)
	}
}
