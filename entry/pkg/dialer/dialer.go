package dialer

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// New returns a dialer that gives up a connection attempt after timeout, and breaks a connection whose data is not acknowledged for silence.
func New(timeout, silence time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     silence,
			Interval: silence,
			Count:    1,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			set := func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence/time.Millisecond))
			}
			if err := raw.Control(set); err != nil {
				return err
			}
			return failed
		},
	}
}
