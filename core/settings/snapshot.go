package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// maxSnapshotBytes bounds the state of a snapshot.
const maxSnapshotBytes = 8 << 20

// Reasons why a state from elsewhere is refused.
var (
	// ErrDamaged means that a state does not match its digest or is not a
	// valid state.
	ErrDamaged = errors.New("settings state is damaged")
	// ErrContradiction means that two states of one offset differ.
	ErrContradiction = errors.New("settings states of one offset differ")
)

// Snapshot is the body of a snapshot record: the state at offset Covers.
type Snapshot struct {
	Covers int64           `json:"covers"`
	Digest string          `json:"digest"`
	State  json.RawMessage `json:"state"`
}

// SnapshotInfo says where the latest valid snapshot stands in the log.
type SnapshotInfo struct {
	// Offset is the offset of the snapshot record, 0 if none is known.
	Offset int64
	// Covers is the offset of the state in it.
	Covers int64
	// TimeMS is the log's time of the record in Unix milliseconds.
	TimeMS int64
}

// SnapshotPolicy says when a new snapshot is due.
type SnapshotPolicy struct {
	// Retention is the time for which the log keeps records.
	Retention time.Duration
	// Every is the largest number of records between two snapshots. It
	// covers logs that keep a number of records.
	Every int64
}

// snapshotAgeShare is the share of the retention, as a divisor, after which
// a new snapshot is due. A quarter leaves time for three more attempts.
const snapshotAgeShare = 4

// NewSnapshot returns the snapshot record of a state. Two processes make the
// same record from the same state, so a duplicate is recognisable.
func NewSnapshot(s *State) Record {
	data, digest := s.Encode()
	// A snapshot holds only numbers, text and valid JSON, which always encode.
	body, _ := json.Marshal(Snapshot{Covers: s.Offset, Digest: digest, State: data})
	return Record{
		ID:   fmt.Sprintf("snapshot-%d-%.16s", s.Offset, digest),
		Kind: RecordSnapshot, Key: string(RecordSnapshot), Body: body,
	}
}

// DecodeState reads an encoded state and checks it against its digest.
func DecodeState(data []byte, digest string) (*State, error) {
	if len(data) > maxSnapshotBytes {
		return nil, fmt.Errorf("%w: %d bytes exceed %d", ErrDamaged, len(data), maxSnapshotBytes)
	}
	state := NewState()
	if err := decodeStrict(data, state); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	// The digest is taken over the canonical encoding, because a log service
	// may store JSON with other white space.
	if _, actual := state.Encode(); actual != digest {
		return nil, fmt.Errorf("%w: digest is %.16s instead of %.16s", ErrDamaged, actual, digest)
	}
	if problems := state.check(); len(problems) > 0 || state.Offset < 0 {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, problems)
	}
	return state, nil
}

// decode reads the state of a snapshot.
func (s Snapshot) decode() (*State, error) {
	state, err := DecodeState(s.State, s.Digest)
	if err != nil {
		return nil, err
	}
	if state.Offset != s.Covers {
		return nil, fmt.Errorf("%w: covers is %d but the state is at %d", ErrDamaged, s.Covers, state.Offset)
	}
	return state, nil
}

// digestWindow is the number of latest offsets whose digests a fold keeps to
// check snapshots and peers. A snapshot is appended seconds after its state
// was current; at 10 changes a second the window covers 50 s.
const digestWindow = 512

// digestRing keeps the digests of the latest offsets.
type digestRing struct {
	byOffset map[int64]string
	offsets  []int64
}

func newDigestRing() *digestRing {
	return &digestRing{byOffset: map[int64]string{}}
}

func (r *digestRing) add(offset int64, digest string) {
	if len(r.offsets) == digestWindow {
		delete(r.byOffset, r.offsets[0])
		r.offsets = append(r.offsets[:0], r.offsets[1:]...)
	}
	r.byOffset[offset] = digest
	r.offsets = append(r.offsets, offset)
}

// compare returns ErrContradiction if another digest is known at the offset,
// and whether any is known.
func (r *digestRing) compare(offset int64, digest string) (known bool, err error) {
	own, known := r.byOffset[offset]
	if known && own != digest {
		return true, fmt.Errorf("%w: offset %d has %.16s and %.16s", ErrContradiction, offset, own, digest)
	}
	return known, nil
}
