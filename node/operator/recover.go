package operator

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/platform"
)

// ErrNoGap means that the log needs no recovery.
var ErrNoGap = eris.New("the log holds all settings or a usable snapshot; there is nothing to recover")

// Recover appends a snapshot of the entry's settings, or of empty ones if no
// entry was given, to a log that has dropped records which no process has.
// It returns the offset from which records count again.
func (c *Client) Recover(ctx context.Context) (int64, error) {
	status, err := c.step(ctx, 0)
	for err == nil && status == settings.StatusBehind {
		status, err = c.step(ctx, 0)
	}
	if err != nil {
		return 0, err
	}
	if status != settings.StatusGap {
		return 0, ErrNoGap
	}
	covers := c.next - 1
	if c.entry != "" {
		if err := c.adopt(ctx); err != nil {
			return 0, err
		}
	}
	state, _ := c.fold.State()
	if state.Offset >= covers {
		return 0, eris.Wrap(ErrNoGap, "the entry's settings are not older than the log; it appends a snapshot by itself")
	}
	rec := settings.NewSnapshot(state.AtOffset(covers))
	if _, err := c.log.Append(ctx, platform.SettingsStream, rec); err != nil {
		return 0, eris.Wrap(err, "the snapshot has no answer; run the command again")
	}
	return covers + 1, nil
}
