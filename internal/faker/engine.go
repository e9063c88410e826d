package faker

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	// Prompts whose beginning an engine remembers.
	cacheEntries = 64
	cachedBytes  = 512
)

var words = strings.Fields("pew nave choir carol candle kirk hall seat row aisle bell organ verse hymn psalm tower porch vestry lamp holly")

// Engine is a stand-in for a model engine. Set the exported fields before use.
type Engine struct {
	Name    string
	Region  string
	Domain  string
	Address string
	Models  []string
	// Slots is how many requests run at once; more wait.
	Slots int
	// Prefill is the time to the first token of a prompt that is not cached.
	Prefill time.Duration
	// Cached is the same for a prompt whose beginning is cached.
	Cached time.Duration
	// Gap is the time between tokens.
	Gap time.Duration
	// Break makes an answer go wrong. Nil: none does.
	Break func(id string, token int) Fault

	once     sync.Once
	slots    chan struct{}
	running  atomic.Int32
	waiting  atomic.Int32
	served   atomic.Int64
	hits     atomic.Int64
	canceled atomic.Int64
	number   atomic.Uint64

	mu    sync.Mutex
	cache []uint64 // newest last; guarded by mu
}

// Fault is what goes wrong at a token.
type Fault int

// The faults.
const (
	None Fault = iota
	// Cut closes the connection.
	Cut
	// Silent sends nothing more but keeps the connection open.
	Silent
	// Foreign sends a chunk of another request.
	Foreign
)

// Token returns the i-th token of the answer to a prompt.
func Token(prompt string, i int) string {
	h := xxhash.Sum64String(prompt + "/" + strconv.Itoa(i))
	return words[h%uint64(len(words))] + strconv.Itoa(i) + " "
}

// Length returns the number of tokens of the whole answer to a prompt, if not limited. A
// prompt may ask for a length with "tokens:N".
func Length(prompt string) int {
	if _, rest, ok := strings.Cut(prompt, "tokens:"); ok {
		digits := rest
		if i := strings.IndexFunc(rest, func(r rune) bool { return r < '0' || r > '9' }); i >= 0 {
			digits = rest[:i]
		}
		if n, err := strconv.Atoi(digits); err == nil {
			return n
		}
	}
	return 8 + int(xxhash.Sum64String(prompt)%40)
}

// Answer returns the whole answer to a prompt.
func Answer(prompt string, limit int) string {
	var b strings.Builder
	for i := range min(limit, Length(prompt)) {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

type request struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
	Options struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
	Resume struct {
		Tokens int    `json:"tokens"`
		Text   string `json:"text"`
	} `json:"resume"`
}

func (r *request) text() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Content + "\n")
	}
	var prompt string
	_ = json.Unmarshal(r.Prompt, &prompt)
	return b.String() + prompt
}

// ServeHTTP serves completions.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.once.Do(func() { e.slots = make(chan struct{}, max(1, e.Slots)) })
	if r.Header.Get("Authorization") != "" || r.Header.Get("X-Api-Key") != "" {
		http.Error(w, "a caller's key reached the engine", http.StatusTeapot)
		return
	}
	var q request
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.waiting.Add(1)
	select {
	case e.slots <- struct{}{}:
		e.waiting.Add(-1)
	case <-r.Context().Done():
		e.waiting.Add(-1)
		e.canceled.Add(1)
		return
	}
	e.running.Add(1)
	defer func() {
		e.running.Add(-1)
		<-e.slots
	}()
	e.serve(w, r, &q)
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request, q *request) {
	prompt := q.text()
	wait := e.Prefill
	if e.touch(prompt) {
		wait = e.Cached
		e.hits.Add(1)
	}
	if !pause(r.Context(), wait) {
		e.canceled.Add(1)
		return
	}
	e.served.Add(1)
	id := "chatcmpl-" + r.Header.Get("X-Request-Id")
	n := Length(prompt)
	if q.MaxTokens > 0 {
		n = min(n, q.MaxTokens)
	}
	if q.Stream {
		e.stream(w, r, q, id, prompt, n)
		return
	}
	e.whole(w, r, q, id, prompt, n)
}

func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// touch reports whether a prompt's beginning is cached, and caches it.
func (e *Engine) touch(prompt string) bool {
	h := xxhash.Sum64String(prompt[:min(len(prompt), cachedBytes)])
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, x := range e.cache {
		if x == h {
			e.cache = append(append(e.cache[:i:i], e.cache[i+1:]...), h)
			return true
		}
	}
	e.cache = append(e.cache, h)
	if len(e.cache) > cacheEntries {
		e.cache = e.cache[1:]
	}
	return false
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, q *request, id, prompt string, n int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	chat := strings.HasSuffix(r.URL.Path, "/chat/completions")
	for i := q.Resume.Tokens; i < n; i++ {
		if i > q.Resume.Tokens && !pause(r.Context(), e.Gap) {
			e.canceled.Add(1)
			return
		}
		sent := id
		if e.Break != nil {
			switch e.Break(id, i) {
			case Cut:
				panic(http.ErrAbortHandler)
			case Silent:
				<-r.Context().Done()
				e.canceled.Add(1)
				return
			case Foreign:
				sent = "chatcmpl-another"
			}
		}
		fmt.Fprintf(w, "data: %s\n\n", chunk(sent, q.Model, Token(prompt, i), chat))
		_ = flush()
	}
	if q.Options.Usage {
		fmt.Fprintf(w, `data: {"id":%q,"object":"chat.completion.chunk","model":%q,"choices":[],"usage":%s}`+"\n\n", id, q.Model, usage(prompt, n))
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func chunk(id, model, token string, chat bool) string {
	if chat {
		return fmt.Sprintf(`{"id":%q,"object":"chat.completion.chunk","model":%q,"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`, id, model, token)
	}
	return fmt.Sprintf(`{"id":%q,"object":"text_completion","model":%q,"choices":[{"index":0,"text":%q,"finish_reason":null}]}`, id, model, token)
}

func usage(prompt string, n int) string {
	p := len(prompt)/4 + 1
	return fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`, p, n, p+n)
}

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, q *request, id, prompt string, n int) {
	if !pause(r.Context(), time.Duration(n)*e.Gap) {
		e.canceled.Add(1)
		return
	}
	if e.Break != nil && e.Break(id, 0) == Cut {
		panic(http.ErrAbortHandler)
	}
	text, err := json.Marshal(Answer(prompt, n))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	choice := fmt.Sprintf(`{"index":0,"message":{"role":"assistant","content":%s},"finish_reason":"stop"}`, text)
	object := "chat.completion"
	if !strings.HasSuffix(r.URL.Path, "/chat/completions") {
		choice = fmt.Sprintf(`{"index":0,"text":%s,"finish_reason":"stop"}`, text)
		object = "text_completion"
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"id":%q,"object":%q,"model":%q,"choices":[%s],"usage":%s}`, id, object, q.Model, choice, usage(prompt, n))
}

// Announcement returns what the engine announces now.
func (e *Engine) Announcement() *schema.Announcement {
	return &schema.Announcement{
		Name: e.Name, Kind: schema.UpstreamKind_UPSTREAM_ENGINE, Region: e.Region, Domain: e.Domain,
		Address: e.Address, Models: e.Models, Slots: int32(max(1, e.Slots)),
		Running: e.running.Load(), Waiting: e.waiting.Load(), Number: e.number.Add(1), Lease: 3, Price: 1,
	}
}

// Counts returns how many requests were served, how many found their prompt cached, and
// how many were canceled.
func (e *Engine) Counts() (served, hits, canceled int64) {
	return e.served.Load(), e.hits.Load(), e.canceled.Load()
}
