package forwarder

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

var (
	// errNotContinued means that a response does not continue the stream that the caller has the beginning of.
	errNotContinued = errors.New("forwarder: the response does not continue the stream")
	// errOutOfOrder means that an event does not follow the last one.
	errOutOfOrder = errors.New("forwarder: the event does not follow the last one")
	// errNoEvent means that a stream holds something else than events.
	errNoEvent = errors.New("forwarder: the stream holds bytes that are no event")
)

var byteOrderMark = []byte("\ufeff")

// checkContinuation returns an error if a response cannot continue the stream that began with a response of
// mediaType, which is empty if that one stated none.
func checkContinuation(response *http.Response, mediaType string) error {
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d", errNotContinued, response.StatusCode)
	}
	if t := mediaTypeOf(response); t != mediaType && t != "" && mediaType != "" {
		return fmt.Errorf("%w: media type %.64q instead of %.64q", errNotContinued, t, mediaType)
	}
	return nil
}

func mediaTypeOf(response *http.Response) string {
	t, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(t))
}

// eventSequence checks that the events of one attempt follow each other, and those that the caller has.
type eventSequence struct {
	// last is the ID of the last event; empty if none had an ID.
	last string
	// first is the ID of the attempt's first event that has one.
	first string
	// continues is set until the first event of an attempt that continues a stream: only an ID shows that
	// it follows.
	continues bool
	// unnumbered is set if an event had no ID: no other attempt can continue after it.
	unnumbered bool
	// atStart is set until the first line of an answer, which a byte order mark may precede.
	atStart bool
}

// newEventSequence returns the sequence of an attempt for r. The caller has the events up to s.lastEventID,
// or up to the one from which it takes up the stream.
func newEventSequence(r *Request, s *responseState) eventSequence {
	last := s.lastEventID
	if r.takesUp() {
		last = cmp.Or(last, r.LastEventID)
	}
	return eventSequence{last: last, continues: last != "", unnumbered: s.unnumbered, atStart: !s.headSent}
}

// add adds complete events. If one does not follow the last, or is no event, it returns the length of those
// before it and an error.
func (q *eventSequence) add(events []byte) (int, error) {
	var e event
	start, at := 0, 0
	for line := range bytes.Lines(events) {
		at += len(line)
		if q.atStart {
			line, q.atStart = bytes.TrimPrefix(line, byteOrderMark), false
		}
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 {
			e.addLine(line)
			continue
		}
		if err := q.addEvent(e); err != nil {
			return start, err
		}
		e, start = event{}, at
	}
	return start, nil
}

func (q *eventSequence) addEvent(e event) error {
	switch {
	case !e.hasLines:
		return nil // a comment, or an empty line
	case !e.hasField:
		return errNoEvent
	case e.id == "" && !e.hasData:
		return nil
	case e.id == "" && q.continues:
		return fmt.Errorf("%w: it has no ID, the last one %.64q", errOutOfOrder, q.last)
	case e.id == "":
		q.unnumbered = true
		return nil
	case !follows(e.id, q.last):
		return fmt.Errorf("%w: ID %.64q after %.64q", errOutOfOrder, e.id, q.last)
	}
	q.last, q.first, q.continues = e.id, cmp.Or(q.first, e.id), false
	return nil
}

// event is what the order of events depends on.
type event struct {
	id string
	// hasLines is set if it has a line that is no comment, and hasField if one of them is a field that the
	// format of event streams defines. Other fields are allowed beside those. Clients dispatch no event
	// unless hasData is set.
	hasLines, hasField, hasData bool
}

// addLine adds a line that is not empty.
func (e *event) addLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if len(name) == 0 {
		return
	}
	e.hasLines = true
	switch string(name) {
	case "id":
		e.id = string(bytes.TrimSpace(value))
		e.hasField = true
	case "data":
		e.hasField, e.hasData = true, true
	case "event", "retry":
		e.hasField = true
	}
}

// follows reports whether an event with an ID may come after the one with the ID last, which is empty before
// the first. Numbers increase; other IDs only differ.
func follows(id, last string) bool {
	if last == "" || !isNumber(id) || !isNumber(last) {
		return id != last
	}
	id, last = strings.TrimLeft(id, "0"), strings.TrimLeft(last, "0")
	return cmp.Or(cmp.Compare(len(id), len(last)), strings.Compare(id, last)) > 0
}

func isNumber(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(c rune) bool { return c < '0' || c > '9' })
}
