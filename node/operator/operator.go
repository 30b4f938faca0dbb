// Package operator implements the operators' commands on settings: check,
// publish, get, history and status.
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
	"github.com/laburnumloft/laburnumloft/node/lib/platform"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// Errors of the operators' commands.
var (
	// ErrGap means that the log lacks the start of the settings.
	ErrGap = eris.New("the log has dropped records and holds no usable snapshot; give --entry to start from an entry")
	// ErrUnsettled means that it is unknown whether a record was appended.
	ErrUnsettled = eris.New("the record was not seen in the log")
	// ErrSource means that neither log nor entry gave an answer.
	ErrSource = eris.New("settings can't be read")
)

// Reading the log.
const (
	// pageSize is below the number of verdicts that a state remembers, so
	// that each verdict can be looked up after each page.
	pageSize      = 128
	pollWait      = 2 * time.Second
	requestLimit  = 5 * time.Second
	retryInterval = 200 * time.Millisecond
)

// Client reads and changes settings.
type Client struct {
	log   *platform.Log
	http  *http.Client
	entry string
	fold  *settings.Fold
	next  int64
}

// New returns a client of the log at logURL and the entry at entryURL, either
// of which may be empty.
func New(logURL, entryURL string) *Client {
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: 2 * time.Second}).DialContext}}
	c := &Client{http: client, entry: entryURL, fold: settings.NewFold()}
	if logURL != "" {
		c.log = platform.NewLog(logURL, client)
	}
	return c
}

// State returns the settings at the end of the log, or those in force at the
// entry if no log was given.
func (c *Client) State(ctx context.Context) (*settings.State, error) {
	if c.log == nil {
		if err := c.adopt(ctx); err != nil {
			return nil, err
		}
	} else if err := c.catchUp(ctx); err != nil {
		return nil, err
	}
	state, _ := c.fold.State()
	return state, nil
}

// catchUp folds up to the end of the log.
func (c *Client) catchUp(ctx context.Context) error {
	for {
		status, err := c.step(ctx, 0)
		switch {
		case err != nil:
			return eris.Wrap(errors.Join(ErrSource, err), "log")
		case status == settings.StatusCurrent:
			return nil
		case status == settings.StatusGap:
			if c.entry == "" {
				return ErrGap
			}
			if err := c.adopt(ctx); err != nil {
				return err
			}
			if err := pause(ctx, retryInterval); err != nil {
				return eris.Wrap(errors.Join(ErrSource, ErrGap), "entry lacks records that the log has dropped")
			}
		case status == settings.StatusStale:
			if err := pause(ctx, retryInterval); err != nil {
				return eris.Wrap(errors.Join(ErrSource, err), "log answers with old records")
			}
		}
	}
}

// step folds one page of the log.
func (c *Client) step(ctx context.Context, wait time.Duration) (settings.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+requestLimit)
	defer cancel()
	page, err := c.log.Read(ctx, platform.SettingsStream, c.fold.Next(), pageSize, wait)
	if err != nil {
		return "", err
	}
	c.next = max(c.next, page.Next)
	return c.fold.ApplyPage(platform.SettingsPage(page)).Status, nil
}

// adopt takes the settings in force at the entry.
func (c *Client) adopt(ctx context.Context) error {
	var answer wire.Settings
	if err := c.get(ctx, "/v1/settings", &answer); err != nil {
		return err
	}
	err := c.fold.Adopt(answer.State, answer.Digest, settings.SnapshotInfo{})
	return eris.Wrap(err, "settings of the entry")
}

func (c *Client) get(ctx context.Context, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, requestLimit)
	defer cancel()
	base := sling.New().Client(c.http).Base(c.entry)
	req, err := base.New().Get(path).Request()
	if err != nil {
		return eris.Wrap(err, "building a request")
	}
	resp, err := base.Do(req.WithContext(ctx), into, nil)
	if err != nil {
		return eris.Wrap(errors.Join(ErrSource, err), "entry")
	}
	if resp.StatusCode != http.StatusOK {
		return eris.Wrapf(ErrSource, "entry answered status %d for %s", resp.StatusCode, path)
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
