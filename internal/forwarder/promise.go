package forwarder

import (
	"errors"
	"fmt"
	"net/http"
)

// isPromise reports whether a status tells a caller that its request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// errUnproven means that an upstream's response has a status that is a promise, but does not state that the
// upstream has not run the request.
var errUnproven = errors.New("forwarder: the upstream's status promises what its response does not state")

// truthfulSink is the Sink of one caller's request. Responses of upstreams that reach it may have run: in place of
// one whose status is a promise the caller gets a refusal that promises nothing, also if it is relayed by a host
// of an earlier build, was kept from an earlier attempt, or is too large to be held. Only the caller's answer
// changes; what is learned of the upstream does not.
type truthfulSink struct {
	Sink
	trace   *trace
	refused bool // the caller has its refusal, the rest of the response is dropped
}

// SendHead begins a response, or refuses the request in place of it.
func (s *truthfulSink) SendHead(status int, header http.Header, length int64) {
	if !isPromise(status) {
		s.Sink.SendHead(status, header, length)
		return
	}
	s.refused = true
	s.trace.refuse(s.Sink, &Refusal{Status: http.StatusBadGateway, Cause: causeUnproven, Err: fmt.Errorf("%w: status %d", errUnproven, status)})
}

// SendChunk sends a piece of the body.
func (s *truthfulSink) SendChunk(b []byte) error {
	if s.refused {
		return nil
	}
	return s.Sink.SendChunk(b)
}

// Finish marks the response as complete.
func (s *truthfulSink) Finish() {
	if !s.refused {
		s.Sink.Finish()
	}
}

// Abort truncates the response. A refusal stays whole.
func (s *truthfulSink) Abort() {
	if !s.refused {
		s.Sink.Abort()
	}
}

// Refuse refuses the request, unless it was refused in place of a response.
func (s *truthfulSink) Refuse(x *Refusal) {
	if !s.refused {
		s.Sink.Refuse(x)
	}
}
