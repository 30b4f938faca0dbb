package lifecycle

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/laburnumloft/laburnumloft/node/lib/secure"
)

// Limits of control connections.
const (
	controlDialTimeout = time.Second
	controlIdleTimeout = 30 * time.Second
)

// DialFunc opens a connection. Benchmarks provide one that counts the transferred
// bytes.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ControlClient returns the client for membership traffic. Without TLS it uses
// unencrypted HTTP/2, because its compressed headers take a tenth of the bytes of
// those of HTTP/1.1, which would be most of the bytes of a heartbeat. It creates
// no trace spans, since heartbeats belong to no request. If dial is nil, a default
// dialer is used.
func ControlClient(channel *secure.Channel, dial DialFunc) *http.Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: controlDialTimeout}).DialContext
	}
	transport := &http.Transport{
		IdleConnTimeout:    controlIdleTimeout,
		DisableCompression: true,
		DialContext:        dial,

		MaxResponseHeaderBytes: MaxResponseHeaderBytes,
	}
	if !channel.TLS() {
		transport.Protocols = new(http.Protocols)
		transport.Protocols.SetUnencryptedHTTP2(true)
	}
	return &http.Client{Transport: channel.Transport(transport)}
}

// ControlProtocols returns the protocols that a server for control traffic
// accepts.
func ControlProtocols() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// MaxResponseHeaderBytes limits the head of any response. A faulty server may send one
// without end, and net/http keeps up to 10 MB of each by default: dozens at once would
// exceed the memory of a small VM.
const MaxResponseHeaderBytes = 64 << 10

// Limits of data connections.
const (
	dataDialTimeout = 2 * time.Second
	dataIdleTimeout = 90 * time.Second
)

// DataTransport returns a transport for requests, streams and platform services.
// It keeps up to idlePerHost idle connections to each host.
func DataTransport(idlePerHost int) *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     dataIdleTimeout,
		DialContext:         (&net.Dialer{Timeout: dataDialTimeout}).DialContext,

		MaxResponseHeaderBytes: MaxResponseHeaderBytes,
	}
}

// Limits of servers.
const (
	// readHeaderTimeout limits how long a client may take to send its headers.
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 32 << 10
)

// NewServer returns a server that limits the time and size of request headers.
// If protocols is nil, the default protocols are used.
func NewServer(handler http.Handler, protocols *http.Protocols) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols,
	}
}
