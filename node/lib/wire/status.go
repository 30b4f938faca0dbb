package wire

// ServiceStatus counts the agents of one service in one region.
type ServiceStatus struct {
	Service string `json:"service"`
	// Region is empty if the service has no agent.
	Region string `json:"region"`
	Kind   string `json:"kind"`
	// Version is the intended version. It is empty for plain services.
	Version string `json:"version"`
	// Agents is the number of agents that are not leaving. Serving is the number
	// of agents that serve the intended version. Behind is the number of agents
	// that report directly to the entry and have older settings than it.
	Agents  int `json:"agents"`
	Serving int `json:"serving"`
	Behind  int `json:"behind"`
	Leaving int `json:"leaving"`
	// ChunksHeld and ChunksTotal are the verified and the required chunks of the
	// agents that do not serve the intended version yet.
	ChunksHeld  int            `json:"chunks_held"`
	ChunksTotal int            `json:"chunks_total"`
	Problems    []AgentProblem `json:"problems,omitempty"`
}

// AgentProblem is the reason why an agent does not serve.
type AgentProblem struct {
	Agent   string `json:"agent"`
	Problem string `json:"problem"`
}
