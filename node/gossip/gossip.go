// Package gossip tells the other entries of changes at once, and repeats what an entry
// knows to a few of them, for those that missed a datagram.
package gossip

import (
	"context"
	"time"

	"github.com/laburnumloft/laburnumloft/node/decision"
	"github.com/laburnumloft/laburnumloft/node/lib/ring"
)

const (
	// Interval is the time between two rounds, in which what is known is repeated to
	// Fanout others. With three of them a round, 410 entries know a change after about 3 s.
	Interval = 500 * time.Millisecond
	Fanout   = 3
)

// Config configures a Gossiper of notices of type T.
type Config[T any] struct {
	// Name names the ring of changes and begins the log lines.
	Name string
	// Capacity bounds the changes that wait to be sent. The rounds repeat what is dropped.
	Capacity int
	Log      *decision.Log
	// Known returns what a round repeats.
	Known func() []T
	// Send sends notices to all other entries, or to limit of them chosen at random.
	Send func(notices []T, limit int) error
}

// Gossiper sends notices to the other entries.
type Gossiper[T any] struct {
	cfg     Config[T]
	changes *ring.Ring[[]T]
}

// New returns a gossiper. Run starts it.
func New[T any](cfg Config[T]) *Gossiper[T] {
	return &Gossiper[T]{cfg: cfg, changes: ring.New[[]T](cfg.Name, cfg.Capacity, ring.Refuse)}
}

// Announce tells all other entries of a change. It doesn't block.
func (g *Gossiper[T]) Announce(notices []T) {
	if !g.changes.Push(context.Background(), notices) {
		g.cfg.Log.Event(g.cfg.Name+"_dropped", "notices", len(notices))
	}
}

// Run sends changes and repeats what is known until ctx ends.
func (g *Gossiper[T]) Run(ctx context.Context) {
	tick := time.NewTicker(Interval)
	defer tick.Stop()
	for {
		select {
		case notices := <-g.changes.Items():
			g.Send(notices, 0)
		case <-tick.C:
			g.Send(g.cfg.Known(), Fanout)
		case <-ctx.Done():
			return
		}
	}
}

// Send sends notices, if there are any.
func (g *Gossiper[T]) Send(notices []T, limit int) {
	if len(notices) == 0 {
		return
	}
	if err := g.cfg.Send(notices, limit); err != nil {
		g.cfg.Log.Event(g.cfg.Name+"_unsent", "notices", len(notices), "cause", err.Error())
	}
}
