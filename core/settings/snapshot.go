package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// maxSnapshotBytes is the largest size of an encoded state.
const maxSnapshotBytes = 8 << 20

// Reasons for refusing a state of a peer or of a snapshot.
var (
	// ErrCorrupt means that a state is invalid or does not match its digest.
	ErrCorrupt = errors.New("settings state is corrupt")
	// ErrContradiction means that two states of the same offset differ.
	ErrContradiction = errors.New("settings states of the same offset differ")
)

// Snapshot is the body of a snapshot record: the state at offset Covers.
type Snapshot struct {
	Covers int64           `json:"covers"`
	Digest string          `json:"digest"`
	State  json.RawMessage `json:"state"`
}

// SnapshotInfo is the position of the latest valid snapshot in the log.
type SnapshotInfo struct {
	// Offset is the offset of the snapshot record, 0 if none is known.
	Offset int64
	// Covers is the offset of the state in the snapshot.
	Covers int64
	// TimeMS is the time at which the log stored the snapshot record, in Unix
	// milliseconds. While no snapshot is known, it is the time of the first
	// record.
	TimeMS int64
}

// SnapshotPolicy determines when a new snapshot is due.
type SnapshotPolicy struct {
	// Retention is the time for which the log keeps records.
	Retention time.Duration
	// MaxRecords is the largest number of records between two snapshots. It is
	// needed for logs that keep a limited number of records.
	MaxRecords int64
}

// snapshotAgeDivisor divides the retention; a new snapshot is due when the
// latest one is older than the quotient. A quarter of the retention leaves
// time for three more attempts.
const snapshotAgeDivisor = 4

// NewSnapshot returns the snapshot record of a state. The record depends only
// on the state, so snapshots of several processes have the same id.
func NewSnapshot(s *State) Record {
	data, digest := s.Encode()
	// A snapshot consists of numbers, strings and valid JSON, whose encoding
	// never fails.
	body, _ := json.Marshal(Snapshot{Covers: s.Offset, Digest: digest, State: data})
	return Record{
		ID:   fmt.Sprintf("snapshot-%d-%.16s", s.Offset, digest),
		Kind: RecordSnapshot, Key: string(RecordSnapshot), Body: body,
	}
}

// DecodeState decodes a state and checks it and its digest. It returns
// ErrCorrupt if a check fails.
func DecodeState(data []byte, digest string) (*State, error) {
	if len(data) > maxSnapshotBytes {
		return nil, fmt.Errorf("%w: it has %d bytes; at most %d are allowed", ErrCorrupt, len(data), maxSnapshotBytes)
	}
	state := NewState()
	if err := decodeStrict(data, state); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	// The digest is that of the canonical encoding, because a log service may
	// store JSON with other white space.
	if _, actual := state.Encode(); actual != digest {
		return nil, fmt.Errorf("%w: digest is %.16s instead of %.16s", ErrCorrupt, actual, digest)
	}
	if problems := state.validate(); len(problems) > 0 || state.Offset < 0 {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, problems)
	}
	return state, nil
}

// decode returns the state of a snapshot after checking it.
func (s Snapshot) decode() (*State, error) {
	state, err := DecodeState(s.State, s.Digest)
	if err != nil {
		return nil, err
	}
	if state.Offset != s.Covers {
		return nil, fmt.Errorf("%w: snapshot covers offset %d but its state is at offset %d", ErrCorrupt, s.Covers, state.Offset)
	}
	return state, nil
}

// digestWindow is the number of latest offsets whose digests a fold keeps to
// check snapshots and states of peers. A snapshot is appended seconds after
// its state was current; at 10 changes a second the window covers 50 s.
const digestWindow = 512

// digestRing keeps the digests of the latest digestWindow offsets.
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

// check reports whether a digest is known for the offset and returns
// ErrContradiction if that digest differs from the given one.
func (r *digestRing) check(offset int64, digest string) (known bool, err error) {
	recorded, known := r.byOffset[offset]
	if known && recorded != digest {
		return true, fmt.Errorf("%w: digests at offset %d are %.16s and %.16s", ErrContradiction, offset, recorded, digest)
	}
	return known, nil
}
