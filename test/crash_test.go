package test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/faker"
)

// crashingEngine is an engine that ends when it begins to answer a prompt that contains "crash", and is
// back a second later.
type crashingEngine struct {
	*faker.Engine
	crash func()
}

// ServeHTTP answers a request, or ends the engine.
func (e *crashingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err == nil && bytes.Contains(body, []byte("crash")) {
		e.crash()
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	e.Engine.ServeHTTP(w, r)
}

// TestCompletionThatCrashesEngines guards against sending a completion request that crashes engines to
// one engine after another: later than six seconds after the third crash at most three may reach any.
func TestCompletionThatCrashesEngines(t *testing.T) {
	const (
		boundedCrash, maxLateArrivals = 3, 3
		stableWindow                  = 6 * time.Second
		restart                       = time.Second
	)
	s := newSystem(t)
	var mu sync.Mutex
	var crashedAt []time.Time
	for i := range 3 {
		e := &crashingEngine{Engine: &faker.Engine{Name: fmt.Sprint("crashing-", i), Slots: 64, TokenInterval: time.Millisecond}}
		e.Region, e.Models, e.Address = "lothian", []string{"parish-1"}, s.address("lothian", 12+i)
		var server *http.Server
		serve := func() {
			l, err := net.Listen("tcp", e.Address)
			if err != nil {
				t.Error(err)
				return
			}
			h := &http.Server{Handler: e, ReadHeaderTimeout: time.Second}
			mu.Lock()
			server = h
			mu.Unlock()
			go func() { _ = h.Serve(l) }()
		}
		e.crash = func() {
			mu.Lock()
			defer mu.Unlock()
			crashedAt = append(crashedAt, time.Now())
			if server != nil {
				_ = server.Close()
				server = nil
				time.AfterFunc(restart, serve)
			}
		}
		serve()
		t.Cleanup(func() {
			mu.Lock()
			defer mu.Unlock()
			if server != nil {
				_ = server.Close()
			}
		})
		s.announce(e.Name, "lothian", e)
	}
	s.applySheet()
	key := s.issueKey("st-giles")
	hosts := []string{s.address("lothian", 0), s.address("lothian", 2)}
	for _, host := range hosts {
		s.waitUntilServing(host, key)
	}
	for name := range s.engines { // those that do not crash
		s.stopAnnouncing[name]()
		delete(s.stopAnnouncing, name)
	}
	s.eventually("the crashing engines are in use", func() bool {
		s.chat(hosts[0], key, "crash", false)
		mu.Lock()
		defer mu.Unlock()
		return len(crashedAt) > 0
	})
	var wg sync.WaitGroup
	for n := range 60 { // 18 s
		wg.Go(func() { s.chat(hosts[n%len(hosts)], key, "crash", false) })
		time.Sleep(300 * time.Millisecond)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	var at []string
	for i, c := range crashedAt {
		at = append(at, fmt.Sprintf("%.1f", c.Sub(crashedAt[0]).Seconds()))
		if i >= boundedCrash && c.Sub(crashedAt[boundedCrash-1]) > stableWindow {
			late++
		}
	}
	if len(crashedAt) < boundedCrash || late > maxLateArrivals {
		t.Errorf("%d crashes, %d of them later than %v after the third, want at most %d; at %s s", len(crashedAt), late, stableWindow, maxLateArrivals, strings.Join(at, " "))
	}
}
