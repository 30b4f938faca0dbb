// Package operator implements the operator commands that read and change
// settings: publish, get, history, status and recover.
package operator

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/lifecycle"
	"github.com/laburnumloft/laburnumloft/node/lib/platform"
	"github.com/laburnumloft/laburnumloft/node/lib/response"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// Errors of the operator commands.
var (
	// ErrGap means that the log no longer holds all settings records and has no
	// usable snapshot of the dropped ones.
	ErrGap = eris.New("the log has dropped records and holds no usable snapshot; give --entry to start from an entry")
	// ErrUnconfirmed means that it is unknown whether a record was appended.
	ErrUnconfirmed = eris.New("the record was not found in the log; it is unknown whether it was appended")
	// ErrSettingsUnavailable means that the settings could not be read from the
	// log or the entry.
	ErrSettingsUnavailable = eris.New("settings can't be read")
)

// Reading the log.
const (
	// pageSize is smaller than the number of verdicts that a settings state
	// keeps, so that every verdict of a page can be looked up after applying it.
	pageSize       = 128
	pollWait       = 2 * time.Second
	requestTimeout = 5 * time.Second
	retryInterval  = 200 * time.Millisecond
)

// Client reads and changes settings through the log or an entry.
type Client struct {
	log    *platform.Log
	http   *http.Client
	entry  string
	fold   *settings.Fold
	logEnd int64
}

// New returns a client of the log at logURL and the entry at entryURL. Either URL
// may be empty.
func New(logURL, entryURL string) *Client {
	client := &http.Client{Transport: response.NewTransport(&http.Transport{
		DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext, MaxResponseHeaderBytes: lifecycle.MaxResponseHeaderBytes,
	})}
	c := &Client{http: client, entry: entryURL, fold: settings.NewFold()}
	if logURL != "" {
		c.log = platform.NewLog(logURL, client)
	}
	return c
}

// State returns the settings at the end of the log, or those in force at the
// entry if the client has no log.
func (c *Client) State(ctx context.Context) (*settings.State, error) {
	if c.log == nil {
		if err := c.adoptEntrySettings(ctx); err != nil {
			return nil, err
		}
	} else if err := c.catchUp(ctx); err != nil {
		return nil, err
	}
	state, _ := c.fold.State()
	return state, nil
}

// catchUp applies all records up to the end of the log.
func (c *Client) catchUp(ctx context.Context) error {
	for {
		status, err := c.readPage(ctx, 0)
		switch {
		case err != nil:
			return eris.Wrap(errors.Join(ErrSettingsUnavailable, err), "reading the log")
		case status == settings.StatusCurrent:
			return nil
		case status == settings.StatusGap:
			if c.entry == "" {
				return ErrGap
			}
			if err := c.adoptEntrySettings(ctx); err != nil {
				return err
			}
			if err := sleep(ctx, retryInterval); err != nil {
				return eris.Wrap(errors.Join(ErrSettingsUnavailable, ErrGap), "the settings of the entry do not cover the records that the log has dropped")
			}
		case status == settings.StatusStale:
			if err := sleep(ctx, retryInterval); err != nil {
				return eris.Wrap(errors.Join(ErrSettingsUnavailable, err), "the log ends before the offset reached by an earlier read")
			}
		}
	}
}

// readPage reads one page of the log and applies its records.
func (c *Client) readPage(ctx context.Context, wait time.Duration) (settings.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+requestTimeout)
	defer cancel()
	page, err := c.log.Read(ctx, platform.SettingsStream, c.fold.Next(), pageSize, wait)
	if err != nil {
		return "", err
	}
	c.logEnd = max(c.logEnd, page.Next)
	return c.fold.ApplyPage(platform.SettingsPage(page)).Status, nil
}

// adoptEntrySettings replaces the settings by those in force at the entry.
func (c *Client) adoptEntrySettings(ctx context.Context) error {
	var answer wire.Settings
	if err := c.get(ctx, "/v1/settings", &answer); err != nil {
		return err
	}
	err := c.fold.Adopt(answer.State, answer.Digest, settings.SnapshotInfo{})
	return eris.Wrap(err, "adopting the settings of the entry")
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	base := sling.New().Client(c.http).Base(c.entry)
	req, err := base.New().Get(path).Request()
	if err != nil {
		return eris.Wrap(err, "building a request to the entry")
	}
	resp, err := base.Do(req.WithContext(ctx), into, nil)
	if err != nil {
		return eris.Wrap(errors.Join(ErrSettingsUnavailable, err), "sending a request to the entry")
	}
	if resp.StatusCode != http.StatusOK {
		return eris.Wrapf(ErrSettingsUnavailable, "entry returned HTTP status %d for %s", resp.StatusCode, path)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
