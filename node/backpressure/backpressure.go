// Package backpressure exchanges between the entries what backend servers in need
// say, and the permits for servers that limit their rate. The decisions are made by
// core/backpressure.
package backpressure

import (
	"math/rand/v2"

	core "github.com/laburnumloft/laburnumloft/core/backpressure"
	"github.com/laburnumloft/laburnumloft/node/decision"
	"github.com/laburnumloft/laburnumloft/node/gateway"
	"github.com/laburnumloft/laburnumloft/node/gossip"
	"github.com/laburnumloft/laburnumloft/node/mesh"
)

const (
	// maxNoticesPerDatagram keeps a datagram within one packet.
	maxNoticesPerDatagram = 6
	// joinGreeters is how many entries on average tell one that starts what they know.
	joinGreeters = 5
	// assumedEntries is how many other entries may exist until the list of members
	// has been read.
	assumedEntries = 20
	// queueCapacity bounds the notices that wait to be sent. More of them would mean
	// that most servers of a fleet change at once.
	queueCapacity = 64
)

// Config configures a Sharer.
type Config struct {
	Mesh    *mesh.Mesh
	Gateway *gateway.Gateway
	Log     *decision.Log
	// Self is this entry's id; Ready reports whether it accepts callers.
	Self  string
	Ready func() bool
	// MembersKnown reports whether the list of members has been read.
	MembersKnown func() bool
}

// Sharer exchanges notices and permits with the other entries.
type Sharer struct {
	*gossip.Gossiper[core.Notice]
	cfg Config
}

// New returns a sharer. Run starts it.
func New(cfg Config) *Sharer {
	return &Sharer{gossip.New(gossip.Config[core.Notice]{
		Name: "server_notices", Capacity: queueCapacity, Log: cfg.Log,
		Known: func() []core.Notice { return someNotices(cfg.Gateway.ServerNotices()) },
		Send: func(notices []core.Notice, limit int) error {
			return cfg.Mesh.SendServerNotices(notices, limit, func(mesh.Member) bool { return true })
		},
	}), cfg}
}

// Membership returns this entry's view of the entries.
func (s *Sharer) Membership() core.Membership {
	ready, live, known := s.cfg.Mesh.EntryCounts()
	if !s.cfg.MembersKnown() {
		known = max(known, assumedEntries)
	}
	if s.cfg.Ready() {
		ready[s.cfg.Self] = 0
	}
	return core.Membership{Self: s.cfg.Self, Candidates: ready, Live: live + 1, Known: known + 1}
}

// Ask sends a request for permits.
func (s *Sharer) Ask(coordinator string, r core.PermitRequest) {
	if err := s.cfg.Mesh.SendPermitRequest(coordinator, r); err != nil {
		s.cfg.Log.Event("permit_request_unsent", "to", coordinator, "cause", err.Error())
	}
}

// HandleNotices handles notices of another entry, or of the agent beside a server.
func (s *Sharer) HandleNotices(notices []core.Notice) {
	s.cfg.Gateway.AdoptServerNotices(notices, "entry")
}

// HandleJoin tells an entry that has just started what is known; of a large fleet
// only some entries do.
func (s *Sharer) HandleJoin(joined mesh.Member) {
	if _, live, _ := s.cfg.Mesh.EntryCounts(); rand.IntN(max(live, 1)) >= joinGreeters {
		return
	}
	notices := someNotices(s.cfg.Gateway.ServerNotices())
	if len(notices) == 0 {
		return
	}
	isJoined := func(m mesh.Member) bool { return m.ID == joined.ID }
	if err := s.cfg.Mesh.SendServerNotices(notices, 0, isJoined); err != nil {
		s.cfg.Log.Event("server_notices_unsent", "notices", len(notices), "cause", err.Error())
	}
}

// someNotices returns as many of the notices as fit in a datagram, chosen at random.
func someNotices(notices []core.Notice) []core.Notice {
	rand.Shuffle(len(notices), func(i, j int) { notices[i], notices[j] = notices[j], notices[i] })
	return notices[:min(len(notices), maxNoticesPerDatagram)]
}
