package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// Settings stream and polling.
const (
	settingsStream   = "settings"
	settingsPageSize = 256
	settingsPollWait = 20 * time.Second
	settingsRetry    = 500 * time.Millisecond
)

// settingsStore holds the settings in force and wakes waiting readers when
// they change.
type settingsStore struct {
	mu      sync.Mutex
	state   *settings.State
	encoded *rpc.SettingsState
	changed chan struct{}
}

func newSettingsStore() *settingsStore {
	s := &settingsStore{changed: make(chan struct{})}
	s.publish(settings.NewState())
	return s
}

// publish puts a copy of the state in force.
func (s *settingsStore) publish(state *settings.State) {
	// The state holds only maps, strings and numbers, which always encode.
	data, _ := json.Marshal(state)
	var inForce settings.State
	_ = json.Unmarshal(data, &inForce)
	sum := sha256.Sum256(data)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = &inForce
	s.encoded = &rpc.SettingsState{Offset: state.Offset, Digest: hex.EncodeToString(sum[:]), State: data}
	close(s.changed)
	s.changed = make(chan struct{})
}

// current returns the settings in force, which must not be changed, and a
// channel that is closed at the next change.
func (s *settingsStore) current() (*settings.State, *rpc.SettingsState, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state, s.encoded, s.changed
}

// tailSettings folds the settings log for as long as ctx lasts.
func (e *Entry) tailSettings(ctx context.Context) {
	logger := e.logger.Named("settings")
	state := settings.NewState()
	for ctx.Err() == nil {
		page, err := e.log.Read(ctx, settingsStream, state.Offset+1, settingsPageSize, settingsPollWait)
		if err != nil {
			logger.Warn("log read failed", "error", err)
			sleep(ctx, settingsRetry)
			continue
		}
		for _, rec := range page.Records {
			verdict := state.Apply(rec.Offset, rec.Data)
			logger.Info("settings record folded", "offset", rec.Offset, "accepted", verdict.Accepted, "reason", verdict.Reason)
		}
		if len(page.Records) > 0 {
			e.settings.publish(state)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
