package main

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// unmarked plays a case: a server fails part of the requests that it ran with 503 and without X-Not-Executed.
func unmarked(rec *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(rec, [3]int{2, 2, 1}, [3]int{2, 2, 2})
	if err != nil {
		return false, err
	}
	defer f.stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := f.startAll(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	runs := map[string]int{} // status that the server gave to what it ran, by request
	failing := false
	handle := func(s *server, w http.ResponseWriter, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Request-Id")
		time.Sleep(20 * time.Millisecond) // it runs
		status, text := http.StatusOK, "booked "+id+"\n"
		mu.Lock()
		if failing && s.id == "failing" && rand.Float64() < 0.4 {
			status, text = http.StatusServiceUnavailable, "charged "+id+", the printer is down\n"
		}
		runs[id] = status
		mu.Unlock()
		w.Header().Set("X-Server-Seal", s.id+"."+id)
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text)
		return true
	}
	for i, z := range zones {
		for k := range 3 {
			s := &server{fleet: f, id: newID(), service: "desk", zone: z, addr: f.addr(f.ip(100+3*i+k), offsetServer), slots: 6, handle: handle}
			if i == 0 && k == 0 {
				s.id = "failing"
			}
			if err := s.start(ctx); err != nil {
				return false, err
			}
		}
	}
	o := &operator{f, rec}
	m := &manifest{Version: 3, Routes: []map[string]any{route("book", "unsafe", "desk", 10000, 1)}, Services: []map[string]any{plainService("desk", 110)}, Limits: limits(),
		Tenants: []map[string]any{tenant("parish", "key-of-the-parish")}}
	if _, ok := o.order("/Config.Put", m.text(), 15*time.Second, f.cores...); !ok {
		return false, errNotReady
	}
	time.Sleep(6 * time.Second)
	answers := &counts{}
	refused := 0
	var clients sync.WaitGroup
	for _, front := range f.fronts {
		for range 2 {
			clients.Go(func() {
				c := newClient("key-of-the-parish")
				for ctx.Err() == nil {
					id := newID()
					status, header, _ := c.send(ctx, http.MethodPost, f.addr(front.ip, offsetFront), "/book/x", id, "pew=7", 4*time.Second)
					answers.add(statusName(status))
					mu.Lock()
					gave, ran := runs[id]
					mu.Unlock()
					rec.line("client: booking %s at %s: %d; the server that ran it gave %d", id, front.name, status, gave)
					if ran && (status == 503 || status == 429 || status == 408 || status == 421) {
						mu.Lock()
						refused++
						mu.Unlock()
						rec.line("REFUSED: %s at %s: the client got %d, seal %q; the server ran it and gave %d without X-Not-Executed", id, front.name, status, header.Get("X-Server-Seal"), gave)
					}
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	mu.Lock()
	failing = trouble
	mu.Unlock()
	time.Sleep(6 * time.Second)
	mu.Lock()
	failing = false
	mu.Unlock()
	time.Sleep(2 * time.Second)
	cancel()
	clients.Wait()
	rec.line("answers to clients: %v; bookings that ran and were answered 503: %d", answers, refused)
	return refused > 0, nil
}
