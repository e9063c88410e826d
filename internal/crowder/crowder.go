// Package crowder opens many connections to a host whose requests are beyond what callers may send: request heads and
// HTTP/2 frames that are large, stall or do not end. It is used by tests of both programs; it judges nothing.
package crowder

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	shortDuration = 900 * time.Millisecond  // of a crowd
	longDuration  = 2500 * time.Millisecond // of one in which an opening is Long
	sources       = 8                       // loopback addresses from which clients come
	redialPause   = 50 * time.Millisecond
)

// Opening is how a client begins a connection: with a prefix, then units for as long as the crowd lasts. One without a
// unit stalls after the prefix.
type Opening struct {
	Name, Prefix string
	Unit         func(n int) string
	Pause        time.Duration // between two units; 0: as quickly as the host reads
	Deaf         bool          // the client does not read
	Long         bool          // the host's memory grows for as long as the crowd lasts
}

func repeated(s string) func(int) string {
	block := strings.Repeat(s, 1+(16<<10)/len(s))
	return func(int) string { return block }
}

// SmallFields returns header fields of different names, with n bytes at most.
func SmallFields(n int) string {
	var b strings.Builder
	for i := 0; ; i++ {
		field := fmt.Sprintf("%x:\r\n", i)
		if b.Len()+len(field) > n {
			return b.String()
		}
		b.WriteString(field)
	}
}

// EqualFields returns header fields of one name, with n bytes at most.
func EqualFields(n int) string { return strings.Repeat("a:\r\n", n/4) }

// LargeField returns one header field of n bytes.
func LargeField(n int) string { return "X-Large: " + strings.Repeat("x", n-11) + "\r\n" }

const (
	someRequest = "GET / HTTP/1.1\r\nHost: h.example\r\n"
	// WholeGet is an ordinary request.
	WholeGet = someRequest + "\r\n"
)

// Heads are openings of HTTP/1.1 connections with a head that is large, stalls or does not end.
var Heads = []Opening{
	{Name: "nothing"},
	{Name: "small fields, then nothing", Long: true, Prefix: someRequest + SmallFields(63<<10)},
	{Name: "equal fields, then nothing", Long: true, Prefix: someRequest + EqualFields(63<<10)},
	{Name: "small fields below the limit, then nothing", Long: true, Prefix: someRequest + SmallFields(30<<10)},
	{Name: "small fields that go on", Long: true, Prefix: someRequest + SmallFields(40<<10), Pause: 200 * time.Millisecond,
		Unit: func(n int) string { return fmt.Sprintf("x%x:\r\n", n) }},
	{Name: "fields without end", Prefix: someRequest, Unit: repeated("X-Filler: x\r\n")},
	{Name: "small fields without end", Prefix: someRequest, Unit: func(n int) string { return SmallFields(16 << 10)[n%8:] }},
	{Name: "field without end", Prefix: someRequest + "X-Filler: ", Unit: repeated("x")},
	{Name: "request line without end", Prefix: "GET /", Unit: repeated("x")},
	{Name: "empty lines", Unit: repeated("\r\n")},
	{Name: "bare empty lines", Unit: repeated("\n")},
	{Name: "empty lines after a request", Prefix: WholeGet, Unit: repeated("\r\n")},
	{Name: "bare empty lines after a request", Prefix: WholeGet, Unit: repeated("\n")},
	{Name: "small fields after a request", Long: true, Prefix: WholeGet + someRequest + SmallFields(63<<10)},
}

// frame returns an HTTP/2 frame.
func frame(kind, flags byte, stream uint32, payload string) string {
	b := []byte{byte(len(payload) >> 16), byte(len(payload) >> 8), byte(len(payload)), kind, flags}
	return string(binary.BigEndian.AppendUint32(b, stream)) + payload
}

// literal returns a header field as HPACK encodes it without a table.
func literal(name, value string) string {
	return "\x00" + string(rune(len(name))) + name + string(rune(len(value))) + value
}

// Kinds of HTTP/2 frames.
const (
	frameHeaders, frameReset, FrameSettings, framePing, frameContinuation = 1, 3, 4, 6, 9

	flagEndHeaders = 4
)

var (
	// Preface is how a client begins an HTTP/2 connection.
	Preface    = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(FrameSettings, 0, 0, "")
	callFields = literal(":method", "POST") + literal(":scheme", "http") + literal(":path", "/a.B/C") + literal(":authority", "h") +
		literal("content-type", "application/grpc") + literal("te", "trailers")
)

// manyLiterals returns small header fields of different names, about 16,000 bytes, for one frame.
func manyLiterals(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < 16_000; i++ {
		b.WriteString(literal(fmt.Sprintf("%x-%x", n, i), ""))
	}
	return b.String()
}

// Frames are openings of HTTP/2 connections by a client that does not know the secret of the system.
var Frames = []Opening{
	{Name: "nothing to gRPC"},
	{Name: "preface alone", Prefix: Preface},
	{Name: "continuations", Long: true, Prefix: Preface + frame(frameHeaders, 0, 1, callFields),
		Unit: func(n int) string { return frame(frameContinuation, 0, 1, manyLiterals(n)) }},
	{Name: "empty continuations", Prefix: Preface + frame(frameHeaders, 0, 1, callFields), Unit: repeated(frame(frameContinuation, 0, 1, ""))},
	{Name: "calls that go on", Long: true, Prefix: Preface, Pause: time.Millisecond,
		Unit: func(n int) string {
			return frame(frameHeaders, flagEndHeaders, uint32(2*n+1), callFields+manyLiterals(0)[:8000])
		}},
	{Name: "small calls that go on", Long: true, Prefix: Preface, Unit: func(n int) string {
		return frame(frameHeaders, flagEndHeaders, uint32(2*n+1), callFields)
	}},
	{Name: "resets", Long: true, Prefix: Preface, Deaf: true, Unit: func(n int) string {
		id := uint32(2*n + 1)
		return frame(frameHeaders, flagEndHeaders, id, callFields) + frame(frameReset, 0, id, "\x00\x00\x00\x08")
	}},
	{Name: "pings", Prefix: Preface, Deaf: true, Unit: repeated(frame(framePing, 0, 0, "12345678"))},
	{Name: "settings", Prefix: Preface, Deaf: true, Unit: repeated(frame(FrameSettings, 0, 0, "\x00\x03\x00\x00\x00\x64"))},
}

// Crowd is a group of clients that connect at the same time. Set the fields before use.
type Crowd struct {
	// Openings are assigned to the clients of each address in turn.
	Openings []Opening
	// Clients is the number of connections to each address.
	Clients int
	// Wrap returns the connection through which a client sends, such as one with TLS; nil: the connection itself.
	Wrap func(net.Conn) net.Conn
}

// Run lets the clients send to each address for a while, on one connection after another where the host closes them.
// It returns how many connections were opened.
func (c *Crowd) Run(addresses ...string) int64 {
	duration := shortDuration
	for _, o := range c.Openings {
		if o.Long {
			duration = longDuration
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var wg sync.WaitGroup
	var opened atomic.Int64
	for _, address := range addresses {
		for source := range c.Clients {
			wg.Go(func() { c.send(ctx, &c.Openings[source%len(c.Openings)], source, address, &opened) })
		}
	}
	wg.Wait()
	return opened.Load()
}

// send sends an opening over one connection after another until ctx ends.
func (c *Crowd) send(ctx context.Context, o *Opening, source int, address string, opened *atomic.Int64) {
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 5, byte(1+source%sources))}}
	for ctx.Err() == nil {
		if conn, err := dialer.DialContext(ctx, "tcp", address); err == nil {
			opened.Add(1)
			if c.Wrap != nil {
				conn = c.Wrap(conn)
			}
			o.send(ctx, conn)
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialPause):
		}
	}
}

func (o *Opening) send(ctx context.Context, c net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	defer func() { _ = c.Close() }()
	ended := make(chan struct{})
	if !o.Deaf {
		go func() {
			_, _ = io.Copy(io.Discard, c)
			_ = c.Close() // the host has closed
			close(ended)
		}()
	}
	if _, err := io.WriteString(c, o.Prefix); err != nil {
		return
	}
	if o.Unit == nil {
		select { // until either side closes
		case <-ended:
		case <-ctx.Done():
		}
		return
	}
	for n := 0; ctx.Err() == nil; n++ {
		if _, err := io.WriteString(c, o.Unit(n)); err != nil {
			return
		}
		time.Sleep(o.Pause)
	}
}
