package server

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/faker"
	"github.com/trefoilloft/trefoilloft/internal/requester"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCapacityRelay measures the CPU time to copy one token of a stream to the caller: the
// difference between reading an engine directly and through a Server. Both include the engine
// and the caller, which run in the same process.
func BenchmarkCapacityRelay(b *testing.B) {
	const tokens = 2000
	engine := &faker.Engine{Name: "e", Slots: 64}
	upstream := httptest.NewServer(engine)
	defer upstream.Close()
	s := &Server{Timer: &timer.Service{}, metrics: newMetrics()}
	s.requester = &requester.Requester{Timer: s.Timer}
	s.requester.Start(b.Context())
	body := fmt.Sprintf(`{"model":"m","stream":true,"stream_options":{"include_usage":true},"max_tokens":%d,"messages":[{"role":"user","content":"tokens:%d"}]}`, tokens, tokens)
	relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := parseCompletion("/v1/chat/completions", []byte(body))
		if err != nil {
			b.Error(err)
			return
		}
		upstreamRequest, err := http.NewRequestWithContext(r.Context(), http.MethodPost, upstream.URL+c.path, strings.NewReader(body))
		if err != nil {
			b.Error(err)
			return
		}
		upstreamRequest.Header.Set("X-Request-Id", c.requestID)
		answer, err := s.requester.Send(upstreamRequest, firstTokenTimeout, false)
		if err != nil {
			b.Error(err)
			return
		}
		defer answer.Close()
		if err := s.copyStream(c, answer, &httpAnswerWriter{w: w}); err != nil {
			b.Error(err)
		}
	}))
	defer relay.Close()
	read := func(url string) {
		resp, err := http.Post(url+"/v1/chat/completions", "application/json", strings.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		defer resp.Body.Close()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			b.Fatal(err)
		}
	}
	var direct, relayed time.Duration
	n := 0
	for b.Loop() {
		startedAt := cpuTime(b)
		read(upstream.URL)
		direct += cpuTime(b) - startedAt
		startedAt = cpuTime(b)
		read(relay.URL)
		relayed += cpuTime(b) - startedAt
		n++
	}
	b.ReportMetric(float64((relayed-direct).Nanoseconds())/float64(n*tokens), "ns/token")
}
