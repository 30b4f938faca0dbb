package gateway

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds a new connection to a server; a round trip between
	// regions takes under 10 ms, and a lost first packet is sent again after
	// a second.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout ends a connection whose bytes nobody acknowledges.
	unackedTimeout = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval find connections that went silent.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// maxAnswerHeader bounds the header of a server's answer.
	maxAnswerHeader = 64 << 10
)

// newTransport returns the transport to backend servers. Every request has a
// connection of its own: on a kept one a late or extra answer could be taken
// for the next request's, and net/http may send a request again when a kept
// connection turns out to be closed.
func newTransport() *http.Transport {
	// A connection that went silent ends with its request's patience or
	// deadline, long before probes would tell; they cost four system calls.
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: LimitUnacked}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeader,
		WriteBufferSize:        4 << 10,
		ReadBufferSize:         4 << 10,
	}
}

// KeepAlive returns the probes that find silent connections.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// LimitUnacked sets TCP_USER_TIMEOUT on a socket.
func LimitUnacked(_, _ string, c syscall.RawConn) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}
