// Package platform holds the clients of the platform's log service, weight
// store and membership list.
package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// Errors of the platform's services.
var (
	// ErrUnavailable means that no answer was had. An append may have taken
	// effect all the same.
	ErrUnavailable = eris.New("platform service is unavailable")
	// ErrRefused means that the service answered with an error status.
	ErrRefused = eris.New("platform service refused the request")
)

// Throttled is returned when a service refused a request and asks to wait.
type Throttled struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *Throttled) Error() string {
	return fmt.Sprintf("service is rate limited; retry after %s", e.RetryAfter)
}

// defaultRetryAfter applies when a 429 response names no time.
const defaultRetryAfter = time.Second

// Log is a client of the log service.
type Log struct {
	base   *sling.Sling
	client *http.Client
}

// NewLog returns a client of the log service at baseURL.
func NewLog(baseURL string, client *http.Client) *Log {
	return &Log{base: sling.New().Client(client).Base(baseURL), client: client}
}

// Append adds a JSON record to the stream and returns its offset.
func (l *Log) Append(ctx context.Context, stream string, record any) (int64, error) {
	req, err := l.base.New().Post("/v1/streams/" + stream + "/records").BodyJSON(record).Request()
	if err != nil {
		return 0, eris.Wrap(err, "encoding a log record")
	}
	var answer wire.LogAppend
	if err := receive(l.base, req.WithContext(ctx), &answer); err != nil {
		return 0, err
	}
	return answer.Offset, nil
}

// Read returns records from the offset on and waits up to wait for the first.
func (l *Log) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*wire.LogPage, error) {
	query := struct {
		From   int64 `url:"from"`
		Limit  int   `url:"limit"`
		WaitMS int64 `url:"wait_ms"`
	}{from, limit, wait.Milliseconds()}
	req, err := l.base.New().Get("/v1/streams/" + stream + "/records").QueryStruct(&query).Request()
	if err != nil {
		return nil, eris.Wrap(err, "building a log read")
	}
	var page wire.LogPage
	if err := receive(l.base, req.WithContext(ctx), &page); err != nil {
		return nil, err
	}
	return &page, nil
}

// Membership is a client of the membership list.
type Membership struct {
	base   *sling.Sling
	client *http.Client
}

// NewMembership returns a client of the membership list at baseURL.
func NewMembership(baseURL string, client *http.Client) *Membership {
	return &Membership{base: sling.New().Client(client).Base(baseURL), client: client}
}

// List returns the members that the platform knows.
func (m *Membership) List(ctx context.Context) (*wire.Members, error) {
	req, err := m.base.New().Get("/v1/members").Request()
	if err != nil {
		return nil, eris.Wrap(err, "building a membership request")
	}
	var members wire.Members
	if err := receive(m.base, req.WithContext(ctx), &members); err != nil {
		return nil, err
	}
	return &members, nil
}

// Weights is a client of the weight store.
type Weights struct {
	baseURL string
	client  *http.Client
}

// NewWeights returns a client of the weight store at baseURL.
func NewWeights(baseURL string, client *http.Client) *Weights {
	return &Weights{baseURL: baseURL, client: client}
}

// Manifest returns the encoded manifest of a version of at most limit bytes.
func (w *Weights) Manifest(ctx context.Context, model, version string, limit int64) ([]byte, error) {
	return w.get(ctx, fmt.Sprintf("/v1/models/%s/versions/%s/manifest", model, version), limit)
}

// Chunk returns the bytes of a chunk of at most limit bytes.
func (w *Weights) Chunk(ctx context.Context, model, version string, index int, limit int64) ([]byte, error) {
	return w.get(ctx, fmt.Sprintf("/v1/models/%s/versions/%s/chunks/%d", model, version, index), limit)
}

func (w *Weights) get(ctx context.Context, path string, limit int64) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, w.baseURL+path, nil)
	if err != nil {
		return nil, eris.Wrap(err, "building a weight store request")
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return nil, eris.Wrap(errors.Join(ErrUnavailable, err), "weight store")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable {
		return nil, &Throttled{RetryAfter: retryAfter(resp.Header)}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Wrapf(ErrRefused, "weight store status %d for %s", resp.StatusCode, path)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, eris.Wrap(errors.Join(ErrUnavailable, err), "reading from the weight store")
	}
	if int64(len(data)) > limit {
		return nil, eris.Wrapf(ErrRefused, "weight store answer for %s exceeds %d bytes", path, limit)
	}
	return data, nil
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return defaultRetryAfter
	}
	return time.Duration(seconds) * time.Second
}

func receive(base *sling.Sling, req *http.Request, success any) error {
	resp, err := base.Do(req, success, nil)
	if err != nil {
		return eris.Wrap(errors.Join(ErrUnavailable, err), req.URL.Path)
	}
	if resp.StatusCode == http.StatusTooManyRequests {
		return &Throttled{RetryAfter: retryAfter(resp.Header)}
	}
	if resp.StatusCode/100 != 2 {
		return eris.Wrapf(ErrRefused, "status %d for %s", resp.StatusCode, req.URL.Path)
	}
	return nil
}
