// Package wire defines the JSON messages between callers, entries, agents, backend
// servers and the platform.
package wire

import "encoding/json"

// ErrorKind classifies an error that is returned to a caller.
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

// RunStatus states whether a refused or failed call may have had an effect.
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
	// RetryAfterMS is the time to wait before a new attempt in milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Load is set between agent and entry only.
	Load *Load `json:"load,omitempty"`
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Request is a caller's request to the service of a model engine.
type Request struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	// Priority is 0 (lowest) to 9.
	Priority   int   `json:"priority"`
	Stream     bool  `json:"stream"`
	DeadlineMS int64 `json:"deadline_ms"`
}

// Answer is a complete answer that is not streamed.
type Answer struct {
	RequestID string `json:"request_id"`
	Version   string `json:"version"`
	Text      string `json:"text"`
	Tokens    int    `json:"tokens"`
	// End is true in every complete answer.
	End bool `json:"end"`
}

// AgentRequest is a request from an entry to an agent.
type AgentRequest struct {
	RequestID string `json:"request_id"`
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	// Version is the version that the entry routed the request to.
	Version   string `json:"version"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	// DeadlineMS is the remaining time for the complete answer in milliseconds.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
}

// Frame is one line of a streamed answer from an agent to an entry. Exactly one of
// the pointers is set; the entry sends the object it points to as the data of a
// server-sent event to the caller.
type Frame struct {
	// RequestID is the id of the request that the frame belongs to. It is set in
	// every frame.
	RequestID string `json:"request_id"`
	Start     *Start `json:"start,omitempty"`
	Token     *Token `json:"token,omitempty"`
	End       *End   `json:"end,omitempty"`
	Error     *Error `json:"error,omitempty"`
}

// Start is the first object of a streamed answer.
type Start struct {
	RequestID string `json:"request_id"`
	Version   string `json:"version"`
	// Load is set between agent and entry only.
	Load *Load `json:"load,omitempty"`
}

// Load is the load of an agent and its backend server, reported in an answer.
type Load struct {
	// Running and Queued are the numbers of running and queued requests at the
	// agent.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Limit is the maximum number of requests that the agent runs concurrently.
	Limit int `json:"limit"`
	// PausedMS is for how many milliseconds the backend server takes no requests,
	// because it limits its rate, wants none, or is leaving.
	PausedMS int64 `json:"paused_ms,omitempty"`
}

// Token is one generated token.
type Token struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// End is the last object of a complete answer. A stream without it is truncated.
type End struct {
	RequestID string `json:"request_id"`
	Version   string `json:"version"`
	Tokens    int    `json:"tokens"`
	Finish    string `json:"finish"`
	// Load is set between agent and entry only.
	Load *Load `json:"load,omitempty"`
}

// Discovery is the list of entries that a caller may use.
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

// Fence is a fencing number. The fence with the larger offset takes precedence; if
// the offsets are equal, the one with the later start.
type Fence struct {
	Offset  int64 `json:"offset"`
	StartMS int64 `json:"start_ms"`
}

// LoadOrder orders a model engine to load a version.
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

// EngineStatus is the status that a model engine reports.
type EngineStatus struct {
	Model   string      `json:"model"`
	Version string      `json:"version"`
	Digest  string      `json:"digest"`
	State   EngineState `json:"state"`
	Fence   Fence       `json:"fence"`
	Running int         `json:"running"`
	Queued  int         `json:"queued"`
}

// GenerateRequest is a request to a model engine to generate tokens.
type GenerateRequest struct {
	RequestID string `json:"request_id"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
}

// GenerateFrame is one line of a model engine's answer.
type GenerateFrame struct {
	// RequestID is optional. If the engine sets it, the agent can detect tokens
	// of another request.
	RequestID string       `json:"request_id,omitempty"`
	Token     *string      `json:"token,omitempty"`
	End       *GenerateEnd `json:"end,omitempty"`
	Error     string       `json:"error,omitempty"`
}

// GenerateEnd is the last object of a model engine's answer.
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

// LogAppend is the response to an append.
type LogAppend struct {
	Offset int64 `json:"offset"`
	// Era is the number of the log's era.
	Era int64 `json:"era,omitempty"`
}

// LogRecord is one record of a log stream. Data is the JSON that was appended.
type LogRecord struct {
	Offset int64  `json:"offset"`
	TimeMS int64  `json:"time_ms"`
	Data   []byte `json:"data"`
}

// LogPage is the response to a read of a log stream.
type LogPage struct {
	Records []LogRecord `json:"records"`
	// Oldest is the smallest offset that the log still keeps.
	Oldest int64 `json:"oldest"`
	// Next is the offset after the last record of the log.
	Next int64 `json:"next"`
	// Era is the number of the log's era, which rises when the log comes back from a
	// copy and gives offsets out again. EraBeganMS is the time of that on the log's
	// clock, in Unix milliseconds; records of later times have not been lost.
	Era        int64 `json:"era,omitempty"`
	EraBeganMS int64 `json:"era_began_ms,omitempty"`
}
