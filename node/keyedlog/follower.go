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

	"github.com/laburnumloft/laburnumloft/node/decision"
)

// ErrOffsetExpired is returned by a Source if the log has expired records after
// the offset.
var ErrOffsetExpired = eris.New("the log no longer holds the records after the offset")

// Record is one keyed record. A nil value means that the key was deleted.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Source reads one topic.
type Source interface {
	// Newest returns the newest record of each key and the end of the log.
	Newest(ctx context.Context) (records []Record, end int64, err error)
	// Read returns the records from an offset on and the offset after them. If
	// there are none, it waits up to wait for the first.
	Read(ctx context.Context, from int64, wait time.Duration) (records []Record, next int64, err error)
}

// Batch is the result of one call to the Source.
type Batch struct {
	Records []Record
	// Snapshot means that Records are the newest records of all keys.
	Snapshot bool
	// MaxAge is the maximum time for which the records had been in the log when
	// the call returned. It is 0 for a read that waited, because such a read
	// gets a record at once; otherwise the records may have been appended during
	// the pause before the read. For a snapshot it is also 0, which says nothing
	// about the age of the records.
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
	inactivePollInterval = 250 * time.Millisecond
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
	offset       int64
	snapshotRead bool
	retryDelay   time.Duration
	storeLost    bool
	failing      atomic.Bool
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
			f.snapshotRead, pause = false, inactivePollInterval
		} else if err := f.step(ctx); err != nil {
			pause = f.handleFailure(ctx, err)
		} else {
			f.handleSuccess()
		}
		f.lastCallEnd = time.Now()
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// step makes one call to the source: Newest if no snapshot was read, else Read.
func (f *Follower) step(ctx context.Context) error {
	if !f.snapshotRead {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		records, end, err := f.cfg.Source.Newest(ctx)
		if err != nil {
			return err
		}
		f.offset, f.snapshotRead = end, true
		f.cfg.OnRecords(Batch{Records: records, Snapshot: true})
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Wait+callTimeout)
	defer cancel()
	start := time.Now()
	records, next, err := f.cfg.Source.Read(ctx, f.offset, f.cfg.Wait)
	if err != nil {
		return err
	}
	f.offset = next
	if len(records) > 0 {
		maxAge := time.Duration(0)
		if duration := time.Since(start); duration < minLongPollDuration {
			maxAge = duration + start.Sub(f.lastCallEnd)
		}
		f.cfg.OnRecords(Batch{Records: records, MaxAge: maxAge})
	}
	return nil
}

// handleSuccess records the time of a successful call and resets the retry delay.
func (f *Follower) handleSuccess() {
	f.lastContact.Store(int64(time.Since(f.started)))
	f.retryDelay = 0
	f.failing.Store(false)
	if f.storeLost {
		f.storeLost = false
		f.cfg.Log.Event("store_regained", "feed", f.cfg.Name, "offset", f.offset)
	}
	if f.cfg.OnContact != nil {
		f.cfg.OnContact()
	}
}

// handleFailure returns the delay before the next call. It logs the first of
// consecutive failures. After ErrOffsetExpired, the next call reads a snapshot at
// once.
func (f *Follower) handleFailure(ctx context.Context, err error) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	if errors.Is(err, ErrOffsetExpired) {
		f.snapshotRead = false
		f.cfg.Log.Event("feed_expired", "feed", f.cfg.Name, "offset", f.offset)
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
