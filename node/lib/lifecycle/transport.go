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
	controlIdle        = 30 * time.Second
)

// DialFunc opens a connection; benchmarks count its bytes.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ControlClient returns the client for membership traffic. Without TLS it
// speaks HTTP/2, whose compressed headers cost a tenth of those of HTTP/1.1;
// headers would otherwise be most of the bytes of a heartbeat. It adds no
// spans: a heartbeat is no hop of a request. A nil dial means a default one.
func ControlClient(channel *secure.Channel, dial DialFunc) *http.Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: controlDialTimeout}).DialContext
	}
	transport := &http.Transport{
		IdleConnTimeout:    controlIdle,
		DisableCompression: true,
		DialContext:        dial,
	}
	if !channel.TLS() {
		transport.Protocols = new(http.Protocols)
		transport.Protocols.SetUnencryptedHTTP2(true)
	}
	return &http.Client{Transport: channel.Transport(transport)}
}

// ControlProtocols are those that a server for own processes accepts.
func ControlProtocols() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// Limits of data connections.
const (
	dataDialTimeout = 2 * time.Second
	dataIdle        = 90 * time.Second
)

// DataTransport returns a transport for requests, streams and the platform,
// which keeps up to idlePerHost idle connections to each host.
func DataTransport(idlePerHost int) *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     dataIdle,
		DialContext:         (&net.Dialer{Timeout: dataDialTimeout}).DialContext,
	}
}

// Limits of servers.
const (
	// readHeaderTimeout bounds how long a slow client may take for its headers.
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 32 << 10
)

// NewServer returns a server that bounds the time and size of headers. Nil
// protocols mean the default ones.
func NewServer(handler http.Handler, protocols *http.Protocols) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols,
	}
}
