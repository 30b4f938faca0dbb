package operator

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/platform"
)

// ErrNoGap means that the log has no gap, so that Recover is not needed.
var ErrNoGap = eris.New("the log holds all settings or a usable snapshot; there is nothing to recover")

// Recover repairs a log that has dropped settings records and holds no usable
// snapshot of them, if the entry does not hold them either. It appends a snapshot
// of the entry's settings, or of empty settings if the client has no entry. It
// returns the offset from which records take effect again.
func (c *Client) Recover(ctx context.Context) (int64, error) {
	status, err := c.readPage(ctx, 0)
	for err == nil && status == settings.StatusBehind {
		status, err = c.readPage(ctx, 0)
	}
	if err != nil {
		return 0, err
	}
	if status != settings.StatusGap {
		return 0, ErrNoGap
	}
	coveredOffset := c.logEnd - 1
	if c.entry != "" {
		if err := c.adoptEntrySettings(ctx); err != nil {
			return 0, err
		}
	}
	state, _ := c.fold.State()
	if state.Offset >= coveredOffset {
		return 0, eris.Wrap(ErrNoGap, "the settings of the entry cover the whole log; the entry appends a snapshot by itself")
	}
	rec := settings.NewSnapshot(state.AtOffset(coveredOffset))
	if _, err := c.log.Append(ctx, platform.SettingsStream, rec); err != nil {
		return 0, eris.Wrap(err, "the result of appending the snapshot is unknown; run the command again")
	}
	return coveredOffset + 1, nil
}
