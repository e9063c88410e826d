package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// server is a model server as the users' pages describe it: it sends liveness reports, rejects what is meant for
// another server, and answers with a stream of numbered events. Each event names the software version that made it.
type server struct {
	id, service, zone, version string
	address                    string // told in liveness reports
	controls                   []string
	events                     int
	interval                   time.Duration
	unframed                   bool // answers have neither a length nor chunks
	firstReport                time.Duration
	crashPart                  string        // part of a prompt under which the server crashes; empty: none
	servesOn                   time.Duration // after it has deregistered
	deregistered               atomic.Bool
	born                       int64
	seq                        atomic.Int64
}

func runServer(args []string) {
	s := &server{born: time.Now().UnixMilli()}
	f := flag.NewFlagSet("server", flag.ExitOnError)
	listen := f.String("listen", "", "address to listen on")
	controls := f.String("controls", "", "control addresses, separated by commas")
	f.StringVar(&s.id, "id", "", "id")
	f.StringVar(&s.address, "address", "", "address in liveness reports")
	f.StringVar(&s.service, "service", "", "service")
	f.StringVar(&s.zone, "zone", "", "zone")
	f.StringVar(&s.version, "version", "v1", "version of the software")
	f.IntVar(&s.events, "events", 10, "events of an answer")
	f.DurationVar(&s.interval, "interval", 100*time.Millisecond, "time between two events")
	f.BoolVar(&s.unframed, "unframed", false, "answers have neither a length nor chunks")
	f.DurationVar(&s.firstReport, "first-report", 0, "time that the first liveness report takes to arrive")
	f.StringVar(&s.crashPart, "crash-part", "", "part of a prompt under which the server crashes")
	f.DurationVar(&s.servesOn, "serves-on", 4500*time.Millisecond, "time for which the server serves on after it has deregistered, on SIGUSR1")
	_ = f.Parse(args)
	s.controls = strings.Split(*controls, ",")
	if s.address == "" {
		s.address = *listen
	}
	l, err := listenSoon(*listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNoRun)
	}
	go s.report()
	go s.leave()
	fmt.Fprintln(os.Stderr, http.Serve(l, s))
}

// report sends liveness reports until the process ends.
func (s *server) report() {
	client := &http.Client{Timeout: time.Second}
	time.Sleep(s.firstReport)
	for n := 0; !s.deregistered.Load(); n++ {
		body, _ := json.Marshal(map[string]any{
			"service": s.service, "addr": s.address, "zone": s.zone, "version": s.version, "slots": 64, "state": "ready",
			"warmupLeftMs": 0, "callSeq": s.seq.Add(1), "born": s.born, "stage": "colocated",
			"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
		})
		for k := range s.controls {
			address := s.controls[(n+k)%len(s.controls)]
			r, err := client.Post("http://"+address+"/Instances.Heartbeat/"+s.id, "application/json", bytes.NewReader(body))
			if err != nil {
				continue
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_ = r.Body.Close()
			if r.StatusCode/100 == 2 {
				break
			}
		}
		time.Sleep(1200 * time.Millisecond)
	}
}

// leave waits for SIGUSR1, deregisters, serves on and exits.
func (s *server) leave() {
	leaves := make(chan os.Signal, 1)
	signal.Notify(leaves, syscall.SIGUSR1)
	<-leaves
	s.deregistered.Store(true)
	client := &http.Client{Timeout: time.Second}
	body, _ := json.Marshal(map[string]any{"born": s.born})
	for n := range 6 {
		r, err := client.Post("http://"+s.controls[n%len(s.controls)]+"/Instances.Deregister/"+s.id, "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		note("deregisters", map[string]any{"server": s.id, "status": r.StatusCode})
		if r.StatusCode/100 == 2 {
			break
		}
	}
	time.Sleep(s.servesOn)
	note("exits", map[string]any{"server": s.id})
	os.Exit(0)
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	h["Date"] = nil
	if strings.HasSuffix(r.URL.Path, "/healthz") {
		h.Set("X-Instance-Id", s.id)
		return
	}
	h.Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	note("ran", map[string]any{"server": s.id, "version": s.version, "request": id, "from": first})
	if s.crashPart != "" && strings.Contains(r.Header.Get("X-Prompt-Prefix"), s.crashPart+":") {
		note("crashes", map[string]any{"server": s.id, "request": id})
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		time.Sleep(time.Second) // the signal ends the process before
	}
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Server-Seal", s.id+"."+s.version+"."+id)
	h.Set("X-Weight-Versions", "1")
	if s.unframed {
		s.answerUnframed(w, first)
		return
	}
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	for n := first; n <= s.events; n++ {
		if _, err := io.WriteString(w, s.event(n)); err != nil || rc.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(s.interval):
		}
	}
}

func (s *server) event(n int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d/%d\n\n", n, s.version, n, s.events)
}

// answerUnframed writes an answer that ends with its channel. Each event is written at once.
func (s *server) answerUnframed(w http.ResponseWriter, first int) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	var head bytes.Buffer
	head.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().WriteSubset(&head, map[string]bool{"Date": true})
	head.WriteString("Connection: close\r\n\r\n")
	if _, err := c.Write(head.Bytes()); err != nil {
		return
	}
	for n := first; n <= s.events; n++ {
		if _, err := io.WriteString(c, s.event(n)); err != nil {
			return
		}
		time.Sleep(s.interval)
	}
}

// note writes one line on what a stand-in did to standard output.
func note(what string, fields map[string]any) {
	b, _ := json.Marshal(fields)
	fmt.Printf("%s %s %s\n", time.Now().UTC().Format("15:04:05.000"), what, b)
}

// listenSoon listens on an address, which an earlier process may still hold for a moment.
func listenSoon(address string) (l net.Listener, err error) {
	for range 40 {
		if l, err = net.Listen("tcp", address); err == nil {
			return l, nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil, err
}
