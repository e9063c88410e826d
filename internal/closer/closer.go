// Package closer tells a TCP connection that the other end closed from one that failed.
//
// The error of a connection that is reset or times out is returned once: by the call in progress, or by the next one.
// If a write takes it, all later reads return io.EOF, as after a close. HTTP responses that end with their connection
// would then pass for whole.
package closer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrFailed means that a connection was reset or timed out before the end of its stream was read.
var ErrFailed = errors.New("closer: the connection failed")

// Conn is a TCP connection whose Read returns io.EOF only if the other end closed the connection and has not reset it
// since.
type Conn struct {
	net.Conn
}

// Read reads from the connection.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF && Failed(c.Conn) {
		err = fmt.Errorf("%w: %w", ErrFailed, io.ErrUnexpectedEOF)
	}
	return n, err
}

// Failed reports whether a TCP connection was reset, timed out or closed by this end. One that the other end closed
// has not failed until that end resets it, for example because it does not read what it is sent. It may be called
// concurrently with the methods of c.
func Failed(c net.Conn) bool {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	failed := true
	err = raw.Control(func(fd uintptr) {
		// While this end may write, the kernel reports POLLHUP only for a connection that is gone. A poll leaves an
		// error of the connection for the next Read or Write.
		events, err := Poll(fd, 0)
		failed = err != nil || events&(unix.POLLHUP|unix.POLLERR) != 0
	})
	return err != nil || failed
}

// Poll returns which of the events, or of POLLERR and POLLHUP, have occurred on a file descriptor. It does not wait.
func Poll(fd uintptr, events int16) (int16, error) {
	p := []unix.PollFd{{Fd: int32(fd), Events: events}}
	for {
		// A signal that is pending interrupts a poll without events, also one that does not wait.
		if _, err := unix.Poll(p, 0); !errors.Is(err, unix.EINTR) {
			return p[0].Revents, err
		}
	}
}
