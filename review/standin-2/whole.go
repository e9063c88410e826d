package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	wholeStreams = 60
	wholeRounds  = 4
	// wholeLoss is the share of packets that the link loses.
	wholeLoss = "0.03"
)

// playWhole lets a server crash while it writes streams that end with their channel, on a link that loses packets.
func playWhole(w *world) (bool, error) {
	if err := w.build("lothian-a"); err != nil {
		return false, err
	}
	entry := w.entries[0]
	at, told := w.serverAddress(1), w.serverAddress(2)
	start := func(n int) (*process, error) {
		return w.startServer("server", "-id", fmt.Sprintf("i-%d", n), "-listen", at, "-address", told, "-unframed", "-events", "25")
	}
	server, err := start(0)
	if err != nil {
		return false, err
	}
	link, err := w.startStandIn("link", "link", "-listen", told, "-target", at, "-loss", wholeLoss)
	if err != nil {
		return false, err
	}
	if err := w.order("/Config.Put", manifest(1)); err != nil {
		return false, err
	}
	early := 0
	for round := range wholeRounds {
		if err := w.warmUp(entry, "/query/warm", 2); err != nil {
			return false, err
		}
		streams := w.askMany(wholeStreams, entry, "/query/parish", 5*time.Millisecond)
		time.Sleep(time.Second)
		if w.trouble {
			w.log("disruption: the link loses packets, for less than 5 s")
			link.signal(syscall.SIGUSR1)
			time.Sleep(time.Second)
			w.log("disruption: the server crashes")
			server.kill()
		}
		for _, a := range <-streams {
			if a.status == http.StatusOK && a.whole && a.events < a.total {
				early++
				w.log("ended early, as complete: %v", a)
			}
		}
		if w.trouble {
			link.signal(syscall.SIGUSR2)
			w.log("the link loses nothing any more")
		}
		if w.trouble && round+1 < wholeRounds {
			time.Sleep(2 * time.Second)
			if server, err = start(round + 1); err != nil {
				return false, err
			}
			time.Sleep(4 * time.Second) // a server is slow for some seconds after its start
		}
	}
	w.log("%d answers ended early and look complete; the rule allows none", early)
	return early > 0, nil
}
