// Package response makes HTTP/1 clients reject responses that are broken but that net/http
// takes for whole ones.
package response

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/rotisserie/eris"
)

// ErrUnsentRequest means that a response that only the end of its connection delimits may be
// cut: the connection failed while the request was being sent.
var ErrUnsentRequest = eris.New("the connection ended before the request was sent, so that the response may be cut")

// Transport is a round tripper whose responses are whole or fail.
type Transport struct {
	base http.RoundTripper
	// maxHeadBytes limits the heads of all interim responses to a request.
	maxHeadBytes int64
}

// NewTransport returns a transport that sends requests with base, whose connections it wraps.
// base must not be used otherwise. HTTP/2 frames each response, so that its connections stay
// as they are.
func NewTransport(base *http.Transport) *Transport {
	if p := base.Protocols; p == nil || !p.HTTP2() && !p.UnencryptedHTTP2() {
		base.DialContext = trackConnections(base.DialContext)
	}
	return &Transport{base: base, maxHeadBytes: cmp.Or(base.MaxResponseHeaderBytes, http.DefaultMaxHeaderBytes)}
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func trackConnections(dial dialFunc) dialFunc {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(inner), nil
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var sending *conn
	interim := interimHeads{remaining: t.maxHeadBytes}
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if sending = tracked(info.Conn); sending != nil {
				sending.beginRequest(sending == info.Conn)
			}
		},
		// A request that is sent once more gets its next connection after this call.
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if sending != nil {
				sending.endRequest(info.Err)
			}
		},
		Got1xxResponse: interim.check,
	})
	resp, err := t.base.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp, sending); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &trailerChecker{ReadCloser: resp.Body, resp: resp}
	}
	return resp, nil
}

// tracked returns the conn below the connection that net/http uses, or nil if there is none.
// With TLS it counts, too: crypto/tls accepts an end without a notice between two records.
func tracked(used net.Conn) *conn {
	if t, ok := used.(*tls.Conn); ok {
		used = t.NetConn()
	}
	c, _ := used.(*conn)
	return c
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() {
	if closer, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
