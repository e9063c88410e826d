package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// doublePath sends a booking whose path begins with two slashes. The replica must get that path.
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
		got[q.Header.Get("X-Request-Id")] = q.RequestURI
		mu.Unlock()
		d.rec.log("replica %s: runs %s %q with Host %q", r.id, q.Method, q.RequestURI, q.Host)
		_, _ = fmt.Fprint(w, "booked")
	}
	if err := d.putManifest(route("r-all", "/", "unsafe", "box-office", plainTimeout, 600, 1)); err != nil {
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
	path := "/lothian/seat-book?pew=12"
	if trouble {
		path = "/" + path
	}
	c, err := d.open(d.entries[0])
	if err != nil {
		return false, err
	}
	defer c.close()
	id := newID()
	a := c.exchange(http.MethodPost, hostName, path, "pew 12", clientHeader(id, "5000"), 6*time.Second, nil)
	d.rec.log("client: sent POST %q, got %d %q %v", path, a.status, a.body, a.err)
	mu.Lock()
	defer mu.Unlock()
	if got[id] == "" {
		return false, nil
	}
	d.rec.log("check: sent %q, run %q", path, got[id])
	return got[id] != path, nil
}
