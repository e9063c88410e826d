package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// server is a sound server of a service.
type server struct {
	fleet                   *fleet
	id, service, zone, addr string
	slots                   int
	born                    int64
	seq                     atomic.Int64
	state                   atomic.Value // ready or draining
	stopped                 atomic.Bool
	work                    func(r *http.Request) time.Duration
	onRun                   func(s *server, id string, r *http.Request)
	handle                  func(s *server, w http.ResponseWriter, r *http.Request) bool // nil or false: the sound answer
	http                    *http.Server
}

func (s *server) start(ctx context.Context) error {
	s.born = time.Now().UnixMilli()
	s.state.Store("ready")
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	go s.beat(ctx)
	return nil
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.handle != nil && s.handle(s, w, r) {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if s.onRun != nil {
		s.onRun(s, id, r)
	}
	if s.work != nil {
		select {
		case <-time.After(s.work(r)):
		case <-r.Context().Done():
			return
		}
	}
	body := "answer of " + s.id + " to " + id + "\n"
	w.Header().Set("X-Server-Seal", "seal-"+s.id+"-"+id)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// beat reports to the control machines as PROTOCOL.md says.
func (s *server) beat(ctx context.Context) {
	at := rand.IntN(len(s.fleet.cores))
	for ctx.Err() == nil && !s.stopped.Load() {
		body := fmt.Sprintf(`{"service":%q,"addr":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"warmupLeftMs":0,"callSeq":%d,"born":%d}`,
			s.service, s.addr, s.zone, s.slots, s.state.Load(), s.seq.Add(1), s.born)
		for range s.fleet.cores {
			c := s.fleet.cores[at%len(s.fleet.cores)]
			status, _, err := call(ctx, http.MethodPost, "http://"+s.fleet.addr(c.ip, offsetControl)+"/Instances.Heartbeat/"+s.id, body, time.Second)
			if err == nil && status/100 == 2 {
				break
			}
			at++
		}
		select {
		case <-ctx.Done():
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// call makes one call on a channel of its own, which is closed after the time limit.
func call(ctx context.Context, method, url, body string, limit time.Duration) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	return response.StatusCode, string(b), err
}

// operator sends orders to the control machines, as PROTOCOL.md says.
type operator struct {
	fleet *fleet
	rec   *record
}

// order sends an order, to the machines in turn, until it is acknowledged. It returns the time of the
// acknowledgement, and whether there was one within the limit.
func (o *operator) order(path, body string, limit time.Duration, machines ...*machine) (time.Time, bool) {
	until := time.Now().Add(limit)
	pause := 50 * time.Millisecond
	for i := 0; time.Now().Before(until); i++ {
		m := machines[i%len(machines)]
		sent := time.Now()
		status, text, err := call(context.Background(), http.MethodPost, "http://"+o.fleet.addr(m.ip, offsetControl)+path, body, time.Second)
		switch {
		case err != nil:
			o.rec.line("operator: %s to %s: no answer in %.2f s", path, m.name, time.Since(sent).Seconds())
		default:
			o.rec.line("operator: %s to %s: %d %s", path, m.name, status, strings.TrimSpace(text))
		}
		if err == nil && status == http.StatusOK {
			return time.Now(), true
		}
		if err == nil && status >= 400 && status < 500 && status != 408 && status != 429 {
			return time.Time{}, false
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return time.Time{}, false
}

// others returns the core machines without one, in random order.
func (f *fleet) others(not *machine) []*machine {
	var all []*machine
	for _, i := range rand.Perm(len(f.cores)) {
		if f.cores[i] != not {
			all = append(all, f.cores[i])
		}
	}
	return all
}

// manifest is a configuration.
type manifest struct {
	Version  int              `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
	Tenants  []map[string]any `json:"tenants"`
}

func (m *manifest) text() string {
	b, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return string(b)
}

func route(name, kind, service string, timeoutMs, attempts int) map[string]any {
	return map[string]any{"name": name, "host": "parish.example", "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": timeoutMs, "sloMs": 600, "priority": 1,
		"service": service, "attempts": attempts, "anonymous": false, "sticky": false, "resumable": false, "gapAimMs": 400, "allowedRegions": []string{}}
}

func plainService(name string, conns int) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": conns, "protocol": "h1", "tls": false, "warmupS": 0.0, "coldPerS": 0.0}
}

func limits() map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}

func tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "apiKeys": keys, "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": 400000, "burst": 400000, "allowedRegions": []string{}}
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%06x%010x", rand.IntN(1<<24), lastID.Add(1)) }

// client sends requests to fronts.
type client struct {
	http *http.Client
	key  string
}

func newClient(key string) *client {
	return &client{key: key, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}}
}

// send sends one request and returns its status, 0 without one.
func (c *client) send(ctx context.Context, method, addr, path, id, body string, limit time.Duration) (int, http.Header, string) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, reader)
	if err != nil {
		return 0, nil, err.Error()
	}
	r.Host = "parish.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, response.Header, err.Error()
	}
	return response.StatusCode, response.Header, string(b)
}

// counts counts answers by status.
type counts struct {
	mu sync.Mutex
	n  map[string]int
}

func (c *counts) add(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = map[string]int{}
	}
	c.n[what]++
}

func (c *counts) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.n)
}

func (c *counts) total() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.n {
		n += x
	}
	return n
}

func (c *counts) share(what string) float64 {
	n := c.total()
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.n[what]) / float64(max(1, n))
}
