package agent

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/laburnumloft/laburnumloft/core/operation"
	"github.com/laburnumloft/laburnumloft/node/lib/lifecycle"
	"github.com/laburnumloft/laburnumloft/node/lib/response"
	"github.com/laburnumloft/laburnumloft/node/lib/telemetry"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

const (
	backendDialTimeout = 2 * time.Second
	// maxOperationAnswer is what the ticket table keeps of one answer.
	maxOperationAnswer = 64 << 10
)

// operationBackend sends operations to the backend server.
type operationBackend struct {
	url    string
	client *http.Client
	gate   *backendGate
}

// newOperationBackend returns a client that sends each request at most once.
// Go's transport replays a request only on a reused connection, and a client
// repeats a POST that is redirected with status 307 or 308; both are off.
func newOperationBackend(baseURL string, gate *backendGate) *operationBackend {
	transport := response.NewTransport(&http.Transport{
		DisableKeepAlives: true,
		DialContext:       (&net.Dialer{Timeout: backendDialTimeout}).DialContext,

		MaxResponseHeaderBytes: lifecycle.MaxResponseHeaderBytes,
	})
	return &operationBackend{url: baseURL, gate: gate, client: &http.Client{
		Transport:     &telemetry.Transport{Base: signalTransport{transport, gate}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// send sends one request and classifies its end.
func (b *operationBackend) send(ctx context.Context, ticket string, fence wire.Fence, method string, body []byte) operation.Result {
	if !b.gate.await(ctx) {
		return operation.Result{Outcome: operation.OutcomeNotRun}
	}
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	// The wrapped reader leaves the request without GetBody, so that nothing
	// can send the body a second time.
	reader := struct{ io.Reader }{bytes.NewReader(body)}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.url+"/v1/call/"+url.PathEscape(method), reader)
	if err != nil {
		return operation.Result{Outcome: operation.OutcomeNotRun}
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(wire.FenceHeader, fmt.Sprintf("%d.%d", fence.Offset, fence.StartMS))
	if ticket != "" {
		req.Header.Set(wire.TicketHeader, ticket)
	}
	resp, err := b.client.Do(req)
	if err != nil {
		if !connected {
			// Without a connection no byte of the request was sent.
			return operation.Result{Outcome: operation.OutcomeNotRun}
		}
		return operation.Result{Outcome: operation.OutcomeUnknown}
	}
	defer resp.Body.Close()
	return classify(resp, ticket)
}

// classify reads the backend server's answer.
func classify(resp *http.Response, ticket string) operation.Result {
	answered := resp.Header.Get(wire.TicketHeader)
	if ticket != "" && answered != "" && answered != ticket {
		// The answer belongs to another operation.
		return operation.Result{Outcome: operation.OutcomeUnknown}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxOperationAnswer+1))
	if err != nil {
		return operation.Result{Outcome: operation.OutcomeUnknown}
	}
	result := operation.Result{Outcome: operation.OutcomeFailed, Status: resp.StatusCode, Body: body}
	if resp.StatusCode/100 == 2 {
		result.Outcome = operation.OutcomeCompleted
	}
	if len(body) > maxOperationAnswer {
		result.Body, result.BodyOmitted = nil, true
	}
	return result
}
