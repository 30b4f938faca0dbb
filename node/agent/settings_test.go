package agent

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// received returns empty settings at an offset, as an entry sends them.
func received(offset int64) *rpc.SettingsState {
	state := settings.NewState()
	state.Offset = offset
	data, digest := state.Encode()
	return &rpc.SettingsState{Offset: offset, Digest: digest, State: data}
}

func (a *Agent) offsetInForce() int64 {
	state, _ := a.state.current()
	return state.Offset
}

// TestAgentNeverTakesOlderSettings guards against settings that revert at an
// agent, at its start or later, because one of its entries lags.
func TestAgentNeverTakesOlderSettings(t *testing.T) {
	c := qt.New(t)
	a := New(Config{Logger: hclog.NewNullLogger()})
	c.Assert(a.receiveSettings("lagging", received(3)), qt.IsNil)
	c.Assert(a.offsetInForce(), qt.Equals, int64(0))
	c.Assert(a.receiveSettings("current", received(7)), qt.IsNil)
	c.Assert(a.offsetInForce(), qt.Equals, int64(7))
	c.Assert(a.receiveSettings("lagging", received(5)), qt.IsNil)
	c.Assert(a.offsetInForce(), qt.Equals, int64(7))
	a.openSettingsGate()
	c.Assert(a.offsetInForce(), qt.Equals, int64(7))
}

// TestAgentRefusesDamagedSettings guards against settings that were changed
// on the way, and against two states of one offset.
func TestAgentRefusesDamagedSettings(t *testing.T) {
	c := qt.New(t)
	a := New(Config{Logger: hclog.NewNullLogger()})
	c.Assert(a.receiveSettings("one", received(3)), qt.IsNil)
	a.openSettingsGate()
	damaged := received(5)
	damaged.State[len(damaged.State)-2] ^= 1
	c.Assert(a.receiveSettings("one", damaged), qt.ErrorMatches, ".*do not match their digest")
	other := settings.NewState()
	other.Offset = 3
	other.ChangedAt["saklar"] = 2
	data, digest := other.Encode()
	c.Assert(a.receiveSettings("two", &rpc.SettingsState{Offset: 3, Digest: digest, State: data}), qt.ErrorIs, settings.ErrContradiction)
	c.Assert(a.offsetInForce(), qt.Equals, int64(3))
}
