// Package evacuation tells the entries which availability zones the operator empties.
// What each entry believes is decided by core/evacuation.
package evacuation

import (
	"errors"
	"slices"

	core "github.com/laburnumloft/laburnumloft/core/evacuation"
	"github.com/laburnumloft/laburnumloft/node/decision"
	"github.com/laburnumloft/laburnumloft/node/gateway"
	"github.com/laburnumloft/laburnumloft/node/gossip"
	"github.com/laburnumloft/laburnumloft/node/mesh"
)

const (
	// maxNotices keeps a datagram within one packet. A deployment has 10 zones.
	maxNotices = 12
	// queueCapacity bounds the changes that wait to be sent.
	queueCapacity = 16
)

// Config configures a Sharer.
type Config struct {
	Mesh    *mesh.Mesh
	Gateway *gateway.Gateway
	Log     *decision.Log
}

// Sharer exchanges notices with the other entries.
type Sharer struct {
	*gossip.Gossiper[core.Notice]
	gateway *gateway.Gateway
}

// New returns a sharer. Run starts it.
func New(cfg Config) *Sharer {
	send := func(notices []core.Notice, limit int) error {
		var failed error
		for part := range slices.Chunk(notices, maxNotices) {
			failed = errors.Join(failed, cfg.Mesh.SendEvacuations(part, limit))
		}
		return failed
	}
	return &Sharer{gossip.New(gossip.Config[core.Notice]{
		Name: "evacuations", Capacity: queueCapacity, Log: cfg.Log, Known: cfg.Gateway.Evacuations, Send: send,
	}), cfg.Gateway}
}

// HandleNotices handles notices of another entry.
func (s *Sharer) HandleNotices(notices []core.Notice) {
	s.gateway.AdoptEvacuations(notices, "entry")
}
