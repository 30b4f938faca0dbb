package operation

import (
	"encoding/hex"
	"math"

	"github.com/laburnumloft/laburnumloft/core/invariant"
)

// ClockSkewMS is the maximum time, in milliseconds, by which the clock of a
// caller that issues a key may be ahead of the log's clock. A claim is ignored
// if its log time is more than this before the key's time of issue. All entries
// must use the same value, or they could disagree on which claim is the first.
const ClockSkewMS = 60_000

// Layout of a UUID in text form.
const (
	uuidLength       = 36
	uuidVersionIndex = 14
)

// KeyIssuedMS returns the time of issue of an idempotency key in Unix
// milliseconds, and false if the key is malformed. A key is a UUID of version 7 in
// lower case (RFC 9562), whose first 48 bits are that time.
func KeyIssuedMS(key string) (int64, bool) {
	if len(key) != uuidLength || key[uuidVersionIndex] != '7' {
		return 0, false
	}
	for i, c := range key {
		dash := i == 8 || i == 13 || i == 18 || i == 23
		digit := c >= '0' && c <= '9' || c >= 'a' && c <= 'f'
		if dash != (c == '-') || !dash && !digit {
			return 0, false
		}
	}
	raw, err := hex.DecodeString(key[0:8] + key[9:13])
	if err != nil {
		return 0, false
	}
	var ms int64
	for _, b := range raw {
		ms = ms<<8 | int64(b)
	}
	return ms, true
}

// Claim is a request to bind a key to a ticket. The key's first claim in the
// log is the one that takes effect.
type Claim struct {
	// Workspace, Service and Key identify the operation.
	Workspace, Service, Key string
	Ticket                  string
	// Request identifies the method and body.
	Request string
}

type indexKey struct {
	workspace, service, key string
}

// KeyState is the state of a key in the index.
type KeyState int

// States of a key.
const (
	// KeyUnknown means that the index may have missed or evicted a claim of
	// the key.
	KeyUnknown KeyState = iota
	// KeyUnbound means that the records read so far contain no claim of the
	// key.
	KeyUnbound
	// KeyBound means that the index has the key's first claim.
	KeyBound
)

// Index keeps the first claim of each key of the claims stream. It is not safe
// for concurrent use.
type Index struct {
	maxClaims int
	next      int64
	// missingUntilMS is the latest log time of a record that was skipped or
	// whose claim was evicted. It is math.MinInt64 if there is none, and
	// math.MaxInt64 after a gap until the next record gives a bound.
	missingUntilMS int64
	// lostUntilMS is the log time at which the current era of the log began. Claims
	// before it may have been lost. It is math.MinInt64 in the first era.
	lostUntilMS int64
	claims      map[indexKey]*boundClaim
	// claimOrder holds the claims in log order.
	claimOrder []*boundClaim
	history    invariant.History
}

type boundClaim struct {
	Claim
	timeMS int64
}

func (c *Claim) indexKey() indexKey {
	return indexKey{c.Workspace, c.Service, c.Key}
}

// NewIndex returns an empty index that keeps at most maxClaims claims.
func NewIndex(maxClaims int) *Index {
	return &Index{maxClaims: maxClaims, next: 1, missingUntilMS: math.MinInt64, lostUntilMS: math.MinInt64, claims: map[indexKey]*boundClaim{}}
}

// Next returns the offset of the next record to read.
func (x *Index) Next() int64 {
	return x.next
}

// SkipTo skips the records before oldest, the first offset that the log still
// keeps. Claims in skipped records are missing from the index.
func (x *Index) SkipTo(oldest int64) {
	if oldest <= x.next {
		return
	}
	x.history.Addf("skip %d to %d", x.next, oldest)
	x.next = oldest
	x.missingUntilMS = math.MaxInt64
}

// BeginEra begins an era of the log, which came back from a copy at a log time and
// whose records are read from a position on. Claims that were read before stay bound: a
// later claim of the same key must not run its operation again.
func (x *Index) BeginEra(first, beganMS int64) {
	x.history.Addf("era from %d at %d", first, beganMS)
	x.next = first
	x.lostUntilMS = max(x.lostUntilMS, beganMS)
}

// Apply adds the record at offset, which must be the next one. Log times must
// not decrease with the offset. The claim is nil if the record contains none.
func (x *Index) Apply(offset, timeMS int64, claim *Claim) {
	x.history.Check(offset == x.next, "record %d applied out of order, after record %d", offset, x.next-1)
	x.next = offset + 1
	if x.missingUntilMS == math.MaxInt64 {
		x.missingUntilMS = timeMS
	}
	if claim == nil {
		return
	}
	issued, ok := KeyIssuedMS(claim.Key)
	if !ok || timeMS < issued-ClockSkewMS {
		return
	}
	// If the index may lack claims of the key, this claim must not bind it,
	// because an earlier claim may be in a skipped record.
	key := claim.indexKey()
	if _, bound := x.claims[key]; bound || !x.hasAllClaims(issued) {
		return
	}
	bound := &boundClaim{Claim: *claim, timeMS: timeMS}
	x.claims[key] = bound
	x.claimOrder = append(x.claimOrder, bound)
	x.history.Addf("bind %s to %s at %d", claim.Key, claim.Ticket, offset)
	x.evict()
}

// Lookup returns the state of a key and, if it is bound, its first claim.
func (x *Index) Lookup(workspace, service, key string) (Claim, KeyState) {
	if c, ok := x.claims[indexKey{workspace, service, key}]; ok {
		return c.Claim, KeyBound
	}
	issued, ok := KeyIssuedMS(key)
	if !ok || !x.hasAllClaims(issued) {
		return Claim{}, KeyUnknown
	}
	return Claim{}, KeyUnbound
}

// Len returns the number of claims in the index.
func (x *Index) Len() int {
	return len(x.claims)
}

// hasAllClaims reports whether the index has read and kept every claim so far
// of a key issued at that time.
func (x *Index) hasAllClaims(issuedMS int64) bool {
	if x.missingUntilMS == math.MaxInt64 {
		return false
	}
	unread := max(x.missingUntilMS, x.lostUntilMS)
	return unread == math.MinInt64 || issuedMS-ClockSkewMS > unread
}

// evict removes the oldest claim when the index holds more than maxClaims.
func (x *Index) evict() {
	if len(x.claimOrder) <= x.maxClaims {
		return
	}
	oldest := x.claimOrder[0]
	delete(x.claims, oldest.indexKey())
	x.claimOrder = x.claimOrder[1:]
	x.missingUntilMS = max(x.missingUntilMS, oldest.timeMS)
	x.history.Check(len(x.claims) <= x.maxClaims, "%d claims in the index, more than its limit", len(x.claims))
}
