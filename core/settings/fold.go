package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/laburnumloft/laburnumloft/core/invariant"
)

// LogRecord is one record of the settings log. TimeMS is the time at which
// the log stored it, in Unix milliseconds.
type LogRecord struct {
	Offset int64
	TimeMS int64
	Data   []byte
}

// Page is the answer of the log to one read.
type Page struct {
	Records []LogRecord
	// Oldest is the first offset that the log still keeps. Next is the offset
	// after the last record of the log.
	Oldest, Next int64
}

// Status is the position of a fold relative to the log.
type Status string

// Positions of a fold.
const (
	// StatusBehind means that the log has more records to read.
	StatusBehind Status = "behind"
	// StatusCurrent means that the fold has reached the end of the log.
	StatusCurrent Status = "current"
	// StatusGap means that the records that follow the state have expired and
	// that the log has no usable snapshot. The fold keeps its state until it
	// gets one from a peer or from a later snapshot.
	StatusGap Status = "gap"
	// StatusStale means that the page was ignored, because the log ended
	// earlier than in a previous page or before the state. A lagging replica
	// of the log gives such answers.
	StatusStale Status = "stale"
)

// Result is the outcome of one page.
type Result struct {
	Status   Status
	Verdicts []Verdict
	// Refused holds one error for each snapshot or page that was not used.
	Refused []error
}

// Fold applies the records of the settings log in order and holds the
// resulting state. It is not safe for concurrent use.
type Fold struct {
	state    *State
	digest   string
	digests  *digestRing
	snapshot SnapshotInfo
	// logOldest and logNext are Oldest and Next of the latest page that was
	// not stale.
	logOldest, logNext int64
	// scanOffset is the next offset to search for a snapshot while there is a
	// gap, otherwise 0.
	scanOffset int64
	// unconfirmed is set when the state is loaded from a snapshot and reset when
	// the fold reaches the end of the log or adopts a peer's state. If another
	// snapshot contradicts the state meanwhile, nothing shows which is right.
	unconfirmed bool
	// needsPeerState is set when an unconfirmed state was contradicted. The
	// fold then uses no snapshot until it adopts the state of a peer.
	needsPeerState bool
	history        invariant.History
}

// NewFold returns a fold at offset 0.
func NewFold() *Fold {
	f := &Fold{digests: newDigestRing()}
	f.setState(NewState())
	return f
}

// State returns the state and its digest. Callers must not change the state.
func (f *Fold) State() (*State, string) {
	return f.state, f.digest
}

// LatestSnapshot returns the position of the latest valid snapshot in the log.
func (f *Fold) LatestSnapshot() SnapshotInfo {
	return f.snapshot
}

// Next returns the offset from which to read the next page.
func (f *Fold) Next() int64 {
	if f.scanOffset > 0 {
		return f.scanOffset
	}
	return f.state.Offset + 1
}

// ApplyPage applies the records of a page.
func (f *Fold) ApplyPage(p Page) Result {
	if p.Next <= f.state.Offset || p.Next < f.logNext {
		return Result{Status: StatusStale}
	}
	f.logOldest, f.logNext = p.Oldest, p.Next
	var result Result
	if p.Oldest > f.state.Offset+1 {
		f.scanForSnapshot(p, &result)
		return result
	}
	f.scanOffset = 0
	for _, rec := range p.Records {
		if f.state.Offset+1 < rec.Offset {
			result.Refused = append(result.Refused, fmt.Errorf("log page skips records: state is at offset %d, next record at offset %d", f.state.Offset, rec.Offset))
			break
		}
		if rec.Offset <= f.state.Offset {
			continue
		}
		result.Verdicts = append(result.Verdicts, f.apply(rec, &result))
		if f.needsPeerState {
			result.Status = StatusGap
			return result
		}
	}
	result.Status = f.status()
	return result
}

// status returns StatusBehind if the log has records after the state. Otherwise
// it marks the state as confirmed and returns StatusCurrent.
func (f *Fold) status() Status {
	if f.state.Offset+1 < f.logNext {
		return StatusBehind
	}
	f.unconfirmed = false
	return StatusCurrent
}

// apply applies the record that follows the state.
func (f *Fold) apply(rec LogRecord, result *Result) Verdict {
	state, v := f.state.Apply(rec.Offset, rec.Data)
	if snapshot, ok := parseSnapshot(rec.Data); ok && v.Accepted {
		if err := f.checkSnapshot(snapshot); err != nil {
			v.Accepted, v.Reason = false, truncateReason(err.Error())
			result.Refused = append(result.Refused, fmt.Errorf("snapshot at offset %d: %w", rec.Offset, err))
			if f.dropUnconfirmedState(err) {
				return v
			}
		} else if snapshot.Covers >= f.snapshot.Covers {
			f.snapshot = SnapshotInfo{Offset: rec.Offset, Covers: snapshot.Covers, TimeMS: rec.TimeMS}
		}
	}
	if f.snapshot.TimeMS == 0 {
		// Until there is a snapshot, the age of the first record decides when
		// one is due.
		f.snapshot.TimeMS = rec.TimeMS
	}
	f.setState(state)
	return v
}

// checkSnapshot checks a snapshot and compares it with the digest that the
// fold keeps for its offset.
func (f *Fold) checkSnapshot(s Snapshot) error {
	if _, err := s.decode(); err != nil {
		return err
	}
	known, err := f.digests.check(s.Covers, s.Digest)
	if err == nil && !known {
		return fmt.Errorf("snapshot covers offset %d, which is not among the latest %d offsets with a known digest", s.Covers, digestWindow)
	}
	return err
}

// dropUnconfirmedState drops the state and returns true if the state is
// unconfirmed and err says that a snapshot contradicts it.
func (f *Fold) dropUnconfirmedState(err error) bool {
	if !f.unconfirmed || !isContradictionError(err) {
		return false
	}
	f.history.Addf("dropped the unconfirmed state at offset %d: %v", f.state.Offset, err)
	f.needsPeerState, f.unconfirmed = true, false
	f.state, f.digest = NewState(), ""
	f.digests = newDigestRing()
	return true
}

// scanForSnapshot searches a page for a snapshot whose state is recent enough
// that the log keeps all records after it.
func (f *Fold) scanForSnapshot(p Page, result *Result) {
	result.Status = StatusGap
	if f.scanOffset < p.Oldest {
		f.scanOffset = p.Oldest
	}
	for _, rec := range p.Records {
		if rec.Offset < f.scanOffset {
			continue
		}
		f.scanOffset = rec.Offset + 1
		if f.needsPeerState {
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
		f.scanOffset = 0
		f.snapshot = SnapshotInfo{Offset: rec.Offset, Covers: snapshot.Covers, TimeMS: rec.TimeMS}
		f.setState(state)
		result.Status = f.status()
		return
	}
	if f.scanOffset < p.Next {
		result.Status = StatusBehind
	}
}

// Adopt replaces the state by that of a peer if the peer's state is newer. An
// older state is compared with the digest that the fold has for its offset,
// if there is one.
func (f *Fold) Adopt(data []byte, digest string, snapshot SnapshotInfo) error {
	state, err := DecodeState(data, digest)
	if err != nil {
		return err
	}
	if state.Offset <= f.state.Offset {
		_, err := f.digests.check(state.Offset, digest)
		return err
	}
	f.scanOffset, f.needsPeerState, f.unconfirmed = 0, false, false
	if snapshot.Offset >= f.snapshot.Offset {
		f.snapshot = snapshot
	}
	f.setState(state)
	return nil
}

// setState replaces the state by a later one.
func (f *Fold) setState(state *State) {
	_, digest := state.Encode()
	if f.state != nil {
		f.history.Check(state.Offset > f.state.Offset, "state of the fold must advance: offset %d, new offset %d", f.state.Offset, state.Offset)
	}
	f.history.Addf("state at offset %d has digest %.16s", state.Offset, digest)
	f.state, f.digest = state, digest
	f.digests.add(state.Offset, digest)
}

// Provisional reports whether the state is unconfirmed or was dropped. Such a
// state must not be put in force.
func (f *Fold) Provisional() bool {
	return f.unconfirmed || f.needsPeerState
}

// SnapshotDue reports whether a snapshot of the state should be appended.
func (f *Fold) SnapshotDue(now time.Time, policy SnapshotPolicy) bool {
	if f.state.Offset == 0 || f.state.Offset+1 != f.logNext || f.Provisional() {
		return false
	}
	// A snapshot is due if the log has expired the last snapshot record, or records
	// that follow the snapshot's state. The log may have expired such records
	// before the snapshot record if the snapshot record was appended late.
	if f.logOldest > max(f.snapshot.Offset, 1) || f.logOldest > f.snapshot.Covers+1 {
		return true
	}
	age := now.Sub(time.UnixMilli(f.snapshot.TimeMS))
	return f.state.Offset-f.snapshot.Offset >= policy.MaxRecords || age >= policy.Retention/snapshotAgeDivisor
}

// parseSnapshot reports whether data is a snapshot record and returns its
// snapshot.
func parseSnapshot(data []byte) (Snapshot, bool) {
	rec, err := ParseRecord(data)
	if err != nil || rec.Kind != RecordSnapshot {
		return Snapshot{}, false
	}
	var s Snapshot
	if err := json.Unmarshal(rec.Body, &s); err != nil {
		// The zero value fails the digest check, which returns the error.
		return Snapshot{}, true
	}
	return s, true
}
