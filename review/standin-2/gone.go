package main

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	goneStreams = 60
	goneServers = 3
	releaseGap  = time.Second
	// firstServesOn and othersServeOn are the times for which servers serve on after they have deregistered: drainMs
	// (4 s) "and a little longer (at times many seconds)".
	firstServesOn = 4500 * time.Millisecond
	othersServeOn = 12 * time.Second
	// drainTime is drainMs.
	drainTime = 4 * time.Second
)

// playGone replaces three servers of version v1 by three of v2, one after the other. The old ones deregister without
// having announced that they are leaving, and serve on. Clients take up the streams that the first one breaks off.
func playGone(w *world) (bool, error) {
	if err := w.build("lothian-a", "lothian-a"); err != nil {
		return false, err
	}
	var old []*process
	for n := range goneServers {
		servesOn := othersServeOn
		if n == 0 {
			servesOn = firstServesOn
		}
		s, err := w.startServer(fmt.Sprintf("server %d", n), "-id", fmt.Sprintf("i-%d", n), "-listen", w.serverAddress(n), "-events", "110", "-serves-on", servesOn.String())
		if err != nil {
			return false, err
		}
		old = append(old, s)
	}
	if err := w.order("/Config.Put", manifest(1)); err != nil {
		return false, err
	}
	if err := w.warm(w.entries...); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)
	var mu sync.Mutex
	taken, wentOn, begun := 0, 0, 0 // guarded by mu
	var leftAt []time.Time          // guarded by mu
	var clients sync.WaitGroup
	ask := func(n int, headers map[string]string, limit time.Time) answer {
		headers["X-Prompt-Prefix"] = fmt.Sprintf("5c1e%04x:100,91bd%04x:200", n%7, n) // no part that all share: all servers get streams
		ctx, cancel := context.WithDeadline(context.Background(), limit)
		defer cancel()
		return w.askUntil(ctx, w.entries[n%len(w.entries)], "/summary/parish", "", headers)
	}
	for n := range goneStreams {
		clients.Go(func() {
			limit := time.Now().Add(streamLimit)
			a := ask(n, limitHeader(limit), limit)
			if a.events == 0 || a.events == a.total {
				return
			}
			headers := limitHeader(limit)
			headers["Last-Event-Id"], headers["Resumes"] = strconv.Itoa(a.events), a.id
			mu.Lock()
			// The two others have deregistered, and drainMs has not passed since.
			counts := len(leftAt) == goneServers && time.Since(leftAt[1]) < drainTime
			mu.Unlock()
			next := ask(n+1, headers, limit)
			w.log("take up %s after event %d, counts %v: %v", a.id, a.events, counts, next)
			mu.Lock()
			defer mu.Unlock()
			if counts {
				taken++
			}
			if counts && next.events > 0 {
				wentOn++
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if w.trouble {
		for n, p := range old {
			w.log("disruption: a server of v2 starts, server %d deregisters", n)
			if _, err := w.startServer(fmt.Sprintf("server %d", goneServers+n), "-id", fmt.Sprintf("i-%d", goneServers+n), "-listen", w.serverAddress(goneServers+n), "-events", "110", "-version", "v2"); err != nil {
				return false, err
			}
			time.Sleep(releaseGap / 2) // the new one starts first
			p.signal(syscall.SIGUSR1)
			mu.Lock()
			leftAt = append(leftAt, time.Now())
			mu.Unlock()
			time.Sleep(releaseGap / 2)
		}
	}
	fresh := 0
	for range 40 {
		fresh++
		clients.Go(func() {
			limit := time.Now().Add(2 * time.Second)
			if a := ask(fresh, limitHeader(limit), limit); a.events > 0 {
				mu.Lock()
				begun++
				mu.Unlock()
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
	w.log("%d streams were taken up while two servers of their version serve, %d went on; %d of %d new streams began", taken, wentOn, begun, fresh)
	if w.trouble && taken < minTaken || begun == 0 {
		return false, fmt.Errorf("too few streams")
	}
	return taken >= minTaken && 2*wentOn*fresh < begun*taken, nil
}
