package forwarder

import (
	"net/http"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/scheduler"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// Request is one request of a caller.
type Request struct {
	// ID names the caller's attempt.
	ID string
	// Host, Method and Path select the route. Path is as it was sent, with its query.
	Host, Method, Path string
	// Header holds what is passed on to the upstream, without marks that only we set.
	Header http.Header
	Body   []byte
	// Key is the caller's key; empty if it presented none.
	Key string
	// Model and Parts describe the prompt; Input and Output are its tokens and the most
	// that the answer may have. Counted says that the caller stated them.
	Model         string
	Parts         []scheduler.Part
	Input, Output int64
	Counted       bool
	// Hint is the caller's estimate of the answer's tokens; 0: none.
	Hint int64
	// Arrived and Deadline are times of the timer's clock.
	Arrived, Deadline time.Duration

	route    *schema.Route
	pool     string
	customer *schema.Customer
	hash     string   // of the key
	regions  []string // that may serve it; nil: any
	rank     int
	tokens   float64 // charged
	objected time.Duration
	end      time.Duration // when it gets its final answer at the latest
	version  uint64        // of the configuration that it was decided by
	relayed  bool          // another region's host passed it on
	sent     int           // upstreams that it was sent to and that may run it
	arrived  int           // upstreams that it reached, also those that turned it away
	unsure   bool          // it may have run
}

// Customer returns the name of the customer that the request is for; empty on a route that
// is open to all.
func (r *Request) Customer() string { return r.customer.GetName() }

// Rank returns the request's rank, 0 first.
func (r *Request) Rank() int { return r.rank }

// repeatable reports whether the request may run more than once.
func (r *Request) repeatable() bool {
	return r.route.Kind == schema.RouteKind_ROUTE_SAFE || r.resumable()
}

func (r *Request) resumable() bool {
	return r.route.Kind == schema.RouteKind_ROUTE_STREAM && r.route.Resumable
}

// shared returns the last part of the prompt that other requests share; empty if none.
func (r *Request) shared() string {
	if len(r.Parts) < 2 {
		return ""
	}
	return r.Parts[len(r.Parts)-2].ID
}

func (r *Request) stream() bool { return r.route.Kind == schema.RouteKind_ROUTE_STREAM }

// Sink is the way back to a caller.
type Sink interface {
	// Head begins an answer. Length is -1 if it is not known.
	Head(status int, header http.Header, length int64)
	// Chunk sends a piece of the answer at once.
	Chunk(b []byte) error
	// Finish says that the answer is whole.
	Finish()
	// Abort breaks the answer off so that it cannot be taken for whole.
	Abort()
	// Refuse sends an answer of our own.
	Refuse(f *Refusal)
}

// Attempt is one sending of a request to an upstream.
type Attempt struct {
	Request *Request
	// Upstream names the upstream that must answer.
	Upstream string
	// Left is the time that the upstream may take.
	Left time.Duration
	// After is the id of the last event that the caller has; empty: from the beginning.
	After string
	// Urgency orders requests at a model engine, 0 first.
	Urgency int
}

// Verdict is what the head of an answer says.
type Verdict int

// The verdicts.
const (
	// Good is an answer to pass on.
	Good Verdict = iota
	// Broken is an upstream's own failure: it may have run, and is to be passed on if
	// nothing better comes.
	Broken
	// NotRun says that the upstream did not run the request and never will.
	NotRun
	// Elsewhere says that another upstream has the address; it did not run either.
	Elsewhere
	// Foreign is no answer to this request.
	Foreign
)

// Dialect is an upstream's protocol.
type Dialect interface {
	// Encode makes the request to send.
	Encode(a Attempt) (*http.Request, error)
	// Judge reads the head of an answer.
	Judge(a Attempt, h *http.Response) Verdict
	// Pass returns the headers of an answer that the caller gets.
	Pass(h http.Header) http.Header
}
