package pooler

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// setOptions makes a connection whose peer is gone end by itself.
func setOptions(_, _ string, raw syscall.RawConn) error {
	var err error
	control := raw.Control(func(fd uintptr) {
		err = errors.Join(
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds())),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, 1),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, 1),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPCNT, 2),
		)
	})
	return errors.Join(control, err)
}
