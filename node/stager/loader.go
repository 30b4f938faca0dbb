package stager

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strconv"
	"time"

	"github.com/laburnumloft/laburnumloft/core/rollout"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

const (
	// loadShare is the percentage of a region's engines that load at once
	// when a version changes.
	loadShare = 34
	// turnTimeout is how long one predecessor may hold up its successors:
	// a batch ends in about two seconds.
	turnTimeout = 2500 * time.Millisecond
	// loadReserve of the time for a version is left when an agent loads
	// without waiting for its turn any longer: entries use older weights until
	// half a second before the bound, and the last requests drain until then.
	loadReserve = 1200 * time.Millisecond
	// drainReserve of the time for a version is left when an agent ends the
	// drain, since entries send nothing to older weights any more and requests
	// that go on elsewhere are done sooner.
	drainReserve = 500 * time.Millisecond
	// drainPatience is how long requests may go on at an engine that is about
	// to load. Most end within it; the engine breaks off the others, and
	// their entries resume them at other engines. Waiting for the longest
	// leaves half of the places idle for two seconds.
	drainPatience = 1000 * time.Millisecond
	// loadPatience is how long an ordered load may take until it counts as
	// failed.
	loadPatience = 12 * time.Second
)

// loader loads complete versions into the engine.
func (s *Stager) loader(ctx context.Context) {
	for ctx.Err() == nil {
		pause := s.lookPause()
		if m := s.loadable(); m != nil {
			if err := s.bring(ctx, m); err != nil && !errors.Is(err, ErrMoved) && ctx.Err() == nil {
				s.cfg.Log.Event("load_failed", "version", m.Version, "cause", err.Error())
				pause = failurePause
			}
		}
		// The error only says that ctx ended.
		_ = await(ctx, s.loadWork, pause)
	}
}

// loadable returns the newest version that is complete in memory and newer
// than what the engine runs, or nil.
func (s *Stager) loadable() *Manifest {
	target, _, state, up := s.known()
	m := s.store.newestComplete(target.Model)
	if !up || m == nil || m.Version <= state.Version || m.Version > target.Version && target.Version > 0 {
		return nil
	}
	return m
}

// bring loads a version when the engine's turn has come. The pieces are staged
// before, while the engine serves, so that the turn is short.
func (s *Stager) bring(ctx context.Context, m *Manifest) error {
	if err := s.stage(ctx, m); err != nil {
		return err
	}
	if err := s.awaitTurn(ctx, m); err != nil {
		return err
	}
	return s.load(ctx, m)
}

// awaitTurn waits until this engine may stop serving to load. An engine
// without weights serves nothing and needs no turn. When a newer version is
// complete meanwhile, that one is loaded instead.
func (s *Stager) awaitTurn(ctx context.Context, m *Manifest) error {
	target, _, state, _ := s.known()
	if state.Version == 0 {
		return nil
	}
	began := bootclock.Now()
	turn := rollout.NewTurn(rollout.TurnConfig{MaxUnavailablePercent: loadShare, Timeout: turnTimeout},
		s.cfg.Self, s.cfg.Peers(), m.Model+"/"+strconv.FormatInt(m.Version, 10), began)
	latest := s.due(target, state.Version, began).Add(-loadReserve)
	for !turn.Open() && bootclock.Now().Before(latest) {
		peer, _ := turn.Predecessor()
		turn.RecordPredecessorState(s.peers.state(ctx, peer, m.Version), bootclock.Now())
		if err := sleep(ctx, 2*stepPause); err != nil {
			return err
		}
		if s.loadable() != m {
			return ErrMoved
		}
	}
	s.cfg.Log.Event("turn_open", "version", m.Version, "forced", !turn.Open(), "ms", bootclock.Since(began).Milliseconds())
	return nil
}

// due is when a version newer than one must be in use.
func (s *Stager) due(target Target, version int64, now time.Time) time.Time {
	due := now.Add(s.cfg.Within + loadReserve)
	for newer, learnt := range target.Learnt {
		if at := learnt.Add(s.cfg.Within); newer > version && at.Before(due) {
			due = at
		}
	}
	return due
}

// stage puts all pieces beside the engine.
func (s *Stager) stage(ctx context.Context, m *Manifest) error {
	for n := range m.Digests {
		if err := s.put(ctx, m, n); err != nil {
			return err
		}
	}
	return nil
}

// verifyStaged reads the staged pieces back right before the order, since staged
// data can spoil, and replaces those that did.
func (s *Stager) verifyStaged(ctx context.Context, m *Manifest) error {
	for n := range m.Digests {
		for {
			_, err := s.readStaged(ctx, m, n)
			if err == nil {
				break
			}
			if !errors.Is(err, ErrSpoilt) && !errors.Is(err, ErrNoPiece) {
				return err
			}
			s.cfg.Log.Event("staged_piece_spoilt", "number", n, "version", m.Version)
			if err := s.put(ctx, m, n); err != nil {
				return err
			}
		}
	}
	return nil
}

// drain waits until the engine's requests have ended, or drainPatience. Entries
// send it nothing new meanwhile.
func (s *Stager) drain(ctx context.Context) error {
	target, _, state, _ := s.known()
	now := bootclock.Now()
	end := now.Add(drainPatience)
	if due := s.due(target, state.Version, now).Add(-drainReserve); due.Before(end) {
		end = due
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
		if err := sleep(ctx, stepPause); err != nil {
			return err
		}
	}
	return nil
}

func (s *Stager) put(ctx context.Context, m *Manifest, n int) error {
	data := s.store.get(m, n)
	if data == nil {
		return ErrMoved
	}
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	return s.cfg.Engine.Put(ctx, m.Model, n, data)
}

// readStaged reads a staged piece back and checks it.
func (s *Stager) readStaged(ctx context.Context, m *Manifest, n int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	data, err := s.cfg.Engine.Get(ctx, m.Model, n)
	if err != nil {
		return nil, err
	}
	return data, check(m, n, data)
}

// load orders the engine and waits until it says that it runs the version.
func (s *Stager) load(ctx context.Context, m *Manifest) error {
	began := time.Now()
	s.setLoading(true)
	defer s.setLoading(false)
	// Tells the entries at once.
	s.look(ctx)
	if err := s.drain(ctx); err != nil {
		return err
	}
	if err := s.verifyStaged(ctx, m); err != nil {
		return err
	}
	ordered := time.Now()
	if err := s.order(ctx, m); err != nil {
		return err
	}
	_, _, before, _ := s.known()
	for time.Since(ordered) < loadPatience {
		_, _, state, up := s.known()
		if up && state.Version == m.Version {
			s.store.dropBefore(m.Version)
			s.cfg.Log.Event("load_done", "version", state.Version, "ms", time.Since(began).Milliseconds(),
				"drain_ms", ordered.Sub(began).Milliseconds())
			return nil
		}
		if !up || state.Born != before.Born {
			return ErrLost
		}
		if err := sleep(ctx, stepPause); err != nil {
			return err
		}
	}
	return ErrLost
}

// order gives the order. An engine that is busy is asked again, since its
// staged pieces stay checked for a moment.
func (s *Stager) order(ctx context.Context, m *Manifest) error {
	for range orderTries {
		callCtx, cancel := context.WithTimeout(ctx, engineTimeout)
		err := s.cfg.Engine.Load(callCtx, m.Model, m.Version)
		cancel()
		if err == nil {
			s.cfg.Log.Event("load_ordered", "model", m.Model, "version", m.Version)
			return nil
		}
		if !errors.Is(err, ErrBusy) {
			return err
		}
		if err := sleep(ctx, 2*stepPause); err != nil {
			return err
		}
	}
	return ErrBusy
}

// orderTries is how often a busy engine is asked until its pieces are checked
// again: within two seconds.
const orderTries = 20

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

// check compares a piece with its digest.
func check(m *Manifest, n int, data []byte) error {
	sum := sha256.Sum256(data)
	if n >= len(m.Digests) || hex.EncodeToString(sum[:]) != m.Digests[n] {
		return ErrSpoilt
	}
	return nil
}
