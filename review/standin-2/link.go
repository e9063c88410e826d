package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// retransmissionTime is the time after which a lost packet is sent again: the smallest one of Linux.
const retransmissionTime = 200 * time.Millisecond

// link forwards TCP connections to a server, over a path that loses packets from SIGUSR1 to SIGUSR2: each piece that it reads, and the end of
// each connection, is lost with a probability and passed on once it is sent again. Pieces stay in order. While the
// server does not listen, the link does not either, so that connections are refused as without it.
type link struct {
	listen, target string
	loss           float64
	mu             sync.Mutex
	random         *rand.Rand // guarded by mu
	losing         atomic.Bool
}

func runLink(args []string) {
	x := &link{}
	f := flag.NewFlagSet("link", flag.ExitOnError)
	f.StringVar(&x.listen, "listen", "", "address to listen on")
	f.StringVar(&x.target, "target", "", "address of the server")
	f.Float64Var(&x.loss, "loss", 0, "share of packets that are lost")
	seed := f.Uint64("seed", rand.Uint64(), "seed")
	_ = f.Parse(args)
	x.random = rand.New(rand.NewPCG(*seed, 0))
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	go func() {
		for s := range signals {
			x.losing.Store(s == syscall.SIGUSR1)
		}
	}()
	for {
		// This connection shows when the server's process ends.
		watch, err := net.Dial("tcp", x.target)
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		l, err := listenSoon(x.listen)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNoRun)
		}
		go x.accept(l)
		_, _ = io.Copy(io.Discard, watch)
		_ = l.Close()
	}
}

func (x *link) accept(l net.Listener) {
	for {
		near, err := l.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", x.target)
		if err != nil {
			_ = near.(*net.TCPConn).SetLinger(0)
			_ = near.Close()
			continue
		}
		go x.forward(far, near)
		go x.forward(near, far)
	}
}

// forward passes on what from sends, then its end: a close as a close, a reset as a reset.
func (x *link) forward(to, from net.Conn) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		x.mayLose()
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		switch {
		case err == io.EOF:
			_ = to.(*net.TCPConn).CloseWrite()
			return
		case err != nil:
			if errors.Is(err, syscall.ECONNRESET) {
				_ = to.(*net.TCPConn).SetLinger(0)
			}
			_ = to.Close()
			return
		}
	}
}

func (x *link) mayLose() {
	for x.losing.Load() {
		x.mu.Lock()
		lost := x.random.Float64() < x.loss
		x.mu.Unlock()
		if !lost {
			return
		}
		time.Sleep(retransmissionTime)
	}
}
