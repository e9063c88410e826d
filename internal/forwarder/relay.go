package forwarder

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/status"

	"github.com/trefoilloft/trefoilloft/internal/apportioner"
	"github.com/trefoilloft/trefoilloft/internal/clamper"
	"github.com/trefoilloft/trefoilloft/internal/dialer"
	"github.com/trefoilloft/trefoilloft/internal/scheduler"
	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// maxRelayHosts is the number of entry hosts of another region that a host relays to.
const maxRelayHosts = 8

// relayAgeMargin is subtracted from MaxConfirmationAge when a request is relayed, because it may wait
// again in the other region.
const relayAgeMargin = time.Second

var errRelayFailed = errors.New("forwarder: relay through another host failed")

// relay sends a request through one entry host of another region. After an error another region
// may be asked unless r.mayHaveRun is set or the response has begun. With errNotHome nothing was sent.
func (f *Forwarder) relay(ctx context.Context, region string, r *Request, sink Sink, t *trace) error {
	hosts := f.hostsInRandomOrder(region)
	for n := 1; ; n++ {
		err := f.relayThrough(ctx, region, hosts, r, sink, t, func() {})
		if n == maxPeers || len(hosts) < 2 || r.mayHaveRun || !isIsolated(err) {
			return err
		}
		hosts = hosts[1:] // the host may have lost its upstreams since it last reported
	}
}

// relayThrough is relay through the first of some hosts of a region that is the one it is known as. It calls
// onReply with each reply.
func (f *Forwarder) relayThrough(ctx context.Context, region string, hosts []*schema.Peer, r *Request, sink Sink, t *trace, onReply func()) error {
	if len(hosts) == 0 {
		return refuse(http.StatusServiceUnavailable, causeNoHome, unavailableRetryDelay)
	}
	if err := f.checkRelay(r, region); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.monitor.recordRequest(region, f.Timer.Now())
	var stream grpc.ServerStreamingClient[schema.RelayReply]
	var err error
	for _, entry := range hosts {
		if stream, err = f.openRelay(ctx, region, entry, r, t); !errors.Is(err, dialer.ErrWrongPeer) {
			break
		}
		f.Metrics.relaysWithheld.Inc()
	}
	if err != nil {
		return err
	}
	return f.forwardReplies(r, sink, replyWatch{stream, onReply}, region)
}

// checkRelay returns an error if a request may not be relayed to a region.
func (f *Forwarder) checkRelay(r *Request, region string) error {
	if err := f.checkHome(r, region); err != nil {
		return err
	}
	// Also without a key: by the newest configuration the body may be bound to other regions.
	return f.checkFreshness(f.MaxConfirmationAge - relayAgeMargin)
}

// connect waits until a connection is established, so that a call on it is sent at once, or the attempt to establish
// it has failed, which a call on it reports. Its error means that ctx ended.
func connect(ctx context.Context, conn *grpc.ClientConn) error {
	for state := conn.GetState(); state == connectivity.Idle || state == connectivity.Connecting; state = conn.GetState() {
		conn.Connect()
		if !conn.WaitForStateChange(ctx, state) {
			return ctx.Err()
		}
	}
	return nil
}

// connectRelay is connect with a timeout within this region, as another host may take the request.
func (f *Forwarder) connectRelay(ctx context.Context, region string, conn *grpc.ClientConn) error {
	if region == f.Region {
		var cancel context.CancelFunc
		ctx, cancel = f.withDeadline(ctx, f.Timer.Now()+peerTimeout)
		defer cancel()
	}
	return connect(ctx, conn)
}

// openRelay sends a request to an entry host of another region, which is asked for its name first if a request
// that is bound to regions is the first one on the connection.
func (f *Forwarder) openRelay(ctx context.Context, region string, entry *schema.Peer, r *Request, t *trace) (grpc.ServerStreamingClient[schema.RelayReply], error) {
	conn, err := f.Dialer.Conn(entry.Internal)
	if err != nil {
		return nil, errors.Join(errRelayFailed, err)
	}
	if err := f.connectRelay(ctx, region, conn); err != nil {
		return nil, errors.Join(errRelayFailed, err)
	}
	stream, err := f.sendRelay(ctx, conn, region, entry, r, t)
	if errors.Is(err, dialer.ErrUnknownPeer) {
		if err := f.acknowledge(ctx, conn); err != nil {
			return nil, errors.Join(errRelayFailed, err)
		}
		stream, err = f.sendRelay(ctx, conn, region, entry, r, t)
	}
	return stream, err
}

// sendRelay sends a request on an established connection. A process of another host may have the address by
// now: a request that is bound to regions is sent only if the peer has named itself as the host on this
// connection. Hosts of earlier versions do not name themselves.
func (f *Forwarder) sendRelay(ctx context.Context, conn *grpc.ClientConn, region string, entry *schema.Peer, r *Request, t *trace) (grpc.ServerStreamingClient[schema.RelayReply], error) {
	if err := f.checkRelay(r, region); err != nil {
		return nil, err // a probe settles the reply that is recorded as due
	}
	var refused error
	check := dialer.Check(func(ctx context.Context) error {
		// The connection may have been established again since.
		if refused = f.checkRelay(r, region); refused != nil {
			return dialer.ErrWithheld
		}
		if r.regions == nil {
			return nil
		}
		return dialer.CheckPeer(ctx, dialer.Peer{Host: entry.Name, Region: entry.Region})
	})
	stream, err := schema.NewRelayServiceClient(conn).Relay(ctx, f.newRelayRequest(r), check)
	if refused != nil {
		return nil, refused
	}
	if dialer.NotSent(err) {
		return nil, errors.Join(errRelayFailed, err)
	}
	t.logRelayed(region, entry.Name)
	if err != nil {
		return nil, f.relayError(r, err)
	}
	return stream, nil
}

// acknowledge asks the process at the other end of a connection for an acknowledgement, with which it names
// itself.
func (f *Forwarder) acknowledge(ctx context.Context, conn *grpc.ClientConn) error {
	ctx, cancel := f.withDeadline(ctx, f.Timer.Now()+probeTimeout)
	defer cancel()
	stream, err := schema.NewRelayServiceClient(conn).Relay(ctx, &schema.RelayRequest{})
	if err != nil {
		return err
	}
	if _, err := stream.Recv(); err != nil {
		return err
	}
	return dialer.LearnPeer(stream)
}

// entryHost returns an entry host of a region, nil if none is ready.
func (f *Forwarder) entryHost(region string) *schema.Peer {
	if hosts := f.hostsInRandomOrder(region); len(hosts) > 0 {
		return hosts[0]
	}
	return nil
}

// hostsInRandomOrder returns the entry hosts of a region to which this host relays. Each host uses only a
// few of them, so that connections between regions do not grow with the square of the hosts. In adaptive mode they get
// relays in proportion to their capacity.
func (f *Forwarder) hostsInRandomOrder(region string) []*schema.Peer {
	if f.adaptive() {
		return apportioner.RelayHosts(f.Host, f.EntryHosts(region), maxRelayHosts, rand.Float64)
	}
	hosts := slices.Clone(preferredHosts(f.Host, f.EntryHosts(region)))
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts
}

// preferredHosts returns the maxRelayHosts hosts that rank first by a hash of both names, so
// that each relaying host always uses the same few.
func preferredHosts(host string, hosts []*schema.Peer) []*schema.Peer {
	if len(hosts) <= maxRelayHosts {
		return hosts
	}
	weight := func(p *schema.Peer) uint64 { return xxhash.Sum64String(host + "/" + p.Name) }
	sorted := slices.SortedFunc(slices.Values(hosts), func(a, b *schema.Peer) int { return cmp.Compare(weight(a), weight(b)) })
	return sorted[:maxRelayHosts]
}

func (f *Forwarder) newRelayRequest(r *Request) *schema.RelayRequest {
	now := f.Timer.Now()
	m := &schema.RelayRequest{
		Id: r.ID, Route: r.Host, Customer: r.Customer(), Method: r.Method, Path: r.Path, Body: r.Body,
		Left: (r.answerUntil - now).Seconds(), Age: (now - r.ArrivedAt).Seconds(), Objective: (r.objectiveAt - now).Seconds(), Pool: r.pool,
		Input: r.InputTokens, Output: r.MaxOutputTokens, Priority: int32(r.priority), Model: r.Model, Version: r.configVersion, Leaving: r.lastResort,
		Avoid: f.leavers.newest(now), Sent: int32(r.attempts),
	}
	if f.Scheduler.IsAdaptive() {
		m.Hint = r.HintTokens
	}
	for name, incarnation := range r.avoid {
		m.Avoid = append(m.Avoid, &schema.Leaver{Upstream: name, Incarnation: incarnation})
	}
	if r.software != nil {
		m.Resume = &schema.Resume{After: r.LastEventID, Request: r.Resumes, Software: *r.software}
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

// relayError converts the error of a call to another host. Unless the error says that the call
// was not accepted, the request may have run.
func (f *Forwarder) relayError(r *Request, err error) error {
	if code := status.Code(err); code != codes.Unavailable && code != codes.Unimplemented {
		r.mayHaveRun = true
	}
	return errors.Join(errRelayFailed, err)
}

// replyWatch calls onReply with each reply that is received.
type replyWatch struct {
	grpc.ServerStreamingClient[schema.RelayReply]
	onReply func()
}

// Recv receives a reply.
func (w replyWatch) Recv() (*schema.RelayReply, error) {
	reply, err := w.ServerStreamingClient.Recv()
	if err == nil {
		w.onReply()
	}
	return reply, err
}

func (f *Forwarder) forwardReplies(r *Request, sink Sink, stream grpc.ServerStreamingClient[schema.RelayReply], region string) error {
	headSent := false
	var sequence replySequence
	for {
		reply, err := stream.Recv()
		if err == nil {
			err = sequence.check(reply, headSent)
		}
		if err != nil {
			// grpc sends a request again that the peer certainly did not process, also on a new connection.
			r.mayHaveRun = r.mayHaveRun || !dialer.NotSent(err)
			if headSent {
				return errors.Join(errTruncated, errRelayFailed, err)
			}
			return errors.Join(errRelayFailed, err)
		}
		f.regionReplied(region)
		f.recordRelayedLeaver(r, reply.Leaver)
		if reply.Failure != nil {
			return f.relayedFailure(r, reply.Failure, headSent)
		}
		if reply.Status != 0 {
			headSent = true
			r.reached++
			sink.SendHead(int(reply.Status), headerOf(reply.Headers), reply.Length)
			if isPromise(int(reply.Status)) { // by a host of an earlier build; the caller gets nothing of the response
				return nil
			}
		}
		if len(reply.Chunk) > 0 {
			if err := sink.SendChunk(reply.Chunk); err != nil {
				return errors.Join(errTruncated, errCallerDisconnected, err)
			}
		}
		if reply.Complete {
			sink.Finish()
			return nil
		}
	}
}

// errReplyLost means that a reply of a relay is missing, which a partition between the hosts can
// cause: what was received is not the whole response.
var errReplyLost = errors.New("forwarder: a reply of the other region is missing")

// errReplyInvalid means that a reply of a relay has no valid status.
var errReplyInvalid = errors.New("forwarder: a reply of the other region has no valid status")

// replySequence detects lost and invalid replies of one relay.
type replySequence struct{ last uint64 }

// check returns errReplyLost if a reply does not follow the last one, or if it continues a response
// whose head was not received, and errReplyInvalid if its status cannot be sent. Hosts of earlier versions do not number their replies.
func (s *replySequence) check(reply *schema.RelayReply, headSent bool) error {
	numbered := reply.Number != 0 || s.last != 0
	if numbered && reply.Number != s.last+1 {
		return fmt.Errorf("%w: number %d follows %d", errReplyLost, reply.Number, s.last)
	}
	s.last = reply.Number
	if reply.Status != 0 && (reply.Status < http.StatusOK || reply.Status > maxStatus) {
		return fmt.Errorf("%w: status %d", errReplyInvalid, reply.Status)
	}
	if beginsResponse := reply.Status != 0; beginsResponse == headSent && (beginsResponse || len(reply.Chunk) > 0 || reply.Complete) {
		return fmt.Errorf("%w: head received %v, status %d", errReplyLost, headSent, reply.Status)
	}
	return nil
}

func (f *Forwarder) relayedFailure(r *Request, x *schema.Failure, headSent bool) error {
	r.attempts += sentCount(x.Sent)
	r.reached += sentCount(x.Arrived)
	r.mayHaveRun = r.mayHaveRun || headSent || !x.Notrun
	if headSent {
		return errors.Join(errTruncated, errRelayFailed)
	}
	status := int(x.Status)
	if status < http.StatusBadRequest || status > maxStatus {
		status = http.StatusBadGateway
	}
	return refuse(status, x.Cause, max(0, seconds(x.Retry)))
}

// maxStatus is the largest HTTP status.
const maxStatus = 599

// sentCount converts a number of upstreams that another host states.
func sentCount(n int32) int { return int(max(0, min(n, maxSentCount))) }

// maxSentCount is far above the attempts of any route, so that sums of counts stay in range.
const maxSentCount = 1 << 20

func headerOf(list []*schema.Header) http.Header {
	h := http.Header{}
	for _, x := range list {
		h[x.Name] = append(h[x.Name], x.Value)
	}
	return h
}

// RelayService serves requests relayed by hosts of other regions. It runs them in this region
// or refuses them; it never relays them again.
type RelayService struct {
	schema.UnimplementedRelayServiceServer
	Forwarder *Forwarder
}

// Relay runs a relayed request at an upstream of this region. A request without an ID is a
// probe, which only gets an acknowledgement that names this host.
func (s *RelayService) Relay(m *schema.RelayRequest, stream grpc.ServerStreamingServer[schema.RelayReply]) error {
	f := s.Forwarder
	relayed := &relaySink{stream: stream}
	if m.Id == "" {
		if err := dialer.SendPeer(stream, dialer.Peer{Host: f.Host, Region: f.Region}); err != nil {
			return err
		}
	}
	// Acknowledge at once, which shows the sender that this region is reachable.
	if err := relayed.send(&schema.RelayReply{}); err != nil || m.Id == "" {
		return err
	}
	f.inflight.Add(1)
	defer f.inflight.Add(-1)
	r, err := f.requestOf(m)
	relayed.request = r
	t := &trace{f: f, r: r}
	sink := &truthfulSink{Sink: relayed, trace: t}
	if err != nil {
		t.refuse(sink, refusalOf(err))
		return nil
	}
	if err := f.checkStopping(r, t); err != nil {
		t.refuse(sink, refusalOf(err))
		return nil
	}
	defer f.recordDuration(r, f.Timer.Now())
	ctx, cancel := f.withDeadline(stream.Context(), r.answerUntil)
	defer cancel()
	state := &responseState{}
	if err := f.finishAttempts(state, sink, f.serveLocally(ctx, r, sink, t, state)); err != nil {
		f.finishFailed(ctx, r, sink, t, err)
	}
	return nil
}

// requestOf converts a relayed request. The configuration of this host must allow the region
// to serve it too.
func (f *Forwarder) requestOf(m *schema.RelayRequest) (*Request, error) {
	now := f.Timer.Now()
	r := &Request{
		ID: m.Id, Host: m.Route, Method: m.Method, Path: m.Path, Header: headerOf(m.Headers), Body: m.Body,
		Model: m.Model, HintTokens: clamper.Tokens(m.Hint),
		ArrivedAt: now - max(0, seconds(m.Age)), DeadlineAt: now + seconds(m.Left), relayed: true, attempts: sentCount(m.Sent), sentBefore: sentCount(m.Sent),
		lastResort: m.Leaving, priority: max(0, int(m.Priority)), pool: m.Pool,
	}
	r.SetTokens(m.Input, m.Output, false) // the relaying host has charged them
	if m.Resume != nil {
		r.LastEventID, r.Resumes, r.software = m.Resume.After, m.Resume.Request, &m.Resume.Software
	}
	for _, l := range m.Avoid {
		if r.avoid == nil {
			r.avoid = map[string]uint64{}
		}
		r.avoid[l.Upstream] = l.Incarnation
	}
	for _, p := range m.Parts {
		r.Parts = append(r.Parts, scheduler.PromptPart{ID: p.Id, Tokens: clamper.Tokens(p.Tokens)})
	}
	x := f.index.Load()
	if x == nil {
		return r, refuse(http.StatusServiceUnavailable, causeNoConfig, startRetryDelay)
	}
	r.configVersion = x.snapshot.Version
	r.route = x.route(r.Host, r.Path)
	if r.route == nil {
		return r, refuse(http.StatusServiceUnavailable, causeStale, staleRetryDelay)
	}
	if m.Customer != "" {
		if r.customer = x.snapshot.Customer(m.Customer); r.customer == nil {
			return r, refuse(http.StatusServiceUnavailable, causeStale, staleRetryDelay)
		}
	}
	r.bind(x, homes(r.route, r.customer))
	if x.snapshot.Version < m.Version || r.customer == nil && x.needsKey(r.route) {
		return r, refuse(http.StatusServiceUnavailable, causeStale, staleRetryDelay)
	}
	r.objectiveAt = now + seconds(m.Objective)
	r.answerUntil = min(r.DeadlineAt, r.ArrivedAt+seconds(r.route.Timeout))
	serves := slices.ContainsFunc(r.route.Targets, func(t *schema.Target) bool { return t.Pool == r.pool && t.Weight > 0 })
	if !serves || !r.allows(f.Region) {
		return r, refuse(http.StatusServiceUnavailable, causeStale, staleRetryDelay)
	}
	return r, nil
}

// relaySink is the Sink of a relayed request; it sends to the relaying entry host.
type relaySink struct {
	stream  grpc.ServerStreamingServer[schema.RelayReply]
	request *Request
	head    *schema.RelayReply
	replies uint64         // number of the last reply
	leaver  *schema.Leaver // to be sent with the next reply
}

func (s *relaySink) send(m *schema.RelayReply) error {
	s.replies++
	m.Number = s.replies
	m.Leaver, s.leaver = s.leaver, nil
	return s.stream.Send(m)
}

// SendHead keeps the head until the first chunk.
func (s *relaySink) SendHead(code int, header http.Header, length int64) {
	s.head = &schema.RelayReply{Status: int32(code), Length: length}
	for name, values := range header {
		for _, v := range values {
			s.head.Headers = append(s.head.Headers, &schema.Header{Name: name, Value: v})
		}
	}
}

// SendChunk sends a piece of the body, and the head before the first one.
func (s *relaySink) SendChunk(b []byte) error {
	m := s.head
	if m == nil {
		m = &schema.RelayReply{}
	}
	s.head = nil
	m.Chunk = b
	return s.send(m)
}

// Finish sends the mark of a complete response.
func (s *relaySink) Finish() {
	m := s.head
	if m == nil {
		m = &schema.RelayReply{}
	}
	m.Complete = true
	_ = s.send(m) // a relaying host that does not get it treats the response as truncated
}

// Abort sends a failure in place of the mark of a complete response.
func (s *relaySink) Abort() {
	failure := &schema.Failure{Status: http.StatusBadGateway, Cause: causeLost}
	_ = s.send(&schema.RelayReply{Failure: failure}) // a relaying host that does not get it sees the stream end
}

// Refuse sends the refusal, and whether the request certainly did not run.
func (s *relaySink) Refuse(f *Refusal) {
	failure := &schema.Failure{
		Status: int32(f.Status), Cause: f.Cause, Retry: f.RetryAfter.Seconds(), Notrun: isPromise(f.Status),
		Sent: int32(s.request.attempts - s.request.sentBefore), Arrived: int32(s.request.reached),
	}
	_ = s.send(&schema.RelayReply{Failure: failure}) // a relaying host that does not get it sees the stream end
}
