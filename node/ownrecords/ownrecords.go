// Package ownrecords writes records of our own again that the platform's store has lost
// in a restore from a copy: members, manifests and verdicts. Their writers may have
// ended, so the entries that read the store do it for all, from what they know. One
// read and one append restore everything.
package ownrecords

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/laburnumloft/laburnumloft/core/storeera"
	"github.com/laburnumloft/laburnumloft/node/decision"
	"github.com/laburnumloft/laburnumloft/node/keyedlog"
)

const (
	// tickInterval is the time between two looks at the era.
	tickInterval = 200 * time.Millisecond
	// checkTimeout limits one check.
	checkTimeout = 3 * time.Second
	// maxWriteBytes limits the records of one append; the store takes 2 MiB. What
	// remains is written by the next check.
	maxWriteBytes = 1 << 20
)

// Wanted is a record that the store should hold.
type Wanted struct {
	Key string
	// Outdated reports whether the value that the store holds is older; nil means that
	// any value will do.
	Outdated func(stored []byte) bool
	// Value returns the value to write.
	Value func(ctx context.Context) ([]byte, error)
}

// Config configures a Keeper.
type Config struct {
	Log *decision.Log
	// Source is the topic of our own records.
	Source keyedlog.Source
	// WriteAt appends records, all or none, if the topic still ends at a position.
	WriteAt func(ctx context.Context, at storeera.Position, records []keyedlog.Record) error
	// Era returns the current era of the store.
	Era func() storeera.Era
	// ReadsStore reports whether this entry reads the store for its region.
	ReadsStore func() bool
	// Wanted returns the records that the store should hold.
	Wanted func() []Wanted
	// OnWritten is called with the key of each record that was written.
	OnWritten func(key string)
}

// Keeper keeps our own records in the store.
type Keeper struct {
	cfg    Config
	checks storeera.Checks
}

// New returns a Keeper. Run starts it.
func New(cfg Config) *Keeper { return &Keeper{cfg: cfg} }

// Run checks the records after each restore of the store until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			if k.checks.Due(now, k.cfg.Era(), k.cfg.ReadsStore(), rand.Float64()) {
				complete := k.check(ctx)
				k.checks.RecordCheck(time.Now(), complete, rand.Float64())
			}
		case <-ctx.Done():
			return
		}
	}
}

// check writes what the store lacks and reports whether it then held everything.
func (k *Keeper) check(ctx context.Context) (complete bool) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	records, end, err := k.cfg.Source.Newest(ctx)
	if err != nil {
		k.cfg.Log.Event("own_records_unread", "cause", err.Error())
		return false
	}
	stored := make(map[string][]byte, len(records))
	for _, r := range records {
		stored[r.Key] = r.Value
	}
	missing, complete := k.missing(ctx, stored)
	if len(missing) > 0 {
		if err := k.cfg.WriteAt(ctx, end, missing); err != nil {
			k.cfg.Log.Event("own_records_unwritten", "era", end.Era.String(), "offset", end.Offset, "records", len(missing), "cause", err.Error())
			return false
		}
		for _, r := range missing {
			k.cfg.OnWritten(r.Key)
		}
	}
	k.cfg.Log.Event("own_records_checked", "era", end.Era.String(), "offset", end.Offset, "stored", len(stored), "written", len(missing), "complete", complete)
	return complete
}

// missing returns the records that the store lacks, up to maxWriteBytes, and whether
// these are all.
func (k *Keeper) missing(ctx context.Context, stored map[string][]byte) (records []keyedlog.Record, all bool) {
	all = true
	size := 0
	for _, w := range k.cfg.Wanted() {
		value, held := stored[w.Key]
		if held && (w.Outdated == nil || !w.Outdated(value)) {
			continue
		}
		value, err := w.Value(ctx)
		if err != nil {
			k.cfg.Log.Event("own_record_unknown", "key", w.Key, "cause", err.Error())
			all = false
			continue
		}
		if size += len(w.Key) + len(value); size > maxWriteBytes && len(records) > 0 {
			return records, false
		}
		records = append(records, keyedlog.Record{Key: w.Key, Value: value})
	}
	return records, all
}
