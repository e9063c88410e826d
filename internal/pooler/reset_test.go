package pooler

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// gatedBody is a request body whose second half is read only once the gate is open.
type gatedBody struct {
	io.Reader
	gate chan struct{}
	half int
}

func (b *gatedBody) Read(p []byte) (int, error) {
	if b.half <= 0 {
		<-b.gate
		return b.Reader.Read(p)
	}
	n, err := b.Reader.Read(p[:min(len(p), b.half)])
	b.half -= n
	return n, err
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	clear(b)
	return len(b), nil
}

// earlyUpstream answers the first connection with response before it has read the whole request, and ends the
// response with end.
func earlyUpstream(t *testing.T, response string, end func(c *net.TCPConn, r *bufio.Reader)) (address string, ended chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	ended = make(chan struct{})
	go func() {
		defer close(ended)
		c, err := l.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(c)
		if _, err := http.ReadRequest(r); err != nil {
			t.Error(err)
		}
		_, _ = io.WriteString(c, response)
		end(c.(*net.TCPConn), r)
	}()
	return l.Addr().String(), ended
}

// TestResetDuringUpload guards against a part of a response that ends with its connection and passes for whole
// because writing the request took the error of the reset, so that reading meets the end of the stream.
func TestResetDuringUpload(t *testing.T) {
	const half = 64 << 10
	for _, status := range []string{"200 OK", "400 Bad Request", "500 Internal Server Error"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			p := newPool(t)
			address, ended := earlyUpstream(t, "HTTP/1.1 "+status+"\r\n\r\npart", func(c *net.TCPConn, _ *bufio.Reader) {
				_ = c.SetLinger(0)
				_ = c.Close()
			})
			gate := make(chan struct{})
			r := newRequest("")
			r.Body, r.ContentLength = io.NopCloser(&gatedBody{zeros{}, gate, half}), 2*half
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			call, err := p.Send(ctx, address, r, SendOptions{})
			if err != nil {
				t.Fatal(err)
			}
			defer call.Close()
			<-ended
			close(gate)
			call.writeDone <- <-call.writeDone
			if b, err := io.ReadAll(call); !errors.Is(err, ErrConnectionLost) || string(b) != "part" {
				t.Errorf("body %q, error %v, want ErrConnectionLost", b, err)
			}
		})
	}
}

// TestEarlyResponse guards against losing a whole response that ends with its connection because its upstream sent it
// before it had read the request.
func TestEarlyResponse(t *testing.T) {
	const length = 8 << 20 // more than the buffers of a connection hold
	for name, end := range map[string]func(c *net.TCPConn, r *bufio.Reader){
		"reads the request before": func(c *net.TCPConn, r *bufio.Reader) {
			_, _ = io.CopyN(io.Discard, r, length)
			_ = c.Close()
		},
		"reads the request after": func(c *net.TCPConn, r *bufio.Reader) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, r)
			_ = c.Close()
		},
		"leaves the request unread": func(c *net.TCPConn, _ *bufio.Reader) {
			_ = c.CloseWrite()
			t.Cleanup(func() { _ = c.Close() })
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPool(t)
			address, _ := earlyUpstream(t, "HTTP/1.1 200 OK\r\n\r\nwhole", end)
			r := newRequest("")
			r.Body, r.ContentLength = io.NopCloser(zeros{}), length
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			call, err := p.Send(ctx, address, r, SendOptions{})
			if err != nil {
				t.Fatal(err)
			}
			defer call.Close()
			if b, err := io.ReadAll(call); err != nil || string(b) != "whole" {
				t.Errorf("body %q, error %v", b, err)
			}
		})
	}
}
