package forwarder

import (
	"errors"
	"io"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/trefoilloft/trefoilloft/internal/configurer"
	"github.com/trefoilloft/trefoilloft/internal/schema"
	"github.com/trefoilloft/trefoilloft/internal/timer"
)

// replyStream is the receiver's end of a relay whose replies are given.
type replyStream struct {
	grpc.ServerStreamingClient[schema.RelayReply]
	replies []*schema.RelayReply
}

func (s *replyStream) Recv() (*schema.RelayReply, error) {
	if len(s.replies) == 0 {
		return nil, io.EOF
	}
	reply := s.replies[0]
	s.replies = s.replies[1:]
	return reply, nil
}

// sentReplies collects what a relaySink sends.
type sentReplies struct {
	grpc.ServerStreamingServer[schema.RelayReply]
	replies []*schema.RelayReply
}

func (s *sentReplies) Send(m *schema.RelayReply) error {
	s.replies = append(s.replies, proto.Clone(m).(*schema.RelayReply))
	return nil
}

func relayedResponse() []*schema.RelayReply {
	sent := &sentReplies{}
	sink := &relaySink{stream: sent, request: &Request{}}
	_ = sink.send(&schema.RelayReply{})
	sink.SendHead(200, nil, -1)
	for _, event := range []string{"id: 1\n\n", "id: 2\n\n", "id: 3\n\n"} {
		_ = sink.SendChunk([]byte(event))
	}
	sink.Finish()
	return sent.replies
}

// TestRelayWithLostReplies guards against responses with a hole: bytes between two hosts that a
// partition holds up can be lost while the connection goes on. Each run of replies is dropped
// in turn; the caller must not get a complete response, nor a piece of one without its head.
func TestRelayWithLostReplies(t *testing.T) {
	all := relayedResponse()
	forward := func(replies []*schema.RelayReply) (result, *Request, error) {
		f, sink, r := &Forwarder{Timer: &timer.Service{}}, &recorderSink{}, &Request{}
		err := f.forwardReplies(r, sink, &replyStream{replies: replies}, "x")
		return sink.result, r, err
	}
	whole := result{Status: 200, Body: "id: 1\n\nid: 2\n\nid: 3\n\n", Finished: true}
	got, answered, err := forward(all)
	if answered.reached != 1 {
		t.Errorf("no reply lost: %d upstreams reached, want 1", answered.reached)
	}
	if diff := cmp.Diff(whole, got); diff != "" || err != nil {
		t.Fatalf("no reply lost: error %v, -want +got\n%s", err, diff)
	}
	for from := range all {
		for to := from + 1; to <= len(all); to++ {
			got, r, err := forward(append(append([]*schema.RelayReply{}, all[:from]...), all[to:]...))
			if err == nil || got.Finished || !r.mayHaveRun || (got.Body != "" && got.Status == 0) {
				t.Errorf("replies %d to %d of %d lost: error %v, mayHaveRun %v, %+v", from+1, to, len(all), err, r.mayHaveRun, got)
			}
			if got.Status != 0 && !errors.Is(err, errTruncated) {
				t.Errorf("replies %d to %d of %d lost: error %v, want errTruncated", from+1, to, len(all), err)
			}
		}
	}
}

// TestRelayFromEarlierVersion guards against refusing the relays of hosts that do not number their
// replies while hosts are upgraded one at a time, and against a chunk without a head from those.
func TestRelayFromEarlierVersion(t *testing.T) {
	unnumbered := relayedResponse()
	for _, m := range unnumbered {
		m.Number = 0
	}
	f, sink := &Forwarder{Timer: &timer.Service{}}, &recorderSink{}
	if err := f.forwardReplies(&Request{}, sink, &replyStream{replies: unnumbered}, "x"); err != nil || !sink.Finished {
		t.Errorf("got %+v, %v", sink.result, err)
	}
	sink = &recorderSink{}
	withoutHead := append(unnumbered[:1:1], unnumbered[2:]...)
	if err := f.forwardReplies(&Request{}, sink, &replyStream{replies: withoutHead}, "x"); !errors.Is(err, errReplyLost) || sink.Body != "" {
		t.Errorf("head lost: got %+v, %v", sink.result, err)
	}
}

// FuzzRelayedRequest guards against a relayed request that ends the process: whatever it holds, it
// is decoded, and run or refused.
func FuzzRelayedRequest(f *testing.F) {
	whole, err := proto.Marshal(&schema.RelayRequest{Id: "1", Route: "h", Method: "POST", Path: "/safe/x", Pool: "p", Left: 2, Parts: []*schema.PromptPart{{Id: "a", Tokens: 5}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Add([]byte{})
	c := configurer.FromMessage(&schema.Snapshot{Version: 1, Items: routes()})
	f.Fuzz(func(t *testing.T, b []byte) {
		m := &schema.RelayRequest{}
		if proto.Unmarshal(b, m) != nil {
			return
		}
		forwarder := &Forwarder{Region: "r", Timer: &timer.Service{}}
		forwarder.Configure(c)
		r, err := forwarder.requestOf(m)
		if err == nil && (r.route == nil || r.pool != "p") {
			t.Errorf("%v accepted for route %v, pool %q", m, r.route, r.pool)
		}
	})
}
