package stager

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/laburnumloft/laburnumloft/core/rollout"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

const (
	// maxLoadingPercent is the maximum percentage of a region's engines that
	// load at the same time.
	maxLoadingPercent = 34
	// turnTimeout is how long an agent waits for one predecessor. A batch of
	// loads takes about two seconds.
	turnTimeout = 2500 * time.Millisecond
	// loadReserve is the time before the adoption deadline of a version at which
	// an agent stops waiting for its turn and loads. Entries use older weights
	// until half a second before the deadline, and the engine drains its last
	// requests before that time.
	loadReserve = 1200 * time.Millisecond
	// drainReserve is the time before the adoption deadline at which an agent
	// ends the drain. From then on entries send no requests to older weights,
	// and interrupted requests finish sooner at other engines.
	drainReserve = 500 * time.Millisecond
	// drainTimeout is how long an engine may finish its requests before a load.
	// Most requests end within it; the engine aborts the others, and their
	// entries resume them at other engines. Waiting for the longest request
	// would leave half of the engine's slots idle for two seconds.
	drainTimeout = 1000 * time.Millisecond
	// loadTimeout is how long an ordered load may take.
	loadTimeout = 12 * time.Second
)

// runLoader loads complete versions into the engine until ctx ends.
func (s *Stager) runLoader(ctx context.Context) {
	for ctx.Err() == nil {
		pause := s.pollPause()
		if m := s.loadable(); m != nil {
			if err := s.loadInTurn(ctx, m); err != nil && !errors.Is(err, ErrSuperseded) && ctx.Err() == nil {
				s.cfg.Log.Event("load_failed", "version", m.Version, "cause", err.Error())
				pause = failureDelay
				if errors.Is(err, ErrChecksExpired) {
					pause = checksExpiredDelay
				}
			}
		}
		// awaitWork fails only if ctx ended.
		_ = awaitWork(ctx, s.loadWork, pause)
	}
}

// loadable returns the manifest of the newest version that is complete in memory
// if it is newer than the engine's version and not newer than the target, or nil.
func (s *Stager) loadable() *Manifest {
	target, _, state, up := s.snapshot()
	m := s.store.newestComplete(target.Model)
	if !up || m == nil || m.Version <= state.Version || m.Version > target.Version && target.Version > 0 {
		return nil
	}
	return m
}

// loadInTurn stages the pieces of a version, waits for the engine's turn and
// loads the version. The engine still serves during the staging, which keeps the
// turn short.
func (s *Stager) loadInTurn(ctx context.Context, m *Manifest) error {
	if err := s.stagePieces(ctx, m); err != nil {
		return err
	}
	if err := s.awaitTurn(ctx, m); err != nil {
		return err
	}
	return s.load(ctx, m)
}

// awaitTurn waits until this engine may stop serving to load. An engine without
// weights serves nothing and needs no turn. awaitTurn returns ErrSuperseded if
// another version becomes loadable during the wait.
func (s *Stager) awaitTurn(ctx context.Context, m *Manifest) error {
	target, _, state, _ := s.snapshot()
	if state.Version == 0 {
		return nil
	}
	start := bootclock.Now()
	turn := rollout.NewTurn(rollout.TurnConfig{MaxUnavailablePercent: maxLoadingPercent, Timeout: turnTimeout},
		s.cfg.Self, s.cfg.Peers(), m.Model+"/"+strconv.FormatInt(m.Version, 10), start)
	deadline := s.adoptionDeadline(target, state.Version, start).Add(-loadReserve)
	for !turn.Open() && bootclock.Now().Before(deadline) {
		peer, _ := turn.Predecessor()
		turn.RecordPredecessorState(s.peers.state(ctx, peer, m.Version), bootclock.Now())
		if err := sleep(ctx, 2*pollInterval); err != nil {
			return err
		}
		if s.loadable() != m {
			return ErrSuperseded
		}
	}
	s.cfg.Log.Event("turn_open", "version", m.Version, "forced", !turn.Open(), "ms", bootclock.Since(start).Milliseconds())
	return nil
}

// adoptionDeadline returns the earliest time at which a version newer than the
// given one must be in use.
func (s *Stager) adoptionDeadline(target Target, version int64, now time.Time) time.Time {
	deadline := now.Add(s.cfg.AdoptionTimeout + loadReserve)
	for newer, since := range target.KnownSince {
		if at := since.Add(s.cfg.AdoptionTimeout); newer > version && at.Before(deadline) {
			deadline = at
		}
	}
	return deadline
}

// stagePieces stages all pieces of a version at the engine.
func (s *Stager) stagePieces(ctx context.Context, m *Manifest) error {
	for n := range m.Digests {
		if err := s.stagePiece(ctx, m, n); err != nil {
			return err
		}
	}
	return nil
}

// drain waits until the engine's requests have ended, at most drainTimeout and
// not beyond drainReserve before the adoption deadline. Entries send the engine
// no new requests during the drain.
func (s *Stager) drain(ctx context.Context) error {
	target, _, state, _ := s.snapshot()
	now := bootclock.Now()
	end := now.Add(drainTimeout)
	if deadline := s.adoptionDeadline(target, state.Version, now).Add(-drainReserve); deadline.Before(end) {
		end = deadline
	}
	for bootclock.Now().Before(end) {
		callCtx, cancel := context.WithTimeout(ctx, stateTimeout)
		state, err := s.cfg.Engine.State(callCtx)
		cancel()
		if err != nil {
			return err
		}
		if state.Version == 0 || state.Running+state.Queued == 0 {
			return nil
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// stagePiece stages one piece at the engine.
func (s *Stager) stagePiece(ctx context.Context, m *Manifest, n int) error {
	data := s.store.get(m, n)
	if data == nil {
		return ErrSuperseded
	}
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	return s.cfg.Engine.Put(ctx, m.Model, n, data)
}

// load drains the engine, orders the load and waits until the engine reports
// that it runs the version.
//
// After a load that was withheld it first checks the staged pieces while the engine
// serves, so that the engine isn't drained for nothing.
func (s *Stager) load(ctx context.Context, m *Manifest) error {
	if s.checksExpired {
		if _, err := s.checkStaged(ctx, m); err != nil {
			return err
		}
	}
	start := time.Now()
	s.setLoading(true)
	defer s.setLoading(false)
	// pollEngine reports the loading state to the entries at once.
	s.pollEngine(ctx)
	if err := s.drain(ctx); err != nil {
		return err
	}
	drained := time.Now()
	if err := s.orderLoad(ctx, m); err != nil {
		return err
	}
	_, _, stateAtOrder, _ := s.snapshot()
	for time.Since(drained) < loadTimeout {
		_, _, state, up := s.snapshot()
		if up && state.Version == m.Version {
			s.store.evictBefore(m.Version)
			s.cfg.Log.Event("load_done", "version", state.Version, "ms", time.Since(start).Milliseconds(),
				"drain_ms", drained.Sub(start).Milliseconds())
			return nil
		}
		if !up || state.StartTime != stateAtOrder.StartTime {
			return ErrLoadFailed
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return ErrLoadFailed
}

// orderLoad checks the staged pieces and orders the engine to load them. While the
// engine is busy it repeats both, because staged data can become corrupt at any time.
func (s *Stager) orderLoad(ctx context.Context, m *Manifest) error {
	for range maxLoadAttempts {
		checks, err := s.checkStaged(ctx, m)
		if err != nil {
			return err
		}
		if !s.store.fits(m) {
			return ErrSuperseded
		}
		now := bootclock.Now()
		callCtx, cancel := context.WithTimeout(ctx, rollout.LoadOrderTimeout)
		err = s.cfg.Engine.Load(callCtx, m.Model, m.Version, checks.OrderBefore(now))
		cancel()
		if err == nil {
			s.cfg.Log.Event("load_ordered", "model", m.Model, "version", m.Version, "oldest_check_ms", checks.OldestAge(now).Milliseconds(),
				"order_ms", bootclock.Since(now).Milliseconds())
			return nil
		}
		if !errors.Is(err, ErrEngineBusy) {
			return err
		}
		if err := sleep(ctx, 2*pollInterval); err != nil {
			return err
		}
	}
	return ErrEngineBusy
}

// maxLoadAttempts is the number of load orders sent to a busy engine, within two
// seconds, before the load counts as failed.
const maxLoadAttempts = 20

// sleep waits for d. It returns the error of ctx if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
