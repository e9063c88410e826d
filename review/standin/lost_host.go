package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

var contextBackground = context.Background()

// names reports whether a directory's answer names a machine.
func names(list string, m *machine, port int) bool {
	return strings.Contains(list, fmt.Sprintf("\"%s:%d\"", m.ip, port))
}

// lostHost kills an entry host for good and all processes of the core at the same moment; the core is
// back within a second. The directory must stop naming the lost host.
func lostHost(d *deployment, trouble bool) (bool, error) {
	d.addControls("lothian-a", "lothian-a", "clyde-a", "clyde-a", "grampian-a")
	d.addEntries("lothian-a", "lothian-a", "clyde-a", "clyde-a", "grampian-a")
	if err := d.startAll(); err != nil {
		return false, err
	}
	handler := func(_ *replica, w http.ResponseWriter, q *http.Request, _ []byte) {
		time.Sleep(60 * time.Millisecond)
		_, _ = fmt.Fprintf(w, "answer to %s", q.Header.Get("X-Request-Id"))
	}
	if err := d.putManifest(route("r-look", lookPath, "safe", "box-office", plainTimeout, 600, 2)); err != nil {
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
	lost := d.entries[1]
	killedAt := d.rec.at()
	if trouble {
		d.signal(lost, syscall.SIGKILL)
		for _, m := range d.controls {
			d.signal(m, syscall.SIGKILL)
		}
		time.Sleep(500 * time.Millisecond)
		for _, m := range d.controls {
			if err := d.start(m, false); err != nil {
				return false, err
			}
		}
	}
	// From stableWindow + 3 s after the end of the host on, its name is wrong; the core is stable
	// stableWindow after it was started.
	time.Sleep(killedAt + stableWindow + 4*time.Second - d.rec.at())
	running := []*machine{d.entries[0], d.entries[2], d.entries[3], d.entries[4]}
	var mu sync.Mutex
	asked, wrong := 0, 0
	for range 12 {
		for _, m := range running {
			status, list := d.resolve(contextBackground, m, lost.zone)
			mu.Lock()
			asked++
			bad := trouble && status == http.StatusOK && names(list, lost, d.portFront) && names(list, d.entries[0], d.portFront)
			if bad {
				wrong++
			}
			mu.Unlock()
			d.rec.log("client in %s: the directory of %s answers %d %s; names the lost host: %v", lost.zone, m.name, status, strings.TrimSpace(list), bad)
		}
		time.Sleep(time.Second)
	}
	d.rec.log("check: %d of %d answers name %s, killed %.1f s ago, beside a running machine; three are allowed", wrong, asked, lost.name, (d.rec.at() - killedAt).Seconds())
	return wrong > 3, nil
}
