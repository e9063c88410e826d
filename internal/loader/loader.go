package loader

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// The histograms hold 1 µs to 120 s, with three significant digits.
	minHistogramMicros = 1
	maxHistogramMicros = 120_000_000
	histogramDigits    = 3
	maxEventBytes      = 1 << 20
	// Maximum size of a response's header.
	maxHeaderBytes = 64 << 10
	// Maximum sizes of an answer, and of a rejection, which are cut off there.
	maxAnswerBytes    = 16 << 20
	maxRejectionBytes = 64 << 10
	// Largest number of tokens that is requested for an answer if Customer.Tokens is 0.
	maxVariedTokens = 48
)

// Customer is one customer's load. It is decoded from YAML by the names of its fields.
type Customer struct {
	Name string
	// Key is the secret of an API key of the customer.
	Key string
	// Requests is the mean number of requests per second. 0: none are sent.
	Requests float64
	// Tokens is the length of each answer. 0: lengths differ, up to 48.
	Tokens int
	// Rate and Burst are the customer's limits, in tokens per second and tokens. With Rate 0,
	// WrongfulRejections and OvershootTokens remain 0.
	Rate, Burst float64
}

// Loader sends an open-loop load. Set the exported fields, then call Run.
type Loader struct {
	// Hosts are addresses of entry hosts; each request goes to one of them at random.
	Hosts     []string
	Model     string
	Customers []Customer
	// Duration is the time for which new requests are sent.
	Duration time.Duration
	// ToUpstreams says that Hosts are upstreams: requests carry a request ID instead of a key.
	ToUpstreams bool
	// Prompt returns the prompt of a customer's n-th request, counted from 0. Nil: all prompts
	// differ.
	Prompt func(customer string, n int) string

	client       *http.Client
	mu           sync.Mutex
	stats        map[string]*customerStats // by customer; guarded by mu
	auditEntries []auditEntry              // guarded by mu
}

// customerStats accumulates what one customer's callers see.
type customerStats struct {
	firstToken, tokenGap *hdrhistogram.Histogram // of complete answers; microseconds
	sent                 int
	complete             int
	failures             map[string]int // by code
	tokens               int
}

// auditEntry is one request, to be replayed through a reference bucket.
type auditEntry struct {
	customer string
	at       time.Duration // time of the first token or the rejection, since the load began
	tokens   float64       // of prompt and answer; 0 if not answered
	overRate bool          // rejected as over the customer's rate
}

// Result is what one customer's callers saw.
type Result struct {
	Customer string `json:"customer"`
	// Sent is the number of requests, Complete that of complete answers.
	Sent     int `json:"sent"`
	Complete int `json:"whole"`
	// Tokens is the number of tokens received, also in truncated answers. Each event of a
	// stream counts as one token.
	Tokens int `json:"tokens"`
	// FailuresByCode counts all requests without a complete answer: by the error's code, or as
	// status_ and the HTTP status, no_answer, cut (truncated) or bad_request (not sent).
	FailuresByCode map[string]int `json:"refused"`
	// Quantiles over complete answers, milliseconds. The time to the first token counts from
	// when the request was due.
	FirstTokenP50Ms float64 `json:"first_p50_ms"`
	FirstTokenP99Ms float64 `json:"first_p99_ms"`
	FirstTokenP95Ms float64 `json:"first_p95_ms"`
	TokenGapP95Ms   float64 `json:"gap_p95_ms"`
	// WrongfulRejections is the number of rejections as over rate that a single bucket with the
	// customer's limits would not have made.
	WrongfulRejections int `json:"wrongful"`
	// OvershootTokens is the most by which that bucket was overdrawn.
	OvershootTokens float64 `json:"overshoot"`
}

// Run sends the load until Duration has passed or ctx ends, waits for the answers, and returns what
// callers saw, in the order of Customers.
func (l *Loader) Run(ctx context.Context) []Result {
	l.client = newClient()
	l.stats = map[string]*customerStats{}
	var wg sync.WaitGroup
	startedAt := time.Now()
	for _, c := range l.Customers {
		l.stats[c.Name] = &customerStats{firstToken: newHistogram(), tokenGap: newHistogram(), failures: map[string]int{}}
		if c.Requests > 0 {
			wg.Go(func() { l.sendRequests(ctx, c, startedAt, &wg) })
		}
	}
	wg.Wait()
	l.client.CloseIdleConnections()
	var results []Result
	for _, c := range l.Customers {
		results = append(results, l.result(c))
	}
	return results
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes}}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minHistogramMicros, maxHistogramMicros, histogramDigits)
}

// sendRequests sends a customer's requests at random times, with exponentially distributed
// intervals and the customer's mean rate.
func (l *Loader) sendRequests(ctx context.Context, c Customer, startedAt time.Time, wg *sync.WaitGroup) {
	dueAt := startedAt
	for n := 0; ; n++ {
		dueAt = dueAt.Add(time.Duration(rand.ExpFloat64() / c.Requests * float64(time.Second)))
		if dueAt.Sub(startedAt) > l.Duration {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(dueAt)):
		}
		wg.Go(func() { l.sendRequest(ctx, c, n, dueAt, startedAt) })
	}
}

func (l *Loader) sendRequest(ctx context.Context, c Customer, n int, dueAt, startedAt time.Time) {
	host := l.Hosts[rand.IntN(len(l.Hosts))]
	o := l.postCompletion(ctx, host, c, n, dueAt)
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats[c.Name]
	s.sent++
	s.tokens += o.tokens
	overRate := o.code == "over_rate"
	if o.complete {
		s.complete++
		_ = s.firstToken.RecordValue(o.latency.Microseconds())
		for _, g := range o.gaps {
			_ = s.tokenGap.RecordValue(g.Microseconds())
		}
	} else {
		s.failures[o.code]++
	}
	l.auditEntries = append(l.auditEntries, auditEntry{customer: c.Name, at: dueAt.Sub(startedAt) + o.latency, tokens: float64(o.totalTokens), overRate: overRate})
}

// outcome is the result of one request.
type outcome struct {
	complete    bool
	code        string          // why the answer is not complete
	latency     time.Duration   // from when the request was due to the first token or the rejection
	gaps        []time.Duration // times between tokens
	tokens      int             // tokens received
	totalTokens int             // of prompt and answer, as the upstream reported; 0 if it did not
}

func (l *Loader) postCompletion(ctx context.Context, host string, c Customer, n int, dueAt time.Time) outcome {
	prompt, maxTokens := fmt.Sprintf("%s asks for request %d", c.Name, n), maxVariedTokens
	if c.Tokens > 0 {
		prompt, maxTokens = fmt.Sprintf("%s tokens:%d", prompt, c.Tokens), c.Tokens
	}
	if l.Prompt != nil {
		prompt = l.Prompt(c.Name, n)
	}
	body, err := json.Marshal(map[string]any{
		"model": l.Model, "stream": true, "max_tokens": maxTokens, "stream_options": map[string]bool{"include_usage": true},
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		return outcome{code: "bad_request"}
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return outcome{code: "bad_request"}
	}
	if l.ToUpstreams {
		r.Header.Set("X-Request-Id", fmt.Sprintf("%s-%d", c.Name, n))
	} else {
		r.Header.Set("Authorization", "Bearer "+c.Key)
	}
	resp, err := l.client.Do(r)
	if err != nil {
		return outcome{code: "no_answer"}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return outcome{code: errorCode(resp), latency: time.Since(dueAt)}
	}
	return readStream(resp, dueAt)
}

func errorCode(resp *http.Response) string {
	var b struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxRejectionBytes)).Decode(&b); err != nil || b.Error.Code == "" {
		return fmt.Sprintf("status_%d", resp.StatusCode)
	}
	return b.Error.Code
}

func readStream(resp *http.Response, dueAt time.Time) outcome {
	o := outcome{code: "cut"}
	lines := bufio.NewScanner(io.LimitReader(resp.Body, maxAnswerBytes))
	lines.Buffer(nil, maxEventBytes)
	lastAt := dueAt
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			o.complete = true
			return o
		}
		if i := strings.Index(data, `"total_tokens":`); i >= 0 {
			_, _ = fmt.Sscanf(data[i:], `"total_tokens":%d`, &o.totalTokens)
			continue
		}
		now := time.Now()
		if o.tokens == 0 {
			o.latency = now.Sub(dueAt)
		} else {
			o.gaps = append(o.gaps, now.Sub(lastAt))
		}
		lastAt = now
		o.tokens++
	}
	return o
}
