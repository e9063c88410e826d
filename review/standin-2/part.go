package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	partServers = 6
	// crashPart is the part of a prompt that crashes servers.
	crashPart     = "e4402b7d"
	crashRequests = 3
	crashGap      = 1300 * time.Millisecond
	// downTime is the time after a crash after which a server is back.
	downTime = 2500 * time.Millisecond
	// soundRequests is the number of sound requests before the crashes, and again after them; the rule asks for 20. With
	// that many, requests with crashPart are less than 3 in 100.
	soundRequests = 90
	soundGap      = 100 * time.Millisecond
	stableWindow  = 6 * time.Second
)

// playPart sends, in a quiet time, requests with a part that crashes servers. Their first part is that of all
// requests of the route.
func playPart(w *world) (bool, error) {
	if err := w.build("lothian-a", "lothian-a"); err != nil {
		return false, err
	}
	var crashes atomic.Int64
	var lastCrash atomic.Int64 // Unix nanoseconds
	ended := make(chan struct{})
	var supervisors sync.WaitGroup
	defer func() {
		close(ended)
		w.endAll()
		supervisors.Wait()
	}()
	for n := range partServers {
		start := func(life int) (*process, error) {
			return w.startServer(fmt.Sprintf("server %d", n), "-id", fmt.Sprintf("i-%d-%d", n, life), "-listen", w.serverAddress(n), "-crash-part", crashPart)
		}
		first, err := start(0)
		if err != nil {
			return false, err
		}
		supervisors.Go(func() {
			for c, life := first, 1; ; life++ {
				<-c.done
				select {
				case <-ended:
					return
				default:
				}
				lastCrash.Store(time.Now().UnixNano())
				w.log("server %d has crashed, crash %d", n, crashes.Add(1))
				time.Sleep(downTime)
				select {
				case <-ended:
					return
				default:
				}
				if c, err = start(life); err != nil {
					return
				}
			}
		})
	}
	if err := w.order("/Config.Put", manifest(1)); err != nil {
		return false, err
	}
	if err := w.warmUp(w.entries[0], "/plan/warm", 2); err != nil {
		return false, err
	}
	begunBefore := w.sound()
	time.Sleep(3 * time.Second)
	poison := func(n int) {
		if w.trouble {
			w.log("disruption: a request with the part that crashes servers")
			w.askWith(w.entries[n%len(w.entries)], "/plan/summary", crashPart+":50,")
		}
	}
	for n := range crashRequests {
		go poison(n)
		time.Sleep(crashGap)
	}
	if w.trouble && crashes.Load() == 0 {
		return false, fmt.Errorf("no server crashed")
	}
	if w.trouble {
		time.Sleep(2*stableWindow + time.Second - time.Since(time.Unix(0, lastCrash.Load())))
	}
	go poison(0)
	time.Sleep(200 * time.Millisecond)
	begunAfter := w.sound()
	poison(1) // such requests still come
	w.log("%d crashes; of %d sound requests each, %d began before the crashes and %d from %v after the last one; the rule asks for half as many",
		crashes.Load(), soundRequests, begunBefore, begunAfter, 2*stableWindow)
	if begunBefore < soundRequests/2 {
		return false, fmt.Errorf("%d of %d requests began without a disruption", begunBefore, soundRequests)
	}
	return 2*begunAfter < begunBefore, nil
}

// sound sends sound requests, one every soundGap, and returns how many began at the first attempt.
func (w *world) sound() int {
	var begun atomic.Int64
	var wg sync.WaitGroup
	for n := range soundRequests {
		wg.Go(func() {
			if a := w.ask(w.entries[n%len(w.entries)], "/plan/summary"); a.events > 0 {
				begun.Add(1)
			}
		})
		time.Sleep(soundGap)
	}
	wg.Wait()
	return int(begun.Load())
}
