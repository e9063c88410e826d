package server

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilloft/trefoilloft/internal/admitter"
	"github.com/trefoilloft/trefoilloft/internal/authenticator"
	"github.com/trefoilloft/trefoilloft/internal/caller"
	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/router"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	idempotencyHeader = "Idempotency-Key"
	replayedHeader    = "Idempotent-Replayed"
	// Longest idempotency key, in bytes.
	idempotencyLimit = 255
	// Longest time that a plain service takes to answer.
	serviceTimeout = 30 * time.Second
	serviceLimit   = 8 << 20
)

// plainCall is one call of a plain service.
type plainCall struct {
	route    *schema.Route
	customer *schema.Customer // nil: a route open to all
	method   string
	path     string // with the query
	header   http.Header
	body     []byte
}

func (p *plainCall) customerName() string { return p.customer.GetName() }

// plainAnswer is a plain service's whole answer.
type plainAnswer struct {
	status   int
	kind     string // content type
	body     []byte
	replayed bool
}

// servePlain serves the plain services beside the engines.
func (s *Server) servePlain(w http.ResponseWriter, r *http.Request) {
	p, hash, err := s.admitPlain(r)
	if err != nil {
		w.Header().Set("Connection", "close") // the body stays unread
		s.writeRefusal(w, err)
		return
	}
	if p.body, err = readBody(w, r); err != nil {
		s.writeRefusal(w, err)
		return
	}
	ctx, cancel, err := s.withDeadline(r)
	if err != nil {
		s.writeRefusal(w, err)
		return
	}
	defer cancel()
	if hash != "" {
		var done func()
		ctx, done = s.running.add(ctx, hash)
		defer done()
	}
	answer, err := s.runPlain(ctx, p)
	if err != nil {
		s.writeRefusal(w, s.ended(ctx, err))
		return
	}
	s.metrics.answered.Inc()
	answer.write(w)
}

func (a *plainAnswer) write(w http.ResponseWriter) {
	if a.kind != "" {
		w.Header().Set("Content-Type", a.kind)
	}
	if a.replayed {
		w.Header().Set(replayedHeader, "true")
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// admitPlain finds the route and the customer, and refuses what is bound elsewhere.
func (s *Server) admitPlain(r *http.Request) (*plainCall, string, error) {
	route := findRoute(s.snapshot(), r.Method, r.URL.Path)
	if route == nil {
		return nil, "", refuse(http.StatusNotFound, "not_found", "there is no such route")
	}
	p := &plainCall{route: route, method: r.Method, path: r.URL.RequestURI(), header: passedHeader(r.Header)}
	home := route.Home
	hash := ""
	if !route.Open {
		id, err := s.authenticate(r)
		if err != nil {
			return nil, "", err
		}
		p.customer, hash = id.customer, id.hash
		if home == "" {
			home = id.customer.Home
		}
	}
	if err := s.checkHome(home); err != nil {
		return nil, "", err
	}
	if !route.Idempotent {
		key := r.Header.Get(idempotencyHeader)
		if key == "" || len(key) > idempotencyLimit {
			return nil, "", refuse(http.StatusBadRequest, "idempotency_key_missing",
				"calls of this route may not be repeated: send an "+idempotencyHeader+" of up to 255 bytes")
		}
	}
	return p, hash, nil
}

// findRoute returns the route with the longest prefix of a path.
func findRoute(c *configurer.Snapshot, method, path string) *schema.Route {
	var best *schema.Route
	for _, p := range c.Paths("route") {
		r := c.Item(p).GetRoute()
		under := path == r.Prefix || strings.HasPrefix(path, strings.TrimSuffix(r.Prefix, "/")+"/")
		if r.Method == method && under && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// passedHeader returns the caller's headers that a service gets.
func passedHeader(h http.Header) http.Header {
	out := http.Header{}
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language", idempotencyHeader} {
		if v := h.Values(name); len(v) > 0 {
			out[http.CanonicalHeaderKey(name)] = v
		}
	}
	authenticator.Strip(out)
	return out
}

// runPlain runs a call here, or in the region that keeps the customer's records.
func (s *Server) runPlain(ctx context.Context, p *plainCall) (*plainAnswer, error) {
	if !p.route.Idempotent {
		if region := s.recordRegion(p); region != s.Settings.Region {
			return s.forwardPlain(ctx, region, p)
		}
	}
	return s.runPlainHere(ctx, p)
}

func (s *Server) runPlainHere(ctx context.Context, p *plainCall) (*plainAnswer, error) {
	release, err := s.admitter.Admit(ctx, admitter.Request{
		Pool: router.PoolName(schema.UpstreamKind_UPSTREAM_SERVICE, p.route.Name), Customer: p.customerName(),
		Weight: max(p.customer.GetWeight(), 1), Cost: 1, Limit: admitLimit,
	})
	if err != nil {
		if !p.route.Idempotent {
			return nil, unknown(err) // an earlier try of the same call may have run
		}
		return nil, err
	}
	defer release()
	if p.route.Idempotent {
		return s.repeatPlain(ctx, p)
	}
	return s.runOnce(ctx, p)
}

// unknown turns an error into a refusal that does not claim that the call did not run.
func unknown(err error) error {
	r := *refusalOf(err)
	r.Run = RunUnknown
	return &r
}

// recordRegion returns the region that keeps the records of a call: its home, or one that
// the customer's name alone decides, so that a resend through any host finds them.
func (s *Server) recordRegion(p *plainCall) string {
	if p.route.Home != "" {
		return p.route.Home
	}
	if p.customer.GetHome() != "" {
		return p.customer.Home
	}
	best, most := s.Settings.Region, uint64(0)
	c := s.snapshot()
	for _, path := range c.Paths("group") {
		region := c.Item(path).GetGroup().Region
		if h := xxhash.Sum64String(region + "/" + p.customerName()); h > most {
			best, most = region, h
		}
	}
	return best
}

// repeatPlain runs a call that may be repeated, on one upstream after another.
func (s *Server) repeatPlain(ctx context.Context, p *plainCall) (*plainAnswer, error) {
	t := newTries()
	last := error(router.ErrNone)
	for n := 0; t.idle < attemptLimit && s.mayTry(n); n++ {
		choice, err := s.router.Pick(router.Request{Kind: schema.UpstreamKind_UPSTREAM_SERVICE, Pool: p.route.Name, Excluded: t.excluded})
		if err != nil {
			break
		}
		answer, err := s.callPlain(ctx, p, choice, t.fresh(choice.Name))
		again := t.note(choice.Name, err, false)
		s.endTry(ctx, choice, err, again)
		if err == nil || ctx.Err() != nil {
			return answer, err
		}
		last = err
	}
	return nil, last
}

// callPlain calls one upstream and reads its whole answer.
func (s *Server) callPlain(ctx context.Context, p *plainCall, u *router.Choice, once bool) (*plainAnswer, error) {
	r, err := http.NewRequestWithContext(ctx, p.method, "http://"+u.Address+p.path, bytes.NewReader(p.body))
	if err != nil {
		return nil, errors.Join(caller.ErrNotSent, err)
	}
	r.Header = p.header.Clone()
	answer, err := s.caller.Send(r, serviceTimeout, once)
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	b, err := io.ReadAll(io.LimitReader(progressReader{answer}, serviceLimit))
	if err != nil {
		return nil, errors.Join(caller.ErrCut, err)
	}
	return &plainAnswer{status: answer.StatusCode, kind: answer.Header.Get("Content-Type"), body: b}, nil
}
