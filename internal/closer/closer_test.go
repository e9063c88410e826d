package closer

import (
	"errors"
	"io"
	"net"
	"runtime"
	"sync"
	"testing"

	"golang.org/x/sys/unix"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (c *Conn, other *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	n, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = n.Close(), accepted.Close() })
	return &Conn{n}, accepted.(*net.TCPConn)
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// TestEnds guards against the end of a stream that passes for a close by the other end, although the connection was
// reset, whichever call took the error of the reset, and against a close that passes for a failure.
func TestEnds(t *testing.T) {
	// write returns the first error of writing.
	write := func(c *Conn) error {
		for {
			if _, err := c.Write(make([]byte, 1<<20)); err != nil {
				return err
			}
		}
	}
	for _, x := range []struct {
		name   string
		end    func(c *Conn, other *net.TCPConn)
		failed bool
		want   error // of reading; nil: io.EOF
	}{
		{"closed", func(_ *Conn, other *net.TCPConn) { _ = other.Close() }, false, nil},
		{"half closed", func(_ *Conn, other *net.TCPConn) { _ = other.CloseWrite() }, false, nil},
		{"half closed, bytes to it unread", func(c *Conn, other *net.TCPConn) {
			_, _ = c.Write([]byte("x"))
			_ = other.CloseWrite()
		}, false, nil},
		{"reset", func(_ *Conn, other *net.TCPConn) { reset(other) }, true, unix.ECONNRESET},
		{"closed, bytes to it unread", func(c *Conn, other *net.TCPConn) {
			_, _ = c.Write([]byte("x"))
			_ = other.Close()
		}, true, unix.ECONNRESET},
		{"reset, error taken by a write", func(c *Conn, other *net.TCPConn) {
			reset(other)
			if err := write(c); !errors.Is(err, unix.ECONNRESET) {
				t.Errorf("write: error %v", err)
			}
		}, true, ErrFailed},
		{"closed, then reset", func(c *Conn, other *net.TCPConn) {
			_ = other.Close()
			_, _ = c.Write([]byte("x"))
		}, true, ErrFailed},
		{"closed, then reset, error taken by a write", func(c *Conn, other *net.TCPConn) {
			_ = other.Close()
			_ = write(c)
		}, true, ErrFailed},
		{"closed by this end", func(c *Conn, _ *net.TCPConn) { _ = c.Close() }, true, net.ErrClosed},
	} {
		c, other := connect(t)
		if Failed(c.Conn) {
			t.Errorf("%s: failed before the end", x.name)
		}
		if _, err := io.WriteString(other, "part"); err != nil {
			t.Fatal(err)
		}
		if b := make([]byte, 4); x.name != "closed by this end" {
			if _, err := io.ReadFull(c, b); err != nil || string(b) != "part" {
				t.Errorf("%s: read %q, error %v", x.name, b, err)
			}
		}
		x.end(c, other)
		if got := Failed(c.Conn); got != x.failed {
			t.Errorf("%s: failed %v, want %v", x.name, got, x.failed)
		}
		if _, err := io.ReadAll(c); !errors.Is(err, x.want) {
			t.Errorf("%s: error %v, want %v", x.name, err, x.want)
		}
	}
}

// TestFailedDuringSignals guards against a connection that counts as failed because a signal, such as those with which
// the runtime preempts goroutines, interrupts the poll.
func TestFailedDuringSignals(t *testing.T) {
	c, other := connect(t)
	_ = other.CloseWrite()
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Fatal(err)
	}
	runtime.LockOSThread() // so that the signals reach the thread that polls
	defer runtime.UnlockOSThread()
	thread, stop := unix.Gettid(), make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				_ = unix.Tgkill(unix.Getpid(), thread, unix.SIGURG) // the runtime ignores one that it did not send
			}
		}
	})
	failed := 0
	for range 20_000 {
		if Failed(c.Conn) {
			failed++
		}
	}
	close(stop)
	wg.Wait()
	if failed > 0 {
		t.Errorf("a connection that the other end half closed counts as failed in %d of 20000 calls", failed)
	}
}
