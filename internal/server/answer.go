package server

import (
	"errors"
	"net/http"
)

// errCallerLeft means that the caller closed the connection.
var errCallerLeft = errors.New("server: the caller closed the connection")

// answerWriter writes the answer of a completion. It is implemented by *httpAnswerWriter and
// *forwardAnswerWriter.
type answerWriter interface {
	// writeEvent sends one event of a stream; flush is set if no further event is buffered.
	writeEvent(data []byte, flush bool) error
	// endStream ends a complete stream.
	endStream() error
	// writeBody sends a complete answer that is not streamed.
	writeBody(body []byte) error
}

// httpAnswerWriter writes an answer to a caller over HTTP.
type httpAnswerWriter struct {
	w         http.ResponseWriter
	headerSet bool
	buffer    []byte
}

func (o *httpAnswerWriter) writeEvent(data []byte, flush bool) error {
	o.setHeader("text/event-stream")
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

func (o *httpAnswerWriter) setHeader(contentType string) {
	if o.headerSet {
		return
	}
	o.headerSet = true
	o.w.Header().Set("Content-Type", contentType)
	o.w.Header().Set("Cache-Control", "no-store")
}

func (o *httpAnswerWriter) endStream() error {
	return o.writeEvent([]byte("[DONE]"), true)
}

func (o *httpAnswerWriter) writeBody(body []byte) error {
	o.setHeader("application/json")
	_, err := o.w.Write(body)
	return err
}

// writeError sends an error to the caller: as a status if nothing was sent, else as an event
// without an end marker, so that a truncated answer never looks complete. It sends nothing if
// the caller has left.
func (o *httpAnswerWriter) writeError(s *Server, err error) {
	if errors.Is(err, errCallerLeft) {
		return
	}
	if !o.headerSet {
		s.writeRefusal(o.w, err)
		return
	}
	s.metrics.truncated.Inc()
	_ = o.writeEvent(refusalOf(withRunUnknown(err)).body(), true)
}
