package forwarder

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/trefoilloft/trefoilloft/internal/scheduler"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// Hosts of another region that a host relays to.
const relayPeers = 8

// Taken off the age that the certainty behind a key may have when a request leaves for
// another region, where it may wait again.
const relayMargin = time.Second

var errRelay = errors.New("forwarder: the other region's host failed")

// relay passes a request through an entry host of another region, once. Where the host
// says that it did not run, another may be asked.
func (f *Forwarder) relay(ctx context.Context, region string, r *Request, sink Sink, t *trace) error {
	peer := f.peer(region)
	if peer == nil {
		return refuse(http.StatusServiceUnavailable, causeNoHome, missingRetry)
	}
	if r.customer != nil {
		if err := f.fresh(f.KeyLimit - relayMargin); err != nil {
			return err
		}
	}
	t.relayed(region, peer.Name)
	conn, err := f.Dialer.Conn(peer.Internal)
	if err != nil {
		return errors.Join(errRelay, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.reach.ask(region, f.Timer.Now())
	stream, err := schema.NewRelayServiceClient(conn).Relay(ctx, f.relayRequest(r))
	if err != nil {
		return f.relayError(r, err)
	}
	return f.passReplies(r, sink, stream, region)
}

// peer returns an entry host of a region, nil if none is ready. Each host keeps to a few,
// so that connections between regions do not grow with the square of the hosts.
func (f *Forwarder) peer(region string) *schema.Peer {
	peers := nearest(f.Host, f.Peers(region))
	if len(peers) == 0 {
		return nil
	}
	return peers[rand.IntN(len(peers))]
}

// nearest returns the relayPeers peers that a host's name prefers.
func nearest(host string, peers []*schema.Peer) []*schema.Peer {
	if len(peers) <= relayPeers {
		return peers
	}
	weight := func(p *schema.Peer) uint64 { return xxhash.Sum64String(host + "/" + p.Name) }
	sorted := slices.SortedFunc(slices.Values(peers), func(a, b *schema.Peer) int { return cmp.Compare(weight(a), weight(b)) })
	return sorted[:relayPeers]
}

func (f *Forwarder) relayRequest(r *Request) *schema.RelayRequest {
	now := f.Timer.Now()
	m := &schema.RelayRequest{
		Id: r.ID, Route: r.Host, Customer: r.Customer(), Method: r.Method, Path: r.Path, Body: r.Body,
		Left: (r.end - now).Seconds(), Age: (now - r.Arrived).Seconds(), Objective: (r.objected - now).Seconds(), Pool: r.pool,
		Input: r.Input, Output: r.Output, Priority: int32(r.rank), Model: r.Model, Version: r.version,
	}
	for name, values := range r.Header {
		for _, v := range values {
			m.Headers = append(m.Headers, &schema.Header{Name: name, Value: v})
		}
	}
	for _, p := range r.Parts {
		m.Parts = append(m.Parts, &schema.PromptPart{Id: p.ID, Tokens: p.Tokens})
	}
	return m
}

// relayError returns what a failed call to another host means. Only a call that was not
// accepted surely did not run.
func (f *Forwarder) relayError(r *Request, err error) error {
	if code := status.Code(err); code != codes.Unavailable && code != codes.Unimplemented {
		r.unsure = true
	}
	return errors.Join(errRelay, err)
}

func (f *Forwarder) passReplies(r *Request, sink Sink, stream grpc.ServerStreamingClient[schema.RelayReply], region string) error {
	begun := false
	for {
		reply, err := stream.Recv()
		if err != nil {
			r.unsure = true
			if begun {
				return errors.Join(errBegun, errRelay, err)
			}
			return errors.Join(errRelay, err)
		}
		f.answers(region)
		if reply.Failure != nil {
			return f.relayFailure(r, reply.Failure, begun)
		}
		if reply.Status != 0 {
			begun = true
			sink.Head(int(reply.Status), headerOf(reply.Headers), reply.Length)
		}
		if len(reply.Chunk) > 0 {
			if err := sink.Chunk(reply.Chunk); err != nil {
				return errors.Join(errBegun, errCaller, err)
			}
		}
		if reply.Complete {
			sink.Finish()
			return nil
		}
	}
}

func (f *Forwarder) relayFailure(r *Request, x *schema.Failure, begun bool) error {
	r.sent += int(x.Sent)
	r.arrived += int(x.Arrived)
	r.unsure = r.unsure || begun || !x.Notrun
	if begun {
		return errors.Join(errBegun, errRelay)
	}
	return refuse(int(x.Status), x.Cause, seconds(x.Retry))
}

func headerOf(list []*schema.Header) http.Header {
	h := http.Header{}
	for _, x := range list {
		h[x.Name] = append(h[x.Name], x.Value)
	}
	return h
}

// RelayService serves hosts of other regions. What it takes runs here or nowhere: it is
// never passed on again.
type RelayService struct {
	schema.UnimplementedRelayServiceServer
	Forwarder *Forwarder
}

// Relay runs a request of another region's host at an upstream of this one. A request
// without an id only asks for a word.
func (s *RelayService) Relay(m *schema.RelayRequest, stream grpc.ServerStreamingServer[schema.RelayReply]) error {
	f := s.Forwarder
	// The sender learns at once that this region is there.
	if err := stream.Send(&schema.RelayReply{}); err != nil || m.Id == "" {
		return err
	}
	f.inflight.Add(1)
	defer f.inflight.Add(-1)
	r, err := f.relayedRequest(m)
	sink := &relaySink{stream: stream, request: r}
	t := &trace{f: f, r: r}
	if err != nil {
		t.refuse(sink, refusalOf(err))
		return nil
	}
	if f.endsTooLate(r) {
		t.refuse(sink, refuse(http.StatusServiceUnavailable, causeStopping, shortRetry))
		return nil
	}
	ctx, cancel := f.until(stream.Context(), r.end)
	defer cancel()
	state := &relayState{}
	if err := f.last(state, sink, f.serveHere(ctx, r, sink, t, state)); err != nil {
		f.settle(ctx, r, sink, t, err)
	}
	return nil
}

// relayedRequest makes the request that another host described. The route must allow this
// region by the configuration here too.
func (f *Forwarder) relayedRequest(m *schema.RelayRequest) (*Request, error) {
	now := f.Timer.Now()
	r := &Request{
		ID: m.Id, Host: m.Route, Method: m.Method, Path: m.Path, Header: headerOf(m.Headers), Body: m.Body,
		Model: m.Model, Input: m.Input, Output: m.Output, Arrived: now - seconds(m.Age),
		Deadline: now + seconds(m.Left), relayed: true, rank: int(m.Priority), pool: m.Pool,
	}
	for _, p := range m.Parts {
		r.Parts = append(r.Parts, scheduler.Part{ID: p.Id, Tokens: p.Tokens})
	}
	x := f.index.Load()
	if x == nil {
		return r, refuse(http.StatusServiceUnavailable, causeNoConfig, startRetry)
	}
	r.version = x.snapshot.Version
	r.route = x.route(r.Host, r.Path)
	if r.route == nil || x.snapshot.Version < m.Version {
		return r, refuse(http.StatusServiceUnavailable, causeStale, staleRetry)
	}
	if m.Customer != "" {
		if r.customer = x.snapshot.Customer(m.Customer); r.customer == nil {
			return r, refuse(http.StatusServiceUnavailable, causeStale, staleRetry)
		}
	}
	r.regions = homes(r.route, r.customer)
	r.objected = now + seconds(m.Objective)
	r.end = min(r.Deadline, r.Arrived+seconds(r.route.Timeout))
	serves := slices.ContainsFunc(r.route.Targets, func(t *schema.Target) bool { return t.Pool == r.pool && t.Weight > 0 })
	if !serves || !r.allows(f.Region) {
		return r, refuse(http.StatusServiceUnavailable, causeStale, staleRetry)
	}
	return r, nil
}

// relaySink is a Sink towards another entry host.
type relaySink struct {
	stream  grpc.ServerStreamingServer[schema.RelayReply]
	request *Request
	head    *schema.RelayReply
}

// Head keeps the head for the first chunk.
func (s *relaySink) Head(code int, header http.Header, length int64) {
	s.head = &schema.RelayReply{Status: int32(code), Length: length}
	for name, values := range header {
		for _, v := range values {
			s.head.Headers = append(s.head.Headers, &schema.Header{Name: name, Value: v})
		}
	}
}

// Chunk sends a piece.
func (s *relaySink) Chunk(b []byte) error {
	m := s.head
	if m == nil {
		m = &schema.RelayReply{}
	}
	s.head = nil
	m.Chunk = b
	return s.stream.Send(m)
}

// Finish sends the end mark.
func (s *relaySink) Finish() {
	m := s.head
	if m == nil {
		m = &schema.RelayReply{}
	}
	m.Complete = true
	_ = s.stream.Send(m) // a host that does not get it takes the answer for broken
}

// Abort ends the stream without the mark.
func (s *relaySink) Abort() {
	broken := &schema.Failure{Status: http.StatusBadGateway, Cause: causeLost}
	_ = s.stream.Send(&schema.RelayReply{Failure: broken}) // a host that does not get it sees the stream end
}

// Refuse sends why there is no answer.
func (s *relaySink) Refuse(f *Refusal) {
	notRun := f.Status == http.StatusServiceUnavailable || f.Status == http.StatusTooManyRequests
	failure := &schema.Failure{
		Status: int32(f.Status), Cause: f.Cause, Retry: f.Retry.Seconds(), Notrun: notRun,
		Sent: int32(s.request.sent), Arrived: int32(s.request.arrived),
	}
	_ = s.stream.Send(&schema.RelayReply{Failure: failure}) // a host that does not get it sees the stream end
}
