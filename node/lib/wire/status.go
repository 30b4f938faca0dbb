package wire

// ServiceStatus counts the agents of one service in one region.
type ServiceStatus struct {
	Service string `json:"service"`
	// Region is empty if the service has no agent.
	Region string `json:"region"`
	Kind   string `json:"kind"`
	// Version is the intended version; empty for plain services.
	Version string `json:"version"`
	// Agents counts all agents but the Leaving ones, Serving those that serve
	// the intended version, Behind those with older settings than the entry
	// among the agents that report to it directly.
	Agents  int `json:"agents"`
	Serving int `json:"serving"`
	Behind  int `json:"behind"`
	Leaving int `json:"leaving"`
	// ChunksHeld of ChunksTotal are verified at the agents that do not serve
	// the intended version yet.
	ChunksHeld  int            `json:"chunks_held"`
	ChunksTotal int            `json:"chunks_total"`
	Problems    []AgentProblem `json:"problems,omitempty"`
}

// AgentProblem is the reason why an agent does not serve.
type AgentProblem struct {
	Agent   string `json:"agent"`
	Problem string `json:"problem"`
}
