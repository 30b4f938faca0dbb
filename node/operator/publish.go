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

// Change is one document to publish.
type Change struct {
	Document *settings.Document
	// Base is the offset of the revision to replace; negative means the one
	// that the log shows.
	Base int64
	// ID is the record id; empty means a new one. The id of an earlier
	// attempt settles that attempt and never changes the settings twice.
	ID string
}

// Published is the result of a change.
type Published struct {
	Key      string            `json:"key"`
	Base     int64             `json:"base"`
	RecordID string            `json:"record_id"`
	Verdict  *settings.Verdict `json:"verdict,omitempty"`
	// Problems say why the document was refused before it was appended.
	Problems settings.Problems `json:"problems,omitempty"`
}

// Accepted reports whether the change is in the log and was accepted.
func (p *Published) Accepted() bool {
	return p.Verdict != nil && p.Verdict.Accepted
}

// Publish appends a change and returns after its verdict was read back.
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
	answerErr := c.append(ctx, rec)
	verdict, err := c.readBack(ctx, p.RecordID)
	if err != nil {
		return p, eris.Wrapf(errors.Join(err, answerErr), "record %s up to offset %d", p.RecordID, c.next-1)
	}
	p.Verdict = verdict
	return p, nil
}

// append sends the record once. It repeats only an append that the log
// refused for its rate, since that one had no effect.
func (c *Client) append(ctx context.Context, rec settings.Record) error {
	for {
		err := c.appendOnce(ctx, rec)
		var throttled *platform.Throttled
		if !errors.As(err, &throttled) {
			return err
		}
		if err := pause(ctx, throttled.RetryAfter); err != nil {
			return throttled
		}
	}
}

func (c *Client) appendOnce(ctx context.Context, rec settings.Record) error {
	ctx, cancel := context.WithTimeout(ctx, requestLimit)
	defer cancel()
	_, err := c.log.Append(ctx, platform.SettingsStream, rec)
	return err
}

// readBack follows the log until it shows the verdict on the record. This
// also settles an append whose answer was lost.
func (c *Client) readBack(ctx context.Context, id string) (*settings.Verdict, error) {
	for {
		status, err := c.step(ctx, pollWait)
		state, _ := c.fold.State()
		if v, ok := state.FindVerdict(id); ok {
			return &v, nil
		}
		if status == settings.StatusGap && c.entry != "" {
			err = c.adopt(ctx)
		}
		if err != nil || status != settings.StatusBehind {
			if pauseErr := pause(ctx, retryInterval); pauseErr != nil {
				return nil, errors.Join(ErrUnsettled, err)
			}
		}
	}
}

// Revision is one record that concerns a key.
type Revision struct {
	Offset   int64  `json:"offset"`
	TimeMS   int64  `json:"time_ms"`
	RecordID string `json:"record_id"`
	Base     int64  `json:"base"`
	// Verdict is missing for records before the snapshot that the log starts
	// from.
	Verdict  *settings.Verdict `json:"verdict,omitempty"`
	Document json.RawMessage   `json:"document"`
}

// History returns the latest records of a key that the log keeps, oldest
// first.
func (c *Client) History(ctx context.Context, key string, limit int) ([]Revision, error) {
	verdicts := map[int64]settings.Verdict{}
	var revisions []Revision
	seen := int64(0)
	for {
		page, err := c.log.Read(ctx, platform.SettingsStream, c.fold.Next(), pageSize, 0)
		if err != nil {
			return nil, eris.Wrap(errors.Join(ErrSource, err), "log")
		}
		for _, logged := range page.Records {
			rec, err := settings.ParseRecord(logged.Data)
			if err != nil || rec.Key != key || logged.Offset <= seen {
				continue
			}
			seen = logged.Offset
			revisions = append(revisions, Revision{Offset: logged.Offset, TimeMS: logged.TimeMS, RecordID: rec.ID, Base: rec.Base, Document: rec.Body})
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
