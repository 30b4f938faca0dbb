// Package intake decides which requests' bodies a process may hold.
//
// The load that it answers is callers that send many large bodies at once, most of which
// never end. All bodies together have a bound. When it is reached, a body that doesn't go
// on is given up first, then one of the caller or workspace whose bodies hold the most, so
// that a crowd can't keep others out. The package does no I/O, reads no clock and starts
// no goroutine. A Budget is not safe for concurrent use.
package intake

import (
	"cmp"
	"time"
)

const (
	// stalledAfter is how long a body may make no progress before it is given up when
	// memory is short. A caller on a slow link sends a packet every few ten milliseconds.
	stalledAfter = 500 * time.Millisecond
	// wholeShare is the part of the bound that whole bodies may take, which stay until
	// their requests end. The rest is for those that are being read.
	wholeShare = 0.5
	// groupShare is the part of that which the bodies of one address or workspace may take.
	groupShare = 0.75
	// smallBody is the size in bytes up to which whole bodies may also use smallShare of
	// the bound.
	smallBody  = 16 << 10
	smallShare = 0.125
	// minBodies is how many bodies of the largest allowed size the bound holds at least, so
	// that a single one always fits into its group's part.
	minBodies = 3
)

// Body is what is held of one request's body.
type Body struct {
	// Address is the caller's address, and Workspace its workspace if it is known.
	Address, Workspace string

	bytes      int64
	whole      bool
	progressAt time.Time
	sequence   uint64
}

// group is the bodies of one address or workspace.
type group struct{ held, whole int64 }

// Budget is the bound on all bodies of a process.
type Budget struct {
	memory, limit int64
	held, whole   int64
	sequence      uint64
	bodies        map[*Body]struct{}
	groups        map[groupKey]*group
}

// groupKey names an address or a workspace.
type groupKey struct {
	workspace bool
	name      string
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(memory int64) *Budget {
	return &Budget{memory: memory, limit: memory, bodies: map[*Body]struct{}{}, groups: map[groupKey]*group{}}
}

// SetLargest sets the size of the largest body that callers may send, and raises the bound
// if it does not hold minBodies of them.
func (b *Budget) SetLargest(bytes int64) { b.limit = max(b.memory, minBodies*bytes) }

// Limit returns the bound in bytes, and Held what is held of it.
func (b *Budget) Limit() int64 { return b.limit }

// Held returns the number of bytes that are held.
func (b *Budget) Held() int64 { return b.held }

// Begin adds a body of which nothing is held yet.
func (b *Budget) Begin(body *Body, now time.Time) {
	b.sequence++
	body.sequence, body.progressAt = b.sequence, now
	b.bodies[body] = struct{}{}
	for _, key := range body.groups() {
		b.group(key)
	}
}

// SetWorkspace sets the workspace of a body.
func (b *Budget) SetWorkspace(body *Body, workspace string) {
	if _, held := b.bodies[body]; !held || body.Workspace == workspace {
		return
	}
	b.account(body, -body.bytes)
	body.Workspace = workspace
	b.account(body, body.bytes)
}

// Reserve adds bytes that were read of a body. It returns the bodies that are given up for
// them, and false if the body itself is.
func (b *Budget) Reserve(body *Body, bytes int64, now time.Time) (givenUp []*Body, ok bool) {
	if _, held := b.bodies[body]; !held {
		return nil, false
	}
	body.progressAt = now
	for b.held+bytes > b.limit {
		victim := b.victim(now)
		if victim == nil {
			victim = body
		}
		b.End(victim)
		if victim == body {
			return givenUp, false
		}
		givenUp = append(givenUp, victim)
	}
	b.account(body, bytes)
	return givenUp, true
}

// victim returns the body that is given up first, or nil if all are whole.
func (b *Budget) victim(now time.Time) (victim *Body) {
	var most int64
	for body := range b.bodies {
		if body.whole || body.bytes == 0 {
			continue
		}
		held := b.groupHeld(body)
		if victim == nil || before(body, victim, held, most, now) {
			victim, most = body, held
		}
	}
	return victim
}

// before reports whether body is given up before other. Their groups hold the given numbers
// of bytes.
func before(body, other *Body, held, otherHeld int64, now time.Time) bool {
	stalled, otherStalled := now.Sub(body.progressAt) >= stalledAfter, now.Sub(other.progressAt) >= stalledAfter
	switch {
	case stalled != otherStalled:
		return stalled
	case stalled:
		return cmp.Or(body.progressAt.Compare(other.progressAt), cmp.Compare(body.sequence, other.sequence)) < 0
	default:
		return cmp.Or(cmp.Compare(otherHeld, held), cmp.Compare(other.bytes, body.bytes), cmp.Compare(other.sequence, body.sequence)) < 0
	}
}

// Complete records that a body is whole. It returns false, and gives the body up, if the
// whole bodies hold too much.
func (b *Budget) Complete(body *Body) bool {
	if _, held := b.bodies[body]; !held {
		return false
	}
	share := wholeShare
	if body.bytes <= smallBody {
		share += smallShare
	}
	allowed := int64(share * float64(b.limit))
	fits := b.whole+body.bytes <= allowed
	if body.bytes > smallBody {
		for _, key := range body.groups() {
			if key.workspace && key.name == "" {
				continue
			}
			fits = fits && b.group(key).whole+body.bytes <= int64(groupShare*float64(allowed))
		}
	}
	if !fits {
		b.End(body)
		return false
	}
	body.whole = true
	b.accountWhole(body, body.bytes)
	return true
}

// End releases what is held of a body.
func (b *Budget) End(body *Body) {
	if _, held := b.bodies[body]; !held {
		return
	}
	if body.whole {
		b.accountWhole(body, -body.bytes)
	}
	b.account(body, -body.bytes)
	delete(b.bodies, body)
	for _, key := range body.groups() {
		if g := b.groups[key]; g != nil && g.held == 0 {
			delete(b.groups, key)
		}
	}
}

// groups returns the groups of a body.
func (body *Body) groups() [2]groupKey {
	return [2]groupKey{{false, body.Address}, {true, body.Workspace}}
}

func (b *Budget) group(key groupKey) *group {
	g := b.groups[key]
	if g == nil {
		g = &group{}
		b.groups[key] = g
	}
	return g
}

// groupHeld returns what the larger of a body's groups holds. Bodies without a known
// workspace are in no group of that kind.
func (b *Budget) groupHeld(body *Body) int64 {
	held := b.group(groupKey{false, body.Address}).held
	if body.Workspace != "" {
		held = max(held, b.group(groupKey{true, body.Workspace}).held)
	}
	return held
}

func (b *Budget) account(body *Body, bytes int64) {
	body.bytes += bytes
	b.held += bytes
	for _, key := range body.groups() {
		b.group(key).held += bytes
	}
}

func (b *Budget) accountWhole(body *Body, bytes int64) {
	b.whole += bytes
	for _, key := range body.groups() {
		b.group(key).whole += bytes
	}
}
