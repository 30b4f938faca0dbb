package gateway

import "github.com/rotisserie/eris"

// Errors of an exchange with a backend server.
var (
	errCrossed    = eris.New("the answer belongs to another request")
	errUnsigned   = eris.New("a success without signature or request id")
	errTooLong    = eris.New("the answer is longer than the bound")
	errNoProgress = eris.New("the server made no progress")
)
