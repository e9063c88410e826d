package server

import (
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"google.golang.org/grpc"

	"github.com/trefoilloft/trefoilloft/internal/schema"
)

// replyStream is a stream of replies: sent ones are received in the same order.
type replyStream struct {
	grpc.ServerStreamingServer[schema.ForwardReply]
	replies []*schema.ForwardReply
}

func (s *replyStream) Send(r *schema.ForwardReply) error {
	s.replies = append(s.replies, r)
	return nil
}

// receivedReplies is the end of a stream at which replies arrive.
type receivedReplies struct {
	grpc.ServerStreamingClient[schema.ForwardReply]
	replies []*schema.ForwardReply
}

func (s *receivedReplies) Recv() (*schema.ForwardReply, error) {
	if len(s.replies) == 0 {
		return nil, io.EOF
	}
	r := s.replies[0]
	s.replies = s.replies[1:]
	return r, nil
}

// TestRelayWithLostReplies guards against a relayed answer with a hole, or with a part twice, that passes as whole:
// replies that a partition held up can be lost when their sender resets the connection.
func TestRelayWithLostReplies(t *testing.T) {
	for _, streamed := range []bool{true, false} {
		sent := &replyStream{}
		from := &forwardAnswerWriter{stream: &numberedReplies{ServerStreamingServer: sent}, c: &completion{}}
		if streamed {
			for n := range 4 {
				_ = from.writeEvent(fmt.Appendf(nil, "event %d", n), true)
			}
			_ = from.endStream()
		} else {
			_ = from.writeBody([]byte("body"))
		}
		receive := func(replies []*schema.ForwardReply) (string, error) {
			s, w := newRawServer(t, nil), httptest.NewRecorder()
			err := s.copyForwardReplies(&receivedReplies{replies: replies}, &completion{stream: streamed}, &httpAnswerWriter{w: w})
			return w.Body.String(), err
		}
		if got, err := receive(sent.replies); err != nil || streamed != strings.HasSuffix(got, doneEvent) {
			t.Errorf("streamed %v, all replies: error %v, %q", streamed, err, got)
		}
		for i := range sent.replies {
			lost := slices.Delete(slices.Clone(sent.replies), i, i+1)
			doubled := slices.Insert(slices.Clone(sent.replies), i, sent.replies[i])
			for name, replies := range map[string][]*schema.ForwardReply{"lost": lost, "doubled": doubled} {
				if name == "doubled" && i == len(sent.replies)-1 {
					continue // nothing is read after the end
				}
				got, err := receive(replies)
				if !errors.Is(err, errReplyLost) && !errors.Is(err, errTruncated) || strings.HasSuffix(got, doneEvent) || !streamed && got != "" {
					t.Errorf("streamed %v, reply %d %s: error %v, %q", streamed, i, name, err, got)
				}
			}
		}
	}
}
