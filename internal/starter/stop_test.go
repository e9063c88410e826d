package starter

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// TestStopUnderLoad guards against requests that were just accepted and are cut off by a planned
// stop: under load, on new and kept connections, every request that reached the handler must have
// its whole response. Requests that the process never read may fail.
func TestStopUnderLoad(t *testing.T) {
	for range 5 {
		var read, answered atomic.Int64
		h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			read.Add(1)
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(5 * time.Millisecond) // the work of a request
			_, _ = io.WriteString(w, "whole response")
		})
		servers, err := listenAll([]Listener{{Name: "front", Address: "127.0.0.1:0", Handler: h}}, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		served := make(chan error, 1)
		go func() { served <- servers[0].serve() }()
		address := "http://" + servers[0].listener.Addr().String()
		ended := make(chan struct{})
		var wg sync.WaitGroup
		for i := range 16 {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: i%2 == 0}}
			wg.Go(func() {
				for {
					select {
					case <-ended:
						return
					default:
					}
					// A POST is not repeated by net/http on a new connection.
					response, err := client.Post(address, "text/plain", http.NoBody)
					if err != nil {
						continue
					}
					if b, err := io.ReadAll(response.Body); err == nil && string(b) == "whole response" {
						answered.Add(1)
					}
					_ = response.Body.Close()
				}
			})
		}
		for read.Load() < 200 {
			time.Sleep(time.Millisecond)
		}
		shutdownAll(servers, shutdownTimeout, zerolog.Nop())
		close(ended)
		wg.Wait()
		if err := <-served; err != nil {
			t.Error(err)
		}
		if read.Load() != answered.Load() {
			t.Errorf("%d requests reached the handler, %d have their whole response", read.Load(), answered.Load())
		}
	}
}

// TestServeOutlastsShutdown guards against a component that ends while shutdownAll waits for requests: the
// end of one component ends the process, and with it the requests that run.
func TestServeOutlastsShutdown(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(began)
		<-release
		_, _ = io.WriteString(w, "whole response")
	})
	servers, err := listenAll([]Listener{{Name: "control", Address: "127.0.0.1:0", Handler: h}}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	serveEnded, shutdownEnded := make(chan error, 1), make(chan struct{})
	go func() { serveEnded <- servers[0].serve() }()
	body := make(chan string, 1)
	go func() {
		response, err := http.Post("http://"+servers[0].listener.Addr().String(), "text/plain", http.NoBody)
		if err != nil {
			body <- err.Error()
			return
		}
		defer func() { _ = response.Body.Close() }()
		b, _ := io.ReadAll(response.Body) // a short body fails the comparison
		body <- string(b)
	}()
	<-began
	go func() {
		shutdownAll(servers, time.Minute, zerolog.Nop())
		close(shutdownEnded)
	}()
	select {
	case err := <-serveEnded:
		t.Errorf("serve returned %v while a request runs", err)
	case <-time.After(100 * time.Millisecond): // long enough for Shutdown to begin
	}
	close(release)
	if got := <-body; got != "whole response" {
		t.Errorf("the request that ran got %q", got)
	}
	<-shutdownEnded
	if err := <-serveEnded; err != nil {
		t.Error(err)
	}
}

// relayServer answers each relayed request after the work of one.
type relayServer struct {
	schema.UnimplementedRelayServiceServer
	read atomic.Int64
}

func (s *relayServer) Relay(_ *schema.RelayRequest, stream grpc.ServerStreamingServer[schema.RelayReply]) error {
	s.read.Add(1)
	if err := stream.Send(&schema.RelayReply{}); err != nil {
		return err
	}
	time.Sleep(5 * time.Millisecond)
	return stream.Send(&schema.RelayReply{})
}

// TestRelaysOutlastStop guards against relayed requests that were taken and are cut off by a planned stop: under load
// each must have its whole answer.
func TestRelaysOutlastStop(t *testing.T) {
	for range 5 {
		h := &relayServer{}
		s, err := dialer.NewServer("secret", nil, func(string) bool { return false }, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		schema.RegisterRelayServiceServer(s, h)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = s.Serve(l) }()
		clock := &timer.Service{}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = clock.Run(ctx) }()
		ended := make(chan struct{})
		var answered atomic.Int64
		var wg sync.WaitGroup
		for i := range 16 {
			wg.Go(func() {
				d := &dialer.Dialer{Secret: "secret", Timer: clock}
				defer func() { d.Close() }()
				for {
					select {
					case <-ended:
						return
					default:
					}
					if i%2 == 0 { // a new connection for each request
						d.Close()
						d = &dialer.Dialer{Secret: "secret", Timer: clock}
					}
					conn, err := d.Conn(l.Addr().String())
					if err != nil {
						t.Error(err)
						return
					}
					stream, err := schema.NewRelayServiceClient(conn).Relay(ctx, &schema.RelayRequest{})
					if err != nil {
						continue
					}
					replies := 0
					for err == nil {
						if _, err = stream.Recv(); err == nil {
							replies++
						}
					}
					if err == io.EOF && replies == 2 {
						answered.Add(1)
					}
				}
			})
		}
		for h.read.Load() < 200 {
			time.Sleep(time.Millisecond)
		}
		stopGRPC(s, shutdownTimeout, clock)
		close(ended)
		wg.Wait()
		cancel()
		if h.read.Load() != answered.Load() {
			t.Errorf("%d relayed requests were taken, %d have their whole answer", h.read.Load(), answered.Load())
		}
	}
}
