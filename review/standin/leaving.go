package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	drain = 4 * time.Second
	// Time from the ack of the deregistration to the kill of the core, and to its new start.
	coreKilledAfter  = 50 * time.Millisecond
	coreStartedAfter = 550 * time.Millisecond
	// Time for which the leaving replica serves on after the ack.
	servesOn = 16 * time.Second
)

// leaving plays a replica that deregisters first and serves on, and a kill of all processes of the core
// just after one of them acknowledged that. Nothing may be sent to the replica any more.
func leaving(d *deployment, trouble bool) (bool, error) {
	d.addControls("lothian-a", "lothian-a", "clyde-a", "clyde-a", "grampian-a")
	d.addEntries("lothian-a", "lothian-a", "lothian-a", "clyde-a", "grampian-a")
	if err := d.startAll(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	arrivals := map[string][]time.Duration{} // by replica
	handler := func(r *replica, w http.ResponseWriter, q *http.Request, _ []byte) {
		mu.Lock()
		arrivals[r.id] = append(arrivals[r.id], d.rec.at())
		mu.Unlock()
		time.Sleep(60 * time.Millisecond)
		_, _ = fmt.Fprintf(w, "answer to %s", q.Header.Get("X-Request-Id"))
	}
	if err := d.putManifest(route("r-look", lookPath, "safe", "box-office", plainTimeout, 600, 2)); err != nil {
		return false, err
	}
	var all []*replica
	for i, z := range zones {
		for k := range 2 {
			r := &replica{id: fmt.Sprintf("i-%d%d", i, k), service: "box-office", zone: z, addr: fmt.Sprintf("%s%d:%d", d.prefix, 60+10*i+k, d.portReps), version: "v1", slots: 6, handler: handler}
			if err := d.startReplica(r); err != nil {
				return false, err
			}
			all = append(all, r)
		}
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	defer func() { close(stop); wg.Wait() }()
	for _, m := range d.entries {
		wg.Go(func() { d.lookups(m, stop) })
	}
	time.Sleep(stableWindow + 2*time.Second)
	gone := all[0]
	ackedAt, err := gone.deregister()
	if err != nil {
		return false, err
	}
	if trouble {
		time.Sleep(coreKilledAfter)
		for _, m := range d.controls {
			d.signal(m, syscall.SIGKILL)
		}
		time.Sleep(coreStartedAfter - coreKilledAfter)
		for _, m := range d.controls {
			if err := d.start(m, false); err != nil {
				return false, err
			}
		}
	}
	judgedFrom := max(ackedAt+drain, d.rec.at()+stableWindow)
	time.Sleep(ackedAt + servesOn - d.rec.at())
	gone.crash()
	d.rec.log("replica %s: exits", gone.id)
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, r := range all {
		n := 0
		for _, at := range arrivals[r.id] {
			if at >= judgedFrom {
				n++
			}
		}
		d.rec.log("check: replica %s: %d requests in all, %d of them since %.3f s", r.id, len(arrivals[r.id]), n, judgedFrom.Seconds())
		if r == gone {
			late = n
		}
	}
	return late > 0, nil
}

// deregister makes a replica say that it leaves, once, and say nothing more after the ack. It returns the
// time of the ack.
func (r *replica) deregister() (time.Duration, error) {
	r.stop()
	for k := range 10 {
		m := r.d.controls[k%len(r.d.controls)]
		status, _ := r.d.call(m, http.MethodPost, "/Instances.Deregister/"+r.id, fmt.Sprintf(`{"born":%d}`, r.born))
		r.d.rec.log("replica %s: POST /Instances.Deregister to %s: status %d", r.id, m.name, status)
		if status/100 == 2 {
			return r.d.rec.at(), nil
		}
	}
	return 0, fmt.Errorf("%w: no ack for the deregistration", errNotRun)
}
