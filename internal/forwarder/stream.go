package forwarder

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/trefoilloft/trefoilloft/internal/pooler"
	"github.com/trefoilloft/trefoilloft/internal/scheduler"
)

// errCallerDisconnected means that writing to the caller failed.
var errCallerDisconnected = errors.New("forwarder: writing to the caller failed")

const streamBufferBytes = 8 << 10

// responseState records what the caller has of the response, across attempts.
type responseState struct {
	// headSent is set once the caller has the head.
	headSent bool
	// lastEventID is the ID of the last complete event that the caller has.
	lastEventID string
	// events counts writes of one or more complete events. headDelay is the time from the
	// request's arrival to the sending of the head.
	events    int
	headDelay time.Duration
	// fallback is an upstream's error response, for the caller if no attempt gets a better one.
	fallback *failedResponse
	// stopTimeout stops the timer that limits the wait for the beginning of a response; nil if
	// none was started.
	stopTimeout func()
}

type failedResponse struct {
	status int
	header http.Header
	body   []byte
}

// forwardStream forwards events as they arrive, only complete ones. The caller never gets
// part of an event that the upstream truncated, so another upstream can resume the stream
// after the last complete event.
func (f *Forwarder) forwardStream(r *Request, sink Sink, reservation *scheduler.Reservation, s *responseState, call *pooler.Call) error {
	var buffered []byte
	b := make([]byte, streamBufferBytes)
	for {
		n, err := call.Read(b)
		buffered = append(buffered, b[:n]...)
		if at := lastEventEnd(buffered); at > 0 {
			reservation.RecordFirstToken()
			reservation.RecordReceived()
			if err := f.forwardEvents(r, sink, s, call, buffered[:at]); err != nil {
				return err
			}
			buffered = append(buffered[:0], buffered[at:]...)
		}
		switch {
		case err == io.EOF && len(buffered) == 0:
			f.sendHead(r, sink, s, call)
			sink.Finish()
			return nil
		case err != nil:
			return errors.Join(errUpstreamFailed, err)
		}
	}
}

func (f *Forwarder) sendHead(r *Request, sink Sink, s *responseState, call *pooler.Call) {
	if s.headSent {
		return
	}
	s.headSent = true
	s.headDelay = f.Timer.Now() - r.ArrivedAt
	if s.stopTimeout != nil {
		s.stopTimeout()
	}
	sink.SendHead(call.Response.StatusCode, f.Protocol.ResponseHeader(call.Response.Header), -1)
}

func (f *Forwarder) forwardEvents(r *Request, sink Sink, s *responseState, call *pooler.Call, events []byte) error {
	f.sendHead(r, sink, s, call)
	if id := lastID(events); id != "" {
		s.lastEventID = id
	}
	s.events++
	if err := sink.SendChunk(events); err != nil {
		return errors.Join(errCallerDisconnected, err)
	}
	return nil
}

// lastEventEnd returns the length in bytes of the complete events at the beginning of b. An
// event ends with an empty line.
func lastEventEnd(b []byte) int {
	end := 0
	if at := bytes.LastIndex(b, []byte("\n\n")); at >= 0 {
		end = at + 2
	}
	if at := bytes.LastIndex(b, []byte("\r\n\r\n")); at >= 0 {
		end = max(end, at+4)
	}
	return end
}

// lastID returns the ID of the last event that has one; empty if none has.
func lastID(events []byte) string {
	at := bytes.LastIndex(events, []byte("\nid:"))
	switch {
	case at >= 0:
		events = events[at+4:]
	case bytes.HasPrefix(events, []byte("id:")):
		events = events[3:]
	default:
		return ""
	}
	line, _, _ := bytes.Cut(events, []byte("\n"))
	return string(bytes.TrimSpace(line))
}
