package stager

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumloft/laburnumloft/core/rollout"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

const (
	// maxCheckPasses is how often the staged pieces are checked for one load order:
	// the first pass shows how fast the engine answers, the second one is as parallel
	// as that needs, and one more allows for a delay.
	maxCheckPasses = 3
	// checksExpiredDelay is the delay after a load that was withheld because checks
	// expired. Reading all pieces back burdens an engine that is already slow.
	checksExpiredDelay = 2 * time.Second
)

// checkStaged reads the staged pieces back, because staged data can become corrupt,
// and replaces corrupt ones. It returns ErrChecksExpired if the pieces can't all be
// checked within the time for which a check is valid.
func (s *Stager) checkStaged(ctx context.Context, m *Manifest) (*rollout.StagedChecks, error) {
	checks := rollout.NewStagedChecks(len(m.Digests))
	// An engine whose calls fail is not drained for nothing either.
	s.checksExpired = true
	start, workers := bootclock.Now(), 1
	for pass := 0; ; pass++ {
		now := bootclock.Now()
		due := checks.Due(now)
		if len(due) == 0 {
			s.checksExpired = false
			return checks, nil
		}
		if pass == maxCheckPasses {
			s.cfg.Log.Event("load_withheld", "model", m.Model, "version", m.Version, "expired_checks", len(due), "pieces", len(m.Digests),
				"oldest_check_ms", checks.OldestAge(now).Milliseconds(), "ms", now.Sub(start).Milliseconds(), "workers", workers)
			return nil, ErrChecksExpired
		}
		var err error
		if workers, err = s.checkPieces(ctx, m, checks, due); err != nil {
			return nil, err
		}
	}
}

// checkPieces checks pieces: the first one alone, which shows how long a check takes,
// and the others with as many workers as that asks for.
func (s *Stager) checkPieces(ctx context.Context, m *Manifest, checks *rollout.StagedChecks, pieces []int) (workers int, err error) {
	began, err := s.checkPiece(ctx, m, pieces[0])
	if err != nil {
		return 1, err
	}
	checks.RecordIntact(pieces[0], began)
	rest := pieces[1:]
	workers = min(rollout.CheckWorkers(len(rest), bootclock.Since(began)), max(1, len(rest)))
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var next atomic.Int64
	var mu sync.Mutex
	var wait sync.WaitGroup
	for range workers {
		wait.Go(func() {
			for i := int(next.Add(1)) - 1; i < len(rest) && ctx.Err() == nil; i = int(next.Add(1)) - 1 {
				began, err := s.checkPiece(ctx, m, rest[i])
				if err != nil {
					cancel(err)
					return
				}
				mu.Lock()
				checks.RecordIntact(rest[i], began)
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return workers, context.Cause(ctx)
}

// checkPiece reads a staged piece back until it is intact, and stages it again if it
// isn't. It returns when the last read began.
func (s *Stager) checkPiece(ctx context.Context, m *Manifest, n int) (began time.Time, err error) {
	for {
		began = bootclock.Now()
		_, err := s.readStaged(ctx, m, n)
		if err == nil {
			return began, nil
		}
		if !errors.Is(err, ErrDigestMismatch) && !errors.Is(err, ErrNoPiece) {
			return began, err
		}
		s.cfg.Log.Event("staged_piece_spoilt", "number", n, "version", m.Version)
		if err := s.stagePiece(ctx, m, n); err != nil {
			return began, err
		}
	}
}

// readStaged reads a staged piece back and verifies its digest.
func (s *Stager) readStaged(ctx context.Context, m *Manifest, n int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	data, err := s.cfg.Engine.Get(ctx, m.Model, n)
	if err != nil {
		return nil, err
	}
	return data, verifyPiece(m, n, data)
}

// verifyPiece compares a piece with its digest in the manifest.
func verifyPiece(m *Manifest, n int, data []byte) error {
	if n >= len(m.Digests) || pieceDigest(data) != m.Digests[n] {
		return ErrDigestMismatch
	}
	return nil
}

// pieceDigest returns the digest of a piece as manifests hold it.
func pieceDigest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
