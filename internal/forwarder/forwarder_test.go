package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/trefoilloft/trefoilloft/internal/allocator"
	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/pooler"
	"github.com/trefoilloft/trefoilloft/internal/scheduler"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// testProtocol is a Protocol with marks that are easy to read in tests.
type testProtocol struct{}

func (testProtocol) Encode(a Attempt) (*http.Request, error) {
	r := a.Request
	h := http.Header{"Id": {r.ID}, "After": {a.LastEventID}, "Customer": {r.Customer()}}
	out := &http.Request{Method: r.Method, URL: &url.URL{Scheme: "http", Host: r.Host, Opaque: r.Path}, Host: r.Host, Header: h, ProtoMajor: 1, ProtoMinor: 1}
	if len(r.Body) > 0 {
		out.Body, out.ContentLength = io.NopCloser(bytes.NewReader(r.Body)), int64(len(r.Body))
	}
	return out, nil
}

func (testProtocol) Classify(a Attempt, h *http.Response) Verdict {
	switch id := h.Header.Get("Id"); {
	case id != a.Request.ID && (id != "" || a.Reused):
		return Invalid
	case h.StatusCode == http.StatusMisdirectedRequest:
		return Misdirected
	case h.Header.Get("Not-Run") != "":
		return NotRun
	case h.StatusCode >= 500:
		return UpstreamError
	}
	return Valid
}

func (testProtocol) Brittleness(h http.Header) (float64, bool, error) {
	value := h.Get("Brittle")
	if value == "" {
		return 0, false, nil
	}
	n, err := strconv.ParseFloat(value, 64)
	return n, true, err
}

func (testProtocol) NamedLimit(h http.Header) (float64, error) {
	if h.Get("Limit") == "" {
		return 0, nil
	}
	return strconv.ParseFloat(h.Get("Limit"), 64)
}

func (testProtocol) Leaving(h http.Header) bool { return h.Get("Leaving") != "" }

func (testProtocol) Pause(response *http.Response) (time.Duration, error) {
	if response.Header.Get("Pause") == "" {
		return 0, nil
	}
	return time.ParseDuration(response.Header.Get("Pause"))
}

func (testProtocol) ResponseHeader(h http.Header) http.Header {
	return http.Header{"Mark": h.Values("Mark")}
}

// result is what a caller received.
type result struct {
	Status   int
	Body     string
	Finished bool
	Aborted  bool
	Cause    string
}

type recorderSink struct{ result }

func (s *recorderSink) SendHead(status int, _ http.Header, _ int64) { s.Status = status }
func (s *recorderSink) SendChunk(b []byte) error                    { s.Body += string(b); return nil }
func (s *recorderSink) Finish()                                     { s.Finished = true }
func (s *recorderSink) Abort()                                      { s.Aborted = true }
func (s *recorderSink) Refuse(f *Refusal)                           { s.Status, s.Cause = f.Status, f.Cause }

// system is a Forwarder with scripted upstreams.
type system struct {
	*Forwarder
	mu       sync.Mutex
	arrivals []string
	age      time.Duration
}

// scriptStep handles one request at an upstream: it responds, or truncates its response.
type scriptStep func(w http.ResponseWriter, r *http.Request)

func text(status int, body string, header ...string) scriptStep {
	return func(w http.ResponseWriter, _ *http.Request) {
		if len(header) == 2 {
			w.Header().Set(header[0], header[1])
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func truncate(body string) scriptStep {
	return func(w http.ResponseWriter, _ *http.Request) {
		if body != "" {
			_, _ = io.WriteString(w, body)
			w.(http.Flusher).Flush()
		}
		panic(http.ErrAbortHandler)
	}
}

func routes() []*schema.Item {
	var items []*schema.Item
	add := func(name string, kind schema.RouteKind, attempts int32, resumable, open bool) {
		r := &schema.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 3, Objective: 1, Attempts: attempts,
			Targets: []*schema.Target{{Pool: "p", Weight: 1}}, Resumable: resumable, Open: open,
		}
		items = append(items, &schema.Item{Path: "route/h" + r.Prefix, Value: &schema.Item_Route{Route: r}})
	}
	add("safe", schema.RouteKind_ROUTE_SAFE, 2, false, true)
	add("unsafe", schema.RouteKind_ROUTE_UNSAFE, 2, false, true)
	add("once", schema.RouteKind_ROUTE_UNSAFE, 1, false, true)
	add("stream", schema.RouteKind_ROUTE_STREAM, 2, false, true)
	add("resume", schema.RouteKind_ROUTE_STREAM, 2, true, true)
	add("keyed", schema.RouteKind_ROUTE_SAFE, 1, false, false)
	add("slow", schema.RouteKind_ROUTE_STREAM, 1, false, true)
	slow := items[len(items)-1].GetRoute()
	slow.Timeout, slow.Gap = 3600, 0.4
	key := &schema.Key{Hash: HashExternalKey("k"), Customer: "c"}
	return append(items,
		&schema.Item{Path: "pool/p", Value: &schema.Item_Pool{Pool: &schema.Pool{Name: "p"}}},
		&schema.Item{Path: "customer/c", Value: &schema.Item_Customer{Customer: &schema.Customer{Name: "c", Rate: 100, Burst: 100, Plain: 10}}},
		&schema.Item{Path: "key/" + key.Hash, Value: &schema.Item_Key{Key: key}},
		&schema.Item{Path: "document", Value: &schema.Item_Document{Document: &schema.Document{Number: 1}}},
	)
}

// newSystem starts an upstream for each script; every request is handled by the next step of
// its upstream's script, the last step again when the script has ended.
func newSystem(t *testing.T, scripts ...[]scriptStep) *system {
	t.Helper()
	return newSystemAt(t, &timer.Service{}, scripts...)
}

// newSystemAt is newSystem with a clock of the test's.
func newSystemAt(t *testing.T, clock *timer.Service, scripts ...[]scriptStep) *system {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = clock.Run(ctx) }()
	c := configurer.FromMessage(&schema.Snapshot{Version: 1, Items: routes()})
	s := &system{}
	find := func(name string) (allocator.Limits, bool) {
		x := c.Customer(name)
		return allocator.Limits{Rate: x.GetRate(), Burst: x.GetBurst()}, x != nil
	}
	s.Forwarder = &Forwarder{
		Region: "r", Timer: clock, Log: zerolog.Nop(), Protocol: testProtocol{}, Metrics: NewMetrics(), MaxConfirmationAge: time.Second,
		Scheduler:       &scheduler.Scheduler{Timer: clock, Config: func() *configurer.Snapshot { return c }},
		Pool:            &pooler.Pool{Timer: clock},
		Bucket:          &allocator.Bucket{Now: clock.Now, Limits: find, SlackTokens: 400},
		Budget:          &RetryBudget{Now: clock.Now, Window: 10 * time.Second, Ratio: 0.2, Slack: 100, Hosts: func() int { return 1 }},
		ConfirmationAge: func() (time.Duration, bool) { return s.age, true },
		EntryHosts:      func(string) []*schema.Peer { return nil },
		Borrow: func(context.Context, string, float64, float64) (float64, time.Duration, error) {
			return 0, time.Minute, nil
		},
	}
	s.Configure(c)
	var all []*schema.Announcement
	for i, script := range scripts {
		all = append(all, &schema.Announcement{
			Name: fmt.Sprint("u", i), Address: s.upstream(t, fmt.Sprint("u", i), script), Pool: "p", Region: "r", Domain: "d", Slots: 4, Incarnation: 1,
		})
	}
	s.Scheduler.UpdateUpstreams(all)
	return s
}

func (s *system) upstream(t *testing.T, name string, script []scriptStep) string {
	step := 0
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.arrivals = append(s.arrivals, strings.TrimSpace(name+" "+r.Header.Get("After")))
		next := script[min(step, len(script)-1)]
		step++
		s.mu.Unlock()
		w.Header().Set("Id", r.Header.Get("Id"))
		next(w, r)
	}))
	t.Cleanup(h.Close)
	return strings.TrimPrefix(h.URL, "http://")
}

// allArrivals returns the requests that arrived at upstreams, in order.
func (s *system) allArrivals() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.arrivals)
}

func (s *system) call(path, key string) result {
	now := s.Timer.Now()
	sink := &recorderSink{}
	s.Serve(context.Background(), &Request{
		ID: "1", Host: "h", Method: "POST", Path: path, Header: http.Header{}, Body: []byte("body"), Key: key,
		ArrivedAt: now, DeadlineAt: now + 2*time.Second,
	}, sink)
	return sink.result
}

const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

// TestRetriesAndOutcomes guards against wrong retries and responses when an upstream fails, for
// each kind of route and each way to fail. The first upstream of a case is always tried first;
// arrivals are the requests that all upstreams received.
func TestRetriesAndOutcomes(t *testing.T) {
	good := []scriptStep{text(200, "good")}
	for _, c := range []struct {
		name, path string
		first      []scriptStep
		second     []scriptStep
		want       result
		arrivals   []string
	}{
		{"answered", "/unsafe/x", []scriptStep{text(200, "ok")}, good, result{Status: 200, Body: "ok", Finished: true}, []string{"u0"}},
		{"not repeatable, truncated before the response", "/unsafe/x", []scriptStep{truncate("")}, good,
			result{Status: 502, Cause: causeLost}, []string{"u0"}},
		{"not repeatable, truncated in the response", "/unsafe/x", []scriptStep{truncate("half")}, good,
			result{Status: 502, Cause: causeLost}, []string{"u0"}},
		{"not repeatable, error of the upstream", "/unsafe/x", []scriptStep{text(500, "bad")}, good,
			result{Status: 500, Body: "bad", Finished: true}, []string{"u0"}},
		{"rejected by the upstream", "/unsafe/x", []scriptStep{text(503, "", "Not-Run", "1")}, good,
			result{Status: 200, Body: "good", Finished: true}, []string{"u0", "u1"}},
		{"rejected, one attempt", "/once/x", []scriptStep{text(503, "", "Not-Run", "1")}, good,
			result{Status: 503, Cause: causeRejected}, []string{"u0"}},
		{"idempotent, truncated", "/safe/x", []scriptStep{truncate("half")}, good, result{Status: 200, Body: "good", Finished: true}, []string{"u0", "u1"}},
		{"idempotent, both fail", "/safe/x", []scriptStep{text(500, "bad")}, []scriptStep{text(500, "worse")},
			result{Status: 500, Body: "worse", Finished: true}, []string{"u0", "u1"}},
		{"stream", "/stream/x", []scriptStep{text(200, events)}, good, result{Status: 200, Body: events, Finished: true}, []string{"u0"}},
		{"stream truncated in an event", "/stream/x", []scriptStep{truncate("id: 1\ndata: a\n\nid: 2\nda")}, good,
			result{Status: 200, Body: "id: 1\ndata: a\n\n", Aborted: true}, []string{"u0"}},
		{"stream truncated in an event, another upstream resumes it", "/resume/x", []scriptStep{truncate("id: 1\ndata: a\n\nid: 2\nda")}, []scriptStep{text(200, "id: 2\ndata: b\n\n")},
			result{Status: 200, Body: events, Finished: true}, []string{"u0", "u1 1"}},
		{"no such route", "/none/x", good, good, result{Status: 404, Cause: causeNoRoute}, nil},
		{"no key", "/keyed/x", good, good, result{Status: 401, Cause: causeNoKey}, nil},
	} {
		s := newSystem(t, c.first, c.second)
		s.preferFirst()
		got := s.call(c.path, "")
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: -want +got\n%s", c.name, diff)
		}
		if diff := cmp.Diff(c.arrivals, s.allArrivals()); diff != "" {
			t.Errorf("%s: arrivals: -want +got\n%s", c.name, diff)
		}
	}
}

// preferFirst makes the random choice among plain services that of the first one, and the other
// upstreams look busier.
func (s *system) preferFirst() {
	s.Scheduler.Random = func(n int) int { return n - 1 }
	s.Scheduler.UpdateOtherLoads([]*schema.PoolLoad{{Pool: "p", Running: map[string]int32{"u1": 2}}})
}

// TestKeysNeedFreshConfiguration guards against serving a key that may have been withdrawn: a valid
// key is accepted only while the configuration is fresh.
func TestKeysNeedFreshConfiguration(t *testing.T) {
	s := newSystem(t, []scriptStep{text(200, "ok")})
	if got := s.call("/keyed/x", "k"); got.Status != 200 {
		t.Errorf("valid key: %+v", got)
	}
	s.age = 2 * time.Second
	if got := s.call("/keyed/x", "k"); got.Status != 503 || got.Cause != causeStale {
		t.Errorf("valid key, configuration not fresh: %+v", got)
	}
	if got := s.call("/safe/x", ""); got.Status != 200 {
		t.Errorf("open route, configuration not fresh: %+v", got)
	}
}

// TestOverRate guards against customers that exceed their rate: requests above it get 429.
func TestOverRate(t *testing.T) {
	s := newSystem(t, []scriptStep{text(200, "ok")})
	statuses := map[int]int{}
	for range 60 {
		statuses[s.call("/keyed/x", "k").Status]++
	}
	if statuses[200] < 1 || statuses[429] < 20 || statuses[200]+statuses[429] != 60 {
		t.Errorf("got %v", statuses)
	}
}

// TestCallerDisconnects guards against upstreams that go on working for a caller that has
// disconnected.
func TestCallerDisconnects(t *testing.T) {
	ended := make(chan struct{})
	s := newSystem(t, []scriptStep{func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		<-r.Context().Done()
		close(ended)
	}})
	ctx, cancel := context.WithCancel(t.Context())
	s.Timer.Once(50*time.Millisecond, cancel)
	now := s.Timer.Now()
	sink := &recorderSink{}
	s.Serve(ctx, &Request{ID: "1", Host: "h", Method: "GET", Path: "/stream/x", Header: http.Header{}, ArrivedAt: now, DeadlineAt: now + time.Minute}, sink)
	if !sink.Aborted {
		t.Errorf("got %+v", sink.result)
	}
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the upstream still runs the request one second later")
	}
}

// TestTruncatedRelayIsNotRetried guards against running a relayed request again, here or elsewhere,
// after its response has begun. The response ends without its end mark.
func TestTruncatedRelayIsNotRetried(t *testing.T) {
	f := &Forwarder{}
	for name, x := range map[string]*schema.Failure{
		"truncated response": {Status: http.StatusBadGateway}, "truncated response, reported as not run": {Status: http.StatusServiceUnavailable, Notrun: true},
	} {
		r := &Request{}
		if err := f.relayedFailure(r, x, true); !errors.Is(err, errTruncated) || !r.mayHaveRun {
			t.Errorf("%s: got %v, mayHaveRun %v", name, err, r.mayHaveRun)
		}
	}
}

// TestElapsed guards against taking a retry for a caller's first attempt. Most callers of a
// route state the same time to the deadline, some a longer one; retries state a shorter one.
func TestElapsed(t *testing.T) {
	l := &deadlineHistory{}
	for i := range 60 {
		remaining := 5 * time.Second
		switch i % 6 {
		case 0:
			remaining = 10 * time.Second
		case 1, 2:
			remaining = 4 * time.Second
		}
		want := time.Duration(0)
		if remaining < 5*time.Second {
			want = time.Second
		}
		if got := l.elapsed("r", remaining); i > deadlineSamples && got != want {
			t.Errorf("request %d with %v left: got %v, want %v", i, remaining, got, want)
		}
	}
}

// TestAttemptTimeout guards against giving up on slow upstreams. While all engines are full,
// responses begin late, and a retry only makes another engine read the prompt again.
func TestAttemptTimeout(t *testing.T) {
	for _, c := range []struct {
		name        string
		slow, left  time.Duration
		least, most time.Duration
	}{
		{"calm", 100 * time.Millisecond, 5 * time.Second, 400 * time.Millisecond, time.Second},
		{"full engines", 1200 * time.Millisecond, 5 * time.Second, 1200 * time.Millisecond, 2500 * time.Millisecond},
		{"no responses yet", 0, 5 * time.Second, 400 * time.Millisecond, time.Second},
		{"little time left", 100 * time.Millisecond, time.Second, 0, 500 * time.Millisecond},
		{"full engines and little time left", 1200 * time.Millisecond, 2 * time.Second, 2 * time.Second, time.Hour},
	} {
		if got := attemptTimeout(time.Second, c.slow, c.left); got < c.least || got > c.most {
			t.Errorf("%s: got a timeout of %v, want %v to %v", c.name, got, c.least, c.most)
		}
	}
}
