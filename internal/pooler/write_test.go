package pooler

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
)

// FuzzRequestTarget guards against an upstream that reads another method, target, host or body than was
// written: whatever is accepted is read back byte for byte.
func FuzzRequestTarget(f *testing.F) {
	for _, target := range []string{"/a", "//lothian/seat-book/2f?pew=12", "///", "/a//b/./../c", "/%2f%2E%2e;x=1?", "/a?b?c#d", "http://h/a", "*", "/\\", "/a b", "/\r\nX: y", "/ä"} {
		f.Add("POST", target, "h.example", "body")
	}
	f.Add("GET", "/", "h:80", "")
	f.Fuzz(func(t *testing.T, method, target, host, body string) {
		r := &http.Request{Method: method, URL: &url.URL{Opaque: target}, Host: host, Header: http.Header{"X-A": {"b"}}, ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body))}
		if target == "" || checkWritable(r) != nil {
			return
		}
		var b bytes.Buffer
		if err := writeRequest(&b, r); err != nil {
			t.Fatal(err)
		}
		line, _, _ := strings.Cut(b.String(), "\r\n")
		if want := method + " " + target + " HTTP/1.1"; line != want {
			t.Errorf("request line %q, want %q", line, want)
		}
		got, err := http.ReadRequest(bufio.NewReader(&b))
		if err != nil {
			return // the upstream refuses it
		}
		gotBody, err := io.ReadAll(got.Body)
		if got.Method != method || got.RequestURI != target || err != nil || string(gotBody) != body {
			t.Errorf("read %s %q, body %q, error %v", got.Method, got.RequestURI, gotBody, err)
		}
		if absolute := !strings.HasPrefix(target, "/"); !absolute && got.Host != host {
			t.Errorf("read host %q, want %q", got.Host, host)
		}
	})
}

// TestWrittenFraming guards against a request that its upstream frames in another way than it was meant.
func TestWrittenFraming(t *testing.T) {
	for _, c := range []struct{ method, body, want string }{
		{"POST", "body", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nX-A: b\r\n\r\nbody"},
		{"POST", "", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nX-A: b\r\n\r\n"},
		{"GET", "", "GET /a HTTP/1.1\r\nHost: h\r\nX-A: b\r\n\r\n"},
		{"DELETE", "", "DELETE /a HTTP/1.1\r\nHost: h\r\nX-A: b\r\n\r\n"},
	} {
		r := &http.Request{
			Method: c.method, URL: &url.URL{Opaque: "/a"}, Host: "h", ContentLength: int64(len(c.body)), Body: io.NopCloser(strings.NewReader(c.body)),
			Header: http.Header{"X-A": {"b"}, "Transfer-Encoding": {"chunked"}, "Content-Length": {"99"}, "Host": {"other"}},
		}
		var b bytes.Buffer
		if err := writeRequest(&b, r); err != nil || b.String() != c.want {
			t.Errorf("%s with body %q: wrote %q, error %v, want %q", c.method, c.body, b.String(), err, c.want)
		}
	}
}
