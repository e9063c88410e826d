package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/bufferer"
	"github.com/trefoilloft/trefoilloft/internal/pooler"
	"github.com/trefoilloft/trefoilloft/internal/quarantiner"
	"github.com/trefoilloft/trefoilloft/internal/scheduler"
)

// errCallerDisconnected means that writing to the caller failed.
var errCallerDisconnected = errors.New("forwarder: writing to the caller failed")

// errUnfinished means that a stream ended within an event, or without a length or chunks before its
// first one.
var errUnfinished = errors.New("forwarder: the stream ended unfinished")

const streamBufferBytes = 8 << 10

// responseState records what the caller has of the response, across attempts.
type responseState struct {
	// headSent is set once the caller has the head.
	headSent bool
	// lastEventID is the ID of the last complete event that the caller has.
	lastEventID string
	// mediaType is that of the response whose head the caller has. unnumbered is set if the caller has an event
	// without an ID: the stream cannot be resumed after it.
	mediaType  string
	unnumbered bool
	// unframed is set if the response of the present attempt states neither a length nor chunks, and
	// firstEventID is the ID of its first event that has one. Both are for the log.
	unframed     bool
	firstEventID string
	// events counts writes of one or more complete events. headDelay is the time from the
	// request's arrival to the sending of the head.
	events    int
	headDelay time.Duration
	// run observes the present attempt.
	run *quarantiner.Run
	// fallback is an upstream's error response, for the caller if no attempt gets a better one.
	fallback *failedResponse
	// responding is set once the head of the present attempt's response was received.
	responding atomic.Bool
	// stopTimeout stops the timer that limits the wait for the beginning of a response; nil if
	// none was started.
	stopTimeout func()
}

type failedResponse struct {
	status int
	header http.Header
	body   []byte
	hold   bufferer.Hold // for body
}

// keepFallback replaces the fallback by x, which may be nil.
func (s *responseState) keepFallback(x *failedResponse) {
	if s.fallback != nil {
		s.fallback.hold.Release()
	}
	s.fallback = x
}

// forwardStream forwards events as they arrive, only complete ones. The caller never gets
// part of an event that the upstream truncated, so another upstream can resume the stream
// after the last complete event.
func (f *Forwarder) forwardStream(ctx context.Context, r *Request, sink Sink, reservation *scheduler.Reservation, s *responseState, call *pooler.Call) error {
	watch := newStallWatch(f.Timer, stallTimeout(r.route), call.Abort)
	defer watch.end()
	buffer := eventBuffer{hold: bufferer.Hold{Budget: f.Buffers}}
	defer buffer.hold.Release()
	end := f.newEndCheck(ctx, r, reservation, call)
	defer end.Close()
	sequence := newEventSequence(r, s)
	withinAnswer, begun := s.headSent, false
	b := make([]byte, streamBufferBytes)
	for {
		n, readErr := call.Read(b)
		events, err := buffer.add(b[:n])
		if err != nil {
			return errors.Join(errUpstreamFailed, err)
		}
		inOrder, orderErr := sequence.add(events)
		events = events[:inOrder]
		if len(events) > 0 {
			if hasContent(events) {
				watch.recordProgress()
				reservation.RecordEvents(countEvents(events))
				reservation.RecordFirstToken()
				reservation.RecordReceived(call.OpenedAt())
				s.run.RecordProgress()
			}
			if !begun {
				begun = true
				if err := f.recordOrigin(r, reservation, reservation.KnowsProcess(call.OpenedAt())); err != nil {
					return err
				}
			}
			if err := f.forwardEvents(r, sink, s, call, &sequence, events); err != nil {
				return err
			}
		}
		switch {
		case orderErr != nil:
			return errors.Join(errUpstreamFailed, orderErr)
		case readErr == io.EOF && withinAnswer && sequence.first == "":
			return errors.Join(errUpstreamFailed, fmt.Errorf("%w: it holds no event", errNotContinued))
		case readErr == io.EOF && !buffer.incomplete() && (begun || !call.Unframed()):
			if err := end.check(ctx); err != nil {
				return err
			}
			f.sendHead(r, sink, s, call)
			sink.Finish()
			return nil
		case watch.stalled.Load():
			return errors.Join(errUpstreamFailed, errStalled)
		case readErr == io.EOF:
			return errors.Join(errUpstreamFailed, errUnfinished)
		case readErr != nil:
			return errors.Join(errUpstreamFailed, readErr)
		}
	}
}

func (f *Forwarder) sendHead(r *Request, sink Sink, s *responseState, call *pooler.Call) {
	if s.headSent {
		return
	}
	s.headSent = true
	s.mediaType = mediaTypeOf(call.Response)
	s.headDelay = f.Timer.Now() - r.ArrivedAt
	if s.stopTimeout != nil {
		s.stopTimeout()
	}
	sink.SendHead(call.Response.StatusCode, f.Protocol.ResponseHeader(call.Response.Header), -1)
}

func (f *Forwarder) forwardEvents(r *Request, sink Sink, s *responseState, call *pooler.Call, sequence *eventSequence, events []byte) error {
	f.sendHead(r, sink, s, call)
	if sequence.first != "" {
		s.firstEventID, s.lastEventID = sequence.first, sequence.last
	}
	s.unnumbered = sequence.unnumbered
	s.events++
	if err := sink.SendChunk(events); err != nil {
		return errors.Join(errCallerDisconnected, err)
	}
	return nil
}
