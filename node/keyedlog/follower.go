// Package keyedlog follows the keyed records of a topic of the platform's log. It
// reads a snapshot with the newest record of each key and then, by long polling,
// the records appended after it.
package keyedlog

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/core/storeera"
	"github.com/laburnumloft/laburnumloft/node/decision"
)

// Errors of a Source after which a reader has to read the newest records.
var (
	// ErrOffsetExpired means that the log has expired records after the offset, or
	// ends before it.
	ErrOffsetExpired = eris.New("the log does not hold the records after the offset")
	// ErrEraEnded means that the position, or an answer, belongs to an era of the log
	// that has ended.
	ErrEraEnded = eris.New("the era of the log to which the position belongs has ended")
)

// Record is one keyed record. A nil value means that the key was deleted.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Source reads one topic.
type Source interface {
	// Newest returns the newest record of each key, all from one era, and the end of
	// the log.
	Newest(ctx context.Context) (records []Record, end storeera.Position, err error)
	// Read returns the records from a position on and the position after them, which
	// is in the same era. If there are none, it waits up to wait for the first. It
	// fails with ErrEraEnded, also while it waits, as soon as any call of this process
	// has shown that the era has ended.
	Read(ctx context.Context, from storeera.Position, wait time.Duration) (records []Record, next storeera.Position, err error)
}

// Batch is the result of one call to the Source.
type Batch struct {
	Records []Record
	// Snapshot means that Records are the newest records of all keys.
	Snapshot bool
	// EraEnded means that the snapshot was read because the era of the records read
	// before has ended. It may hold older records than those.
	EraEnded bool
	// Era is the era of the records, and End the offset after them.
	Era storeera.Era
	End int64
	// MaxAge is the maximum time for which records that were not read before had been
	// in the log when the call returned. It is 0 for a read that waited, because such
	// a read gets a record at once; otherwise the records may have been appended
	// during the pause before the read. For a snapshot it is also 0, which says
	// nothing about the age of the records, unless EraEnded is set.
	MaxAge time.Duration
}

// Config sets up a Follower.
type Config struct {
	Name   string
	Source Source
	Log    *decision.Log
	// Wait is how long one read waits for a record.
	Wait time.Duration
	// Pause is the time between two reads, in which records accumulate.
	Pause time.Duration
	// OnRecords handles the batches, in the order of the log.
	OnRecords func(Batch)
	// Active reports whether this process reads the log; nil means always.
	Active func() bool
	// OnContact is called after each successful call; nil if not needed.
	OnContact func()
}

const (
	// minRetryDelay and maxRetryDelay bound the retry delay, before jitter.
	// Retries need not be frequent: refused calls are billed too, and entries
	// without access to the store get configurations from other entries.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 1500 * time.Millisecond
	// maxInitialRetryDelay replaces maxRetryDelay until the first successful
	// call.
	maxInitialRetryDelay = 300 * time.Millisecond
	// minLongPollDuration is the duration from which a read is assumed to have
	// waited for its record. A read that finds a record at once takes 4 ms, or
	// ten times as long over a congested link.
	minLongPollDuration = 50 * time.Millisecond
	// inactivePollInterval is the time between two calls of Active while it
	// returns false.
	inactivePollInterval = 100 * time.Millisecond
	// callTimeout is the timeout of a call in addition to the time for which it
	// may wait.
	callTimeout = 1500 * time.Millisecond
)

// Follower follows one topic.
type Follower struct {
	cfg     Config
	started time.Time
	// lastContact is the time at which the last successful call ended, in
	// nanoseconds since started; negative if there was none.
	lastContact  atomic.Int64
	position     storeera.Position
	snapshotRead bool
	// eraEnded is set until the snapshot after ErrEraEnded has been read.
	eraEnded   bool
	retryDelay time.Duration
	storeLost  bool
	failing    atomic.Bool
	// lastCallEnd is the time at which the last call ended, or at which Active
	// last returned false.
	lastCallEnd time.Time
}

// NewFollower returns a follower that has not read any records yet.
func NewFollower(cfg Config) *Follower {
	f := &Follower{cfg: cfg, started: time.Now()}
	f.lastContact.Store(-1)
	return f
}

// ContactAge returns the time since the last successful call; ok is false if
// there was none.
func (f *Follower) ContactAge() (age time.Duration, ok bool) {
	at := f.lastContact.Load()
	return time.Since(f.started) - time.Duration(at), at >= 0
}

// Failing reports whether the last call to the source failed.
func (f *Follower) Failing() bool { return f.failing.Load() }

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := f.cfg.Pause
		if f.cfg.Active != nil && !f.cfg.Active() {
			// After an inactive period, read a snapshot rather than each record
			// that was appended.
			f.snapshotRead, f.eraEnded, pause = false, false, inactivePollInterval
		} else if err := f.step(ctx); err != nil {
			pause = f.handleFailure(ctx, err)
		} else {
			f.handleSuccess()
		}
		if !f.eraEnded {
			// A read that waits for an offset of an era that has ended misses records.
			f.lastCallEnd = time.Now()
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// step makes one call to the source: Newest if no snapshot was read, else Read.
func (f *Follower) step(ctx context.Context) error {
	if !f.snapshotRead {
		return f.readSnapshot(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Wait+callTimeout)
	defer cancel()
	start := time.Now()
	records, next, err := f.cfg.Source.Read(ctx, f.position, f.cfg.Wait)
	if err != nil {
		return err
	}
	f.position = next
	if len(records) > 0 {
		f.cfg.OnRecords(Batch{Records: records, MaxAge: f.maxAge(start), Era: next.Era, End: next.Offset})
	}
	return nil
}

func (f *Follower) readSnapshot(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := time.Now()
	records, end, err := f.cfg.Source.Newest(ctx)
	if err != nil {
		return err
	}
	batch := Batch{Records: records, Snapshot: true, Era: end.Era, End: end.Offset, EraEnded: f.eraEnded}
	if f.eraEnded {
		batch.MaxAge = f.maxAge(start)
		f.cfg.Log.Event("feed_read_anew", "feed", f.cfg.Name, "era", end.Era.String(), "offset", end.Offset, "records", len(records))
	}
	f.position, f.snapshotRead, f.eraEnded = end, true, false
	f.cfg.OnRecords(batch)
	return nil
}

// maxAge returns the maximum age of the records that a call returned which began at
// start.
func (f *Follower) maxAge(start time.Time) time.Duration {
	duration := time.Since(start)
	if duration >= minLongPollDuration && !f.eraEnded {
		return 0
	}
	return duration + start.Sub(f.lastCallEnd)
}

// handleSuccess records the time of a successful call and resets the retry delay.
func (f *Follower) handleSuccess() {
	f.lastContact.Store(int64(time.Since(f.started)))
	f.retryDelay = 0
	f.failing.Store(false)
	if f.storeLost {
		f.storeLost = false
		f.cfg.Log.Event("store_regained", "feed", f.cfg.Name, "offset", f.position.Offset, "era", f.position.Era.String())
	}
	if f.cfg.OnContact != nil {
		f.cfg.OnContact()
	}
}

// handleFailure returns the delay before the next call. It logs the first of
// consecutive failures. After ErrOffsetExpired and ErrEraEnded, the next call reads a
// snapshot at once.
func (f *Follower) handleFailure(ctx context.Context, err error) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	if errors.Is(err, ErrOffsetExpired) || errors.Is(err, ErrEraEnded) {
		// A snapshot during which the era ends is read again.
		f.eraEnded = f.eraEnded || f.snapshotRead && errors.Is(err, ErrEraEnded)
		f.snapshotRead = false
		f.cfg.Log.Event("feed_expired", "feed", f.cfg.Name, "offset", f.position.Offset, "era", f.position.Era.String(), "cause", err.Error())
		return 0
	}
	f.failing.Store(true)
	if !f.storeLost {
		f.storeLost = true
		age, _ := f.ContactAge()
		f.cfg.Log.Event("store_lost", "feed", f.cfg.Name, "cause", err.Error(), "contact_age_ms", age.Milliseconds())
	}
	limit := maxRetryDelay
	if _, ok := f.ContactAge(); !ok {
		// A process that has not read any records yet can't serve requests.
		limit = maxInitialRetryDelay
	}
	f.retryDelay = min(max(2*f.retryDelay, minRetryDelay), limit)
	return f.retryDelay/2 + rand.N(f.retryDelay)
}
