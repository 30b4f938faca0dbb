package platform

import (
	"io"
	"net/http"
)

// LimitBody returns a round tripper that truncates response bodies after limit
// bytes, so that decoding a larger body fails. This limits a client's memory use.
func LimitBody(base http.RoundTripper, limit int64) http.RoundTripper {
	return &bodyLimiter{base: base, limit: limit}
}

type bodyLimiter struct {
	base  http.RoundTripper
	limit int64
}

// RoundTrip implements http.RoundTripper.
func (b *bodyLimiter) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := b.base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	resp.Body = &limitedBody{Reader: io.LimitReader(resp.Body, b.limit), Closer: resp.Body}
	return resp, nil
}

type limitedBody struct {
	io.Reader
	io.Closer
}
