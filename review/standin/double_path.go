package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// doublePath sends a booking without a key on an open route, with a path that begins with two slashes. The
// replica must get that path, and not that of the route for bookings, which needs a key.
func doublePath(d *deployment, trouble bool) (bool, error) {
	d.addControls("lothian-a", "clyde-a", "grampian-a")
	d.addEntries("lothian-a")
	if err := d.startAll(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	got := map[string]string{}
	handler := func(r *replica, w http.ResponseWriter, q *http.Request, _ []byte) {
		mu.Lock()
		got[q.Header.Get("X-Request-Id")] = q.URL.RequestURI()
		mu.Unlock()
		d.rec.log("replica %s: got the request target %q; runs %s %q at host %q, X-Tenant %q", r.id, q.RequestURI, q.Method, q.URL.RequestURI(), q.Host, q.Header.Get("X-Tenant"))
		_, _ = fmt.Fprint(w, "booked")
	}
	open := route("r-notices", "/", "unsafe", "box-office", plainTimeout, 600, 1)
	open["anonymous"] = true
	if err := d.putManifest(open, route("r-book", bookingPath, "unsafe", "box-office", plainTimeout, 600, 1)); err != nil {
		return false, err
	}
	r := &replica{id: "i-0", service: "box-office", zone: "lothian-a", addr: fmt.Sprintf("%s60:%d", d.prefix, d.portReps), version: "v1", slots: 6, handler: handler}
	if err := d.startReplica(r); err != nil {
		return false, err
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	header := func(id string) map[string]string {
		return map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "5000"}
	}
	c, err := d.open(d.entries[0])
	if err != nil {
		return false, err
	}
	defer c.close()
	a := c.exchange(http.MethodPost, hostName, bookingPath+"2f?pew=12", "pew 12", header(newID()), 6*time.Second, nil)
	d.rec.log("client: sent POST %q without a key, got %d %q %v", bookingPath+"2f?pew=12", a.status, a.body, a.err)
	path := "/lothian" + bookingPath + "2f?pew=12"
	if trouble {
		path = "/" + path
	}
	id := newID()
	a = c.exchange(http.MethodPost, hostName, path, "pew 12", header(id), 6*time.Second, nil)
	d.rec.log("client: sent POST %q without a key, got %d %q %v", path, a.status, a.body, a.err)
	mu.Lock()
	defer mu.Unlock()
	if got[id] == "" {
		return false, nil
	}
	d.rec.log("check: sent %q, run %q", path, got[id])
	return got[id] != path, nil
}
