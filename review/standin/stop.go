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
	ranAt := map[string]time.Time{} // when a replica had run a booking
	handler := func(r *replica, w http.ResponseWriter, q *http.Request, _ []byte) {
		id := q.Header.Get("X-Request-Id")
		d.rec.log("replica %s: begins to run booking %s, X-Deadline-Ms %s", r.id, id, q.Header.Get("X-Deadline-Ms"))
		time.Sleep(bookingWork)
		mu.Lock()
		ranAt[id] = time.Now()
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
	endedAt := time.Now()
	d.rec.log("client: booking %s: status %d, body %q, error %v, %.3f s after it was sent", id, a.status, a.body, a.err, endedAt.Sub(sentAt).Seconds())
	time.Sleep(bookingWork)
	mu.Lock()
	defer mu.Unlock()
	finished := ranAt[id]
	planned := trouble && endedAt.Sub(stoppedAt) <= grace+time.Second
	// The excuses: the replica broke off, the route's timeout or the client's limit was reached, or the
	// request was sent no later than 3 s after the SIGTERM.
	replicaBrokeOff := !finished.IsZero() && !finished.After(endedAt)
	timeUp := endedAt.Sub(sentAt) >= plainTimeout*time.Millisecond
	early := sentAt.Sub(stoppedAt) <= 3*time.Second
	d.rec.log("check: complete answer %v; run to its end %v; planned work %v; excuses: replica broke off %v, time was up %v, sent within 3 s %v",
		a.status != 0, !finished.IsZero(), planned, replicaBrokeOff, timeUp, early)
	broken := a.status == 0 && !finished.IsZero() && planned && !replicaBrokeOff && !timeUp && !early
	if !trouble && a.status != http.StatusOK {
		return false, fmt.Errorf("%w: the booking got no 200 without the SIGTERM", errNotRun)
	}
	return broken, nil
}
