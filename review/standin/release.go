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
	notesPath    = "/carol-notes/"
	notesTimeout = 15 * time.Second
	notesEvents  = 180
	notesGap     = 50 * time.Millisecond
	notesStreams = 60
	// Time for which a draining replica serves on after the ack: the first one just longer than drainMs,
	// the others many seconds.
	firstServesOn  = drain + 500*time.Millisecond
	othersServeOn  = drain + 8*time.Second
	minTakenUp     = 12
	newStreamEvery = 100 * time.Millisecond
)

// release plays a release: three replicas of version v1 are replaced by three of version v2, one after
// the other, a second apart; the new one starts first. When the first old one exits, the other two still
// serve. The streams that it breaks off must be able to go on there.
func release(d *deployment, trouble bool) (bool, error) {
	d.addControls("lothian-a", "lothian-a", "clyde-a", "clyde-a", "grampian-a")
	d.addEntries("lothian-a", "lothian-a")
	if err := d.startAll(); err != nil {
		return false, err
	}
	if err := d.putManifest(route("r-notes", notesPath, "streaming", "trefoil-pool", int(notesTimeout.Milliseconds()), 1000, 2)); err != nil {
		return false, err
	}
	newReplica := func(i int, version string) *replica {
		return &replica{id: fmt.Sprintf("i-%d", i), service: "trefoil-pool", zone: "lothian-a", addr: fmt.Sprintf("%s%d:%d", d.prefix, 60+i, d.portReps), version: version, slots: 64, handler: notesHandler}
	}
	var old []*replica
	for i := range 3 {
		r := newReplica(i, "v1")
		if err := d.startReplica(r); err != nil {
			return false, err
		}
		old = append(old, r)
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var exits []time.Duration // of the old replicas
	streams := make([]*notesStream, notesStreams)
	for i := range streams {
		streams[i] = &notesStream{lastID: -1}
		wg.Go(func() { d.followNotes(streams[i], i, 2) })
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		for i, r := range old {
			if err := d.startReplica(newReplica(10+i, "v2")); err != nil {
				return false, err
			}
			time.Sleep(500 * time.Millisecond) // the new one starts first
			ackedAt := r.drain()
			servesOn := othersServeOn
			if i == 0 {
				servesOn = firstServesOn
			}
			wg.Go(func() {
				time.Sleep(ackedAt + servesOn - d.rec.at())
				_, _ = r.deregister()
				d.rec.log("replica %s: exits", r.id)
				mu.Lock()
				exits = append(exits, d.rec.at())
				mu.Unlock()
				r.crash()
			})
			time.Sleep(500 * time.Millisecond)
		}
	}
	// New streams, from before the first exit until after the streams were taken up.
	var fresh []*notesStream
	for i := range 40 {
		s := &notesStream{lastID: -1}
		fresh = append(fresh, s)
		wg.Go(func() { d.followNotes(s, 1000+i, 1) })
		time.Sleep(newStreamEvery)
	}
	wg.Wait()
	taken, wentOn, begun := 0, 0, 0
	for i, s := range streams {
		// Two replicas of the version serve until the second one exits.
		counts := s.takenUpAt > 0 && len(exits) == len(old) && s.takenUpAt < exits[1]
		if counts {
			taken++
			if s.lastID > s.heldBefore {
				wentOn++
			}
		}
		d.rec.log("check: stream %d: %d attempts, taken up at %.3f s (counts %v) with event %d, last event %d, complete %v", i, s.attempts, s.takenUpAt.Seconds(), counts, s.heldBefore, s.lastID, s.complete)
	}
	for _, s := range fresh {
		if s.lastID >= 0 {
			begun++
		}
	}
	d.rec.log("check: %d streams taken up again while two replicas of their version serve, %d of them went on; %d of %d new streams began", taken, wentOn, begun, len(fresh))
	if taken < minTakenUp {
		if trouble {
			return false, fmt.Errorf("%w: fewer than %d streams were taken up", errNotRun, minTakenUp)
		}
		return false, nil
	}
	return float64(wentOn)/float64(taken) < 0.5*float64(begun)/float64(len(fresh)), nil
}

// notesStream is one stream as its client sees it.
type notesStream struct {
	first      string        // X-Request-Id of the attempt that brought the first event
	lastID     int           // of the last event; -1: none
	heldBefore int           // lastID when it was taken up
	takenUpAt  time.Duration // 0: it was not taken up
	attempts   int
	complete   bool
}

func notesHandler(r *replica, w http.ResponseWriter, q *http.Request, _ []byte) {
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
	for ; next < notesEvents; next++ {
		if r.dead.Load() {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s piece %d\n\n", next, r.version, next); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(notesGap)
	}
}

// followNotes reads a stream, and takes it up again at the other entry host if its channel breaks.
func (d *deployment) followNotes(s *notesStream, i, attempts int) {
	deadline := time.Now().Add(notesTimeout)
	for s.attempts < attempts && !s.complete {
		m := d.entries[(i+s.attempts)%len(d.entries)]
		s.attempts++
		s.heldBefore = s.lastID
		id := newID()
		header := clientHeader(id, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
		header["X-Model"] = "m"
		header["X-Token-Count"] = "900,720"
		header["X-Prompt-Prefix"] = fmt.Sprintf("5c1e%04x:500,91bd%04x:300,e440%04x:100", i%7, i, i*7)
		if s.first != "" {
			header["Resumes"], header["Last-Event-Id"] = s.first, strconv.Itoa(s.lastID)
			s.takenUpAt = d.rec.at()
		}
		c, err := d.open(m)
		if err != nil {
			continue
		}
		a := c.exchange(http.MethodPost, hostName, notesPath+"2f", "notes", header, time.Until(deadline), func(b io.Reader) error { return s.read(b, id) })
		c.close()
		s.complete = a.status == http.StatusOK && a.err == nil
		d.rec.log("client: stream %d attempt %d (%s) at %s: status %d, last event %d, error %v %s", i, s.attempts, id, m.name, a.status, s.lastID, a.err, strings.TrimSpace(a.body))
		if !s.complete {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (s *notesStream) read(b io.Reader, id string) error {
	lines := bufio.NewScanner(b)
	for lines.Scan() {
		if n, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			s.lastID, _ = strconv.Atoi(n)
			if s.first == "" {
				s.first = id
			}
		}
	}
	return lines.Err()
}
