package lifecycle

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unackedTimeout is how long bytes sent on a connection that is used again and again
	// may stay unacknowledged before it is closed.
	unackedTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount set the TCP keep-alive
	// probes, which detect dead connections.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// DeadPeerDialer returns a dialer whose connections end when their peer has died without a
// word. It is for calls that may be made again on another connection: a peer that is only
// silent for as long, or that reads nothing, loses its connection, too.
func DeadPeerDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, Control: setUnackedTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
}

// setUnackedTimeout sets TCP_USER_TIMEOUT on a socket.
func setUnackedTimeout(_, _ string, c syscall.RawConn) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
