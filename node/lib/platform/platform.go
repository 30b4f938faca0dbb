// Package platform holds the clients of the platform's log service, weight
// store and membership list.
package platform

import (
	"context"
	"errors"
	"fmt"
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

// Do sends a request for one of the URLs below.
func (w *Weights) Do(req *http.Request) (*http.Response, error) {
	return w.client.Do(req)
}

// ManifestURL returns where the store serves a manifest.
func (w *Weights) ManifestURL(model, version string) string {
	return fmt.Sprintf("%s/v1/models/%s/versions/%s/manifest", w.baseURL, model, version)
}

// ChunkURL returns where the store serves a chunk.
func (w *Weights) ChunkURL(model, version string, index int) string {
	return fmt.Sprintf("%s/v1/models/%s/versions/%s/chunks/%d", w.baseURL, model, version, index)
}

// RetryAfter returns the time that a response asks to wait.
func RetryAfter(header http.Header) time.Duration {
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
		return &Throttled{RetryAfter: RetryAfter(resp.Header)}
	}
	if resp.StatusCode/100 != 2 {
		return eris.Wrapf(ErrRefused, "status %d for %s", resp.StatusCode, req.URL.Path)
	}
	return nil
}
