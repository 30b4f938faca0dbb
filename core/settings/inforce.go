package settings

import (
	"errors"

	"github.com/laburnumloft/laburnumloft/core/invariant"
)

// InForce holds the settings that a process acts on. Its offset never
// decreases. It is not safe for concurrent use.
type InForce struct {
	state   *State
	digest  string
	history invariant.History
}

// NewInForce returns empty settings at offset 0.
func NewInForce() *InForce {
	state := NewState()
	_, digest := state.Encode()
	return &InForce{state: state, digest: digest}
}

// Current returns the settings in force and their digest. They must not be
// changed.
func (f *InForce) Current() (*State, string) {
	return f.state, f.digest
}

// Put puts a state in force and reports whether it was newer. A state of
// the same offset with another digest gives ErrContradiction.
func (f *InForce) Put(state *State, digest string) (bool, error) {
	before, had := f.state.Offset, f.digest
	if state.Offset == before && digest != had {
		return false, ErrContradiction
	}
	if state.Offset > before {
		f.state, f.digest = state, digest
		f.history.Addf("put offset %d digest %.16s in force", state.Offset, digest)
	}
	f.history.Check(f.state.Offset >= before, "offset in force went from %d to %d", before, f.state.Offset)
	f.history.Check(f.state.Offset > before || f.digest == had, "digest at offset %d changed", before)
	return f.state.Offset > before, nil
}

func isContradiction(err error) bool {
	return errors.Is(err, ErrContradiction)
}
