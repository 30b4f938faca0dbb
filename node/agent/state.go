package agent

import (
	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// current returns the settings in force, which must not be changed, and a
// channel that is closed at the next change.
func (s *agentState) current() (*settings.State, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings, s.changed
}

// setServing records the version that the backend server confirmed.
func (s *agentState) setServing(version string) {
	s.mu.Lock()
	s.version, s.versionState, s.problem = version, "serving", ""
	s.mu.Unlock()
	s.wakeReport()
}

// setVersion records the served version, which may be empty, and the state
// of the intended one.
func (s *agentState) setVersion(served, intended, state, problem string) {
	s.mu.Lock()
	changed := s.version != served || s.versionState != state || s.problem != problem
	s.version, s.intended, s.versionState, s.problem = served, intended, state, problem
	s.mu.Unlock()
	if changed {
		s.wakeReport()
	}
}

// setChunks records how many chunks of the intended version are held.
func (s *agentState) setChunks(held, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chunksHeld, s.chunksTotal = held, total
}

func (s *agentState) leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.wakeReport()
}

// wakeReport makes the next report go out at once.
func (s *agentState) wakeReport() {
	select {
	case s.reportChanged <- struct{}{}:
	default:
	}
}

// admissionGate decides whether the backend server may answer requests for
// a version at this moment.
type admissionGate interface {
	admit() (version string, ok bool)
	runs(version string) bool
	release()
}

// admit counts a request in if the backend server serves a version, and
// returns that version.
func (s *agentState) admit() (version string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || s.gate == nil {
		return "", false
	}
	if version, ok = s.gate.admit(); ok {
		s.running++
	}
	return version, ok
}

// runs reports whether the backend server is confirmed to run the version,
// also while it is being retired.
func (s *agentState) runs(version string) bool {
	return s.gate.runs(version)
}

func (s *agentState) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.gate.release()
}

// report returns the next report of the agent.
func (a *Agent) report() *rpc.MemberReport {
	s := a.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	state := rpc.AgentState_STARTING
	if s.versionState == "serving" || s.gate != nil && s.version != "" {
		state = rpc.AgentState_SERVING
	}
	if s.leaving {
		state = rpc.AgentState_LEAVING
	}
	return &rpc.MemberReport{
		Id: a.cfg.ID, Incarnation: a.incarnation, Sequence: s.sequence, Address: a.cfg.Listen,
		Region: a.cfg.Region, Zone: a.cfg.Zone, Service: a.cfg.Service, State: state,
		Version: s.version, ChunksHeld: uint32(s.chunksHeld), ChunksTotal: uint32(s.chunksTotal),
		Running: uint32(s.running), Problem: s.problem, VersionState: s.versionState,
		IntendedVersion: s.intended, SettingsOffset: s.settings.Offset,
	}
}
