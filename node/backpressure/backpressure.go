// Package backpressure exchanges between the entries what backend servers in need
// say, and the permits for servers that limit their rate. The decisions are made by
// core/backpressure.
package backpressure

import (
	"context"
	"math/rand/v2"
	"time"

	core "github.com/laburnumloft/laburnumloft/core/backpressure"
	"github.com/laburnumloft/laburnumloft/node/decision"
	"github.com/laburnumloft/laburnumloft/node/gateway"
	"github.com/laburnumloft/laburnumloft/node/lib/ring"
	"github.com/laburnumloft/laburnumloft/node/mesh"
)

const (
	// gossipInterval is the time between two rounds in which an entry repeats its
	// notices to gossipFanout others, for those that missed the first one.
	gossipInterval = 500 * time.Millisecond
	gossipFanout   = 3
	// maxNoticesPerDatagram keeps a datagram within one packet.
	maxNoticesPerDatagram = 6
	// joinGreeters is how many entries on average tell one that starts what they know.
	joinGreeters = 5
	// assumedEntries is how many other entries may exist until the list of members
	// has been read.
	assumedEntries = 20
	// queueCapacity bounds the notices that wait to be sent. More of them would mean
	// that most servers of a fleet change at once; the rounds repeat what is dropped.
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
	cfg     Config
	notices *ring.Ring[[]core.Notice]
}

// New returns a sharer. Run starts it.
func New(cfg Config) *Sharer {
	return &Sharer{cfg: cfg, notices: ring.New[[]core.Notice]("server_notices", queueCapacity, ring.Refuse)}
}

// Announce tells all other entries what a server said. It doesn't block.
func (s *Sharer) Announce(notices []core.Notice) {
	if !s.notices.Push(context.Background(), notices) {
		s.cfg.Log.Event("server_notices_dropped", "notices", len(notices))
	}
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

// Run sends notices and repeats them until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	tick := time.NewTicker(gossipInterval)
	defer tick.Stop()
	for {
		select {
		case notices := <-s.notices.Items():
			s.send(notices, 0, anyEntry)
		case <-tick.C:
			s.gossip()
		case <-ctx.Done():
			return
		}
	}
}

// gossip repeats some of the notices to a few entries.
func (s *Sharer) gossip() {
	s.send(someNotices(s.cfg.Gateway.ServerNotices()), gossipFanout, anyEntry)
}

// HandleJoin tells an entry that has just started what is known; of a large fleet
// only some entries do.
func (s *Sharer) HandleJoin(joined mesh.Member) {
	if _, live, _ := s.cfg.Mesh.EntryCounts(); rand.IntN(max(live, 1)) >= joinGreeters {
		return
	}
	isJoined := func(m mesh.Member) bool { return m.ID == joined.ID }
	s.send(someNotices(s.cfg.Gateway.ServerNotices()), 0, isJoined)
}

// someNotices returns as many of the notices as fit in a datagram, chosen at random.
func someNotices(notices []core.Notice) []core.Notice {
	rand.Shuffle(len(notices), func(i, j int) { notices[i], notices[j] = notices[j], notices[i] })
	return notices[:min(len(notices), maxNoticesPerDatagram)]
}

func anyEntry(mesh.Member) bool { return true }

func (s *Sharer) send(notices []core.Notice, limit int, match func(mesh.Member) bool) {
	if len(notices) == 0 {
		return
	}
	if err := s.cfg.Mesh.SendServerNotices(notices, limit, match); err != nil {
		s.cfg.Log.Event("server_notices_unsent", "notices", len(notices), "cause", err.Error())
	}
}
