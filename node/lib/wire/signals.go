package wire

import (
	"net/http"

	"github.com/laburnumloft/laburnumloft/core/backpressure"
)

// Headers in which a backend server says something about itself in any answer.
const (
	// RateLimitHeader is the rate at which it takes requests, in requests per second.
	RateLimitHeader = "Request-Rate-Limit"
	// LeavingHeader is "1" if the server is leaving.
	LeavingHeader = "Server-Is-Leaving"
	// RetryAfterHeader is the time in seconds for which a server that answers 503
	// wants no more requests.
	RetryAfterHeader = "Retry-After"
)

// DecodeSignals decodes what a backend server says about itself.
func DecodeSignals(resp *http.Response) (s backpressure.Signals) {
	s.ParseRate(RateLimitHeader, resp.Header[RateLimitHeader])
	s.ParseLeaving(LeavingHeader, resp.Header[LeavingHeader])
	if resp.StatusCode == http.StatusServiceUnavailable {
		s.ParseQuiet(RetryAfterHeader, resp.Header[RetryAfterHeader])
	}
	return s
}
