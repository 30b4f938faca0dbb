package operator

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/platform"
)

// Change is a settings document to publish.
type Change struct {
	Document *settings.Document
	// Base is the offset of the revision to replace. A negative value means the
	// latest revision in the log.
	Base int64
	// ID is the record id; if empty, a new one is generated. Repeating a change
	// with the id of an earlier attempt returns the result of that attempt if it
	// took effect, so that the settings never change twice.
	ID string
}

// Published is the result of a change.
type Published struct {
	Key      string            `json:"key"`
	Base     int64             `json:"base"`
	RecordID string            `json:"record_id"`
	Verdict  *settings.Verdict `json:"verdict,omitempty"`
	// Problems lists the errors for which the document was refused before it was
	// appended.
	Problems settings.Problems `json:"problems,omitempty"`
}

// Accepted reports whether the change is in the log and was accepted.
func (p *Published) Accepted() bool {
	return p.Verdict != nil && p.Verdict.Accepted
}

// Publish appends a change to the log, waits for its verdict and returns it.
func (c *Client) Publish(ctx context.Context, change Change) (*Published, error) {
	state, err := c.State(ctx)
	if err != nil {
		return nil, err
	}
	doc := change.Document
	p := &Published{Key: doc.Key, Base: change.Base, RecordID: change.ID}
	if p.RecordID == "" {
		p.RecordID = uuid.NewString()
	} else if v, ok := state.FindVerdict(p.RecordID); ok {
		p.Verdict = &v
		return p, nil
	}
	if p.Base < 0 {
		p.Base, _ = state.Revision(doc.Key)
	}
	if p.Problems = state.CheckDocument(doc); len(p.Problems) > 0 {
		return p, nil
	}
	rec := settings.Record{ID: p.RecordID, Kind: doc.Kind, Key: doc.Key, Base: p.Base, Body: doc.Body()}
	appendErr := c.appendRecord(ctx, rec)
	verdict, err := c.awaitVerdict(ctx, p.RecordID)
	if err != nil {
		return p, eris.Wrapf(errors.Join(err, appendErr), "record %s was not found up to offset %d", p.RecordID, c.logEnd-1)
	}
	p.Verdict = verdict
	return p, nil
}

// appendRecord appends the record to the log. It retries only when the log
// refused the append because of its rate limit, since that append had no effect.
func (c *Client) appendRecord(ctx context.Context, rec settings.Record) error {
	for {
		err := c.appendRecordOnce(ctx, rec)
		var throttled *platform.Throttled
		if !errors.As(err, &throttled) {
			return err
		}
		if err := sleep(ctx, throttled.RetryAfter); err != nil {
			return throttled
		}
	}
}

func (c *Client) appendRecordOnce(ctx context.Context, rec settings.Record) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	_, err := c.log.Append(ctx, platform.SettingsStream, rec)
	return err
}

// awaitVerdict reads the log until it holds the verdict on the record. This also
// covers an append whose response was lost.
func (c *Client) awaitVerdict(ctx context.Context, id string) (*settings.Verdict, error) {
	for {
		status, err := c.readPage(ctx, pollWait)
		state, _ := c.fold.State()
		if v, ok := state.FindVerdict(id); ok {
			return &v, nil
		}
		if status == settings.StatusGap && c.entry != "" {
			err = c.adoptEntrySettings(ctx)
		}
		if err != nil || status != settings.StatusBehind {
			if pauseErr := sleep(ctx, retryInterval); pauseErr != nil {
				return nil, errors.Join(ErrUnconfirmed, err)
			}
		}
	}
}

// Revision is a settings record of a key.
type Revision struct {
	Offset   int64  `json:"offset"`
	TimeMS   int64  `json:"time_ms"`
	RecordID string `json:"record_id"`
	Base     int64  `json:"base"`
	// Verdict is nil for records before the snapshot that the log starts with.
	Verdict  *settings.Verdict `json:"verdict,omitempty"`
	Document json.RawMessage   `json:"document"`
}

// History returns up to limit of the latest records of a key in the log, oldest
// first.
func (c *Client) History(ctx context.Context, key string, limit int) ([]Revision, error) {
	verdicts := map[int64]settings.Verdict{}
	var revisions []Revision
	lastOffset := int64(0)
	for {
		page, err := c.log.Read(ctx, platform.SettingsStream, c.fold.Next(), pageSize, 0)
		if err != nil {
			return nil, eris.Wrap(errors.Join(ErrSettingsUnavailable, err), "reading the log")
		}
		for _, logRecord := range page.Records {
			rec, err := settings.ParseRecord(logRecord.Data)
			if err != nil || rec.Key != key || logRecord.Offset <= lastOffset {
				continue
			}
			lastOffset = logRecord.Offset
			revisions = append(revisions, Revision{Offset: logRecord.Offset, TimeMS: logRecord.TimeMS, RecordID: rec.ID, Base: rec.Base, Document: rec.Body})
			if len(revisions) > limit {
				delete(verdicts, revisions[0].Offset)
				revisions = revisions[1:]
			}
		}
		result := c.fold.ApplyPage(platform.SettingsPage(page))
		for _, v := range result.Verdicts {
			verdicts[v.Offset] = v
		}
		if result.Status != settings.StatusBehind {
			break
		}
	}
	for i, r := range revisions {
		if v, ok := verdicts[r.Offset]; ok {
			revisions[i].Verdict = &v
		}
	}
	return revisions, nil
}
