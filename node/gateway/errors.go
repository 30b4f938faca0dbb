package gateway

import "github.com/rotisserie/eris"

// Errors of an attempt at a backend server.
var (
	errWrongRequestID = eris.New("the server's answer carries another request id: it belongs to another request")
	errInvalidHeader  = eris.New("a 2xx answer of the server lacks a signature or a request id, or has a content encoding")
	errNoFinalStatus  = eris.New("the status of the server's answer, under 200, does not end a request")
	errAnswerTooLarge = eris.New("the answer exceeds the limit of one answer or of all buffered answers")
	errQuarantined    = eris.New("the attempt was cancelled before its first event, because its prompt crashes engines")
	errEmptyStream    = eris.New("the server's stream ended with its connection before the attempt's first event")
	errStopping       = eris.New("the process is stopping and must answer the request now")
	errSuperseded     = eris.New("another run of the request has answered or gone on first")
	errYielded        = eris.New("a request that had no server took the place of this run beside a silent one")
	errOutdated       = eris.New("the server had not begun before its weights became outdated")
	errSlowConnect    = eris.New("the server did not accept the connection in time, and another one is free")
	errConnectTimeout = eris.New("the server did not accept the connection within the request's time for it")
	errNotAllowed     = eris.New("the server may no longer get the request")
)
