package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// given is what a server answered.
type given struct {
	status int
	body   string
}

// rawServer answers on plain sockets, so that it can send additional bytes after a complete answer.
type rawServer struct {
	*server
	faulty bool
	spoils *atomic.Bool // faulty servers send additional bytes now
	mu     *sync.Mutex
	given  map[string]given // by seal, which names the server and the request; guarded by mu
	extra  *atomic.Int64
	total  *atomic.Int64
	busy   atomic.Int64 // requests that run
	full   *atomic.Int64
}

const spoiledShare = 0.03 // of the answers of a faulty server

func (s *rawServer) listen(ctx context.Context) error {
	s.born = time.Now().UnixMilli()
	s.state.Store("ready")
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	go s.beat(ctx)
	return nil
}

func (s *rawServer) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	late := "" // comes where the next answer is expected
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Request-Id")
		if r.URL.Path == "/healthz" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id)
			continue
		}
		if e := r.Header.Get("X-Expect-Instance"); e != "" && e != s.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		if late != "" {
			_, _ = io.WriteString(c, late)
			s.rec("server %s sends %q where the answer to %s is due", s.id, late, id)
			s.extra.Add(1)
			late = ""
		}
		if s.busy.Add(1) > int64(s.slots) {
			s.busy.Add(-1)
			s.full.Add(1)
			head := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
			if _, err := io.WriteString(c, head); err != nil {
				return
			}
			if s.faulty && s.spoils.Load() && rand.Float64() < spoiledShare {
				late = head[:1+rand.IntN(len(head)-1)]
			}
			continue
		}
		time.Sleep(time.Duration(10+rand.IntN(20)) * time.Millisecond)
		s.busy.Add(-1)
		status, reason := 200, "OK"
		failing := 0.14
		if r.Method == http.MethodPost {
			failing = 0.004
		}
		if rand.Float64() < failing {
			status, reason = 500, "Internal Server Error"
		}
		body := fmt.Sprintf("%s, seats for %s\n", reason, id)
		s.mu.Lock()
		s.given[s.id+"."+id] = given{status, body}
		s.mu.Unlock()
		head := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Server-Seal: %s.%s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n", status, reason, id, s.id, id, len(body))
		if _, err := io.WriteString(c, head+body); err != nil {
			return
		}
		s.total.Add(1)
		if s.faulty && s.spoils.Load() && rand.Float64() < spoiledShare {
			late = head[:1+rand.IntN(len(head)-1)] // the answer once more, broken off in its head
		}
	}
}

func (s *rawServer) rec(format string, args ...any) { s.fleet.rec.line(format, args...) }

// splice plays a case: servers send, after a complete answer, the beginning of that answer once more. It arrives
// where the next answer on the channel is expected.
func splice(rec *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(rec, [3]int{2, 2, 1}, [3]int{2, 2, 2})
	if err != nil {
		return false, err
	}
	defer f.stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := f.startAll(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	answered := map[string]given{}
	var spoils atomic.Bool
	var extra, total, full atomic.Int64
	n := 0
	for i, z := range zones {
		for k := range 2 {
			// Three of six servers are faulty.
			s := &rawServer{server: &server{fleet: f, id: newID(), service: "desk", zone: z, addr: f.addr(f.ip(100+2*i+k), offsetServer), slots: 6},
				faulty: k == 0, spoils: &spoils, mu: &mu, given: answered, extra: &extra, total: &total, full: &full}
			if err := s.listen(ctx); err != nil {
				return false, err
			}
			n++
		}
	}
	o := &operator{f, rec}
	m := &manifest{Version: 3, Routes: []map[string]any{route("look", "safe", "desk", 10000, 2), route("book", "unsafe", "desk", 10000, 1)}, Services: []map[string]any{plainService("desk", 110)}, Limits: limits(),
		Tenants: []map[string]any{tenant("parish", "key-of-the-parish")}}
	m.Tenants[0]["ratePerS"], m.Tenants[0]["burst"] = 4000000, 4000000
	if _, ok := o.order("/Config.Put", m.text(), 15*time.Second, f.cores...); !ok {
		return false, errNotReady
	}
	time.Sleep(6 * time.Second)
	answers := &counts{}
	wrong, refused := 0, 0
	var clients sync.WaitGroup
	for _, front := range f.fronts {
		for i := range 6 {
			clients.Go(func() {
				method, path, text := http.MethodGet, "/look/x", ""
				if i%3 > 0 {
					method, path, text = http.MethodPost, "/book/x", "pew=7"
				}
				c := newClient("key-of-the-parish")
				for ctx.Err() == nil {
					id := newID()
					status, header, body := c.send(ctx, method, f.addr(front.ip, offsetFront), path, id, text, 4*time.Second)
					answers.add(statusName(status))
					seal := header.Get("X-Server-Seal")
					mu.Lock()
					was, ran := answered[seal]
					// A success must be that of the server, whole; a failure with a seal must have the server's status.
					bad := status/100 == 2 && (!ran || !strings.HasSuffix(seal, "."+id) || was.status != status || was.body != body) || status >= 400 && seal != "" && was.status != status
					if bad {
						wrong++
					}
					mu.Unlock()
					if bad && method == http.MethodPost && (status == 503 || status == 429) {
						refused++
						rec.line("REFUSED: %s at %s: the client got %d, though the server of seal %q ran it and gave %d", id, front.name, status, seal, was.status)
					}
					if bad {
						rec.line("MIXED: %s at %s: the client got %d, seal %q, body %q; the server of this seal gave %d, body %q", id, front.name, status, seal, body, was.status, was.body)
					}
					if bad && method == http.MethodPost && status == 503 {
						// 503 promises that it has not run: the client sends the booking again, once.
						again := newID()
						status, header, _ := c.send(ctx, method, f.addr(front.ip, offsetFront), path, again, text, 4*time.Second)
						rec.line("the client sends the booking of %s again as %s: %d, seal %q", id, again, status, header.Get("X-Server-Seal"))
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(3 * time.Second)
	for episode := 1; episode <= 8; episode++ {
		spoils.Store(trouble)
		time.Sleep(5 * time.Second)
		spoils.Store(false)
		rec.line("episode %d of 5 s: so far %d answers by servers, %d refusals, %d times additional bytes; clients got %v", episode, total.Load(), full.Load(), extra.Load(), answers)
		time.Sleep(2 * time.Second)
	}
	cancel()
	clients.Wait()
	rec.line("answers to clients that were not the server's: %d; bookings that ran and were answered 503 among them: %d", wrong, refused)
	return refused > 0, nil
}
