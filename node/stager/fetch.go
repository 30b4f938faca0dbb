package stager

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/core/rollout"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

const (
	// maxFeedPulls and maxExchangePulls are the maximum numbers of concurrent
	// pulls from outside the region and from inside it.
	maxFeedPulls     = 2
	maxExchangePulls = 4
	// minFetchedDivisor decides which fetches are cancelled for a newer version:
	// those with less than a fourth of their pieces held. Two fetches at once
	// take twice as long.
	minFetchedDivisor = 4
	// minServingTime is the remaining time for which a version must still be
	// allowed to serve to be worth fetching; half of it is for the load. A
	// fetch of a version with less time takes origin bandwidth from the newer
	// version that all engines wait for.
	minServingTime = time.Second
	// peerRefreshInterval is the time between two checks for new agents.
	peerRefreshInterval = 500 * time.Millisecond
	// pullPollInterval is the time after which a fetch checks again which
	// pieces it can pull.
	pullPollInterval = 15 * time.Millisecond
)

// fetch fetches the pieces of one version into memory. Each pull runs in its own
// goroutine; only the fetch's goroutine uses the swarm, which plans the pulls.
type fetch struct {
	*Stager
	target       Target
	originClient Origin
	manifest     *Manifest
	// engineServing means that the engine serves requests during the fetch, so
	// that pieces share the link with them.
	engineServing bool
	// originDown is true from a refused pull from the origin until the next
	// delivered one.
	originDown atomic.Bool
	swarm      *rollout.Swarm
	doubt      rollout.ListDoubt
	// replacement means that the manifest replaces one that the pieces did not match.
	replacement bool
	// recordedSequence is the sequence number of the last announcement that was
	// passed to the swarm.
	recordedSequence uint64
	results          chan pullResult
}

// errManifestReplaced means that the fetch begins anew with another manifest.
var errManifestReplaced = eris.New("the manifest did not match the pieces or their number")

// pullResult is the outcome of one pull. feed means that the piece came from
// outside the region.
type pullResult struct {
	pull    rollout.Pull
	feed    bool
	outcome rollout.Outcome
	// digest is the digest of the bytes if they do not match the manifest.
	digest string
}

// runFetcher fetches the pieces of the target version that the engine needs
// until ctx ends. When the target changes, the fetch of the previous version
// continues beside the new one, because its pieces are already in the region and
// it can be loaded even if the origin fails.
func (s *Stager) runFetcher(ctx context.Context) {
	active := map[int64]context.CancelFunc{}
	finished := make(chan int64)
	for {
		target, origin, serving, needed := s.fetchNeeded()
		if _, running := active[target.Version]; needed && !running {
			fetchCtx, cancel := context.WithCancel(ctx)
			active[target.Version] = cancel
			f := &fetch{Stager: s, target: target, originClient: origin, engineServing: serving, results: make(chan pullResult, maxFeedPulls+maxExchangePulls)}
			go func() {
				f.fetchAndLog(fetchCtx)
				finished <- target.Version
			}()
		}
		s.fetchRunningManifest(ctx)
		for version, cancel := range active {
			if s.obsolete(version) {
				cancel()
			}
		}
		select {
		case version := <-finished:
			active[version]()
			delete(active, version)
			s.wakeUp()
		case <-s.fetchWork:
		case <-time.After(s.pollPause()):
		case <-ctx.Done():
			for len(active) > 0 {
				delete(active, <-finished)
			}
			return
		}
	}
}

// fetchNeeded reports whether pieces are missing that the engine has to load. On
// an added machine, pieces are fetched before the engine first answers. During
// bootstrap they are not, because engines then start with weights.
func (s *Stager) fetchNeeded() (target Target, origin Origin, serving, needed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.target.Model == "" || s.origin == nil || s.store.complete(s.target.Model, s.target.Version) {
		return s.target, s.origin, false, false
	}
	if !s.stateKnown {
		return s.target, s.origin, false, s.down && !s.cfg.Bootstrap
	}
	needed = s.state.Version == 0 || s.target.Version > s.state.Version
	return s.target, s.origin, s.state.Version > 0, needed && !s.down
}

// obsolete reports whether the engine no longer needs the pieces of a version.
func (s *Stager) obsolete(version int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	newer := 0
	for v, since := range s.target.KnownSince {
		if v <= version {
			continue
		}
		newer++
		if bootclock.Now().Add(minServingTime).After(since.Add(s.cfg.AdoptionTimeout - drainReserve)) {
			return true
		}
	}
	if newer == 0 {
		return false
	}
	_, held := s.store.held(version)
	count := 0
	for _, h := range held {
		if h {
			count++
		}
	}
	return newer >= keptVersions || version <= s.state.Version || count < len(held)/minFetchedDivisor ||
		s.store.complete(s.target.Model, s.target.Version)
}

// fetchAndLog fetches the version. If that fails, it logs the error and waits
// failureDelay.
func (f *fetch) fetchAndLog(ctx context.Context) {
	err := f.fetchAll(ctx)
	for errors.Is(err, errManifestReplaced) {
		f.replacement, f.recordedSequence = true, 0
		f.results = make(chan pullResult, maxFeedPulls+maxExchangePulls)
		err = f.fetchAll(ctx)
	}
	if err != nil && ctx.Err() == nil {
		f.cfg.Log.Event("fetch_failed", "model", f.target.Model, "version", f.target.Version, "cause", err.Error())
		// sleep fails only if ctx ended.
		_ = sleep(ctx, failureDelay)
	}
}

// fetchAll fetches the manifest and all pieces.
func (f *fetch) fetchAll(ctx context.Context) error {
	start := time.Now()
	var err error
	var fromOrigin bool
	if f.manifest, fromOrigin, err = f.findManifest(ctx, f.originClient, f.target.Model, f.target.Version); err != nil {
		return err
	}
	f.manifest = f.store.begin(f.manifest)
	copyTime := f.target.copyTime(f.manifest)
	timeouts := rollout.NewFeederTimeouts(copyTime)
	f.swarm = rollout.NewSwarm(rollout.SwarmConfig{
		Self: f.cfg.Self, Peers: f.cfg.Peers(), OriginRegion: f.target.OriginRegion, Version: strconv.FormatInt(f.manifest.Version, 10),
		Pieces: len(f.manifest.Digests), FirstRegionTimeout: timeouts.FirstRegion, LaterRegionTimeout: timeouts.LaterRegion, OriginFallbackTimeout: timeouts.OriginFallback, PeerBackoff: peerBackoff, CopyTime: copyTime,
		Seed: rand.Uint64(),
	}, time.Now())
	ctx, cancel := context.WithCancel(ctx)
	var wait sync.WaitGroup
	defer wait.Wait()
	defer cancel()
	f.reuseHeldPieces(ctx)
	f.announce(Audience{AllRegions: true})
	if err := f.pullMissing(ctx, &wait); err != nil {
		return err
	}
	if fromOrigin || f.replacement {
		f.publish(f.manifest)
	}
	f.cfg.Log.Event("pieces_fetched", "model", f.manifest.Model, "version", f.manifest.Version, "pieces", len(f.manifest.Digests), "ms", time.Since(start).Milliseconds())
	return nil
}

// reuseHeldPieces records the pieces that need no pull: those in memory and, if
// the engine has no weights, intact pieces that a previous agent process staged.
func (f *fetch) reuseHeldPieces(ctx context.Context) {
	staged := map[int]bool{}
	if _, _, state, up := f.snapshot(); up && state.Version == 0 {
		callCtx, cancel := context.WithTimeout(ctx, engineTimeout)
		held, err := f.cfg.Engine.StagedPieces(callCtx, f.target.Model)
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

// pullMissing pulls pieces until none is missing, the manifest no longer fits or ctx ends.
func (f *fetch) pullMissing(ctx context.Context, wait *sync.WaitGroup) error {
	feeding, exchanging := 0, 0
	peersRefreshed := time.Now()
	for {
		if !f.store.fits(f.manifest) {
			f.cfg.Log.Event("manifest_refused", "model", f.manifest.Model, "version", f.manifest.Version, "reason", ErrPieceCount.Error(), "digests", len(f.manifest.Digests))
			return errManifestReplaced
		}
		if f.swarm.Remaining() == 0 {
			return nil
		}
		f.recordAnnouncements()
		if time.Since(peersRefreshed) >= peerRefreshInterval {
			peersRefreshed = time.Now()
			// Datagrams may be lost; peers that hold pieces reply to this
			// announcement.
			f.requestAnnouncement()
			for _, peer := range f.cfg.Peers() {
				f.swarm.AddPeer(peer)
			}
			// The swarm ignored earlier announcements of peers that were added
			// just now, so all announcements are passed again.
			f.recordedSequence = 0
		}
		f.checkLink()
		f.swarm.SetNarrow(f.incoming.narrow())
		limit := f.incoming.maxPulls()
		for feeding < min(maxFeedPulls, limit) {
			pull, ok := f.swarm.NextFeed(time.Now())
			if !ok {
				break
			}
			feeding++
			wait.Go(func() { f.pull(ctx, pull, true) })
		}
		for exchanging < min(maxExchangePulls, limit) {
			pull, ok := f.swarm.NextExchange(time.Now())
			if !ok {
				break
			}
			exchanging++
			wait.Go(func() { f.pull(ctx, pull, false) })
		}
		select {
		case result := <-f.results:
			if result.feed {
				feeding--
			} else {
				exchanging--
			}
			f.swarm.RecordResult(result.pull, result.outcome, time.Now())
			if result.digest != "" && f.doubt.RecordMismatch(result.pull.Piece, result.digest, time.Now()) &&
				f.replaceManifest(ctx, f.originClient, f.manifest, result.pull.Piece, result.digest) {
				return errManifestReplaced
			}
			if result.feed && result.outcome == rollout.Delivered {
				f.notifyFeeders(result.pull.Piece)
			}
		case <-time.After(pullPollInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// checkLink logs when the downlink becomes narrow.
func (f *fetch) checkLink() {
	if f.incoming.check() {
		f.cfg.Log.Event("downlink_narrow", "version", f.manifest.Version, "stated_mbps", f.cfg.LinkMbps, "missing", f.swarm.Remaining())
	}
}

// notifyFeeders announces to the feeders of a piece in the other regions that
// the piece is held here.
func (f *fetch) notifyFeeders(piece int) {
	feeders := f.swarm.OtherFeeders(piece)
	if heldVersion, held := f.store.held(f.manifest.Version); len(feeders) > 0 && heldVersion == f.manifest.Version {
		f.sendAnnouncement(heldVersion, held, Audience{Peers: feeders})
	}
}

// pull fetches a piece from one source and verifies its digest.
func (f *fetch) pull(ctx context.Context, p rollout.Pull, feed bool) {
	data, err := f.download(ctx, p)
	if err == nil {
		err = verifyPiece(f.manifest, p.Piece, data)
	}
	result := pullResult{pull: p, feed: feed, outcome: outcomeOf(err)}
	if result.outcome == rollout.Corrupt {
		result.digest = pieceDigest(data)
	}
	if err == nil {
		f.incoming.recordPiece()
		f.store.put(f.manifest, p.Piece, data)
		f.requestAnnouncement()
		if p.Source.Origin && f.originDown.Swap(false) {
			f.cfg.Log.Event("origin_regained", "version", f.manifest.Version)
		}
	} else if ctx.Err() == nil {
		f.logFailure(p, result.outcome, err)
	}
	f.results <- result
}

// logFailure logs a failed pull. While the origin stays down, only its first
// refusal is logged.
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

// download reads a piece from its source. While the engine serves, download also
// waits for the downlink limit.
func (f *fetch) download(ctx context.Context, p rollout.Pull) ([]byte, error) {
	var data []byte
	var err error
	if p.Source.Origin {
		data, err = f.originClient.Piece(ctx, f.manifest.Model, f.manifest.Version, p.Piece)
	} else {
		data, err = f.pullFromPeer(ctx, p.Source.Peer, p.Piece)
	}
	if err == nil && f.engineServing {
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
	case errors.Is(err, ErrDigestMismatch):
		return rollout.Corrupt
	default:
		return rollout.Refused
	}
}
