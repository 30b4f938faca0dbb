package agent

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// A starting agent waits for the settings of settingsGateEntries entries, or
// settingsGateWait after the first. One entry alone may lag behind what the
// agent's previous incarnation had in force.
const (
	settingsGateEntries = 2
	settingsGateWait    = time.Second
)

// settingsGate holds back the first settings of an agent.
type settingsGate struct {
	mu       sync.Mutex
	open     bool
	answered map[string]bool
	newest   *settings.State
	digest   string
}

// receiveSettings takes the settings in an entry's answer. They are put in
// force if they are newer.
func (a *Agent) receiveSettings(entryID string, received *rpc.SettingsState) error {
	if received == nil {
		return nil
	}
	state, err := decodeSettings(received)
	if err != nil {
		return err
	}
	gate := &a.state.settingsGate
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if gate.open {
		return a.putInForce(state, received.GetDigest())
	}
	if len(gate.answered) == 0 {
		gate.answered = map[string]bool{}
		time.AfterFunc(settingsGateWait, a.openSettingsGate)
	}
	gate.answered[entryID] = true
	if gate.newest == nil || state.Offset > gate.newest.Offset {
		gate.newest, gate.digest = state, received.GetDigest()
	}
	if len(gate.answered) < settingsGateEntries {
		return nil
	}
	gate.open = true
	return a.putInForce(gate.newest, gate.digest)
}

// openSettingsGate puts the newest settings in force that were received.
func (a *Agent) openSettingsGate() {
	gate := &a.state.settingsGate
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if gate.open {
		return
	}
	gate.open = true
	if err := a.putInForce(gate.newest, gate.digest); err != nil {
		a.logger.Named("settings").Error("settings were not put in force", "error", err)
	}
}

func (a *Agent) putInForce(state *settings.State, digest string) error {
	newer, err := a.state.applySettings(state, digest)
	if err != nil {
		return eris.Wrapf(err, "settings at offset %d", state.Offset)
	}
	if newer {
		a.logger.Named("settings").Info("settings in force", "offset", state.Offset)
	}
	return nil
}

// decodeSettings checks the digest over the received bytes, so that an agent
// also takes the settings of an entry whose version knows more fields.
func decodeSettings(received *rpc.SettingsState) (*settings.State, error) {
	sum := sha256.Sum256(received.GetState())
	if hex.EncodeToString(sum[:]) != received.GetDigest() {
		return nil, eris.Errorf("settings at offset %d do not match their digest", received.GetOffset())
	}
	var state settings.State
	if err := json.Unmarshal(received.GetState(), &state); err != nil {
		return nil, eris.Wrap(err, "decoding settings")
	}
	if state.Offset != received.GetOffset() {
		return nil, eris.Errorf("settings are at offset %d instead of %d", state.Offset, received.GetOffset())
	}
	return &state, nil
}

// applySettings puts a state in force and reports whether it was newer.
func (s *agentState) applySettings(state *settings.State, digest string) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newer, err := s.inForce.Update(state, digest)
	if !newer || err != nil {
		return false, err
	}
	s.settings = state
	close(s.changed)
	s.changed = make(chan struct{})
	return true, nil
}
