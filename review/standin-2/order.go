package main

import (
	"fmt"
	"time"
)

const (
	orderStreams = 16
	// maxMixed is the number of streams of two versions that the rule lets pass.
	maxMixed = 2
)

// reportDelay is the time that the first liveness report of the restarted server takes to arrive.
const reportDelay = 2 * time.Second

// playOrder restarts one of two servers under its id with a newer version of its software while no request runs. The
// first liveness report of the new process arrives late. Callers ask for streams, and the new process crashes.
func playOrder(w *world) (bool, error) {
	if err := w.build("lothian-a"); err != nil {
		return false, err
	}
	entry := w.entries[0]
	at := w.serverAddress
	first, err := w.startServer("server 1", "-id", "i-1", "-listen", at(1), "-version", "v1", "-events", "20")
	if err != nil {
		return false, err
	}
	if _, err := w.startServer("server 2", "-id", "i-2", "-listen", at(2), "-version", "v1", "-events", "20"); err != nil {
		return false, err
	}
	if err := w.order("/Config.Put", manifest(1)); err != nil {
		return false, err
	}
	if err := w.warmUp(entry, "/plan/warm", 4); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.log("disruption: server 1 ends and starts again under its id with version v2; its first liveness report arrives %v late", reportDelay)
		first.kill()
		if first, err = w.startServer("server 1", "-id", "i-1", "-listen", at(1), "-version", "v2", "-events", "20", "-first-report", reportDelay.String()); err != nil {
			return false, err
		}
		if err := awaitListener(at(1)); err != nil {
			return false, err
		}
	}
	streams := w.askMany(orderStreams, entry, "/plan/summary", 20*time.Millisecond)
	time.Sleep(time.Second)
	if w.trouble {
		w.log("disruption: server 1 crashes")
		first.kill()
	}
	mixed, served := 0, 0
	for _, a := range <-streams {
		if len(a.versions) > 1 {
			mixed++
			w.log("events of two versions: %v", a)
		}
		if a.events > 0 {
			served++
		}
	}
	w.log("%d of %d streams began, %d hold events of two versions; the rule allows %d", served, orderStreams, mixed, maxMixed)
	if served == 0 {
		return false, fmt.Errorf("no stream began")
	}
	return mixed > maxMixed, nil
}
