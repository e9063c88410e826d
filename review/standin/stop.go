package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// Time after the SIGTERM at which the booking is sent, and for which its replica works on it.
	bookingAfter = 5400 * time.Millisecond
	bookingWork  = 2500 * time.Millisecond
)

// stopDuringBooking plays a SIGTERM of an entry host that the directory still names, as it is the only
// one of its region, and a booking that the host passes on while it stops.
func stopDuringBooking(d *deployment, trouble bool) (bool, error) {
	d.addControls("lothian-a", "lothian-a", "clyde-a", "clyde-a", "grampian-a")
	d.addEntries(zones...)
	if err := d.startAll(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	ran := map[string]bool{}
	handler := func(r *replica, w http.ResponseWriter, q *http.Request, _ []byte) {
		id := q.Header.Get("X-Request-Id")
		d.rec.log("replica %s: begins to run booking %s, X-Deadline-Ms %s", r.id, id, q.Header.Get("X-Deadline-Ms"))
		time.Sleep(bookingWork)
		mu.Lock()
		ran[id] = true
		mu.Unlock()
		d.rec.log("replica %s: has run booking %s", r.id, id)
		_, _ = fmt.Fprintf(w, "booked %s", id)
	}
	if err := d.putManifest(route("r-book", bookingPath, "unsafe", "box-office", plainTimeout, 600, 1)); err != nil {
		return false, err
	}
	for i, z := range zones {
		r := &replica{id: fmt.Sprintf("i-%d", i), service: "box-office", zone: z, addr: fmt.Sprintf("%s%d:%d", d.prefix, 60+10*i, d.portReps), version: "v1", slots: 6, handler: handler}
		if err := d.startReplica(r); err != nil {
			return false, err
		}
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	m := d.entries[0]
	stoppedAt := time.Now()
	if trouble {
		d.signal(m, syscall.SIGTERM)
		time.AfterFunc(grace, func() { d.signal(m, syscall.SIGKILL) })
	}
	time.Sleep(bookingAfter - 100*time.Millisecond - time.Since(stoppedAt))
	status, list := d.resolve(contextBackground, d.entries[1], m.zone)
	d.rec.log("client in %s: the directory of %s answers %d %s", m.zone, d.entries[1].name, status, list)
	if !names(list, m, d.portFront) {
		d.rec.log("client in %s: the directory does not name %s any more: nothing to judge", m.zone, m.name)
		return false, nil
	}
	c, err := d.open(m)
	if err != nil {
		d.rec.log("client: no channel to %s: %v; it goes elsewhere: nothing to judge", m.name, err)
		return false, nil
	}
	defer c.close()
	time.Sleep(bookingAfter - time.Since(stoppedAt))
	id := newID()
	sentAt := time.Now()
	d.rec.log("client: sends booking %s to %s, %.3f s after the SIGTERM", id, m.name, sentAt.Sub(stoppedAt).Seconds())
	a := c.exchange(http.MethodPost, hostName, bookingPath+"2f", "pew 12", clientHeader(id, "10000"), 11*time.Second, nil)
	d.rec.log("client: booking %s: status %d, body %q, error %v, %.3f s after it was sent", id, a.status, a.body, a.err, time.Since(sentAt).Seconds())
	time.Sleep(bookingWork)
	mu.Lock()
	defer mu.Unlock()
	broken := a.status == 0 && ran[id] && time.Since(sentAt) < 10*time.Second
	d.rec.log("check: complete answer: %v; run by a replica: %v", a.status != 0, ran[id])
	return broken, nil
}
