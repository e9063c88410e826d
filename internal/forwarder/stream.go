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

// errCaller says that the caller's connection failed.
var errCaller = errors.New("forwarder: the caller's connection failed")

const streamBuffer = 8 << 10

// relayState is what the caller has of an answer, across tries.
type relayState struct {
	// begun is set once the caller has the head.
	begun bool
	// last is the id of the last whole event that the caller has.
	last string
	// events counts them. first is when the head went out, from the request's arrival.
	events int
	first  time.Duration
	// spare is an upstream's failure, for the caller if nothing better comes.
	spare *spare
	// stopTry ends the time limit of the first sign of an answer.
	stopTry func()
}

type spare struct {
	status int
	header http.Header
	body   []byte
}

// stream passes whole events on as they come. A piece of an event that the upstream broke
// off never reaches the caller, so that another upstream may go on after the last whole one.
func (f *Forwarder) stream(r *Request, sink Sink, place *scheduler.Place, s *relayState, call *pooler.Call) error {
	var held []byte
	b := make([]byte, streamBuffer)
	for {
		n, err := call.Read(b)
		held = append(held, b[:n]...)
		if at := lastEventEnd(held); at > 0 {
			place.First()
			place.Sign()
			if err := f.passEvents(r, sink, s, call, held[:at]); err != nil {
				return err
			}
			held = append(held[:0], held[at:]...)
		}
		switch {
		case err == io.EOF && len(held) == 0:
			f.begin(r, sink, s, call)
			sink.Finish()
			return nil
		case err != nil:
			return errors.Join(errFailed, err)
		}
	}
}

func (f *Forwarder) begin(r *Request, sink Sink, s *relayState, call *pooler.Call) {
	if s.begun {
		return
	}
	s.begun = true
	s.first = f.Timer.Now() - r.Arrived
	if s.stopTry != nil {
		s.stopTry()
	}
	sink.Head(call.Response.StatusCode, f.Dialect.Pass(call.Response.Header), -1)
}

func (f *Forwarder) passEvents(r *Request, sink Sink, s *relayState, call *pooler.Call, events []byte) error {
	f.begin(r, sink, s, call)
	if id := lastID(events); id != "" {
		s.last = id
	}
	s.events++
	if err := sink.Chunk(events); err != nil {
		return errors.Join(errCaller, err)
	}
	return nil
}

// lastEventEnd returns the length of the whole events at the beginning of b. An event ends
// with an empty line.
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

// lastID returns the id of the last event that has one.
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
