package stager

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/laburnumloft/laburnumloft/core/rollout"
)

const (
	// feedPulls and exchangePulls are how many pieces are on their way from
	// outside the region and from inside it at once.
	feedPulls     = 2
	exchangePulls = 4
	// feederPatience is how long the next agent in line waits for a feeder.
	feederPatience = 1500 * time.Millisecond
	// originPatience is how long a feeder waits for the region before it. A
	// copy enters a region within it at a third of the regions' links.
	originPatience = 2500 * time.Millisecond
	// pullPause is the time after which a fetch looks again for a piece.
	pullPause = 15 * time.Millisecond
)

// fetch stages every piece. The pulls run in goroutines of their own; the
// swarm that decides belongs to this one.
type fetch struct {
	*round
	swarm *rollout.Swarm
	done  chan pulled
}

type pulled struct {
	pull    rollout.Pull
	fed     bool
	outcome rollout.Outcome
	err     error
}

// stageAll fetches and stages every piece.
func (r *round) stageAll(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	f := &fetch{round: r, done: make(chan pulled, feedPulls+exchangePulls), swarm: rollout.NewSwarm(rollout.SwarmConfig{
		Self: r.cfg.Self, Peers: r.cfg.Peers(), OriginRegion: r.target.OriginRegion, Version: strconv.FormatInt(r.manifest.Version, 10),
		Pieces: len(r.manifest.Digests), FeederPatience: feederPatience, OriginPatience: originPatience, SetAside: peerSetAside,
		Seed: rand.Uint64(),
	}, time.Now())}
	var wait sync.WaitGroup
	defer wait.Wait()
	defer cancel()
	if err := f.takeHeld(ctx); err != nil {
		return err
	}
	r.announce()
	return f.run(ctx, &wait)
}

// takeHeld takes over pieces in memory, and those that a former run staged.
func (f *fetch) takeHeld(ctx context.Context) error {
	staged := map[int]bool{}
	for _, n := range f.heldNumbers(ctx) {
		staged[n] = true
	}
	for n := range f.manifest.Digests {
		if data := f.store.get(f.manifest, n); data != nil {
			if err := f.put(ctx, n, data); err != nil {
				return err
			}
			f.swarm.Hold(n)
		} else if staged[n] {
			if data, err := f.readStaged(ctx, n); err == nil {
				f.store.put(f.manifest, n, data)
				f.swarm.Hold(n)
			}
		}
	}
	return nil
}

func (f *fetch) run(ctx context.Context, wait *sync.WaitGroup) error {
	feeding, exchanging := 0, 0
	for f.swarm.Left() > 0 {
		f.tellSwarm(f.swarm)
		for feeding < feedPulls {
			pull, ok := f.swarm.Feed(time.Now())
			if !ok {
				break
			}
			feeding++
			wait.Go(func() { f.pull(ctx, pull, true) })
		}
		for exchanging < exchangePulls {
			pull, ok := f.swarm.Exchange(time.Now())
			if !ok {
				break
			}
			exchanging++
			wait.Go(func() { f.pull(ctx, pull, false) })
		}
		select {
		case p := <-f.done:
			if p.fed {
				feeding--
			} else {
				exchanging--
			}
			f.swarm.Done(p.pull, p.outcome, time.Now())
			if p.err != nil {
				return p.err
			}
		case <-time.After(pullPause):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// pull asks one source for a piece, checks what it sends and stages it.
func (f *fetch) pull(ctx context.Context, p rollout.Pull, fed bool) {
	data, err := f.receive(ctx, p)
	if err == nil {
		err = check(f.manifest, p.Piece, data)
	}
	result := pulled{pull: p, fed: fed, outcome: outcomeOf(err)}
	if err == nil {
		f.store.put(f.manifest, p.Piece, data)
		f.announceSoon()
		result.err = f.put(ctx, p.Piece, data)
	} else if ctx.Err() == nil && result.outcome != rollout.NotYet && result.outcome != rollout.Throttled {
		from := p.Source.Peer.ID
		if p.Source.Origin {
			from = "origin"
		}
		f.cfg.Log.Event("piece_failed", "number", p.Piece, "version", f.manifest.Version, "from", from, "cause", err.Error())
	}
	f.done <- result
}

func (f *fetch) receive(ctx context.Context, p rollout.Pull) ([]byte, error) {
	var data []byte
	var err error
	if p.Source.Origin {
		data, err = f.from.Piece(ctx, f.manifest.Model, f.manifest.Version, p.Piece)
	} else {
		data, err = f.peers.piece(ctx, p.Source.Peer, pieceQuery{
			Model: f.manifest.Model, Version: f.manifest.Version, Number: p.Piece, Wait: p.Wait,
		})
	}
	if err == nil && f.state.Version > 0 {
		// The engine serves meanwhile, and its requests come over this link.
		err = f.downlink.wait(ctx, len(data))
	}
	return data, err
}

func outcomeOf(err error) rollout.Outcome {
	switch {
	case err == nil:
		return rollout.Delivered
	case errors.Is(err, ErrNoPiece):
		return rollout.NotYet
	case errors.Is(err, errPeerBusy):
		return rollout.Throttled
	case errors.Is(err, ErrSpoilt):
		return rollout.Corrupt
	default:
		return rollout.Refused
	}
}
