package forwarder

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// wholeHead is a response with its head, in the body of another one.
const wholeHead = "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nRetry-After: 1\r\n\r\nthe service is full\r\n\r\n"

// TestResponsesThatDoNotContinue guards against forwarding, in the middle of a stream, a response that does
// not continue it, and against a stream that then ends as complete.
func TestResponsesThatDoNotContinue(t *testing.T) {
	broken := result{Status: 200, Body: firstEvent, Aborted: true}
	whole := result{Status: 200, Body: events, Finished: true}
	for _, c := range []struct {
		name   string
		second scriptStep
		want   result
	}{
		{"not found", text(404, "no such run\n\n"), broken},
		{"conflict", text(409, `{"error":"already finished"}`), broken},
		{"server error", text(500, "failed\n\n"), broken},
		{"no content", text(204, ""), broken},
		{"partial content", text(206, secondEvent), broken},
		{"another kind of body", text(200, secondEvent, "Content-Type", "text/html"), broken},
		{"error as text", text(200, "internal error\n\nplease retry\n\n"), broken},
		{"error with its head", text(200, wholeHead), broken},
		{"error with its head, after an event", text(200, secondEvent+wholeHead), result{Status: 200, Body: events, Aborted: true}},
		{"from the beginning", text(200, events), broken},
		{"the last event again", text(200, firstEvent+secondEvent), broken},
		{"an earlier number", text(200, "id: 0\ndata: x\n\n"+secondEvent), broken},
		{"without a number", text(200, "data: {\"error\":\"failed\"}\n\n"), broken},
		{"nothing", text(200, ""), broken},
		{"a comment", text(200, ": nothing\n\n"), result{Status: 200, Body: firstEvent + ": nothing\n\n", Aborted: true}},
		{"the rest", text(200, secondEvent), whole},
		{"the rest, after a comment", text(200, ": again\n\n"+secondEvent), result{Status: 200, Body: firstEvent + ": again\n\n" + secondEvent, Finished: true}},
		{"the rest, with larger steps", text(200, "id: 10\ndata: b\n\nid: 300\ndata: c\n\n"), result{Status: 200, Body: firstEvent + "id: 10\ndata: b\n\nid: 300\ndata: c\n\n", Finished: true}},
	} {
		s := newSystem(t, []scriptStep{truncate(firstEvent + "id: 2\nda")}, []scriptStep{c.second})
		s.preferFirst()
		if diff := cmp.Diff(c.want, s.call("/resume/x", "")); diff != "" {
			t.Errorf("%s: -want +got\n%s", c.name, diff)
		}
		if diff := cmp.Diff([]string{"u0", "u1 1"}, s.allArrivals()); diff != "" {
			t.Errorf("%s: arrivals: -want +got\n%s", c.name, diff)
		}
	}
}

// TestTakenUpStreamsThatDoNotContinue guards against events that a caller which takes up a stream already has,
// or that follow none of its.
func TestTakenUpStreamsThatDoNotContinue(t *testing.T) {
	rest := "id: 8\ndata: h\n\n"
	good := []scriptStep{text(200, rest)}
	want := result{Status: 200, Body: rest, Finished: true}
	for _, c := range []struct {
		name  string
		first scriptStep
		want  result
	}{
		{"from the beginning", text(200, events), want},
		{"the last event again", text(200, "id: 7\ndata: g\n\n"+rest), want},
		{"without a number", text(200, "data: g\n\n"+rest), want},
		{"error with its head", text(200, wholeHead), want},
		{"no content", text(204, ""), want},
		{"partial content", text(206, rest), want},
		{"the rest", text(200, rest), want},
		{"nothing", text(200, ""), result{Status: 200, Finished: true}},
		{"not found", text(404, "no such run"), result{Status: 404, Body: "no such run", Finished: true}},
	} {
		s := newSystem(t, []scriptStep{c.first}, good)
		s.preferFirst()
		got, _ := s.takeUp("7", "0")
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: -want +got\n%s", c.name, diff)
		}
	}
}

// TestEventsOutOfOrder guards against forwarding events whose numbers do not increase, or bytes that are no
// event, from the upstream that began a stream.
func TestEventsOutOfOrder(t *testing.T) {
	good := []scriptStep{text(200, "id: 3\ndata: c\n\n")}
	broken := result{Status: 200, Body: events, Aborted: true}
	resumed := result{Status: 200, Body: events + "id: 3\ndata: c\n\n", Finished: true}
	numbers := strings.Repeat("0", 30) + "3"
	for _, c := range []struct {
		name, path, body string
		want             result
	}{
		{"number goes back", "/stream/x", events + firstEvent, broken},
		{"number goes back, resumed", "/resume/x", events + firstEvent, resumed},
		{"event comes twice", "/stream/x", events + secondEvent, broken},
		{"event comes twice, resumed", "/resume/x", events + secondEvent, resumed},
		{"a head", "/stream/x", events + wholeHead, broken},
		{"a head, resumed", "/resume/x", events + wholeHead, resumed},
		{"no numbers", "/stream/x", "data: a\n\nevent: end\n\n", result{Status: 200, Body: "data: a\n\nevent: end\n\n", Finished: true}},
		{"long numbers", "/stream/x", events + "id: " + numbers + "\n\n", result{Status: 200, Body: events + "id: " + numbers + "\n\n", Finished: true}},
		{"lines that end in two ways", "/stream/x", "id: 1\r\ndata: a\n\r\nid: 2\ndata: b\r\n\n", result{Status: 200, Body: "id: 1\r\ndata: a\n\r\nid: 2\ndata: b\r\n\n", Finished: true}},
	} {
		s := newSystem(t, []scriptStep{text(200, c.body)}, good)
		s.preferFirst()
		if diff := cmp.Diff(c.want, s.call(c.path, "")); diff != "" {
			t.Errorf("%s: -want +got\n%s", c.name, diff)
		}
	}
}

// TestStreamWithoutNumbersIsNotResumed guards against sending a stream from its beginning once more in the
// middle of an answer, because no event stated where it is.
func TestStreamWithoutNumbersIsNotResumed(t *testing.T) {
	s := newSystem(t, []scriptStep{truncate("data: a\n\n")}, []scriptStep{text(200, "data: a\n\ndata: b\n\n")})
	s.preferFirst()
	want := result{Status: 200, Body: "data: a\n\n", Aborted: true}
	if diff := cmp.Diff(want, s.call("/resume/x", "")); diff != "" {
		t.Errorf("-want +got\n%s", diff)
	}
}

// TestStreamsWithPreamble guards against breaking off a sound stream, or one that another upstream continues,
// because of a byte order mark or a block without data.
func TestStreamsWithPreamble(t *testing.T) {
	for _, c := range []struct{ name, first, second, want string }{
		{"byte order mark", "\ufeffdata: a\n\n", "", "\ufeffdata: a\n\n"},
		{"byte order mark, resumed", "\ufeff" + firstEvent + "id: 2\nda", secondEvent, "\ufeff" + events},
		{"retry", "retry: 100\n\n" + firstEvent + "id: 2\nda", secondEvent, "retry: 100\n\n" + events},
		{"retry, resumed", firstEvent + "id: 2\nda", "retry: 100\n\n" + secondEvent, firstEvent + "retry: 100\n\n" + secondEvent},
	} {
		first := truncate(c.first)
		if c.second == "" {
			first = text(200, c.first)
		}
		s := newSystem(t, []scriptStep{first}, []scriptStep{text(200, c.second)})
		s.preferFirst()
		if diff := cmp.Diff(result{Status: 200, Body: c.want, Finished: true}, s.call("/resume/x", "")); diff != "" {
			t.Errorf("%s: -want +got\n%s", c.name, diff)
		}
	}
}
