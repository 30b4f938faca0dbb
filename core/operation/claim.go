package operation

import (
	"encoding/hex"
	"math"

	"github.com/laburnumloft/laburnumloft/core/invariant"
)

// ClockSkewMS bounds by how much the clock of a caller that issues a key may
// be ahead of the log's clock, in milliseconds. A claim that the log dates
// earlier than that before the key's issue is void. All entries must use the
// same value, or they could disagree on which claim is the first.
const ClockSkewMS = 60_000

// Layout of a UUID in text form.
const (
	uuidLength    = 36
	uuidVersionAt = 14
)

// KeyIssuedMS returns the time of issue of an idempotency key in Unix
// milliseconds. A key is a UUID of version 7 in lower case (RFC 9562), whose
// first 48 bits are that time.
func KeyIssuedMS(key string) (int64, bool) {
	if len(key) != uuidLength || key[uuidVersionAt] != '7' {
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

// Claim binds a key to a ticket if it is the key's first claim in the log.
type Claim struct {
	// Workspace, Service and Key name the operation.
	Workspace, Service, Key string
	Ticket                  string
	// Request identifies the method and body.
	Request string
}

type scope struct {
	workspace, service, key string
}

// Verdict is what the index can say of a key.
type Verdict int

// Verdicts on a key.
const (
	// VerdictUnvouched means that an earlier claim may have been missed or
	// forgotten.
	VerdictUnvouched Verdict = iota
	// VerdictUnbound means that the records read so far hold no claim of the
	// key.
	VerdictUnbound
	// VerdictBound means that the returned claim is the key's first one.
	VerdictBound
)

// Index folds the claims stream. It is not safe for concurrent use.
type Index struct {
	limit int
	next  int64
	// horizonMS is the latest log time of a record that may be unknown here.
	// It is math.MaxInt64 until the first record after a gap gives a bound.
	horizonMS int64
	claims    map[scope]*boundClaim
	// order holds the claims in log order.
	order   []*boundClaim
	history invariant.History
}

type boundClaim struct {
	Claim
	timeMS int64
}

func (c *Claim) scope() scope {
	return scope{c.Workspace, c.Service, c.Key}
}

// NewIndex returns an index that has read nothing and keeps at most limit
// claims.
func NewIndex(limit int) *Index {
	return &Index{limit: limit, next: 1, horizonMS: math.MinInt64, claims: map[scope]*boundClaim{}}
}

// Next returns the offset of the next record to read.
func (x *Index) Next() int64 {
	return x.next
}

// Oldest tells the index the first offset that the log still keeps. Records
// before it that were not read are lost to this index.
func (x *Index) Oldest(oldest int64) {
	if oldest <= x.next {
		return
	}
	x.history.Addf("gap %d to %d", x.next, oldest)
	x.next = oldest
	x.horizonMS = math.MaxInt64
}

// Apply folds the record at offset, which must be the next one. Log times do
// not decrease with the offset. A record that holds no claim has a nil claim.
func (x *Index) Apply(offset, timeMS int64, claim *Claim) {
	x.history.Check(offset == x.next, "record %d is applied after %d", offset, x.next-1)
	x.next = offset + 1
	if x.horizonMS == math.MaxInt64 {
		x.horizonMS = timeMS
	}
	if claim == nil {
		return
	}
	issued, ok := KeyIssuedMS(claim.Key)
	if !ok || timeMS < issued-ClockSkewMS {
		return
	}
	// A claim of a key that this index can't vouch for binds nothing: an
	// earlier claim may stand in a record that was missed.
	s := claim.scope()
	if _, bound := x.claims[s]; bound || !x.vouches(issued) {
		return
	}
	bound := &boundClaim{Claim: *claim, timeMS: timeMS}
	x.claims[s] = bound
	x.order = append(x.order, bound)
	x.history.Addf("bind %s to %s at %d", claim.Key, claim.Ticket, offset)
	x.evict()
}

// Lookup returns the first claim of a key.
func (x *Index) Lookup(workspace, service, key string) (Claim, Verdict) {
	if c, ok := x.claims[scope{workspace, service, key}]; ok {
		return c.Claim, VerdictBound
	}
	issued, ok := KeyIssuedMS(key)
	if !ok || !x.vouches(issued) {
		return Claim{}, VerdictUnvouched
	}
	return Claim{}, VerdictUnbound
}

// Len returns the number of claims that are kept.
func (x *Index) Len() int {
	return len(x.claims)
}

// vouches reports whether every claim of a key issued at that time stands in
// a record that was read and not forgotten.
func (x *Index) vouches(issuedMS int64) bool {
	if x.horizonMS == math.MaxInt64 {
		return false
	}
	return x.horizonMS == math.MinInt64 || issuedMS-ClockSkewMS > x.horizonMS
}

// evict forgets the oldest claim when there are too many.
func (x *Index) evict() {
	if len(x.order) <= x.limit {
		return
	}
	oldest := x.order[0]
	delete(x.claims, oldest.scope())
	x.order = x.order[1:]
	x.horizonMS = max(x.horizonMS, oldest.timeMS)
	x.history.Check(len(x.claims) <= x.limit, "%d claims are kept", len(x.claims))
}
