// Package wire holds the JSON shapes of the interfaces that callers,
// agents, backend servers and the platform share.
package wire

import "encoding/json"

// ErrorKind classifies an error that a caller sees.
type ErrorKind string

// Kinds of errors.
const (
	ErrorBadRequest  ErrorKind = "bad_request"
	ErrorForbidden   ErrorKind = "forbidden"
	ErrorNotFound    ErrorKind = "not_found"
	ErrorTooLarge    ErrorKind = "too_large"
	ErrorOverloaded  ErrorKind = "overloaded"
	ErrorUnavailable ErrorKind = "unavailable"
	ErrorLeaving     ErrorKind = "leaving"
	ErrorUpstream    ErrorKind = "upstream"
	ErrorTimeout     ErrorKind = "timeout"
	ErrorCancelled   ErrorKind = "cancelled"
	ErrorConflict    ErrorKind = "conflict"
)

// RunStatus says whether a refused or broken call had an effect.
type RunStatus string

// Run statuses.
const (
	RunNotRun  RunStatus = "not_run"
	RunUnknown RunStatus = "unknown"
)

// Error is the error object of every interface.
type Error struct {
	Kind      ErrorKind `json:"kind"`
	Message   string    `json:"message"`
	RequestID string    `json:"request_id,omitempty"`
	Run       RunStatus `json:"run,omitempty"`
	// RetryAfterMS is the earliest time for a new attempt in milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Load is set between agent and entry only.
	Load *Load `json:"load,omitempty"`
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Request is what a caller asks of a model engine's service.
type Request struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	// Priority is 0 (lowest) to 9.
	Priority   int   `json:"priority"`
	Stream     bool  `json:"stream"`
	DeadlineMS int64 `json:"deadline_ms"`
}

// Answer is a whole answer that was not streamed.
type Answer struct {
	RequestID string `json:"request_id"`
	Version   string `json:"version"`
	Text      string `json:"text"`
	Tokens    int    `json:"tokens"`
	// End is true in every whole answer.
	End bool `json:"end"`
}

// AgentRequest is a request on its way from an entry to an agent.
type AgentRequest struct {
	RequestID string `json:"request_id"`
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	// Version is the version that the entry routed for.
	Version   string `json:"version"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	// DeadlineMS is the time left for the whole answer in milliseconds.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
}

// Frame is one line of a streamed answer between agent and entry. The data
// of the server-sent events to callers are the objects in it. Exactly one of
// the pointers is set.
type Frame struct {
	// RequestID is the request that the frame answers, on every frame.
	RequestID string `json:"request_id"`
	Start     *Start `json:"start,omitempty"`
	Token     *Token `json:"token,omitempty"`
	End       *End   `json:"end,omitempty"`
	Error     *Error `json:"error,omitempty"`
}

// Start opens a streamed answer.
type Start struct {
	RequestID string `json:"request_id"`
	Version   string `json:"version"`
	// Load is set between agent and entry only.
	Load *Load `json:"load,omitempty"`
}

// Load is what an agent states about its backend server on an answer.
type Load struct {
	// Running and Queued are the requests at the agent.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Limit is how many requests the agent runs at once.
	Limit int `json:"limit"`
}

// Token is one generated token.
type Token struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// End closes a whole answer. A stream without it was cut.
type End struct {
	RequestID string `json:"request_id"`
	Version   string `json:"version"`
	Tokens    int    `json:"tokens"`
	Finish    string `json:"finish"`
	// Load is set between agent and entry only.
	Load *Load `json:"load,omitempty"`
}

// Discovery answers the question which entry to use.
type Discovery struct {
	TTLMS   int64            `json:"ttl_ms"`
	Entries []DiscoveryEntry `json:"entries"`
}

// DiscoveryEntry is one entry that a caller may use.
type DiscoveryEntry struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
}

// Fence is a fencing number: a larger offset wins, then a later start.
type Fence struct {
	Offset  int64 `json:"offset"`
	StartMS int64 `json:"start_ms"`
}

// LoadOrder tells a model engine to load a version.
type LoadOrder struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// Digest is the SHA-256 over all bytes of the version in hexadecimal.
	Digest string `json:"digest"`
	Fence  Fence  `json:"fence"`
	// Source is the URL from which the engine reads the bytes.
	Source string `json:"source"`
}

// EngineState is the state of a model engine.
type EngineState string

// States of a model engine.
const (
	EngineEmpty   EngineState = "empty"
	EngineLoading EngineState = "loading"
	EngineReady   EngineState = "ready"
	EngineFailed  EngineState = "failed"
)

// EngineStatus is what a model engine says of itself.
type EngineStatus struct {
	Model   string      `json:"model"`
	Version string      `json:"version"`
	Digest  string      `json:"digest"`
	State   EngineState `json:"state"`
	Fence   Fence       `json:"fence"`
	Running int         `json:"running"`
	Queued  int         `json:"queued"`
}

// GenerateRequest asks a model engine for tokens.
type GenerateRequest struct {
	RequestID string `json:"request_id"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
}

// GenerateFrame is one line of a model engine's answer.
type GenerateFrame struct {
	// RequestID is optional; an engine that states it lets the agent detect
	// tokens of another request.
	RequestID string       `json:"request_id,omitempty"`
	Token     *string      `json:"token,omitempty"`
	End       *GenerateEnd `json:"end,omitempty"`
	Error     string       `json:"error,omitempty"`
}

// GenerateEnd closes a model engine's answer.
type GenerateEnd struct {
	Tokens  int    `json:"tokens"`
	Version string `json:"version"`
}

// CancelRequest cancels a request at a model engine.
type CancelRequest struct {
	RequestID string `json:"request_id"`
}

// MemberRole is the role of a VM in the membership list.
type MemberRole string

// Roles of VMs.
const (
	RoleEntry MemberRole = "entry"
	RoleAgent MemberRole = "agent"
)

// MemberState is the state of a VM in the membership list.
type MemberState string

// States of VMs.
const (
	MemberLive    MemberState = "live"
	MemberLeaving MemberState = "leaving"
)

// Member is one VM of the platform's membership list.
type Member struct {
	ID      string     `json:"id"`
	Role    MemberRole `json:"role"`
	Address string     `json:"address"`
	// PeerAddress is the internal address of an entry.
	PeerAddress string      `json:"peer_address,omitempty"`
	Region      string      `json:"region"`
	Zone        string      `json:"zone"`
	Service     string      `json:"service,omitempty"`
	State       MemberState `json:"state"`
}

// Members is the platform's membership list.
type Members struct {
	Version int64    `json:"version"`
	Members []Member `json:"members"`
}

// Settings are the settings in force at an entry.
type Settings struct {
	Offset int64 `json:"offset"`
	// Digest is the SHA-256 of State in hexadecimal.
	Digest string          `json:"digest"`
	State  json.RawMessage `json:"state"`
}

// LogAppend is the answer to an append.
type LogAppend struct {
	Offset int64 `json:"offset"`
}

// LogRecord is one record of a log stream. Data is the JSON that was appended.
type LogRecord struct {
	Offset int64  `json:"offset"`
	TimeMS int64  `json:"time_ms"`
	Data   []byte `json:"data"`
}

// LogPage is a part of a log stream.
type LogPage struct {
	Records []LogRecord `json:"records"`
	// Oldest is the first offset that the log still keeps.
	Oldest int64 `json:"oldest"`
	// Next is the offset after the last record of the log.
	Next int64 `json:"next"`
}
