package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// serveAlone makes u0 the only upstream, at the address of l.
func (s *system) serveAlone(l net.Listener) {
	s.Scheduler.UpdateUpstreams([]*schema.Announcement{
		{Name: "u0", Address: l.Addr().String(), Pool: "p", Region: "r", Domain: "d", Slots: 4, Incarnation: 1},
	})
}

// TestUnframedAnswerOfUpstreamThatClosesIdleConnections guards against losing a whole response without a length or
// chunks because its upstream closes connections without a request sooner than it responds.
func TestUnframedAnswerOfUpstreamThatClosesIdleConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_ = c.SetReadDeadline(time.Now().Add(600 * time.Millisecond))
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\no")
				time.Sleep(900 * time.Millisecond)
				_, _ = io.WriteString(c, "k")
			}()
		}
	}()
	s := newSystem(t, []scriptStep{text(200, events)})
	s.serveAlone(l)
	if diff := cmp.Diff(result{Status: 200, Body: "ok", Finished: true}, s.call("/unsafe/x", "")); diff != "" {
		t.Errorf("-want +got\n%s", diff)
	}
}

// blockedSink is a caller that takes no data for a while after its first chunk.
type blockedSink struct {
	recorderSink
	block func()
}

func (s *blockedSink) SendChunk(b []byte) error {
	if s.Body == "" {
		s.block()
	}
	return s.recorderSink.SendChunk(b)
}

// TestAnswersOfUpstreamsRestartedUnseen guards against taking the end of a killed upstream's stream for complete
// because its last events are read when another process serves at the address, which accepts a new witness.
func TestAnswersOfUpstreamsRestartedUnseen(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	var call net.Conn
	go func() {
		call = <-accepted
		if _, err := http.ReadRequest(bufio.NewReader(call)); err != nil {
			t.Error(err)
		}
		_, _ = io.WriteString(call, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"+firstEvent)
	}()
	s := newSystem(t, []scriptStep{text(200, events)})
	s.serveAlone(l)
	sink := &blockedSink{block: func() {
		witness := <-accepted
		_, _ = io.WriteString(call, secondEvent)
		_, _ = call.Close(), witness.Close() // the process ends; the listener is that of the next one
		time.Sleep(700 * time.Millisecond)
	}}
	now := s.Timer.Now()
	s.Serve(t.Context(), &Request{
		ID: "1", Host: "h", Method: "POST", Path: "/stream/x", Header: http.Header{}, Body: []byte("body"),
		ArrivedAt: now, DeadlineAt: now + 2*time.Second,
	}, sink)
	if diff := cmp.Diff(result{Status: 200, Body: events, Aborted: true}, sink.result); diff != "" {
		t.Errorf("-want +got\n%s", diff)
	}
}
