// Package evacuation tells the entries which availability zones the operator empties.
// What each entry believes is decided by core/evacuation.
package evacuation

import (
	"context"
	"time"

	core "github.com/laburnumloft/laburnumloft/core/evacuation"
	"github.com/laburnumloft/laburnumloft/node/decision"
	"github.com/laburnumloft/laburnumloft/node/gateway"
	"github.com/laburnumloft/laburnumloft/node/lib/ring"
	"github.com/laburnumloft/laburnumloft/node/mesh"
)

const (
	// gossipInterval is the time between two rounds in which an entry repeats what it
	// knows to gossipFanout others, for those that missed the first datagram. With three
	// of them a round, 410 entries know a change after about 3 s.
	gossipInterval = 500 * time.Millisecond
	gossipFanout   = 3
	// maxNotices keeps a datagram within one packet. A deployment has 10 zones.
	maxNotices = 12
	// queueCapacity bounds the changes that wait to be sent. The rounds repeat what is
	// dropped.
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
	cfg     Config
	changes *ring.Ring[[]core.Notice]
}

// New returns a sharer. Run starts it.
func New(cfg Config) *Sharer {
	return &Sharer{cfg: cfg, changes: ring.New[[]core.Notice]("evacuations", queueCapacity, ring.Refuse)}
}

// Announce tells all other entries of a change. It doesn't block.
func (s *Sharer) Announce(notices []core.Notice) {
	if !s.changes.Push(context.Background(), notices) {
		s.cfg.Log.Event("evacuations_dropped", "notices", len(notices))
	}
}

// HandleNotices handles notices of another entry.
func (s *Sharer) HandleNotices(notices []core.Notice) {
	s.cfg.Gateway.AdoptEvacuations(notices, "entry")
}

// Run sends changes and repeats what is known until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	tick := time.NewTicker(gossipInterval)
	defer tick.Stop()
	for {
		select {
		case notices := <-s.changes.Items():
			s.send(notices, 0)
		case <-tick.C:
			s.send(s.cfg.Gateway.Evacuations(), gossipFanout)
		case <-ctx.Done():
			return
		}
	}
}

// send sends notices to all other entries, or to limit of them chosen at random.
func (s *Sharer) send(notices []core.Notice, limit int) {
	for len(notices) > 0 {
		n := min(len(notices), maxNotices)
		if err := s.cfg.Mesh.SendEvacuations(notices[:n], limit); err != nil {
			s.cfg.Log.Event("evacuations_unsent", "notices", n, "cause", err.Error())
		}
		notices = notices[n:]
	}
}
