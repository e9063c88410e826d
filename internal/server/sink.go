package server

import (
	"errors"
	"net/http"
)

// errCaller says that the caller went away.
var errCaller = errors.New("server: the caller went away")

// sink is where an answer goes: *httpSink or *forwardSink.
type sink interface {
	// event sends one event of a stream; flush: nothing more is at hand.
	event(data []byte, flush bool) error
	// end ends a stream that is whole.
	end() error
	// whole sends an answer that is not streamed.
	whole(body []byte) error
}

// httpSink answers a caller over HTTP.
type httpSink struct {
	w       http.ResponseWriter
	started bool
	buffer  []byte
}

func (o *httpSink) event(data []byte, flush bool) error {
	o.start("text/event-stream")
	o.buffer = append(o.buffer[:0], "data: "...)
	o.buffer = append(o.buffer, data...)
	o.buffer = append(o.buffer, "\n\n"...)
	if _, err := o.w.Write(o.buffer); err != nil {
		return err
	}
	if flush {
		return http.NewResponseController(o.w).Flush()
	}
	return nil
}

func (o *httpSink) start(kind string) {
	if o.started {
		return
	}
	o.started = true
	o.w.Header().Set("Content-Type", kind)
	o.w.Header().Set("Cache-Control", "no-store")
}

func (o *httpSink) end() error {
	return o.event([]byte("[DONE]"), true)
}

func (o *httpSink) whole(body []byte) error {
	o.start("application/json")
	_, err := o.w.Write(body)
	return err
}

// fail tells the caller of an error: as a status if nothing was sent, else as an event
// without the end mark, so that a cut answer never looks whole.
func (o *httpSink) fail(s *Server, err error) {
	if errors.Is(err, errCaller) {
		return
	}
	if !o.started {
		s.writeRefusal(o.w, err)
		return
	}
	r := refusalOf(err)
	r.Run = RunUnknown
	s.metrics.cut.Inc()
	_ = o.event(r.body(), true)
}
