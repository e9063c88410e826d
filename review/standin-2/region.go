package main

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"
)

const (
	regionStreams = 30
	// regionDown is the time for which the region is lost: the largest that the site file names.
	regionDown = 6 * time.Second
	// streamLimit is the time limit of clients, and the timeoutMs of their route.
	streamLimit = 15 * time.Second
	// settleTime is the time for which the system runs before: entry machines then use the control machine of their region.
	settleTime = 20 * time.Second
	// minTaken is the number of streams taken up from which the rule holds.
	minTaken = 12
)

// takeUpTimes are the times after the loss at which clients take their streams up, until one goes on. At the last one,
// stableWindowMs has passed since the region's machines started again, so that all machines are in touch.
var takeUpTimes = []time.Duration{300 * time.Millisecond, 4 * time.Second, 8 * time.Second, regionDown + stableWindow + 600*time.Millisecond}

// playRegion loses a region, the machines of the system and the servers in it, while streams run there. Their clients
// take them up in another region. There is a single version of the servers' software.
func playRegion(w *world) (bool, error) {
	if err := w.buildWith([]string{"lothian-a", "clyde-a", "grampian-a", "lothian-a", "clyde-a"}, []string{"lothian-a", "clyde-a"}); err != nil {
		return false, err
	}
	near, far := w.entries[0], w.entries[1]
	start := func(n, life int) (*process, error) {
		zone := "lothian-a"
		if n >= 2 {
			zone = "clyde-a"
		}
		return w.startServer(fmt.Sprintf("server %d", n), "-id", fmt.Sprintf("i-%d-%d", n, life), "-listen", w.serverAddress(n), "-events", "140", "-zone", zone)
	}
	var servers []*process
	for n := range 4 {
		s, err := start(n, 0)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	if err := w.order("/Config.Put", manifest(1)); err != nil {
		return false, err
	}
	if err := w.warm(near, far); err != nil {
		return false, err
	}
	time.Sleep(settleTime)

	begunAt := time.Now()
	stop, stopAll := context.WithCancel(context.Background())
	defer stopAll()
	first := make([]answer, regionStreams)
	var streams sync.WaitGroup
	for n := range regionStreams {
		streams.Go(func() {
			ctx, cancel := context.WithDeadline(stop, begunAt.Add(streamLimit))
			defer cancel()
			first[n] = w.askUntil(ctx, near, "/summary/parish", "", limitHeader(begunAt.Add(streamLimit)))
		})
	}
	time.Sleep(1200 * time.Millisecond)
	lostAt := time.Now()
	if w.trouble {
		w.log("disruption: the region is lost: its control machines, its entry machine and its servers")
		for _, p := range []*process{near.process, w.controls[0].process, w.controls[3].process, servers[0], servers[1]} {
			p.kill()
		}
	} else {
		w.log("the clients close their channels")
		stopAll()
	}
	streams.Wait()
	if w.trouble {
		time.AfterFunc(time.Until(lostAt.Add(regionDown)), func() {
			w.log("the machines and servers of the region start again")
			for _, err := range []error{near.start(), w.controls[0].start(), w.controls[3].start()} {
				if err != nil {
					w.log("not started: %v", err)
				}
			}
			for n := range 2 {
				if _, err := start(n, 1); err != nil {
					w.log("not started: %v", err)
				}
			}
		})
	}
	return w.takeUp(far, first, begunAt, lostAt)
}

// takeUp takes the streams up at a machine, and judges the tries at which all machines are in touch.
func (w *world) takeUp(far *machine, first []answer, begunAt, lostAt time.Time) (bool, error) {
	var mu sync.Mutex
	taken, wentOn, begun, asked := 0, 0, 0, 0 // guarded by mu
	var clients sync.WaitGroup
	for _, a := range first {
		if a.events == 0 {
			continue
		}
		clients.Go(func() {
			for n, d := range takeUpTimes {
				time.Sleep(time.Until(lostAt.Add(d)))
				judged := n == len(takeUpTimes)-1 || !w.trouble
				headers := limitHeader(begunAt.Add(streamLimit))
				headers["Last-Event-Id"], headers["Resumes"] = strconv.Itoa(a.events), a.id
				ctx, cancel := context.WithDeadline(context.Background(), begunAt.Add(streamLimit))
				next := w.askUntil(ctx, far, "/summary/parish", "", headers)
				cancel()
				w.log("try %d to take up %s after event %d: %v", n+1, a.id, a.events, next)
				mu.Lock()
				if judged {
					taken++
				}
				if judged && next.events > 0 {
					wentOn++
				}
				mu.Unlock()
				if next.events > 0 {
					return
				}
			}
		})
	}
	// New streams, at the same machine and time as the judged ones.
	for range regionStreams {
		clients.Go(func() {
			time.Sleep(time.Until(lostAt.Add(takeUpTimes[len(takeUpTimes)-1])))
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			next := w.askUntil(ctx, far, "/summary/parish", "", limitHeader(time.Now().Add(streamLimit)))
			mu.Lock()
			defer mu.Unlock()
			if asked++; next.events > 0 {
				begun++
			}
		})
	}
	clients.Wait()
	w.log("in touch: %d of %d streams that were taken up went on, %d of %d new streams began", wentOn, taken, begun, asked)
	if begun*2 < asked || w.trouble && taken+wentOn == 0 || !w.trouble && taken < minTaken {
		return false, fmt.Errorf("too few streams")
	}
	return taken >= minTaken && 2*wentOn*asked < begun*taken, nil
}

// warm sends requests to machines until each serves.
func (w *world) warm(machines ...*machine) error {
	for _, m := range machines {
		served := 0
		for range 100 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			a := w.askUntil(ctx, m, "/summary/warm", "", limitHeader(time.Now().Add(streamLimit)))
			cancel()
			if a.events > 0 {
				served++
			}
			if served == 2 {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		if served < 2 {
			return fmt.Errorf("%s does not serve before the case begins", m.name)
		}
	}
	return nil
}

// limitHeader is the header of a client whose time limit ends at a time.
func limitHeader(end time.Time) map[string]string {
	return map[string]string{"X-Deadline-Ms": strconv.FormatInt(time.Until(end).Milliseconds(), 10)}
}
