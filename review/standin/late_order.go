package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lateOrder plays node_freeze on a control host while an evacuation is taken back and begun again. The
// order to take it back reaches the frozen host first, which must not carry it out after the new order
// was acknowledged elsewhere.
func lateOrder(d *deployment, trouble bool) (bool, error) {
	d.addControls("lothian-a", "lothian-a", "clyde-a", "clyde-a", "grampian-a")
	d.addEntries(zones...)
	if err := d.startAll(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	arrivals := map[string][]time.Duration{} // by zone
	handler := func(r *replica, w http.ResponseWriter, q *http.Request, _ []byte) {
		mu.Lock()
		arrivals[r.zone] = append(arrivals[r.zone], d.rec.at())
		mu.Unlock()
		time.Sleep(60 * time.Millisecond)
		_, _ = fmt.Fprintf(w, "answer to %s", q.Header.Get("X-Request-Id"))
	}
	if err := d.putManifest(route("r-look", lookPath, "safe", "box-office", plainTimeout, 600, 2)); err != nil {
		return false, err
	}
	for i, z := range zones {
		for k := range 2 {
			r := &replica{id: fmt.Sprintf("i-%d%d", i, k), service: "box-office", zone: z, addr: fmt.Sprintf("%s%d:%d", d.prefix, 60+10*i+k, d.portReps), version: "v1", slots: 6, handler: handler}
			if err := d.startReplica(r); err != nil {
				return false, err
			}
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
	time.Sleep(stableWindow)
	frozen, err := d.follower()
	if err != nil {
		return false, err
	}
	others := (frozen + 1) % len(d.controls)
	evacuated := []string{"lothian-a", "clyde-a"}
	for _, z := range evacuated {
		if err := d.order(others, http.MethodPost, "/Evacuation.Start/"+z, ""); err != nil {
			return false, err
		}
	}
	time.Sleep(evacuate)
	if trouble {
		d.signal(d.controls[frozen], syscall.SIGSTOP)
	}
	frozenAt := time.Now()
	errs := make(chan error, len(evacuated))
	for _, z := range evacuated { // the orders for the zones are in progress at once
		go func() { errs <- d.order(frozen, http.MethodPost, "/Evacuation.End/"+z, "") }()
	}
	for range evacuated {
		if err := <-errs; err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	for _, z := range evacuated {
		if err := d.order(others, http.MethodPost, "/Evacuation.Start/"+z, ""); err != nil {
			return false, err
		}
	}
	ackedAt := d.rec.at()
	time.Sleep(4*time.Second - time.Since(frozenAt))
	if trouble {
		d.signal(d.controls[frozen], syscall.SIGCONT)
	}
	// All machines are in touch again stableWindow after the end of the freeze.
	judgedFrom := max(ackedAt+evacuate, d.rec.at()+stableWindow)
	d.rec.log("check: judged from %.3f s on", judgedFrom.Seconds())
	time.Sleep(judgedFrom + 8*time.Second - d.rec.at())
	mu.Lock()
	defer mu.Unlock()
	broken := false
	for _, z := range zones {
		late, first := 0, time.Duration(0)
		for _, at := range arrivals[z] {
			if at >= judgedFrom {
				if late == 0 {
					first = at
				}
				late++
			}
		}
		d.rec.log("check: zone %s: %d requests reached its replicas in all, %d of them since (the first at %.3f s)", z, len(arrivals[z]), late, first.Seconds())
		if z != zones[2] && late > 0 {
			broken = true
		}
	}
	return broken, nil
}

// lookups sends safe requests to one entry host until stop is closed, ten a second.
func (d *deployment) lookups(m *machine, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		c, err := d.open(m)
		if err != nil {
			continue
		}
		a := c.exchange(http.MethodGet, hostName, lookPath+"2f", "", clientHeader(newID(), "5000"), 6*time.Second, nil)
		if a.status != http.StatusOK {
			d.rec.log("client: a lookup at %s got %d %s", m.name, a.status, strings.TrimSpace(a.body))
		}
		c.close()
	}
}

// follower returns the index of a control host that does not lead, by what the control hosts log.
func (d *deployment) follower() (int, error) {
	for i, m := range d.controls {
		b, err := os.ReadFile(filepath.Join(d.folder, m.name+".log"))
		if err != nil {
			return 0, fmt.Errorf("%w: %v", errNotRun, err)
		}
		if !strings.Contains(string(b), `"leader":true`) {
			return i, nil
		}
	}
	return 0, fmt.Errorf("%w: every control host led once", errNotRun)
}
