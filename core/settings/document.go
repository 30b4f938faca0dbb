package settings

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
	Name     string    `json:"name" yaml:"name"`
	Services []Service `json:"services" yaml:"services"`
}

// Service describes one service and the version that its engines run.
type Service struct {
	Name string `json:"name" yaml:"name"`
	Kind Kind   `json:"kind" yaml:"kind"`
	// Model, Version and Manifest (SHA-256 of the manifest in hexadecimal)
	// are set for engines only.
	Model    string `json:"model,omitempty" yaml:"model,omitempty"`
	Version  string `json:"version,omitempty" yaml:"version,omitempty"`
	Manifest string `json:"manifest,omitempty" yaml:"manifest,omitempty"`
	// ChecksFence says that the backend servers refuse orders with an old
	// fencing number.
	ChecksFence bool `json:"checks_fence,omitempty" yaml:"checks_fence,omitempty"`
	// Regions limits the service to these regions; empty means all.
	Regions      []string      `json:"regions,omitempty" yaml:"regions,omitempty"`
	Objective    Objective     `json:"objective,omitempty" yaml:"objective,omitempty"`
	OriginRegion string        `json:"origin_region,omitempty" yaml:"origin_region,omitempty"`
	Methods      []Method      `json:"methods,omitempty" yaml:"methods,omitempty"`
	Rollout      *RolloutStart `json:"rollout,omitempty" yaml:"rollout,omitempty"`
}

// Method describes a method of a plain service.
type Method struct {
	Name       string `json:"name" yaml:"name"`
	Idempotent bool   `json:"idempotent,omitempty" yaml:"idempotent,omitempty"`
	TimeoutMS  int    `json:"timeout_ms,omitempty" yaml:"timeout_ms,omitempty"`
}

// RolloutStart is the local time of day at which a new version starts to
// load. Without it a rollout starts at once.
type RolloutStart struct {
	// At is a time of day such as "18:00".
	At string `json:"at" yaml:"at"`
	// TimeZone is an IANA time zone name such as "Europe/Lisbon".
	TimeZone string `json:"time_zone" yaml:"time_zone"`
}

// Parameters are the values of one workspace.
type Parameters struct {
	Workspace string `json:"workspace" yaml:"workspace"`
	Template  string `json:"template" yaml:"template"`
	// Services are the services that the workspace may use; empty means all
	// services of the template.
	Services []string `json:"services,omitempty" yaml:"services,omitempty"`
	// Regions limits where requests of the workspace are served.
	Regions []string `json:"regions,omitempty" yaml:"regions,omitempty"`
	// Versions override the version of a service.
	Versions []VersionOverride `json:"versions,omitempty" yaml:"versions,omitempty"`
	// Share is the weight of the workspace in fair queueing; 0 means 1.
	Share int `json:"share,omitempty" yaml:"share,omitempty"`
	// MaxQueued bounds the requests that wait per entry; 0 means the default.
	MaxQueued int `json:"max_queued,omitempty" yaml:"max_queued,omitempty"`
}

// VersionOverride replaces the version that the template gives a service.
type VersionOverride struct {
	Service  string `json:"service" yaml:"service"`
	Model    string `json:"model" yaml:"model"`
	Version  string `json:"version" yaml:"version"`
	Manifest string `json:"manifest" yaml:"manifest"`
}
