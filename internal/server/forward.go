package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/trefoilloft/trefoilloft/internal/router"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	digestInterval = time.Second
	digestLife     = 5 * time.Second
	endHeader      = "trefoil-end"
)

// regionTable is what is known of other regions.
type regionTable struct {
	mu      sync.Mutex
	digests map[string]*regionDigest // by region; guarded by mu
}

type regionDigest struct {
	*schema.RegionDigest
	heard time.Duration
	// sent counts the requests sent there since, by model.
	sent map[string]int32
}

func (t *regionTable) take(d *schema.RegionDigest, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.digests == nil {
		t.digests = map[string]*regionDigest{}
	}
	t.digests[d.Region] = &regionDigest{d, now, map[string]int32{}}
}

// pick returns the region with the largest part of its slots free, and counts a request
// as sent there. Unless any is set, a region without free slots is passed over: it would
// only queue the request behind its own.
func (t *regionTable) pick(model string, now time.Duration, any bool) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, most := "", 0.0
	for name, d := range t.digests {
		if now-d.heard > digestLife {
			continue
		}
		for _, m := range d.Models {
			if m.Name != model || m.Slots == 0 {
				continue
			}
			free := float64(m.Slots-m.Running-m.Waiting-d.sent[model]) / float64(m.Slots)
			if (any || free > 0) && (best == "" || free > most || (free == most && name < best)) {
				best, most = name, free
			}
		}
	}
	if best == "" {
		return "", false
	}
	t.digests[best].sent[model]++
	return best, true
}

// digest sums up this region's upstreams by model.
func (s *Server) digest() *schema.RegionDigest {
	d := &schema.RegionDigest{Region: s.Settings.Region}
	models := map[string]*schema.ModelDigest{}
	for _, u := range s.registrar.Live() {
		for _, name := range u.Models {
			m := models[name]
			if m == nil {
				m = &schema.ModelDigest{Name: name}
				models[name] = m
				d.Models = append(d.Models, m)
			}
			m.Replicas++
			m.Slots += u.Slots
			m.Running += u.Running
			m.Waiting += u.Waiting
		}
	}
	for _, m := range d.Models {
		_, queued := s.admitter.Load(router.PoolName(schema.UpstreamKind_UPSTREAM_ENGINE, m.Name))
		m.Waiting += int32(queued)
	}
	return d
}

// pollDigests asks one host of each other region.
func (s *Server) pollDigests(ctx context.Context) {
	byRegion := map[string][]*schema.Host{}
	for _, h := range s.snapshot().Hosts() {
		if h.Region != s.Settings.Region && h.State != schema.HostState_HOST_DRAINING {
			byRegion[h.Region] = append(byRegion[h.Region], h)
		}
	}
	turn := uint64(s.Timer.Now() / digestInterval)
	for _, hosts := range byRegion {
		h := hosts[turn%uint64(len(hosts))]
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			c, err := s.Dialer.Entry(h.Internal)
			if err != nil {
				return
			}
			if d, err := c.Digest(ctx, &schema.DigestRequest{Region: s.Settings.Region}); err == nil {
				s.regions.take(d, s.Timer.Now())
			}
		}()
	}
}

// forwardCompletion sends a request to another region, once. Its tokens stay reserved here.
func (s *Server) forwardCompletion(ctx context.Context, region string, c *completion, out sink) error {
	s.metrics.forwarded.Inc()
	stream, err := s.openForward(ctx, region, c)
	if err != nil {
		return err
	}
	return s.relayForward(stream, c, out)
}

func (s *Server) openForward(ctx context.Context, region string, c *completion) (grpc.ServerStreamingClient[schema.ForwardReply], error) {
	body, err := c.body()
	if err != nil {
		return nil, err
	}
	return s.sendForward(ctx, region, &schema.ForwardRequest{
		Customer: c.customer, Method: http.MethodPost, Path: c.path, Body: body,
		Headers: []*schema.Header{{Name: "X-Request-Id", Value: c.id}},
	})
}

// sendForward opens a forwarded request at the first host of a region that takes it.
func (s *Server) sendForward(ctx context.Context, region string, request *schema.ForwardRequest) (grpc.ServerStreamingClient[schema.ForwardReply], error) {
	request.Origin = s.Settings.Region
	if deadline, ok := ctx.Deadline(); ok {
		request.Left = time.Until(deadline).Seconds()
	}
	for _, h := range s.snapshot().Hosts() {
		if h.Region != region || h.State == schema.HostState_HOST_DRAINING {
			continue
		}
		client, err := s.Dialer.Entry(h.Internal)
		if err != nil {
			continue
		}
		if stream, err := client.Forward(ctx, request); err == nil {
			return stream, nil
		}
	}
	return nil, errNoRegion
}

// forwardPlain sends a call to the region that keeps its records.
func (s *Server) forwardPlain(ctx context.Context, region string, p *plainCall) (*plainAnswer, error) {
	s.metrics.forwarded.Inc()
	request := &schema.ForwardRequest{Customer: p.customerName(), Method: p.method, Path: p.path, Body: p.body}
	for name, values := range p.header {
		for _, v := range values {
			request.Headers = append(request.Headers, &schema.Header{Name: name, Value: v})
		}
	}
	stream, err := s.sendForward(ctx, region, request)
	if err != nil {
		return nil, unknown(err)
	}
	answer := &plainAnswer{}
	for {
		reply, err := stream.Recv()
		if err != nil {
			return nil, unknown(fmt.Errorf("server: forward: %w", err))
		}
		if hasHeader(reply, "code") {
			return nil, refusalFromReply(reply)
		}
		answer.body = append(answer.body, reply.Chunk...)
		if hasHeader(reply, endHeader) {
			answer.status = int(reply.Status)
			answer.kind = headerValue(reply, "type")
			answer.replayed = hasHeader(reply, "replayed")
			return answer, nil
		}
	}
}

func headerValue(r *schema.ForwardReply, name string) string {
	for _, h := range r.Headers {
		if h.Name == name {
			return h.Value
		}
	}
	return ""
}

// serveForwardedPlain runs a call that another region sent to the region of its records.
func (s *Server) serveForwardedPlain(ctx context.Context, r *schema.ForwardRequest, customer *schema.Customer, stream grpc.ServerStreamingServer[schema.ForwardReply]) error {
	out := &forwardSink{stream: stream, c: &completion{}}
	path, _, _ := strings.Cut(r.Path, "?")
	route := findRoute(s.snapshot(), r.Method, path)
	if route == nil {
		return out.fail(refuse(http.StatusNotFound, "not_found", "there is no such route here"))
	}
	p := &plainCall{route: route, customer: customer, method: r.Method, path: r.Path, body: r.Body, header: http.Header{}}
	for _, h := range r.Headers {
		p.header.Add(h.Name, h.Value)
	}
	answer, err := s.runPlainHere(ctx, p)
	if err != nil {
		return out.fail(err)
	}
	headers := []*schema.Header{{Name: endHeader}, {Name: "type", Value: answer.kind}}
	if answer.replayed {
		headers = append(headers, &schema.Header{Name: "replayed"})
	}
	return stream.Send(&schema.ForwardReply{Status: int32(answer.status), Headers: headers, Chunk: answer.body})
}

var errNoRegion = refuse(http.StatusServiceUnavailable, "no_upstream", "no upstream can take the request")

func (s *Server) relayForward(stream grpc.ServerStreamingClient[schema.ForwardReply], c *completion, out sink) error {
	var whole []byte
	for {
		reply, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return errBroken
		}
		if err != nil {
			return fmt.Errorf("server: forward: %w", err)
		}
		c.used = max(c.used, reply.Tokens)
		switch {
		case reply.Status != 0 && reply.Status != http.StatusOK:
			return refusalFromReply(reply)
		case hasHeader(reply, endHeader) && c.stream:
			return out.end()
		case hasHeader(reply, endHeader):
			c.first = s.Timer.Now()
			return out.whole(whole)
		case c.stream:
			if c.first == 0 {
				c.first = s.Timer.Now()
			}
			c.delivered.tokens++
			if err := out.event(reply.Chunk, true); err != nil {
				return fmt.Errorf("%w: %w", errCaller, err)
			}
		default:
			whole = append(whole, reply.Chunk...)
		}
	}
}

func hasHeader(r *schema.ForwardReply, name string) bool {
	for _, h := range r.Headers {
		if h.Name == name {
			return true
		}
	}
	return false
}

func refusalFromReply(reply *schema.ForwardReply) *Refusal {
	r := refuse(int(reply.Status), "upstream_failed", "the other region refused the request")
	r.Run = RunUnknown
	for _, h := range reply.Headers {
		switch h.Name {
		case "code":
			r.Code = h.Value
		case "message":
			r.Message = h.Value
		case "run":
			if h.Value == "false" {
				r.Run = NotRun
			}
		}
	}
	return r
}

// forwardSink answers a host of another region.
type forwardSink struct {
	stream grpc.ServerStreamingServer[schema.ForwardReply]
	c      *completion
	sent   bool
}

func (o *forwardSink) event(data []byte, _ bool) error {
	o.sent = true
	return o.stream.Send(&schema.ForwardReply{Chunk: data})
}

func (o *forwardSink) end() error {
	return o.stream.Send(&schema.ForwardReply{Headers: []*schema.Header{{Name: endHeader}}, Tokens: o.c.used})
}

func (o *forwardSink) whole(body []byte) error {
	if err := o.stream.Send(&schema.ForwardReply{Chunk: body}); err != nil {
		return err
	}
	return o.end()
}

func (o *forwardSink) fail(err error) error {
	r := refusalOf(err)
	if o.sent {
		r.Run = RunUnknown
	}
	run := "unknown"
	if r.Run == NotRun {
		run = "false"
	}
	return o.stream.Send(&schema.ForwardReply{Status: int32(r.Status), Tokens: o.c.used, Headers: []*schema.Header{
		{Name: "code", Value: r.Code}, {Name: "message", Value: r.Message}, {Name: "run", Value: run},
	}})
}
