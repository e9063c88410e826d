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
	// A prompt is cached if its first maxPrefixBytes bytes are one of the maxCachedPrefixes
	// prefixes that the engine used last.
	maxCachedPrefixes = 64
	maxPrefixBytes    = 512
)

var words = strings.Fields("pew nave choir carol candle kirk hall seat row aisle bell organ verse hymn psalm tower porch vestry lamp holly")

// Engine is a stand-in for a model engine. Set the exported fields before use.
type Engine struct {
	Name    string
	Region  string
	Domain  string
	Address string
	Models  []string
	// Software is the version of the software that it announces.
	Software string
	// Slots is the number of requests that run at once; further ones wait. Below 1 counts as 1.
	Slots int
	// FirstTokenDelay is the time to the first token of a prompt whose prefix is not cached.
	FirstTokenDelay time.Duration
	// CachedFirstTokenDelay is the time to the first token of a prompt whose prefix is cached.
	CachedFirstTokenDelay time.Duration
	// TokenInterval is the time between tokens.
	TokenInterval time.Duration
	// InjectFault returns the fault to inject at a token, counted from 0, of the answer with the
	// given ID. For an answer that is not streamed it is called for token 0 only, and only
	// FaultTruncate has an effect. Nil: no faults.
	InjectFault func(id string, token int) Fault

	initSlots          sync.Once
	slotsInUse         chan struct{}
	running            atomic.Int32
	waiting            atomic.Int32
	served             atomic.Int64
	cacheHits          atomic.Int64
	canceled           atomic.Int64
	announcementNumber atomic.Uint64

	mu             sync.Mutex
	cachedPrefixes []uint64 // hashes, most recently used last; guarded by mu
}

// Fault is a fault to inject into an answer at a token.
type Fault int

// The faults. NoFault leaves the answer as it is.
const (
	NoFault Fault = iota
	// FaultTruncate closes the connection.
	FaultTruncate
	// FaultUnresponsive sends nothing more but keeps the connection open until the caller
	// closes it.
	FaultUnresponsive
	// FaultForeignChunk sends the token with the ID of another request.
	FaultForeignChunk
)

// Token returns the i-th token, counted from 0, of the answer to a prompt.
func Token(prompt string, i int) string {
	h := xxhash.Sum64String(prompt + "/" + strconv.Itoa(i))
	return words[h%uint64(len(words))] + strconv.Itoa(i) + " "
}

// AnswerTokens returns the number of tokens of the answer to a prompt if the request does not
// limit it. A prompt that contains "tokens:N" sets it to N.
func AnswerTokens(prompt string) int {
	if _, suffix, ok := strings.Cut(prompt, "tokens:"); ok {
		digits := suffix
		if i := strings.IndexFunc(suffix, func(r rune) bool { return r < '0' || r > '9' }); i >= 0 {
			digits = suffix[:i]
		}
		if n, err := strconv.Atoi(digits); err == nil {
			return n
		}
	}
	return 8 + int(xxhash.Sum64String(prompt)%40)
}

// Answer returns the answer to a prompt, truncated to maxTokens.
func Answer(prompt string, maxTokens int) string {
	var b strings.Builder
	for i := range min(maxTokens, AnswerTokens(prompt)) {
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
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	Resume struct {
		Tokens int    `json:"tokens"`
		Text   string `json:"text"`
	} `json:"resume"`
}

func (r *request) prompt() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Content + "\n")
	}
	var text string
	_ = json.Unmarshal(r.Prompt, &text)
	return b.String() + text
}

// ServeHTTP answers completion and chat completion requests once a slot is free. It rejects a
// request that carries a caller's key, which a gateway must not pass on.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.initSlots.Do(func() { e.slotsInUse = make(chan struct{}, max(1, e.Slots)) })
	if r.Header.Get("Authorization") != "" || r.Header.Get("X-Api-Key") != "" {
		http.Error(w, "a caller's key reached the engine", http.StatusTeapot)
		return
	}
	var req request
	// The error's text names the type of req, and callers get it.
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.waiting.Add(1)
	select {
	case e.slotsInUse <- struct{}{}:
		e.waiting.Add(-1)
	case <-r.Context().Done():
		e.waiting.Add(-1)
		e.canceled.Add(1)
		return
	}
	e.running.Add(1)
	defer func() {
		e.running.Add(-1)
		<-e.slotsInUse
	}()
	e.serveCompletion(w, r, &req)
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request, req *request) {
	prompt := req.prompt()
	delay := e.FirstTokenDelay
	if e.lookUpPrefix(prompt) {
		delay = e.CachedFirstTokenDelay
		e.cacheHits.Add(1)
	}
	if !sleep(r.Context(), delay) {
		e.canceled.Add(1)
		return
	}
	e.served.Add(1)
	id := "chatcmpl-" + r.Header.Get("X-Request-Id")
	tokens := AnswerTokens(prompt)
	if req.MaxTokens > 0 {
		tokens = min(tokens, req.MaxTokens)
	}
	if req.Stream {
		e.streamAnswer(w, r, req, id, prompt, tokens)
		return
	}
	e.writeAnswer(w, r, req, id, prompt, tokens)
}

func sleep(ctx context.Context, d time.Duration) bool {
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

// lookUpPrefix reports whether a prompt's prefix is cached, and caches it as the most recently used.
func (e *Engine) lookUpPrefix(prompt string) bool {
	h := xxhash.Sum64String(prompt[:min(len(prompt), maxPrefixBytes)])
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, cached := range e.cachedPrefixes {
		if cached == h {
			e.cachedPrefixes = append(append(e.cachedPrefixes[:i:i], e.cachedPrefixes[i+1:]...), h)
			return true
		}
	}
	e.cachedPrefixes = append(e.cachedPrefixes, h)
	if len(e.cachedPrefixes) > maxCachedPrefixes {
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
	return false
}

func (e *Engine) streamAnswer(w http.ResponseWriter, r *http.Request, req *request, id, prompt string, tokens int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	chat := strings.HasSuffix(r.URL.Path, "/chat/completions")
	for i := req.Resume.Tokens; i < tokens; i++ {
		if i > req.Resume.Tokens && !sleep(r.Context(), e.TokenInterval) {
			e.canceled.Add(1)
			return
		}
		chunkID := id
		if e.InjectFault != nil {
			switch e.InjectFault(id, i) {
			case FaultTruncate:
				panic(http.ErrAbortHandler)
			case FaultUnresponsive:
				<-r.Context().Done()
				e.canceled.Add(1)
				return
			case FaultForeignChunk:
				chunkID = "chatcmpl-another"
			}
		}
		fmt.Fprintf(w, "data: %s\n\n", formatChunk(chunkID, req.Model, Token(prompt, i), chat))
		_ = flush()
	}
	if req.StreamOptions.IncludeUsage {
		fmt.Fprintf(w, `data: {"id":%q,"object":"chat.completion.chunk","model":%q,"choices":[],"usage":%s}`+"\n\n", id, req.Model, formatUsage(prompt, tokens))
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func formatChunk(id, model, token string, chat bool) string {
	if chat {
		return fmt.Sprintf(`{"id":%q,"object":"chat.completion.chunk","model":%q,"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}`, id, model, token)
	}
	return fmt.Sprintf(`{"id":%q,"object":"text_completion","model":%q,"choices":[{"index":0,"text":%q,"finish_reason":null}]}`, id, model, token)
}

func formatUsage(prompt string, answerTokens int) string {
	promptTokens := len(prompt)/4 + 1
	return fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`, promptTokens, answerTokens, promptTokens+answerTokens)
}

func (e *Engine) writeAnswer(w http.ResponseWriter, r *http.Request, req *request, id, prompt string, tokens int) {
	if !sleep(r.Context(), time.Duration(tokens)*e.TokenInterval) {
		e.canceled.Add(1)
		return
	}
	if e.InjectFault != nil && e.InjectFault(id, 0) == FaultTruncate {
		panic(http.ErrAbortHandler)
	}
	text, err := json.Marshal(Answer(prompt, tokens))
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
	fmt.Fprintf(w, `{"id":%q,"object":%q,"model":%q,"choices":[%s],"usage":%s}`, id, object, req.Model, choice, formatUsage(prompt, tokens))
}

// Announcement returns an announcement of the engine's present state, with the next number. The
// incarnation is not set.
func (e *Engine) Announcement() *schema.Announcement {
	return &schema.Announcement{
		Name: e.Name, Kind: schema.UpstreamKind_UPSTREAM_ENGINE, Region: e.Region, Domain: e.Domain,
		Address: e.Address, Models: e.Models, Software: e.Software, Slots: int32(max(1, e.Slots)),
		Running: e.running.Load(), Waiting: e.waiting.Load(), Number: e.announcementNumber.Add(1), Lease: 3, Price: 1,
	}
}

// Counts returns the number of requests whose answer began, of those whose prompt's prefix was
// cached, and of those that the caller canceled.
func (e *Engine) Counts() (served, hits, canceled int64) {
	return e.served.Load(), e.cacheHits.Load(), e.canceled.Load()
}
