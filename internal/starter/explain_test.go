package starter

import (
	"context"
	"net"
	"testing"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// TestEntryHostExplains guards against an entry host whose internal listener answers no explanations, or answers them from
// another state than that of its parts: an upstream that its table learns is in the reply.
func TestEntryHostExplains(t *testing.T) {
	e := &Entry{Options: Options{
		Settings: &schema.Settings{Name: "a1", Region: "a", Domain: "a-1", Secret: "secret of the hosts"}, Seeds: func() []string { return nil },
		Log: zerolog.Nop(), Contended: true,
	}}
	e.build()
	defer e.dialer.Close()
	e.scheduler.UpdateUpstreams([]*schema.Announcement{{Name: "u1", Pool: "p", Region: "a", Domain: "a-1", Slots: 4, Incarnation: 1}})
	server, err := dialer.NewServer(e.Settings.Secret, nil, func(string) bool { return false }, e.Log)
	if err != nil {
		t.Fatal(err)
	}
	e.register(server)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	d := &dialer.Dialer{Secret: e.Settings.Secret, Timer: &timer.Service{}}
	defer d.Close()
	conn, err := d.Conn(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c := schema.NewExplainServiceClient(conn)
	state, err := c.State(context.Background(), &schema.EntryStateRequest{Host: "a1"}, grpc.WaitForReady(true))
	if err != nil {
		t.Fatal(err)
	}
	if state.Region != "a" || !state.Adaptive || len(state.Upstreams) != 1 || state.Upstreams[0].Upstream != "u1" {
		t.Errorf("got %v", state)
	}
	reply, err := c.Explain(context.Background(), &schema.ExplainRequest{Name: "h", Path: "/"})
	if err != nil || reply.Outcome.GetStatus() != 503 {
		t.Errorf("without a configuration: %v, %v", reply, err)
	}
}
