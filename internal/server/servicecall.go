package server

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilloft/trefoilloft/internal/admitter"
	"github.com/trefoilloft/trefoilloft/internal/authenticator"
	"github.com/trefoilloft/trefoilloft/internal/bufferer"
	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/requester"
	"github.com/trefoilloft/trefoilloft/internal/router"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	idempotencyHeader = "Idempotency-Key"
	replayedHeader    = "Idempotent-Replayed"
	// Longest idempotency key, in bytes.
	maxIdempotencyKeyBytes = 255
	// Longest time until the header of a service's answer.
	serviceHeaderTimeout  = 30 * time.Second
	maxServiceAnswerBytes = 8 << 20
)

// serviceCall is one call to a service, an upstream that is not an engine.
type serviceCall struct {
	route    *schema.Route
	customer *schema.Customer // nil on a route that is open to all
	method   string
	path     string // including the query
	header   http.Header
	body     []byte
}

func (c *serviceCall) customerName() string { return c.customer.GetName() }

// serviceAnswer is the whole answer of a service.
type serviceAnswer struct {
	status      int
	contentType string // value of Content-Type; empty if there is none
	body        []byte
	replayed    bool // taken from the record of an earlier call
}

// serveServiceCall serves calls to services, under all paths that have no other handler.
func (s *Server) serveServiceCall(w http.ResponseWriter, r *http.Request) {
	call, keyHash, err := s.newServiceCall(r)
	if err != nil {
		w.Header().Set("Connection", "close") // the body is left unread
		s.writeRefusal(w, err)
		return
	}
	if call.body, err = s.readBody(w, r); err != nil {
		s.writeRefusal(w, err)
		return
	}
	ctx, cancel, err := s.requestContext(w, r)
	if err != nil {
		s.writeRefusal(w, err)
		return
	}
	defer cancel()
	if keyHash != "" {
		var remove func()
		ctx, remove = s.running.add(ctx, keyHash)
		defer remove()
	}
	answer, err := s.runServiceCall(ctx, call)
	if err != nil {
		s.writeRefusal(w, s.endError(ctx, err))
		return
	}
	s.metrics.answered.Inc()
	answer.write(w)
}

func (a *serviceAnswer) write(w http.ResponseWriter) {
	if a.contentType != "" {
		w.Header().Set("Content-Type", a.contentType)
	}
	if a.replayed {
		w.Header().Set(replayedHeader, "true")
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// newServiceCall returns a call without its body, and the hash of its API key, which is empty on a
// route that is open to all. It refuses calls without a route or a valid API key, calls bound to
// another region, and those that may not be repeated but have no valid idempotency key.
func (s *Server) newServiceCall(r *http.Request) (*serviceCall, string, error) {
	target := r.URL.RequestURI()
	route := findRoute(s.snapshot(), r.Method, target)
	if route == nil {
		return nil, "", newRefusal(http.StatusNotFound, "not_found", "there is no such route")
	}
	call := &serviceCall{route: route, method: r.Method, path: target, header: serviceHeader(r.Header)}
	home := route.Home
	keyHash := ""
	if !route.Open {
		p, err := s.authenticate(r)
		if err != nil {
			return nil, "", err
		}
		call.customer, keyHash = p.customer, p.keyHash
		if home == "" {
			home = p.customer.Home
		}
	}
	if err := s.checkHome(home); err != nil {
		return nil, "", err
	}
	if !route.Idempotent {
		key := r.Header.Get(idempotencyHeader)
		if key == "" || len(key) > maxIdempotencyKeyBytes {
			return nil, "", newRefusal(http.StatusBadRequest, "idempotency_key_missing",
				"calls of this route may not be repeated: send an "+idempotencyHeader+" of up to 255 bytes")
		}
	}
	return call, keyHash, nil
}

// findRoute returns the route of a method with the longest prefix that matches the path of a request target,
// decoded as the upstream that gets the target will decode it; nil if there is none.
func findRoute(c *configurer.Snapshot, method, target string) *schema.Route {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return nil
	}
	path := u.Path
	var best *schema.Route
	for _, p := range c.Paths("route") {
		r := c.Item(p).GetRoute()
		matches := path == r.Prefix || strings.HasPrefix(path, strings.TrimSuffix(r.Prefix, "/")+"/")
		if r.Method == method && matches && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// serviceHeader returns the caller's headers that are sent to a service.
func serviceHeader(h http.Header) http.Header {
	out := http.Header{}
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language", idempotencyHeader} {
		if v := h.Values(name); len(v) > 0 {
			out[http.CanonicalHeaderKey(name)] = v
		}
	}
	authenticator.StripCredentials(out)
	return out
}

// runServiceCall runs a call in this region or, if it may not be repeated, in the region that keeps
// its idempotency records.
func (s *Server) runServiceCall(ctx context.Context, call *serviceCall) (*serviceAnswer, error) {
	if !call.route.Idempotent {
		if region := s.recordsRegion(call); region != s.Settings.Region {
			return s.forwardServiceCall(ctx, region, call)
		}
	}
	return s.runServiceCallLocally(ctx, call)
}

func (s *Server) runServiceCallLocally(ctx context.Context, call *serviceCall) (*serviceAnswer, error) {
	release, err := s.admitter.Admit(ctx, admitter.Request{
		Pool: router.PoolName(schema.UpstreamKind_UPSTREAM_SERVICE, call.route.Name), Customer: call.customerName(),
		Weight: max(call.customer.GetWeight(), 1), Cost: 1, WaitLimit: slotWaitLimit,
	})
	if err != nil {
		if !call.route.Idempotent {
			return nil, withRunUnknown(err) // an earlier attempt of the same call may have run
		}
		return nil, err
	}
	defer release()
	if call.route.Idempotent {
		return s.runIdempotent(ctx, call)
	}
	return s.runAtMostOnce(ctx, call)
}

// withRunUnknown turns an error into a refusal that states that the call may have run.
func withRunUnknown(err error) error {
	r := *refusalOf(err)
	r.Run = RunUnknown
	return &r
}

// recordsRegion returns the region that keeps the idempotency records of a call: its home, or one
// that depends on the customer's name alone, so that a repeated call through any host finds them.
func (s *Server) recordsRegion(call *serviceCall) string {
	if call.route.Home != "" {
		return call.route.Home
	}
	if call.customer.GetHome() != "" {
		return call.customer.Home
	}
	best, bestHash := s.Settings.Region, uint64(0)
	c := s.snapshot()
	for _, path := range c.Paths("group") {
		region := c.Item(path).GetGroup().Region
		if h := xxhash.Sum64String(region + "/" + call.customerName()); h > bestHash {
			best, bestHash = region, h
		}
	}
	return best
}

// runIdempotent runs a call that may be repeated on one upstream after another, until one answers.
func (s *Server) runIdempotent(ctx context.Context, call *serviceCall) (*serviceAnswer, error) {
	history := newAttemptHistory()
	lastErr := error(router.ErrNoUpstream)
	for n := 0; history.withoutProgress < maxAttemptsWithoutProgress && s.allowAttempt(n); n++ {
		reservation, err := s.router.Pick(router.Request{Kind: schema.UpstreamKind_UPSTREAM_SERVICE, Pool: call.route.Name, Excluded: history.excluded})
		if err != nil {
			break
		}
		answer, err := s.sendServiceCall(ctx, call, reservation)
		reconnect := history.record(reservation.Name, err, false)
		s.finishAttempt(ctx, reservation, err, reconnect)
		if err == nil || ctx.Err() != nil {
			return answer, err
		}
		lastErr = err
	}
	return nil, lastErr
}

// sendServiceCall sends a call to one upstream and reads the whole answer. It uses a new connection, on which
// the call reaches the upstream at most once and any answer is the call's: services name no request.
func (s *Server) sendServiceCall(ctx context.Context, call *serviceCall, upstream *router.Reservation) (*serviceAnswer, error) {
	r, err := http.NewRequestWithContext(ctx, call.method, "http://"+upstream.Address+call.path, bytes.NewReader(call.body))
	if err != nil {
		return nil, errors.Join(requester.ErrNotSent, err)
	}
	r.Header = call.header.Clone()
	answer, err := s.requester.Send(r, serviceHeaderTimeout, true)
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	if answer.StatusCode < http.StatusOK { // http.Transport returns a response that switches protocols
		return nil, fmt.Errorf("%w: status %d is not final", requester.ErrIncomplete, answer.StatusCode)
	}
	if answer.Body != http.NoBody && answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 {
		return nil, fmt.Errorf("%w: it has neither a length nor chunks", requester.ErrIncomplete)
	}
	hold := bufferer.Hold{Budget: &s.buffers}
	defer hold.Release()
	b, err := hold.ReadAll(progressReader{answer}, maxServiceAnswerBytes)
	if err != nil {
		return nil, errors.Join(requester.ErrIncomplete, err)
	}
	return &serviceAnswer{status: answer.StatusCode, contentType: answer.Header.Get("Content-Type"), body: b}, nil
}
