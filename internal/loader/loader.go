package loader

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Range and precision of the histograms: microseconds, three digits.
	histogramLow  = 1
	histogramHigh = 120_000_000
	histogramFine = 3
	eventLimit    = 1 << 20
	// Longest answer where lengths differ, in tokens.
	variedLimit = 48
)

// Customer is one customer's part of the load.
type Customer struct {
	Name string
	Key  string
	// Requests a second.
	Requests float64
	// Tokens is the length of each answer. 0: lengths differ, up to 48.
	Tokens int
	// Rate and Burst are the customer's limits, in tokens.
	Rate, Burst float64
}

// Loader sends a load. Set the exported fields, then call Run.
type Loader struct {
	// Hosts are the entry hosts that callers use; each request takes one at random.
	Hosts     []string
	Model     string
	Customers []Customer
	Duration  time.Duration
	// Direct sends to upstreams without a gateway: no keys.
	Direct bool
	// Prompt returns the text of a customer's n-th request. Nil: all different.
	Prompt func(customer string, n int) string

	client *http.Client
	mu     sync.Mutex
	parts  map[string]*part // by customer; guarded by mu
	events []event          // guarded by mu
}

// part is what one customer's callers saw.
type part struct {
	first, gap *hdrhistogram.Histogram
	sent       int
	whole      int
	codes      map[string]int
	tokens     int
}

// event is one request as a reference bucket sees it.
type event struct {
	customer string
	at       time.Duration
	tokens   float64
	limited  bool
}

// Result is what one customer's callers saw.
type Result struct {
	Customer string         `json:"customer"`
	Sent     int            `json:"sent"`
	Whole    int            `json:"whole"`
	Tokens   int            `json:"tokens"`
	Refused  map[string]int `json:"refused"`
	// Milliseconds.
	FirstP50 float64 `json:"first_p50_ms"`
	FirstP99 float64 `json:"first_p99_ms"`
	FirstP95 float64 `json:"first_p95_ms"`
	GapP95   float64 `json:"gap_p95_ms"`
	// Wrongful counts refusals by rate that one bucket for the whole fleet would not have made.
	Wrongful int `json:"wrongful"`
	// Overshoot is the most by which that bucket was overdrawn, in tokens.
	Overshoot float64 `json:"overshoot"`
}

// Run sends the load and returns what callers saw, by customer in the order given.
func (l *Loader) Run(ctx context.Context) []Result {
	l.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}}
	l.parts = map[string]*part{}
	var group sync.WaitGroup
	begun := time.Now()
	for _, c := range l.Customers {
		l.parts[c.Name] = &part{first: newHistogram(), gap: newHistogram(), codes: map[string]int{}}
		if c.Requests > 0 {
			group.Go(func() { l.send(ctx, c, begun, &group) })
		}
	}
	group.Wait()
	l.client.CloseIdleConnections()
	var results []Result
	for _, c := range l.Customers {
		results = append(results, l.result(c))
	}
	return results
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLow, histogramHigh, histogramFine)
}

// send begins requests at random times with the customer's mean rate.
func (l *Loader) send(ctx context.Context, c Customer, begun time.Time, group *sync.WaitGroup) {
	due := begun
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rand.ExpFloat64() / c.Requests * float64(time.Second)))
		if due.Sub(begun) > l.Duration {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
		group.Go(func() { l.one(ctx, c, n, due, begun) })
	}
}

func (l *Loader) one(ctx context.Context, c Customer, n int, due, begun time.Time) {
	host := l.Hosts[rand.IntN(len(l.Hosts))]
	o := l.ask(ctx, host, c, n, due)
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.parts[c.Name]
	p.sent++
	p.tokens += o.tokens
	limited := o.code == "over_rate"
	if o.whole {
		p.whole++
		_ = p.first.RecordValue(o.first.Microseconds())
		for _, g := range o.gaps {
			_ = p.gap.RecordValue(g.Microseconds())
		}
	} else {
		p.codes[o.code]++
	}
	l.events = append(l.events, event{customer: c.Name, at: due.Sub(begun) + o.first, tokens: float64(o.usage), limited: limited})
}

// outcome is one answer.
type outcome struct {
	whole  bool
	code   string
	first  time.Duration
	gaps   []time.Duration
	tokens int
	usage  int
}

func (l *Loader) ask(ctx context.Context, host string, c Customer, n int, due time.Time) outcome {
	prompt, limit := fmt.Sprintf("%s asks for request %d", c.Name, n), variedLimit
	if c.Tokens > 0 {
		prompt, limit = fmt.Sprintf("%s tokens:%d", prompt, c.Tokens), c.Tokens
	}
	if l.Prompt != nil {
		prompt = l.Prompt(c.Name, n)
	}
	body, err := json.Marshal(map[string]any{
		"model": l.Model, "stream": true, "max_tokens": limit, "stream_options": map[string]bool{"include_usage": true},
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		return outcome{code: "bad_request"}
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return outcome{code: "bad_request"}
	}
	if l.Direct {
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
		return outcome{code: refusalCode(resp), first: time.Since(due)}
	}
	return readStream(resp, due)
}

func refusalCode(resp *http.Response) string {
	var b struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&b); err != nil || b.Error.Code == "" {
		return fmt.Sprintf("status_%d", resp.StatusCode)
	}
	return b.Error.Code
}

func readStream(resp *http.Response, due time.Time) outcome {
	o := outcome{code: "cut"}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, eventLimit)
	last := due
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			o.whole = true
			return o
		}
		if i := strings.Index(data, `"total_tokens":`); i >= 0 {
			_, _ = fmt.Sscanf(data[i:], `"total_tokens":%d`, &o.usage)
			continue
		}
		now := time.Now()
		if o.tokens == 0 {
			o.first = now.Sub(due)
		} else {
			o.gaps = append(o.gaps, now.Sub(last))
		}
		last = now
		o.tokens++
	}
	return o
}
