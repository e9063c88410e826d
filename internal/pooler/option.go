package pooler

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// setSocketOptions makes the kernel end a connection whose remote end is gone: sent bytes may
// stay unacknowledged for unackedTimeout, and keep-alive probes check an idle connection. Linux gives up
// probes by TCP_USER_TIMEOUT if it is set, whatever their count: at the first one that is due after it.
func setSocketOptions(_, _ string, raw syscall.RawConn) error {
	var err error
	control := raw.Control(func(fd uintptr) {
		err = errors.Join(
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds())),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, 1),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, 1),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPCNT, 2),
		)
	})
	return errors.Join(control, err)
}
