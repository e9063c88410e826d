package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	planEvents  = 60
	planGap     = 40 * time.Millisecond
	planStreams = 40
	// Downtime of the replica that crashes, and delay of the first liveness report of its next lifetime.
	crashDowntime  = 150 * time.Millisecond
	lateReport     = 3 * time.Second
	clientsBackoff = 400 * time.Millisecond
)

// planStream is one stream as its client sees it.
type planStream struct {
	first    string          // X-Request-Id of the attempt that brought the first event
	lastID   int             // of the last event; -1: none
	versions map[string]bool // that wrote its events
	complete bool
	attempts int
}

// sameID plays a replica that crashes and starts again under its id with another version of its software,
// while its first liveness report comes late. Streams that it began must not go on there.
func sameID(d *deployment, trouble bool) (bool, error) {
	d.addControls("lothian-a", "lothian-a", "clyde-a", "clyde-a", "grampian-a")
	d.addEntries("lothian-a", "lothian-a")
	if err := d.startAll(); err != nil {
		return false, err
	}
	if err := d.putManifest(route("r-plan", planPath, "streaming", "trefoil-pool", planTimeout, 1000, 1)); err != nil {
		return false, err
	}
	newReplica := func(i int, version string) *replica {
		return &replica{id: fmt.Sprintf("i-%d", i), service: "trefoil-pool", zone: "lothian-a", addr: fmt.Sprintf("%s%d:%d", d.prefix, 60+i, d.portReps), version: version, slots: 64, handler: planHandler}
	}
	var all []*replica
	for i := range 4 {
		r := newReplica(i, "v1")
		if err := d.startReplica(r); err != nil {
			return false, err
		}
		all = append(all, r)
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	streams := make([]*planStream, planStreams)
	var wg sync.WaitGroup
	for i := range streams {
		streams[i] = &planStream{lastID: -1, versions: map[string]bool{}}
		wg.Go(func() { d.follow(streams[i], i) })
	}
	time.Sleep(planEvents * planGap / 2)
	if trouble {
		old := all[0]
		d.rec.log("replica %s: crashes", old.id)
		old.crash()
		time.Sleep(crashDowntime)
		again := newReplica(0, "v2")
		again.firstBeatDelay = lateReport
		if err := d.startReplica(again); err != nil {
			return false, err
		}
	}
	wg.Wait()
	mixed, complete, taken := 0, 0, 0
	for i, s := range streams {
		if len(s.versions) > 1 {
			mixed++
		}
		if s.complete {
			complete++
		}
		if s.attempts > 1 {
			taken++
		}
		d.rec.log("check: stream %d: %d attempts, last event %d, complete %v, versions %v", i, s.attempts, s.lastID, s.complete, keys(s.versions))
	}
	d.rec.log("check: %d streams, %d taken up again, %d complete, %d hold events of two versions; two are allowed", len(streams), taken, complete, mixed)
	return mixed > 2, nil
}

func keys(m map[string]bool) (all []string) {
	for k := range m {
		all = append(all, k)
	}
	return all
}

// planHandler writes a stream of planEvents events, from Last-Event-Id on.
func planHandler(r *replica, w http.ResponseWriter, q *http.Request, _ []byte) {
	next := 0
	if last := q.Header.Get("Last-Event-Id"); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		next = n + 1
	}
	r.d.rec.log("replica %s (version %s): runs %s from event %d on, Resumes %q", r.id, r.version, q.Header.Get("X-Request-Id"), next, q.Header.Get("Resumes"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	w.WriteHeader(http.StatusOK)
	for ; next < planEvents; next++ {
		if r.dead.Load() {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s piece %d\n\n", next, r.version, next); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(planGap)
	}
}

// follow reads a stream at the first entry host and takes it up again at the second one if the channel
// breaks, with Last-Event-Id and Resumes.
func (d *deployment) follow(s *planStream, i int) {
	deadline := time.Now().Add(planTimeout * time.Millisecond)
	for s.attempts < 2 && !s.complete {
		m := d.entries[min(s.attempts, 1)]
		s.attempts++
		id := newID()
		left := time.Until(deadline).Milliseconds()
		header := clientHeader(id, strconv.FormatInt(left, 10))
		header["X-Model"] = "m"
		header["X-Token-Count"] = "900,240"
		header["X-Prompt-Prefix"] = fmt.Sprintf("5c1e%04x:500,91bd%04x:300,e440%04x:100", i%4, i, i*7)
		if s.first != "" {
			header["Resumes"], header["Last-Event-Id"] = s.first, strconv.Itoa(s.lastID)
		}
		c, err := d.open(m)
		if err != nil {
			continue
		}
		a := c.exchange(http.MethodPost, hostName, planPath+"2f", "notes", header, time.Until(deadline), func(b io.Reader) error { return s.read(b, id) })
		c.close()
		s.complete = a.status == http.StatusOK && a.err == nil
		d.rec.log("client: stream %d attempt %d (%s) at %s: status %d, last event %d, error %v %s", i, s.attempts, id, m.name, a.status, s.lastID, a.err, a.body)
		if !s.complete {
			time.Sleep(clientsBackoff)
		}
	}
}

func (s *planStream) read(b io.Reader, id string) error {
	lines := bufio.NewScanner(b)
	for lines.Scan() {
		if n, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			s.lastID, _ = strconv.Atoi(n)
			if s.first == "" {
				s.first = id
			}
		}
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			version, _, _ := strings.Cut(data, " ")
			s.versions[version] = true
		}
	}
	return lines.Err()
}
