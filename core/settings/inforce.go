package settings

import (
	"errors"

	"github.com/laburnumloft/laburnumloft/core/invariant"
)

// InForce holds the settings that a process applies to its work. The offset
// of these settings never decreases. InForce is not safe for concurrent use.
type InForce struct {
	state   *State
	digest  string
	history invariant.History
}

// NewInForce returns an InForce with empty settings at offset 0.
func NewInForce() *InForce {
	state := NewState()
	_, digest := state.Encode()
	return &InForce{state: state, digest: digest}
}

// Current returns the settings in force and their digest. Callers must not
// change the settings.
func (f *InForce) Current() (*State, string) {
	return f.state, f.digest
}

// Update puts a state in force if it is newer than the current one and reports
// whether it was. It returns ErrContradiction for a state of the same offset
// with another digest.
func (f *InForce) Update(state *State, digest string) (bool, error) {
	oldOffset, oldDigest := f.state.Offset, f.digest
	if state.Offset == oldOffset && digest != oldDigest {
		return false, ErrContradiction
	}
	if state.Offset > oldOffset {
		f.state, f.digest = state, digest
		f.history.Addf("put offset %d digest %.16s in force", state.Offset, digest)
	}
	f.history.Check(f.state.Offset >= oldOffset, "offset in force must not decrease: was %d, is %d", oldOffset, f.state.Offset)
	f.history.Check(f.state.Offset > oldOffset || f.digest == oldDigest, "digest in force must not change at offset %d", oldOffset)
	return f.state.Offset > oldOffset, nil
}

func isContradictionError(err error) bool {
	return errors.Is(err, ErrContradiction)
}
