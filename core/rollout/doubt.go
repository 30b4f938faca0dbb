package rollout

import "time"

const (
	// mismatchesUntilDoubt is how often a piece must arrive with the same bytes that do
	// not match its digest before the list of digests is doubted. Bytes that become
	// corrupt on the way differ each time.
	mismatchesUntilDoubt = 2
	// doubtInterval is the minimum time between two readings of a doubted list.
	doubtInterval = time.Second
)

// ListDoubt decides when a list of digests is read again because the pieces do not match
// it. It is not safe for concurrent use; the zero value has no evidence.
type ListDoubt struct {
	// mismatches counts the arrivals of a piece by the digest of its bytes.
	mismatches map[mismatch]int
	readAt     time.Time
}

type mismatch struct {
	piece  int
	digest string
}

// maxMismatches bounds the memory. Corrupt pieces are rare, so that no evidence that
// matters is lost.
const maxMismatches = 256

// RecordMismatch records the digest of a piece that arrived and does not match the list. It
// reports whether the list is to be read again.
func (d *ListDoubt) RecordMismatch(piece int, digest string, now time.Time) bool {
	if d.mismatches == nil || len(d.mismatches) >= maxMismatches {
		d.mismatches = map[mismatch]int{}
	}
	m := mismatch{piece, digest}
	d.mismatches[m]++
	if d.mismatches[m] < mismatchesUntilDoubt || !d.readAt.IsZero() && now.Sub(d.readAt) < doubtInterval {
		return false
	}
	d.readAt = now
	return true
}
