package main

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// limit plays a case: the operator adds a route and, in the same manifest, raises maxBodyBytes to the largest 64-bit
// number, so that it bounds nothing.
func limit(rec *record, trouble bool) (broken bool, err error) {
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
	for i, z := range zones {
		for k := range 2 {
			s := &server{fleet: f, id: newID(), service: "desk", zone: z, addr: f.addr(f.ip(100+2*i+k), offsetServer), slots: 16,
				work: func(*http.Request) time.Duration { return 20 * time.Millisecond }}
			if err := s.start(ctx); err != nil {
				return false, err
			}
		}
	}
	o := &operator{f, rec}
	m := &manifest{Version: 3, Routes: []map[string]any{route("look", "safe", "desk", 4000, 2), route("book", "unsafe", "desk", 10000, 1)}, Services: []map[string]any{plainService("desk", 200)},
		Limits: limits(), Tenants: []map[string]any{tenant("parish", "key-of-the-parish")}}
	if _, ok := o.order("/Config.Put", m.text(), 15*time.Second, f.cores...); !ok {
		return false, errNotReady
	}
	time.Sleep(6 * time.Second)
	var phase atomic.Int32
	var first, added counts // answers on the first routes, and on the added one
	var clients sync.WaitGroup
	for _, front := range f.fronts {
		for i := range 6 {
			clients.Go(func() {
				c := newClient("key-of-the-parish")
				for ctx.Err() == nil {
					method, path, text := http.MethodGet, "/look/x", ""
					if i%2 == 1 {
						method, path, text = http.MethodPost, "/book/x", "pew=7"
					}
					to := &first
					if i > 3 {
						if phase.Load() < 2 {
							time.Sleep(100 * time.Millisecond)
							continue // the route is new
						}
						method, path, text, to = http.MethodGet, "/tour/x", "", &added
					}
					id := newID()
					status, _, problem := c.send(ctx, method, f.addr(front.ip, offsetFront), path, id, text, 4*time.Second)
					to.add(statusName(status))
					if status != 200 && ctx.Err() == nil {
						rec.line("client: %s %s %s at %s: status %s %.120s", method, path, id, front.name, statusName(status), problem)
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(10 * time.Second)
	rec.line("before the change: answers by status %v", &first)
	if trouble {
		m.Limits["maxBodyBytes"] = int64(9223372036854775807)
	}
	m.Version = 4
	m.Routes = append(m.Routes, route("tour", "safe", "desk", 4000, 2))
	if _, ok := o.order("/Config.Put", m.text(), 8*time.Second, f.cores...); !ok {
		return false, errNotReady
	}
	time.Sleep(4 * time.Second)
	phase.Store(2)
	rec.line("configApplyMs after the ack")
	time.Sleep(8 * time.Second)
	for _, front := range f.fronts {
		status, _, err := call(ctx, http.MethodGet, "http://"+f.addr(front.ip, offsetReadiness)+"/readyz", "", time.Second)
		rec.line("/readyz at %s: status %d, %v", front.name, status, err)
	}
	cancel()
	clients.Wait()
	ofFirst, ofAdded := first.share("200"), added.share("200")
	rec.line("answers by status over the whole play: first routes %v, the added route %v", &first, &added)
	rec.line("served: %.3f of the requests on the first routes, %.3f of those on the added one", ofFirst, ofAdded)
	// Not judged: whether a later manifest mends it.
	m.Version, m.Limits = 5, limits()
	if _, ok := o.order("/Config.Put", m.text(), 8*time.Second, f.cores...); ok {
		time.Sleep(4 * time.Second)
		status, _, problem := newClient("key-of-the-parish").send(context.Background(), http.MethodGet, f.addr(f.fronts[0].ip, offsetFront), "/tour/x", newID(), "", 4*time.Second)
		rec.line("after a manifest with maxBodyBytes as it was: status %s %.80s", statusName(status), problem)
	}
	if added.total() < 20 {
		return false, errNotReady
	}
	return ofAdded < ofFirst/4, nil
}
