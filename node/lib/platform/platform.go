// Package platform provides clients for the platform's log service, weight store
// and membership list.
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

	"github.com/laburnumloft/laburnumloft/core/logera"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// Errors of the platform's services.
var (
	// ErrUnavailable means that no valid response was received. An append may
	// have taken effect nevertheless.
	ErrUnavailable = eris.New("platform service is unavailable")
	// ErrRefused means that the service returned an error status.
	ErrRefused = eris.New("platform service refused the request")
	// ErrOldEra means that the log answered in an era that has ended.
	ErrOldEra = eris.New("the log answered in an era that has ended")
)

// Throttled is the error for a request that a service refused because of its rate
// limit.
type Throttled struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *Throttled) Error() string {
	return fmt.Sprintf("service is rate limited; retry after %s", e.RetryAfter)
}

// defaultRetryAfter applies when a 429 response has no valid Retry-After header.
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

// Append adds a JSON record to the stream and returns its position.
func (l *Log) Append(ctx context.Context, stream string, record any) (int64, error) {
	req, err := l.base.New().Post("/v1/streams/" + stream + "/records").BodyJSON(record).Request()
	if err != nil {
		return 0, eris.Wrap(err, "encoding a log record")
	}
	var answer wire.LogAppend
	if err := do(l.base, req.WithContext(ctx), &answer); err != nil {
		return 0, err
	}
	return logera.Position(answer.Era, answer.Offset), nil
}

// Read returns records of the stream starting at a position. If there are none, it waits
// up to wait for the first one. All offsets of the returned page are positions. If the
// position belongs to an era of the log that has ended, the page has no records and
// begins at the first position of the current era.
func (l *Log) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*wire.LogPage, error) {
	era, offset := logera.Split(from)
	query := struct {
		From   int64 `url:"from"`
		Limit  int   `url:"limit"`
		WaitMS int64 `url:"wait_ms"`
	}{offset, limit, wait.Milliseconds()}
	req, err := l.base.New().Get("/v1/streams/" + stream + "/records").QueryStruct(&query).Request()
	if err != nil {
		return nil, eris.Wrap(err, "building a log read")
	}
	var page wire.LogPage
	if err := do(l.base, req.WithContext(ctx), &page); err != nil {
		return nil, err
	}
	if page.Era < era {
		return nil, eris.Wrapf(ErrOldEra, "era %d, read before: %d", page.Era, era)
	}
	if page.Era > era {
		page.Records = nil
	}
	page.Oldest, page.Next = logera.Position(page.Era, page.Oldest), logera.Position(page.Era, page.Next)
	for i, r := range page.Records {
		page.Records[i].Offset = logera.Position(page.Era, r.Offset)
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

// List returns the membership list.
func (m *Membership) List(ctx context.Context) (*wire.Members, error) {
	req, err := m.base.New().Get("/v1/members").Request()
	if err != nil {
		return nil, eris.Wrap(err, "building a membership request")
	}
	var members wire.Members
	if err := do(m.base, req.WithContext(ctx), &members); err != nil {
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

// Do sends a request, whose URL is one of ManifestURL and ChunkURL.
func (w *Weights) Do(req *http.Request) (*http.Response, error) {
	return w.client.Do(req)
}

// ManifestURL returns the URL of the manifest of a version.
func (w *Weights) ManifestURL(model, version string) string {
	return fmt.Sprintf("%s/v1/models/%s/versions/%s/manifest", w.baseURL, model, version)
}

// ChunkURL returns the URL of a chunk of a version.
func (w *Weights) ChunkURL(model, version string, index int) string {
	return fmt.Sprintf("%s/v1/models/%s/versions/%s/chunks/%d", w.baseURL, model, version, index)
}

// RetryAfter returns the wait time from the Retry-After header of a response.
func RetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return defaultRetryAfter
	}
	return time.Duration(seconds) * time.Second
}

// do sends a request, decodes a successful response into success and returns an
// error for any other status.
func do(base *sling.Sling, req *http.Request, success any) error {
	resp, err := base.Do(req, success, nil)
	if err != nil {
		return eris.Wrap(errors.Join(ErrUnavailable, err), req.URL.Path)
	}
	if resp.StatusCode == http.StatusTooManyRequests {
		return &Throttled{RetryAfter: RetryAfter(resp.Header)}
	}
	if resp.StatusCode/100 != 2 {
		return eris.Wrapf(ErrRefused, "HTTP status %d for %s", resp.StatusCode, req.URL.Path)
	}
	return nil
}
