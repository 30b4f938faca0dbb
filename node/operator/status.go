package operator

import (
	"context"

	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// Status is the convergence of the fleet as an entry reports it.
type Status struct {
	Entry          string               `json:"entry"`
	SettingsOffset int64                `json:"settings_offset"`
	SettingsDigest string               `json:"settings_digest"`
	Services       []wire.ServiceStatus `json:"services"`
	Converged      bool                 `json:"converged"`
}

// Status requests the status from the entry.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	var s Status
	if err := c.get(ctx, "/v1/status", &s); err != nil {
		return nil, err
	}
	s.Converged = s.SettingsOffset > 0
	for _, row := range s.Services {
		if row.Agents == 0 || row.Serving < row.Agents || row.Behind > 0 {
			s.Converged = false
		}
	}
	return &s, nil
}
