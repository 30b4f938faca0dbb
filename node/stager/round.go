package stager

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strconv"
	"time"

	"github.com/laburnumloft/laburnumloft/core/rollout"
)

const (
	// loadShare is the percentage of a region's engines that load at once
	// when a version changes.
	loadShare = 34
	// turnTimeout is how long one predecessor may hold up its successors:
	// a batch ends in about two seconds.
	turnTimeout = 2500 * time.Millisecond
	// loadReserve of the time for a version is left when an agent loads
	// without waiting for its turn any longer: the batch in progress ends
	// and the weights are loaded within it.
	loadReserve = 3 * time.Second
	// loadPatience is how long an ordered load may take until it is checked
	// as a failure.
	loadPatience = 12 * time.Second
)

// round is the work on one version.
type round struct {
	*Stager
	target   Target
	from     Origin
	state    EngineState
	manifest *Manifest
	began    time.Time
	// memoryOnly rounds fetch without an engine.
	memoryOnly bool
}

func newRound(s *Stager, t Target, origin Origin, state EngineState) *round {
	return &round{Stager: s, target: t, from: origin, state: state, began: time.Now()}
}

func (r *round) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.cancelIfMoved(ctx, cancel)
	err := r.bring(ctx)
	if ctx.Err() != nil {
		return ErrMoved
	}
	return err
}

func (r *round) cancelIfMoved(ctx context.Context, cancel context.CancelFunc) {
	for {
		r.mu.Lock()
		moved, target := r.moved, r.Stager.target
		r.mu.Unlock()
		if target.Version != r.target.Version || target.Origin != r.target.Origin {
			cancel()
			return
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return
		}
	}
}

func (r *round) bring(ctx context.Context) error {
	var err error
	if r.manifest, err = r.fetchManifest(ctx); err != nil {
		return err
	}
	r.store.begin(r.manifest)
	if err := r.stageAll(ctx); err != nil {
		return err
	}
	r.cfg.Log.Event("pieces_staged", "model", r.manifest.Model, "version", r.manifest.Version, "ms", time.Since(r.began).Milliseconds())
	if r.memoryOnly {
		return nil
	}
	if err := r.awaitTurn(ctx); err != nil {
		return err
	}
	if err := r.verifyStaged(ctx); err != nil {
		return err
	}
	return r.load(ctx)
}

// fetchManifest prefers the manifest that is here already.
func (r *round) fetchManifest(ctx context.Context) (*Manifest, error) {
	if m := r.store.manifestOf(r.target.Model, r.target.Version); m != nil {
		return m, nil
	}
	m, err := r.from.Manifest(ctx, r.target.Model, r.target.Version)
	if err != nil {
		return nil, err
	}
	if m.Model != r.target.Model || r.target.Version > 0 && m.Version != r.target.Version || len(m.Digests) == 0 {
		return nil, ErrSpoilt
	}
	return m, nil
}

// heldNumbers are the pieces that a former run staged, perhaps of another
// version.
func (r *round) heldNumbers(ctx context.Context) []int {
	if r.memoryOnly || r.state.Version > 0 {
		// The staged pieces are those of the version that it runs.
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	held, err := r.cfg.Engine.Held(ctx, r.target.Model)
	if err != nil {
		r.cfg.Log.Event("held_pieces_unknown", "cause", err.Error())
	}
	return held
}

func (r *round) put(ctx context.Context, n int, data []byte) error {
	if r.memoryOnly {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	return r.cfg.Engine.Put(ctx, r.target.Model, n, data)
}

// readStaged reads a staged piece back and checks it.
func (r *round) readStaged(ctx context.Context, n int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	data, err := r.cfg.Engine.Get(ctx, r.target.Model, n)
	if err != nil {
		return nil, err
	}
	return data, check(r.manifest, n, data)
}

// awaitTurn waits until this engine may stop serving to load. An engine
// without weights serves nothing and needs no turn.
func (r *round) awaitTurn(ctx context.Context) error {
	if r.state.Version == 0 {
		return nil
	}
	turn := rollout.NewTurn(rollout.TurnConfig{MaxUnavailablePercent: loadShare, Timeout: turnTimeout},
		r.cfg.Self, r.cfg.Peers(), r.target.Model+"/"+strconv.FormatInt(r.target.Version, 10), time.Now())
	latest := r.target.Learnt.Add(r.cfg.Within - loadReserve)
	for !turn.Open() && time.Now().Before(latest) {
		peer, _ := turn.Predecessor()
		turn.Says(r.peers.state(ctx, peer, r.target.Model, r.target.Version), time.Now())
		select {
		case <-time.After(2 * stepPause):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	r.cfg.Log.Event("turn_open", "version", r.target.Version, "forced", !turn.Open(), "ms", time.Since(r.began).Milliseconds())
	return nil
}

// verifyStaged reads all staged pieces back right before the order, since
// staged data can spoil, and stages spoilt ones again.
func (r *round) verifyStaged(ctx context.Context) error {
	for n := range r.manifest.Digests {
		for {
			_, err := r.readStaged(ctx, n)
			if err == nil {
				break
			}
			if !errors.Is(err, ErrSpoilt) && !errors.Is(err, ErrNoPiece) {
				return err
			}
			r.cfg.Log.Event("staged_piece_spoilt", "number", n, "version", r.manifest.Version)
			if err := r.put(ctx, n, r.store.get(r.manifest, n)); err != nil {
				return err
			}
		}
	}
	return nil
}

// load orders the engine and waits until it says that it runs the version.
func (r *round) load(ctx context.Context) error {
	r.setLoading(true)
	defer r.setLoading(false)
	r.look(ctx)
	ordered := time.Now()
	for {
		callCtx, cancel := context.WithTimeout(ctx, engineTimeout)
		err := r.cfg.Engine.Load(callCtx, r.manifest.Model, r.manifest.Version)
		cancel()
		if err == nil {
			break
		}
		if !errors.Is(err, ErrBusy) || time.Since(ordered) > loadPatience {
			return err
		}
		if err := sleep(ctx, 2*stepPause); err != nil {
			return err
		}
	}
	r.cfg.Log.Event("load_ordered", "model", r.manifest.Model, "version", r.manifest.Version)
	born := r.state.Born
	for time.Since(ordered) < loadPatience {
		_, _, state, up := r.wanted()
		if up && state.Version == r.manifest.Version {
			r.cfg.Log.Event("load_done", "version", state.Version, "ms", time.Since(ordered).Milliseconds())
			return nil
		}
		if !up || state.Born != born {
			return ErrBusy
		}
		if err := sleep(ctx, stepPause); err != nil {
			return err
		}
	}
	return ErrBusy
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
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
