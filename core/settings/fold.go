package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/laburnumloft/laburnumloft/core/invariant"
)

// LogRecord is one record of the settings log.
type LogRecord struct {
	Offset int64
	TimeMS int64
	Data   []byte
}

// Page is one answer to a read of the settings log.
type Page struct {
	Records []LogRecord
	// Oldest is the first offset that the log keeps, Next the one after its
	// last record.
	Oldest, Next int64
}

// Status is the position of a fold relative to the log.
type Status string

// Positions of a fold.
const (
	// StatusBehind means that the log holds more records.
	StatusBehind Status = "behind"
	// StatusCurrent means that the fold has reached the end of the log.
	StatusCurrent Status = "current"
	// StatusGap means that records between the state and the oldest record
	// have expired and that the log has no usable snapshot. The state must
	// come from a peer or from a later snapshot; until then it stays.
	StatusGap Status = "gap"
	// StatusStale means that the answer ends before the state, as that of a
	// lagging log replica does.
	StatusStale Status = "stale"
)

// Result is the output of one step of a fold.
type Result struct {
	Status   Status
	Verdicts []Verdict
	// Refused are snapshots and answers that were not used.
	Refused []error
}

// Fold follows the settings log. It is not safe for concurrent use.
type Fold struct {
	state    *State
	digest   string
	digests  *digestRing
	snapshot SnapshotInfo
	// oldest and next are those of the latest answer that was not stale.
	oldest, next int64
	// scan is the offset up to which the log was searched for a snapshot
	// after a gap, 0 if there is no gap.
	scan int64
	// unconfirmed means that the state comes from a snapshot in the log and
	// that the end of the log was not reached since. Snapshots that
	// contradict each other are then equally credible.
	unconfirmed bool
	// blocked means that such a contradiction was found: only a peer's state
	// is usable.
	blocked bool
	history invariant.History
}

// NewFold returns a fold at offset 0.
func NewFold() *Fold {
	f := &Fold{digests: newDigestRing()}
	f.moveTo(NewState())
	return f
}

// State returns the folded state and its digest. It must not be changed.
func (f *Fold) State() (*State, string) {
	return f.state, f.digest
}

// Snapshot returns where the latest valid snapshot stands.
func (f *Fold) Snapshot() SnapshotInfo {
	return f.snapshot
}

// Next returns the offset from which the log is to be read.
func (f *Fold) Next() int64 {
	if f.scan > 0 {
		return f.scan
	}
	return f.state.Offset + 1
}

// Page folds an answer of the log.
func (f *Fold) Page(p Page) Result {
	if p.Next <= f.state.Offset || p.Next < f.next {
		return Result{Status: StatusStale}
	}
	f.oldest, f.next = p.Oldest, p.Next
	var result Result
	if p.Oldest > f.state.Offset+1 {
		f.searchSnapshot(p, &result)
		return result
	}
	f.scan = 0
	for _, rec := range p.Records {
		if f.state.Offset+1 < rec.Offset {
			result.Refused = append(result.Refused, fmt.Errorf("log answer skips from offset %d to %d", f.state.Offset, rec.Offset))
			break
		}
		if rec.Offset <= f.state.Offset {
			continue
		}
		result.Verdicts = append(result.Verdicts, f.apply(rec, &result))
		if f.blocked {
			result.Status = StatusGap
			return result
		}
	}
	result.Status = f.status()
	return result
}

func (f *Fold) status() Status {
	if f.state.Offset+1 < f.next {
		return StatusBehind
	}
	f.unconfirmed = false
	return StatusCurrent
}

// apply folds the next record.
func (f *Fold) apply(rec LogRecord, result *Result) Verdict {
	state, v := f.state.Apply(rec.Offset, rec.Data)
	if snapshot, ok := parseSnapshot(rec.Data); ok && v.Accepted {
		if err := f.checkSnapshot(snapshot); err != nil {
			v.Accepted, v.Reason = false, shorten(err.Error())
			result.Refused = append(result.Refused, fmt.Errorf("snapshot at offset %d: %w", rec.Offset, err))
			if f.blockedBy(err) {
				return v
			}
		} else if snapshot.Covers >= f.snapshot.Covers {
			f.snapshot = SnapshotInfo{Offset: rec.Offset, Covers: snapshot.Covers, TimeMS: rec.TimeMS}
		}
	}
	if f.snapshot.TimeMS == 0 {
		// Without a snapshot the age of the first record decides.
		f.snapshot.TimeMS = rec.TimeMS
	}
	f.moveTo(state)
	return v
}

// checkSnapshot checks a snapshot that the fold has passed.
func (f *Fold) checkSnapshot(s Snapshot) error {
	if _, err := s.decode(); err != nil {
		return err
	}
	known, err := f.digests.compare(s.Covers, s.Digest)
	if err == nil && !known {
		return fmt.Errorf("snapshot covers offset %d, which is not among the latest %d", s.Covers, digestWindow)
	}
	return err
}

// blockedBy drops an unconfirmed state when another snapshot contradicts it.
func (f *Fold) blockedBy(err error) bool {
	if !f.unconfirmed || !isContradiction(err) {
		return false
	}
	f.history.Addf("dropped the unconfirmed state at %d: %v", f.state.Offset, err)
	f.blocked, f.unconfirmed = true, false
	f.state, f.digest = NewState(), ""
	f.digests = newDigestRing()
	return true
}

// searchSnapshot looks for a snapshot that closes the gap between the state
// and the oldest record.
func (f *Fold) searchSnapshot(p Page, result *Result) {
	result.Status = StatusGap
	if f.scan < p.Oldest {
		f.scan = p.Oldest
	}
	for _, rec := range p.Records {
		if rec.Offset < f.scan {
			continue
		}
		f.scan = rec.Offset + 1
		if f.blocked {
			continue
		}
		snapshot, ok := parseSnapshot(rec.Data)
		if !ok || snapshot.Covers+1 < p.Oldest || snapshot.Covers >= rec.Offset {
			continue
		}
		state, err := snapshot.decode()
		if err != nil {
			result.Refused = append(result.Refused, fmt.Errorf("snapshot at offset %d: %w", rec.Offset, err))
			continue
		}
		f.unconfirmed = true
		f.scan = 0
		f.snapshot = SnapshotInfo{Offset: rec.Offset, Covers: snapshot.Covers, TimeMS: rec.TimeMS}
		f.moveTo(state)
		result.Status = f.status()
		return
	}
	if f.scan < p.Next {
		result.Status = StatusBehind
	}
}

// Adopt takes a peer's state if it is newer. A state of an offset that the
// fold remembers must have the same digest.
func (f *Fold) Adopt(data []byte, digest string, snapshot SnapshotInfo) error {
	state, err := DecodeState(data, digest)
	if err != nil {
		return err
	}
	if state.Offset <= f.state.Offset {
		_, err := f.digests.compare(state.Offset, digest)
		return err
	}
	f.scan, f.blocked, f.unconfirmed = 0, false, false
	if snapshot.Offset >= f.snapshot.Offset {
		f.snapshot = snapshot
	}
	f.moveTo(state)
	return nil
}

// moveTo makes a state the current one.
func (f *Fold) moveTo(state *State) {
	_, digest := state.Encode()
	if f.state != nil {
		f.history.Check(state.Offset > f.state.Offset, "fold moves from offset %d to %d", f.state.Offset, state.Offset)
	}
	f.history.Addf("at offset %d digest %.16s", state.Offset, digest)
	f.state, f.digest = state, digest
	f.digests.add(state.Offset, digest)
}

// Unsettled reports whether the state may still be dropped. An unsettled
// state must not be put in force.
func (f *Fold) Unsettled() bool {
	return f.unconfirmed || f.blocked
}

// SnapshotDue reports whether a snapshot of the state should be appended.
func (f *Fold) SnapshotDue(now time.Time, policy SnapshotPolicy) bool {
	if f.state.Offset == 0 || f.state.Offset+1 != f.next || f.Unsettled() {
		return false
	}
	// A late append may be retained although records after its state expired.
	if f.oldest > max(f.snapshot.Offset, 1) || f.oldest > f.snapshot.Covers+1 {
		return true
	}
	age := now.Sub(time.UnixMilli(f.snapshot.TimeMS))
	return f.state.Offset-f.snapshot.Offset >= policy.Every || age >= policy.Retention/snapshotAgeShare
}

func parseSnapshot(data []byte) (Snapshot, bool) {
	rec, err := ParseRecord(data)
	if err != nil || rec.Kind != RecordSnapshot {
		return Snapshot{}, false
	}
	var s Snapshot
	if err := json.Unmarshal(rec.Body, &s); err != nil {
		// The zero value fails the digest check, which gives the reason.
		return Snapshot{}, true
	}
	return s, true
}
