package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/laburnumloft/laburnumloft/core/logera"
	"github.com/laburnumloft/laburnumloft/core/operation"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// Claims stream and its limits.
const (
	claimsStream   = "claims"
	claimsPageSize = 256
	// firstOffset is the offset of the first record of a stream.
	firstOffset    = 1
	claimsPollWait = 20 * time.Second
	// claimsReadTimeout ends a read that the log holds for too long.
	claimsReadTimeout = 25 * time.Second
	claimsRetry       = 200 * time.Millisecond
	// maxClaims at about 500 bytes each keeps the index under 20 MiB.
	maxClaims = 40_000
	// claimTimeout bounds how long a keyed call waits for its claim to settle.
	claimTimeout = 3 * time.Second
	// appendTimeout bounds one append, after which it is repeated. A second
	// record of one claim has no effect.
	appendTimeout = time.Second
)

// claimStore holds the claim index and wakes waiting calls when it changes.
type claimStore struct {
	mu      sync.Mutex
	index   *operation.Index
	changed chan struct{}
	// newEra is signalled when an append shows an era of the log that the index has not
	// begun to read.
	newEra chan struct{}
}

func newClaimStore() *claimStore {
	return &claimStore{index: operation.NewIndex(maxClaims), changed: make(chan struct{}), newEra: make(chan struct{}, 1)}
}

// recordAppend records that the log gave a position to a record.
func (s *claimStore) recordAppend(position int64) {
	appended, _ := logera.Split(position)
	if read, _ := logera.Split(s.next()); appended <= read {
		return
	}
	select {
	case s.newEra <- struct{}{}:
	default:
	}
}

func (s *claimStore) apply(page *wire.LogPage) (gap bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if read, _ := logera.Split(s.index.Next()); page.Era > read {
		s.index.BeginEra(logera.Position(page.Era, firstOffset), page.EraBeganMS)
	}
	gap = page.Oldest > s.index.Next()
	s.index.SkipTo(page.Oldest)
	for _, rec := range page.Records {
		if rec.Offset == s.index.Next() {
			s.index.Apply(rec.Offset, rec.TimeMS, decodeClaim(rec.Data))
		}
	}
	if len(page.Records) > 0 || gap {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return gap
}

func decodeClaim(data []byte) *operation.Claim {
	var rec wire.ClaimRecord
	if err := json.Unmarshal(data, &rec); err != nil || rec.Key == "" || rec.Ticket == "" {
		return nil
	}
	return &operation.Claim{
		Workspace: rec.Workspace, Service: rec.Service, Key: rec.Key, Ticket: rec.Ticket, Request: rec.Request,
	}
}

// lookup returns what the index says of the key, the next offset that it
// will read, and a channel that is closed at the next change.
func (s *claimStore) lookup(workspace, service, key string) (operation.Claim, operation.KeyState, int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	claim, state := s.index.Lookup(workspace, service, key)
	return claim, state, s.index.Next(), s.changed
}

func (s *claimStore) next() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index.Next()
}

// tailClaims folds the claims stream for as long as ctx lasts.
func (e *Entry) tailClaims(ctx context.Context) {
	logger := e.logger.Named("claims")
	for ctx.Err() == nil {
		readCtx, cancel := context.WithTimeout(ctx, claimsReadTimeout)
		stopWatching := e.endReadInNewEra(readCtx, cancel)
		era, _ := logera.Split(e.claims.next())
		page, err := e.log.Read(readCtx, claimsStream, e.claims.next(), claimsPageSize, claimsPollWait)
		stopWatching()
		cancel()
		if err == nil && page.Era > era {
			logger.Warn("the log came back from a copy; keys issued before that are refused unless their claims are known", "era", page.Era, "before", era)
		}
		if err != nil {
			logger.Warn("log read failed", "error", err)
			sleep(ctx, claimsRetry)
			continue
		}
		if e.claims.apply(page) {
			logger.Warn("claims were dropped by the log before they were read", "oldest", page.Oldest)
			// The index knows the state only of keys issued after the first record
			// that it reads, so append one in case the stream is empty.
			if _, err := e.log.Append(ctx, claimsStream, wire.ClaimRecord{}); err != nil {
				logger.Warn("log append failed", "error", err)
			}
		}
	}
}

// endReadInNewEra ends a read when an append shows that the log has begun a new era, in
// which the position of the read may never be reached. The returned function stops that.
func (e *Entry) endReadInNewEra(ctx context.Context, end context.CancelFunc) (stop func()) {
	ctx, stop = context.WithCancel(ctx)
	go func() {
		select {
		case <-e.claims.newEra:
			end()
		case <-ctx.Done():
		}
	}()
	return stop
}

// settle appends the claim and returns the first claim of its key once that
// has been read back. The append may have taken effect without an answer, so
// a claim that does not settle may still win later.
func (e *Entry) settle(ctx context.Context, rec wire.ClaimRecord) (operation.Claim, operation.KeyState) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	appended := make(chan int64, 1)
	go func() { appended <- e.appendClaim(ctx, rec) }()
	var offset int64
	for {
		claim, state, next, changed := e.claims.lookup(rec.Workspace, rec.Service, rec.Key)
		if state == operation.KeyBound || offset > 0 && next > offset {
			return claim, state
		}
		select {
		case offset = <-appended:
		case <-changed:
		case <-ctx.Done():
			return operation.Claim{}, operation.KeyUnbound
		}
	}
}

// appendClaim appends the claim until the log answers or ctx ends. Without
// an answer it returns 0.
func (e *Entry) appendClaim(ctx context.Context, rec wire.ClaimRecord) int64 {
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, appendTimeout)
		offset, err := e.log.Append(attempt, claimsStream, rec)
		cancel()
		if err == nil {
			e.claims.recordAppend(offset)
			return offset
		}
		e.logger.Named("claims").Warn("log append failed", "error", err)
		sleep(ctx, claimsRetry)
	}
	return 0
}
