package command

import (
	"io"
	"net"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

// TestMetricsBodyThatNeverComes guards against requests for metrics that hold their connections for good, and with them
// the room of callers and hosts: their bodies are announced and do not come.
func TestMetricsBodyThatNeverComes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := newMetricsServer(func() []prometheus.Collector { return nil })
	defer func() { _ = h.Close() }()
	go func() { _ = h.Serve(l) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, "GET /metrics HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, conn) // returns when the connection is closed
}
