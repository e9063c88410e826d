package forwarder

import (
	"net/http"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/clamper"
	"github.com/trefoilloft/trefoilloft/internal/quarantiner"
	"github.com/trefoilloft/trefoilloft/internal/scheduler"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// Request is one request of a caller.
type Request struct {
	// ID identifies the caller's attempt.
	ID string
	// Host, Method and Path select the route. Path is as the caller sent it, with the query.
	Host, Method, Path string
	// Header holds the header fields that are forwarded to the upstream, without those that only
	// an entry host may set.
	Header http.Header
	Body   []byte
	// Key is the caller's API key; empty if it sent none.
	Key string
	// Model and Parts describe the prompt. InputTokens is its number of tokens, MaxOutputTokens
	// the maximum number in the response, each at most clamper.MaxTokens. TokensStated says that
	// the caller stated both, StatedTokens is their sum without that bound. SetTokens sets them.
	Model                        string
	Parts                        []scheduler.PromptPart
	InputTokens, MaxOutputTokens int64
	StatedTokens                 float64
	TokensStated                 bool
	// HintTokens is the caller's estimate of the response's tokens; 0 if it gave none.
	HintTokens int64
	// LastEventID and Resumes are set if the caller takes up a stream: the ID of the last event that it
	// has, and the ID of its request that brought the first one.
	LastEventID, Resumes string
	// ArrivedAt and DeadlineAt are points in time on the timer's clock. DeadlineAt is the caller's
	// own.
	ArrivedAt, DeadlineAt time.Duration

	route         *schema.Route
	pool          string
	customer      *schema.Customer
	keyHash       string   // of Key, by HashExternalKey
	regions       []string // that may serve it, by index; nil: any
	index         *index   // configuration that regions come from
	priority      int
	chargedTokens float64
	objectiveAt   time.Duration      // by which it should be answered, counted from the caller's first attempt
	answerUntil   time.Duration      // earlier of the caller's deadline and the route's timeout
	configVersion uint64             // of index
	relayed       bool               // by another entry host
	attempts      int                // upstreams that it was sent to, without misdirected attempts
	sentBefore    int                // upstreams that the relaying host sent it to
	reached       int                // upstreams that received it, also those that rejected it
	keyedParts    []quarantiner.Part // set by quarantineParts
	contentHash   uint64             // set by contentKey
	brokenOff     bool               // an upstream may have ended under it
	trial         uint64             // quarantined part of which it is a trial; 0: none
	mayHaveRun    bool
	software      *string           // version of the software that began the stream; nil before its first event
	resumeRegions []string          // that have upstreams of that version; nil: not known
	counted       bool              // it is in the Forwarder's Budget
	avoid         map[string]uint64 // processes of upstreams that may not run it, by name
	lastResort    bool              // only an upstream that is leaving can serve it
	recorded      bool              // the stream that it began is in the Forwarder's Streams
	claim         scheduler.Claim   // what it may claim because it was refused before
	refusedHere   bool              // no slot of this region was forecast in time
	turnedAway    bool              // a brittle upstream has turned it away
	originUnknown bool              // another process than that of software may have begun the stream
}

// SetTokens sets the tokens of the prompt and the maximum of the response from numbers of any size, if the
// caller stated both.
func (r *Request) SetTokens(input, output int64, stated bool) {
	r.InputTokens, r.MaxOutputTokens = clamper.Tokens(input), clamper.Tokens(output)
	r.StatedTokens, r.TokensStated = float64(max(0, input))+float64(max(0, output)), stated
}

// Customer returns the name of the customer that sent the request; empty on a route that
// needs no key.
func (r *Request) Customer() string { return r.customer.GetName() }

// Priority returns the request's priority; 0 is the most urgent.
func (r *Request) Priority() int { return r.priority }

// repeatable reports whether upstreams may run the request more than once.
func (r *Request) repeatable() bool {
	return r.route.Kind == schema.RouteKind_ROUTE_SAFE || r.resumable()
}

func (r *Request) resumable() bool {
	return r.route.Kind == schema.RouteKind_ROUTE_STREAM && r.route.Resumable
}

// takesUp reports whether the caller takes up a stream that it has the beginning of.
func (r *Request) takesUp() bool { return r.resumable() && r.LastEventID != "" }

// sharedPrefix returns the ID of the last part of the prompt that other requests share;
// empty if none.
func (r *Request) sharedPrefix() string {
	if len(r.Parts) < 2 {
		return ""
	}
	return r.Parts[len(r.Parts)-2].ID
}

// sharedPartIDs returns the IDs of the parts of the prompt that other requests may share, at most
// maxLoggedParts.
func (r *Request) sharedPartIDs() []string {
	var ids []string
	for _, p := range r.Parts[:max(0, min(len(r.Parts)-1, maxLoggedParts))] {
		ids = append(ids, p.ID)
	}
	return ids
}

// contentKey returns the key that all requests with the same path, customer and body have.
func (r *Request) contentKey() uint64 {
	if r.contentHash == 0 {
		r.contentHash = quarantiner.RequestKey(r.Path, r.Customer(), r.Body)
	}
	return r.contentHash
}

// Numbers of parts of a prompt and of homes that a log line names.
const (
	maxLoggedParts = 8
	maxLoggedHomes = 16
)

func (r *Request) isStream() bool { return r.route.Kind == schema.RouteKind_ROUTE_STREAM }

// Sink receives the response for a caller.
type Sink interface {
	// SendHead begins a response. Length is in bytes, -1 if it is not known.
	SendHead(status int, header http.Header, length int64)
	// SendChunk sends a piece of the body without delay.
	SendChunk(b []byte) error
	// Finish marks the response as complete.
	Finish()
	// Abort truncates the response in a way that the caller detects.
	Abort()
	// Refuse sends a refusal in place of an upstream's response.
	Refuse(f *Refusal)
}

// Attempt is one sending of a request to an upstream.
type Attempt struct {
	Request *Request
	// Upstream is the name of the upstream that the request is meant for.
	Upstream string
	// Timeout is the time that remains for the upstream to respond.
	Timeout time.Duration
	// LastEventID is the ID of the last event that the caller received; empty to start at the
	// beginning.
	LastEventID string
	// Priority orders requests at a model engine; 0 is the most urgent.
	Priority int
	// Reused says that an earlier request was sent on the connection, so that the response may be to that
	// one. It is set once the request was sent.
	Reused bool
}

// Verdict classifies an upstream's response by its head.
type Verdict int

// The verdicts.
const (
	// Valid is a response to forward.
	Valid Verdict = iota
	// UpstreamError is an error of the upstream. The request may have run; the response is
	// forwarded if no attempt gets a better one.
	UpstreamError
	// NotRun means that the upstream did not run the request and never will.
	NotRun
	// Misdirected means that another upstream now has the address. It did not run the request.
	Misdirected
	// Invalid is not a valid response to this request.
	Invalid
)

// Protocol is the HTTP-based protocol of upstreams.
type Protocol interface {
	// Encode returns the request to send to the upstream. Its error means that nothing was sent.
	Encode(a Attempt) (*http.Request, error)
	// Classify classifies a response by its head. The upstream may have sent the response to an earlier request
	// once more; one with the ID of this request was not refused on the connection before.
	Classify(a Attempt, h *http.Response) Verdict
	// NamedLimit returns the number of requests per second that the upstream takes from all hosts
	// together, as its response says; 0 if the response names no limit. An error says why the limit
	// cannot be read.
	NamedLimit(h http.Header) (float64, error)
	// Brittleness returns how many requests the upstream says that it can turn away in a second without failing, and
	// whether it says so. An error says why the number cannot be read; it then counts as 0.
	Brittleness(h http.Header) (rejections float64, brittle bool, err error)
	// Leaving reports whether the upstream says in its response that it is leaving.
	Leaving(h http.Header) bool
	// Pause returns how long the upstream wants no request from this host, as its response says; 0 if it
	// asks for no pause. An error says why the pause cannot be read.
	Pause(response *http.Response) (time.Duration, error)
	// ResponseHeader returns the header fields of a response that are forwarded to the caller.
	ResponseHeader(h http.Header) http.Header
}
