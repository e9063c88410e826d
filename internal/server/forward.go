package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/trefoilloft/trefoilloft/internal/clamper"
	"github.com/trefoilloft/trefoilloft/internal/router"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

const (
	digestInterval = time.Second
	maxDigestAge   = 5 * time.Second
	endHeader      = "trefoil-end"
)

// regionTable holds the last digest of each other region.
type regionTable struct {
	mu      sync.Mutex
	digests map[string]*regionDigest // by region; guarded by mu
}

type regionDigest struct {
	*schema.RegionDigest
	receivedAt time.Duration // on the Server's Timer
	// sentByModel counts the requests sent there since the digest was received, by model.
	sentByModel map[string]int32
}

func (t *regionTable) store(d *schema.RegionDigest, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.digests == nil {
		t.digests = map[string]*regionDigest{}
	}
	t.digests[d.Region] = &regionDigest{d, now, map[string]int32{}}
}

// pick returns the region with the largest fraction of its slots free, and counts a request as
// sent there. Unless allowFull is set, a region without free slots is skipped: it would only
// queue the request behind its own. Digests older than maxDigestAge are ignored.
func (t *regionTable) pick(model string, now time.Duration, allowFull bool) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, bestFree := "", 0.0
	for name, d := range t.digests {
		if now-d.receivedAt > maxDigestAge {
			continue
		}
		for _, m := range d.Models {
			if m.Name != model || m.Slots == 0 {
				continue
			}
			free := float64(m.Slots-m.Running-m.Waiting-d.sentByModel[model]) / float64(m.Slots)
			if (allowFull || free > 0) && (best == "" || free > bestFree || (free == bestFree && name < best)) {
				best, bestFree = name, free
			}
		}
	}
	if best == "" {
		return "", false
	}
	t.digests[best].sentByModel[model]++
	return best, true
}

// buildDigest sums the slots and the load of this region's upstreams by model.
func (s *Server) buildDigest() *schema.RegionDigest {
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

// pollDigests requests the digest of each other region from one of its hosts in turn.
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
		s.background("digest", func() {
			ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
			defer cancel()
			c, err := s.Dialer.EntryClient(h.Internal)
			if err != nil {
				return
			}
			if d, err := c.Digest(ctx, &schema.DigestRequest{Region: s.Settings.Region}); err == nil {
				s.regionDigests.store(d, s.Timer.Now())
			}
		})
	}
}

// forwardCompletion sends a request to another region, without retries. Its tokens stay reserved
// at this host.
func (s *Server) forwardCompletion(ctx context.Context, region string, c *completion, out answerWriter) error {
	s.metrics.forwarded.Inc()
	stream, err := s.openCompletionForward(ctx, region, c)
	if err != nil {
		return err
	}
	return s.copyForwardReplies(stream, c, out)
}

func (s *Server) openCompletionForward(ctx context.Context, region string, c *completion) (grpc.ServerStreamingClient[schema.ForwardReply], error) {
	body, err := c.upstreamBody()
	if err != nil {
		return nil, err
	}
	return s.openForwardStream(ctx, region, &schema.ForwardRequest{
		Customer: c.customer, Method: http.MethodPost, Path: c.path, Body: body,
		Headers: []*schema.Header{{Name: "X-Request-Id", Value: c.requestID}},
	})
}

// openForwardStream sends a request to the first host of a region to which a stream can be opened.
func (s *Server) openForwardStream(ctx context.Context, region string, request *schema.ForwardRequest) (grpc.ServerStreamingClient[schema.ForwardReply], error) {
	request.Origin = s.Settings.Region
	if deadline, ok := ctx.Deadline(); ok {
		request.Left = time.Until(deadline).Seconds()
	}
	for _, h := range s.snapshot().Hosts() {
		if h.Region != region || h.State == schema.HostState_HOST_DRAINING {
			continue
		}
		client, err := s.Dialer.EntryClient(h.Internal)
		if err != nil {
			continue
		}
		if stream, err := client.Forward(ctx, request); err == nil {
			return stream, nil
		}
	}
	return nil, errNoRegionHost
}

// forwardServiceCall sends a call to the region that keeps its idempotency records.
func (s *Server) forwardServiceCall(ctx context.Context, region string, call *serviceCall) (*serviceAnswer, error) {
	s.metrics.forwarded.Inc()
	request := &schema.ForwardRequest{Customer: call.customerName(), Method: call.method, Path: call.path, Body: call.body}
	for name, values := range call.header {
		for _, v := range values {
			request.Headers = append(request.Headers, &schema.Header{Name: name, Value: v})
		}
	}
	stream, err := s.openForwardStream(ctx, region, request)
	if err != nil {
		return nil, withRunUnknown(err)
	}
	answer := &serviceAnswer{}
	replies := forwardReplyReader{stream: stream}
	for {
		reply, err := replies.next()
		if err != nil {
			return nil, withRunUnknown(fmt.Errorf("server: read the answer of the other region: %w", err))
		}
		if hasHeader(reply, "code") {
			return nil, refusalFromReply(reply)
		}
		answer.body = append(answer.body, reply.Chunk...)
		if hasHeader(reply, endHeader) {
			answer.status = int(reply.Status)
			answer.contentType = headerValue(reply, "type")
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

// serveForwardedServiceCall runs a call that a host of another region forwarded because this region
// keeps the call's idempotency records.
func (s *Server) serveForwardedServiceCall(ctx context.Context, r *schema.ForwardRequest, customer *schema.Customer, stream grpc.ServerStreamingServer[schema.ForwardReply]) error {
	out := &forwardAnswerWriter{stream: stream, c: &completion{}}
	route := findRoute(s.snapshot(), r.Method, r.Path)
	if route == nil {
		return out.writeError(newRefusal(http.StatusNotFound, "not_found", "there is no such route here"))
	}
	call := &serviceCall{route: route, customer: customer, method: r.Method, path: r.Path, body: r.Body, header: http.Header{}}
	for _, h := range r.Headers {
		call.header.Add(h.Name, h.Value)
	}
	answer, err := s.runServiceCallLocally(ctx, call)
	if err != nil {
		return out.writeError(err)
	}
	headers := []*schema.Header{{Name: endHeader}, {Name: "type", Value: answer.contentType}}
	if answer.replayed {
		headers = append(headers, &schema.Header{Name: "replayed"})
	}
	return stream.Send(&schema.ForwardReply{Status: int32(answer.status), Headers: headers, Chunk: answer.body})
}

var errNoRegionHost = newRefusal(http.StatusServiceUnavailable, "no_upstream", "no upstream can take the request")

func (s *Server) copyForwardReplies(stream grpc.ServerStreamingClient[schema.ForwardReply], c *completion, out answerWriter) error {
	var body []byte
	replies := forwardReplyReader{stream: stream}
	for {
		reply, err := replies.next()
		if errors.Is(err, io.EOF) {
			return errTruncated
		}
		if err != nil {
			return fmt.Errorf("server: read the answer of the other region: %w", err)
		}
		c.usedTokens = max(c.usedTokens, clamper.Tokens(reply.Tokens))
		switch {
		case reply.Status != 0 && reply.Status != http.StatusOK:
			return refusalFromReply(reply)
		case hasHeader(reply, endHeader) && c.stream:
			return out.endStream()
		case hasHeader(reply, endHeader):
			c.firstTokenAt = s.Timer.Now()
			return out.writeBody(body)
		case c.stream:
			if c.firstTokenAt == 0 {
				c.firstTokenAt = s.Timer.Now()
			}
			c.delivered.tokens++
			if err := out.writeEvent(reply.Chunk, true); err != nil {
				return fmt.Errorf("%w: %w", errCallerLeft, err)
			}
		default:
			body = append(body, reply.Chunk...)
		}
	}
}

// errReplyLost means that a reply of the other region is missing, which a partition between the
// hosts can cause: what was received is not the whole answer.
var errReplyLost = errors.New("server: a reply of the other region is missing")

// forwardReplyReader reads the replies of one forwarded request and detects lost ones.
type forwardReplyReader struct {
	stream grpc.ServerStreamingClient[schema.ForwardReply]
	last   uint64 // number of the last reply
}

// next returns the next reply. Hosts of earlier versions do not number their replies.
func (f *forwardReplyReader) next() (*schema.ForwardReply, error) {
	reply, err := f.stream.Recv()
	if err != nil {
		return nil, err
	}
	if (reply.Number != 0 || f.last != 0) && reply.Number != f.last+1 {
		return nil, fmt.Errorf("%w: number %d follows %d", errReplyLost, reply.Number, f.last)
	}
	f.last = reply.Number
	return reply, nil
}

// numberedReplies numbers the replies sent on a stream.
type numberedReplies struct {
	grpc.ServerStreamingServer[schema.ForwardReply]
	sent uint64
}

// Send numbers and sends a reply.
func (n *numberedReplies) Send(reply *schema.ForwardReply) error {
	n.sent++
	reply.Number = n.sent
	return n.ServerStreamingServer.Send(reply)
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
	r := newRefusal(int(reply.Status), "upstream_failed", "the other region refused the request")
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

// forwardAnswerWriter writes an answer to the host of another region that forwarded the request.
type forwardAnswerWriter struct {
	stream    grpc.ServerStreamingServer[schema.ForwardReply]
	c         *completion
	eventSent bool
}

func (o *forwardAnswerWriter) writeEvent(data []byte, _ bool) error {
	o.eventSent = true
	return o.stream.Send(&schema.ForwardReply{Chunk: data})
}

func (o *forwardAnswerWriter) endStream() error {
	return o.stream.Send(&schema.ForwardReply{Headers: []*schema.Header{{Name: endHeader}}, Tokens: o.c.usedTokens})
}

func (o *forwardAnswerWriter) writeBody(body []byte) error {
	if err := o.stream.Send(&schema.ForwardReply{Chunk: body}); err != nil {
		return err
	}
	return o.endStream()
}

func (o *forwardAnswerWriter) writeError(err error) error {
	if o.eventSent {
		err = withRunUnknown(err)
	}
	r := refusalOf(err)
	run := "unknown"
	if r.Run == NotRun {
		run = "false"
	}
	return o.stream.Send(&schema.ForwardReply{Status: int32(r.Status), Tokens: o.c.usedTokens, Headers: []*schema.Header{
		{Name: "code", Value: r.Code}, {Name: "message", Value: r.Message}, {Name: "run", Value: run},
	}})
}
