package settings

import "slices"

// Kind is the kind of a backend server that a service runs on.
type Kind string

// Kinds of backend servers.
const (
	KindEngine Kind = "engine"
	KindPlain  Kind = "plain"
)

// Objective is what a deployment weighs more during a rollout.
type Objective string

// Objectives of a rollout.
const (
	// ObjectiveOrigin draws as few bytes from the origin as possible.
	ObjectiveOrigin Objective = "origin"
	// ObjectiveTime accepts up to four origin copies for an earlier end.
	ObjectiveTime Objective = "time"
)

// Template describes the services of a deployment.
type Template struct {
	Name     string    `json:"name"`
	Services []Service `json:"services"`
}

// Service describes one service and the version that its engines run.
type Service struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Model, Version and Manifest (SHA-256 of the manifest in hexadecimal)
	// are set for engines only.
	Model    string `json:"model,omitempty"`
	Version  string `json:"version,omitempty"`
	Manifest string `json:"manifest,omitempty"`
	// ChecksFence says that the backend servers refuse orders with an old
	// fencing number.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// Regions limits the service to these regions; empty means all.
	Regions      []string      `json:"regions,omitempty"`
	Objective    Objective     `json:"objective,omitempty"`
	OriginRegion string        `json:"origin_region,omitempty"`
	Methods      []Method      `json:"methods,omitempty"`
	Rollout      *RolloutStart `json:"rollout,omitempty"`
}

// Method describes a method of a plain service.
type Method struct {
	Name       string `json:"name"`
	Idempotent bool   `json:"idempotent,omitempty"`
	TimeoutMS  int    `json:"timeout_ms,omitempty"`
}

// RolloutStart is the local time of day at which a new version starts to
// load. Without it a rollout starts at once.
type RolloutStart struct {
	// At is a time of day such as "18:00".
	At string `json:"at"`
	// TimeZone is an IANA time zone name such as "Europe/Lisbon".
	TimeZone string `json:"time_zone"`
}

// Parameters are the values of one workspace.
type Parameters struct {
	Workspace string `json:"workspace"`
	Template  string `json:"template"`
	// Services are the services that the workspace may use; empty means all
	// services of the template.
	Services []string `json:"services,omitempty"`
	// Regions limits where requests of the workspace are served.
	Regions []string `json:"regions,omitempty"`
	// Versions override the version of a service.
	Versions []VersionOverride `json:"versions,omitempty"`
	// Share is the weight of the workspace in fair queueing; 0 means 1.
	Share int `json:"share,omitempty"`
	// MaxQueued bounds the requests that wait per entry; 0 means the default.
	MaxQueued int `json:"max_queued,omitempty"`
}

// VersionOverride replaces the version that the template gives a service.
type VersionOverride struct {
	Service  string `json:"service"`
	Model    string `json:"model"`
	Version  string `json:"version"`
	Manifest string `json:"manifest"`
}

// Revision is an accepted document and where it stands in the log.
type Revision[T any] struct {
	Offset   int64  `json:"offset"`
	RecordID string `json:"record_id"`
	Document T      `json:"document"`
}

// State is the fold of all accepted records up to Offset. Its JSON encoding
// is canonical: map keys are sorted.
type State struct {
	Offset     int64                           `json:"offset"`
	Templates  map[string]Revision[Template]   `json:"templates"`
	Parameters map[string]Revision[Parameters] `json:"parameters"`
}

// NewState returns an empty state at offset 0.
func NewState() *State {
	return &State{
		Templates:  map[string]Revision[Template]{},
		Parameters: map[string]Revision[Parameters]{},
	}
}

// Service returns the service with all overrides applied and the offset of
// the revision that last changed it.
func (s *State) Service(name string) (svc Service, offset int64, ok bool) {
	for _, rev := range s.Templates {
		for _, candidate := range rev.Document.Services {
			if candidate.Name == name {
				svc, offset, ok = candidate, rev.Offset, true
			}
		}
	}
	if !ok {
		return Service{}, 0, false
	}
	for _, rev := range s.Parameters {
		for _, o := range rev.Document.Versions {
			if o.Service == name {
				svc.Model, svc.Version, svc.Manifest = o.Model, o.Version, o.Manifest
				offset = max(offset, rev.Offset)
			}
		}
	}
	return svc, offset, true
}

// Workspace returns the parameters of a workspace.
func (s *State) Workspace(name string) (Parameters, bool) {
	rev, ok := s.Parameters[name]
	return rev.Document, ok
}

// MayUse reports whether the workspace exists and may use the service.
func (s *State) MayUse(workspace, service string) bool {
	params, ok := s.Workspace(workspace)
	if !ok {
		return false
	}
	if len(params.Services) > 0 {
		return slices.Contains(params.Services, service)
	}
	for _, svc := range s.Templates[params.Template].Document.Services {
		if svc.Name == service {
			return true
		}
	}
	return false
}
