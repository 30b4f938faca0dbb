// Package feed follows keyed records of the platform's log: first the newest
// record of each key, then what is appended, by long poll.
package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/node/decision"
)

// ErrExpired is returned by a Source when records after the offset are gone.
var ErrExpired = eris.New("the log no longer holds the offset")

// Record is one keyed record. A nil value means that the key was dropped.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Source reads one topic.
type Source interface {
	// Newest returns the newest record of each key and the end of the log.
	Newest(ctx context.Context) (records []Record, end int64, err error)
	// Read returns records from an offset on and the offset after them. It
	// waits up to wait for the first.
	Read(ctx context.Context, from int64, wait time.Duration) (records []Record, next int64, err error)
}

// Batch is what one call brought.
type Batch struct {
	Records []Record
	// Snapshot says that Records are the newest ones of all keys.
	Snapshot bool
	// Late bounds the time for which the records were there before this call:
	// a read that waited gets a record at once, the pause before a read may
	// have hidden it.
	Late time.Duration
}

// Config sets up a Follower.
type Config struct {
	Name   string
	Source Source
	Log    *decision.Log
	// Wait is how long one read waits for a record.
	Wait time.Duration
	// Pause is the time between two reads, in which records collect.
	Pause time.Duration
	// OnRecords takes records in order.
	OnRecords func(Batch)
	// Active reports whether this process is to read; nil means always.
	Active func() bool
	// OnContact is called after each successful call; nil if not needed.
	OnContact func()
}

const (
	// firstRetry and maxRetry bound the pause after a failed call. Refused
	// calls are priced too, and entries that are cut off take configurations
	// from others meanwhile.
	firstRetry = 150 * time.Millisecond
	maxRetry   = 1500 * time.Millisecond
	// startRetry bounds it until the first successful call.
	startRetry = 300 * time.Millisecond
	// waitedAtLeast is how long a read takes that waited for its record: the
	// store answers in 4 ms, over a squeezed link in ten times that.
	waitedAtLeast = 50 * time.Millisecond
	// idlePause is the time between two looks whether this process is to read.
	idlePause = 250 * time.Millisecond
	// callTimeout bounds a call beyond the time that it may wait.
	callTimeout = 1500 * time.Millisecond
)

// Follower keeps a topic's records up to date.
type Follower struct {
	cfg     Config
	started time.Time
	// contact is when the last successful call ended, as time since started;
	// negative if there was none.
	contact atomic.Int64
	offset  int64
	known   bool
	retry   time.Duration
	lost    bool
	failing atomic.Bool
	// ended is when the last call ended.
	ended time.Time
}

// NewFollower returns a follower that has read nothing.
func NewFollower(cfg Config) *Follower {
	f := &Follower{cfg: cfg, started: time.Now()}
	f.contact.Store(-1)
	return f
}

// ContactAge returns the time since the last successful call; ok is false if
// there was none.
func (f *Follower) ContactAge() (age time.Duration, ok bool) {
	at := f.contact.Load()
	return time.Since(f.started) - time.Duration(at), at >= 0
}

// Failing reports whether the last call failed.
func (f *Follower) Failing() bool { return f.failing.Load() }

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := f.cfg.Pause
		if f.cfg.Active != nil && !f.cfg.Active() {
			// What others read meanwhile is not read again one by one.
			f.known, pause = false, idlePause
		} else if err := f.step(ctx); err != nil {
			pause = f.failed(ctx, err)
		} else {
			f.succeeded()
		}
		f.ended = time.Now()
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// step makes one call: the newest records at first, then a read.
func (f *Follower) step(ctx context.Context) error {
	if !f.known {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		records, end, err := f.cfg.Source.Newest(ctx)
		if err != nil {
			return err
		}
		f.offset, f.known = end, true
		f.cfg.OnRecords(Batch{Records: records, Snapshot: true})
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Wait+callTimeout)
	defer cancel()
	begun := time.Now()
	records, next, err := f.cfg.Source.Read(ctx, f.offset, f.cfg.Wait)
	if err != nil {
		return err
	}
	f.offset = next
	if len(records) > 0 {
		late := time.Duration(0)
		if took := time.Since(begun); took < waitedAtLeast {
			late = took + begun.Sub(f.ended)
		}
		f.cfg.OnRecords(Batch{Records: records, Late: late})
	}
	return nil
}

func (f *Follower) succeeded() {
	f.contact.Store(int64(time.Since(f.started)))
	f.retry = 0
	f.failing.Store(false)
	if f.lost {
		f.lost = false
		f.cfg.Log.Event("store_regained", "feed", f.cfg.Name, "offset", f.offset)
	}
	if f.cfg.OnContact != nil {
		f.cfg.OnContact()
	}
}

// failed returns the pause before the next call.
func (f *Follower) failed(ctx context.Context, err error) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	if errors.Is(err, ErrExpired) {
		f.known = false
		f.cfg.Log.Event("feed_expired", "feed", f.cfg.Name, "offset", f.offset)
		return 0
	}
	f.failing.Store(true)
	if !f.lost {
		f.lost = true
		age, _ := f.ContactAge()
		f.cfg.Log.Event("store_lost", "feed", f.cfg.Name, "cause", err.Error(), "contact_age_ms", age.Milliseconds())
	}
	limit := maxRetry
	if _, ok := f.ContactAge(); !ok {
		// A process that knows nothing yet serves nobody.
		limit = startRetry
	}
	f.retry = min(max(2*f.retry, firstRetry), limit)
	return f.retry/2 + rand.N(f.retry)
}
