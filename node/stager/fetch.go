package stager

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumloft/laburnumloft/core/rollout"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

const (
	// feedPulls and exchangePulls are how many pieces are on their way from
	// outside the region and from inside it at once.
	feedPulls     = 2
	exchangePulls = 4
	// begunShare: a fetch of which less than the fourth part is here gives way
	// to that of a newer version; two at once take twice as long.
	begunShare = 4
	// leastUse is the time that a version must still be allowed to be worth
	// its pieces: half of it is for the load. A version that is not shares the
	// origin's link with the one that all engines wait for.
	leastUse = time.Second
	// peersEvery is the time between two looks for agents that appeared.
	peersEvery = 500 * time.Millisecond
	// pullPause is the time after which a fetch looks again for a piece.
	pullPause = 15 * time.Millisecond
)

// fetch brings the pieces of one version into memory. The pulls run in
// goroutines of their own; the swarm that decides belongs to the fetch's one.
type fetch struct {
	*Stager
	target   Target
	from     Origin
	manifest *Manifest
	// serving says that the engine serves meanwhile, so that its requests
	// share the link.
	serving bool
	// originDown says that the origin failed last.
	originDown atomic.Bool
	swarm      *rollout.Swarm
	// toldUpTo is the number of the last word that the swarm was told.
	toldUpTo uint64
	done     chan pulled
}

type pulled struct {
	pull    rollout.Pull
	fed     bool
	outcome rollout.Outcome
}

// fetcher keeps the pieces of the newest version in memory as far as the engine
// needs them. When another version is named meanwhile, the fetch of the one
// before goes on beside the new one: its pieces are in the region already, and
// it can be loaded even if the origin fails now.
func (s *Stager) fetcher(ctx context.Context) {
	active := map[int64]context.CancelFunc{}
	ended := make(chan int64)
	for {
		target, origin, serving, needed := s.fetchNeeded()
		if _, running := active[target.Version]; needed && !running {
			fetchCtx, cancel := context.WithCancel(ctx)
			active[target.Version] = cancel
			f := &fetch{Stager: s, target: target, from: origin, serving: serving, done: make(chan pulled, feedPulls+exchangePulls)}
			go func() {
				f.untilDone(fetchCtx)
				ended <- target.Version
			}()
		}
		s.keepManifest(ctx)
		for version, cancel := range active {
			if s.obsolete(version) {
				cancel()
			}
		}
		select {
		case version := <-ended:
			active[version]()
			delete(active, version)
			s.wakeUp()
		case <-s.fetchWork:
		case <-time.After(s.lookPause()):
		case <-ctx.Done():
			for len(active) > 0 {
				delete(active, <-ended)
			}
			return
		}
	}
}

// fetchNeeded reports whether pieces are missing that the engine is to load.
// An engine that doesn't answer yet on a machine that was added gets them
// beforehand; when the whole system starts, engines hold weights.
func (s *Stager) fetchNeeded() (target Target, origin Origin, serving, needed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.target.Model == "" || s.origin == nil || s.store.complete(s.target.Model, s.target.Version) {
		return s.target, s.origin, false, false
	}
	if !s.seen {
		return s.target, s.origin, false, s.down && !s.cfg.Bootstrap
	}
	needed = s.state.Version == 0 || s.target.Version > s.state.Version
	return s.target, s.origin, s.state.Version > 0, needed && !s.down
}

// obsolete reports whether the engine needs no pieces of a version any more.
func (s *Stager) obsolete(version int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	newer := 0
	for v, learnt := range s.target.Learnt {
		if v <= version {
			continue
		}
		newer++
		if bootclock.Now().Add(leastUse).After(learnt.Add(s.cfg.Within - drainReserve)) {
			return true
		}
	}
	if newer == 0 {
		return false
	}
	_, held := s.store.held(version)
	here := 0
	for _, h := range held {
		if h {
			here++
		}
	}
	return newer >= keptVersions || version <= s.state.Version || here < len(held)/begunShare ||
		s.store.complete(s.target.Model, s.target.Version)
}

// untilDone fetches and logs a failure.
func (f *fetch) untilDone(ctx context.Context) {
	if err := f.all(ctx); err != nil && ctx.Err() == nil {
		f.cfg.Log.Event("fetch_failed", "model", f.target.Model, "version", f.target.Version, "cause", err.Error())
		// The error only says that ctx ended.
		_ = sleep(ctx, failurePause)
	}
}

// all fetches every piece.
func (f *fetch) all(ctx context.Context) error {
	began := time.Now()
	var err error
	if f.manifest, err = f.findManifest(ctx, f.from, f.target.Model, f.target.Version); err != nil {
		return err
	}
	f.store.begin(f.manifest)
	copyTime := f.target.copyTime(f.manifest)
	patience := rollout.NewFeederTimeouts(copyTime)
	f.swarm = rollout.NewSwarm(rollout.SwarmConfig{
		Self: f.cfg.Self, Peers: f.cfg.Peers(), OriginRegion: f.target.OriginRegion, Version: strconv.FormatInt(f.manifest.Version, 10),
		Pieces: len(f.manifest.Digests), FirstRegionTimeout: patience.FirstRegion, LaterRegionTimeout: patience.LaterRegion, OriginFallbackTimeout: patience.OriginFallback, PeerBackoff: peerSetAside, CopyTime: copyTime,
		Seed: rand.Uint64(),
	}, time.Now())
	ctx, cancel := context.WithCancel(ctx)
	var wait sync.WaitGroup
	defer wait.Wait()
	defer cancel()
	f.takeHeld(ctx)
	f.announce(Audience{Everywhere: true})
	if err := f.run(ctx, &wait); err != nil {
		return err
	}
	f.cfg.Log.Event("pieces_fetched", "model", f.manifest.Model, "version", f.manifest.Version, "ms", time.Since(began).Milliseconds())
	return nil
}

// takeHeld takes over pieces in memory, and those that a former run staged at
// an engine without weights.
func (f *fetch) takeHeld(ctx context.Context) {
	staged := map[int]bool{}
	if _, _, state, up := f.known(); up && state.Version == 0 {
		callCtx, cancel := context.WithTimeout(ctx, engineTimeout)
		held, err := f.cfg.Engine.Held(callCtx, f.target.Model)
		cancel()
		if err != nil {
			f.cfg.Log.Event("held_pieces_unknown", "cause", err.Error())
		}
		for _, n := range held {
			staged[n] = true
		}
	}
	for n := range f.manifest.Digests {
		if f.store.get(f.manifest, n) == nil && staged[n] {
			if data, err := f.readStaged(ctx, f.manifest, n); err == nil {
				f.store.put(f.manifest, n, data)
			}
		}
		if f.store.get(f.manifest, n) != nil {
			f.swarm.RecordPiece(n)
		}
	}
}

func (f *fetch) run(ctx context.Context, wait *sync.WaitGroup) error {
	feeding, exchanging := 0, 0
	peersTold := time.Now()
	for f.swarm.Remaining() > 0 {
		f.tellSwarm()
		if time.Since(peersTold) >= peersEvery {
			peersTold = time.Now()
			// Datagrams may be lost, and who holds pieces answers this one.
			f.announceSoon()
			for _, peer := range f.cfg.Peers() {
				f.swarm.AddPeer(peer)
			}
			// Words of agents that have just joined were not taken before.
			f.toldUpTo = 0
		}
		for feeding < feedPulls {
			pull, ok := f.swarm.NextFeed(time.Now())
			if !ok {
				break
			}
			feeding++
			wait.Go(func() { f.pull(ctx, pull, true) })
		}
		for exchanging < exchangePulls {
			pull, ok := f.swarm.NextExchange(time.Now())
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
			f.swarm.RecordResult(p.pull, p.outcome, time.Now())
			if p.fed && p.outcome == rollout.Delivered {
				f.tellFeeders(p.pull.Piece)
			}
		case <-time.After(pullPause):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// tellFeeders tells those that bring a piece into the other regions that it is
// here.
func (f *fetch) tellFeeders(piece int) {
	feeders := f.swarm.OtherFeeders(piece)
	if of, held := f.store.held(f.manifest.Version); len(feeders) > 0 && of == f.manifest.Version {
		f.tell(of, held, Audience{Peers: feeders})
	}
}

// pull asks one source for a piece and checks what it sends.
func (f *fetch) pull(ctx context.Context, p rollout.Pull, fed bool) {
	data, err := f.receive(ctx, p)
	if err == nil {
		err = check(f.manifest, p.Piece, data)
	}
	result := pulled{pull: p, fed: fed, outcome: outcomeOf(err)}
	if err == nil {
		f.store.put(f.manifest, p.Piece, data)
		f.announceSoon()
		if p.Source.Origin && f.originDown.Swap(false) {
			f.cfg.Log.Event("origin_regained", "version", f.manifest.Version)
		}
	} else if ctx.Err() == nil {
		f.logFailure(p, result.outcome, err)
	}
	f.done <- result
}

// logFailure logs a failed pull; of an origin that stays down only the first.
func (f *fetch) logFailure(p rollout.Pull, outcome rollout.Outcome, err error) {
	if outcome == rollout.NotYet || outcome == rollout.Throttled {
		return
	}
	from := p.Source.Peer.ID
	if p.Source.Origin {
		from = "origin"
		if outcome == rollout.Refused && f.originDown.Swap(true) {
			return
		}
	}
	f.cfg.Log.Event("piece_failed", "number", p.Piece, "version", f.manifest.Version, "from", from, "outcome", outcome.String(), "cause", err.Error())
}

func (f *fetch) receive(ctx context.Context, p rollout.Pull) ([]byte, error) {
	var data []byte
	var err error
	if p.Source.Origin {
		data, err = f.from.Piece(ctx, f.manifest.Model, f.manifest.Version, p.Piece)
	} else {
		data, err = f.peers.piece(ctx, p.Source.Peer, pieceQuery{
			Model: f.manifest.Model, Version: f.manifest.Version, Number: p.Piece,
		})
	}
	if err == nil && f.serving {
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
