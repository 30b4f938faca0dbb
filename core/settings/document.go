package settings

// Kind is the kind of backend server that a service runs on.
type Kind string

// Kinds of backend servers.
const (
	KindEngine Kind = "engine"
	KindPlain  Kind = "plain"
)

// Objective selects what a rollout optimises.
type Objective string

// Objectives of a rollout.
const (
	// ObjectiveOrigin minimises the bytes that are fetched from the origin.
	ObjectiveOrigin Objective = "origin"
	// ObjectiveTime minimises the duration of the rollout, at the cost of up
	// to four copies from the origin.
	ObjectiveTime Objective = "time"
)

// Template describes the services of a deployment.
type Template struct {
	Name     string    `json:"name" yaml:"name"`
	Services []Service `json:"services" yaml:"services"`
}

// Service describes one service and, for engines, the version to run.
type Service struct {
	Name string `json:"name" yaml:"name"`
	Kind Kind   `json:"kind" yaml:"kind"`
	// Model, Version and Manifest (SHA-256 of the manifest in hexadecimal)
	// are set for engines only.
	Model    string `json:"model,omitempty" yaml:"model,omitempty"`
	Version  string `json:"version,omitempty" yaml:"version,omitempty"`
	Manifest string `json:"manifest,omitempty" yaml:"manifest,omitempty"`
	// ChecksFence states that the backend servers refuse orders with an
	// outdated fencing number.
	ChecksFence bool `json:"checks_fence,omitempty" yaml:"checks_fence,omitempty"`
	// Regions are the regions that serve the service; empty means all.
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

// RolloutStart is the local time of day at which the rollout of a new
// version starts. A service without it starts its rollouts immediately.
type RolloutStart struct {
	// At is a time of day such as "18:00".
	At string `json:"at" yaml:"at"`
	// TimeZone is an IANA time zone name such as "Europe/Lisbon".
	TimeZone string `json:"time_zone" yaml:"time_zone"`
}

// Parameters are the settings of one workspace.
type Parameters struct {
	Workspace string `json:"workspace" yaml:"workspace"`
	Template  string `json:"template" yaml:"template"`
	// Services are the services that the workspace may use; empty means all
	// services of the template.
	Services []string `json:"services,omitempty" yaml:"services,omitempty"`
	// Regions are the regions that serve requests of the workspace; empty
	// means all.
	Regions []string `json:"regions,omitempty" yaml:"regions,omitempty"`
	// Versions replace the versions that the template gives services.
	Versions []VersionOverride `json:"versions,omitempty" yaml:"versions,omitempty"`
	// Share is the weight of the workspace in fair queueing; 0 means 1.
	Share int `json:"share,omitempty" yaml:"share,omitempty"`
	// MaxQueued is the largest number of queued requests per entry; 0 means
	// the default.
	MaxQueued int `json:"max_queued,omitempty" yaml:"max_queued,omitempty"`
}

// VersionOverride replaces the version that the template gives a service.
type VersionOverride struct {
	Service  string `json:"service" yaml:"service"`
	Model    string `json:"model" yaml:"model"`
	Version  string `json:"version" yaml:"version"`
	Manifest string `json:"manifest" yaml:"manifest"`
}
