package starter

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
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
