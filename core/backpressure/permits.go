package backpressure

import (
	"time"

	"github.com/laburnumloft/laburnumloft/core/limits"
)

const (
	// permitValidity is how long a permit may be used after it was asked for. The
	// requests of a window then stay within the rate, the burst and what was granted
	// this long before the window.
	permitValidity = 500 * time.Millisecond
	// AskTimeout limits the wait for a coordinator's reply. A round trip between
	// regions takes under 10 ms.
	AskTimeout = 60 * time.Millisecond
	// usualReplyTime is the time until a pending ask has its reply.
	usualReplyTime = 5 * time.Millisecond
	// failuresUntilFallback is the number of consecutive asks without a reply after
	// which an entry uses its fallback share for fallbackPeriod.
	failuresUntilFallback = 2
	fallbackPeriod        = time.Second
	// retryAfterTimeout is the pause after an ask without a reply.
	retryAfterTimeout = 100 * time.Millisecond
	// maxBatch is the largest number of permits asked for at once; batchInterval is
	// how long a batch should last.
	maxBatch      = 16
	batchInterval = 100 * time.Millisecond
	// probeRate is the rate in requests per second at which a server gets requests
	// whatever its limit, so that the end of the limit is noticed within the 4 s in
	// which its usual share of the traffic must be back.
	probeRate = 0.35
	// minBurst is the number of unused permits that a coordinator saves up at least,
	// and burstTime the time for which it saves up more.
	minBurst  = 2
	burstTime = 250 * time.Millisecond
	// nearMiss is the wait for a permit up to which one entry that asks is not sent to
	// the end of the line.
	nearMiss = 50 * time.Millisecond
	// maxDenial limits how long an entry does not ask again: entries without traffic
	// do not use their turn. It also limits the asks of a large fleet.
	maxDenial = 2 * time.Second
)

// wallet holds an entry's permits for one server.
type wallet struct {
	permits    int
	validUntil time.Time
	// deniedUntil is when the entry may ask again.
	deniedUntil time.Time
	// askID is the pending ask; 0 if there is none. askedAt is when it was sent.
	askID   uint64
	askedAt time.Time
	// batch is the number of permits to ask for; 0 counts as 1.
	batch         int
	failures      int
	fallbackUntil time.Time
}

func (w *wallet) standing(now time.Time) (Standing, time.Time) {
	switch {
	case w.permits > 0 && now.Before(w.validUntil):
		return PermitHeld, time.Time{}
	case w.askID != 0:
		return Paused, now.Add(usualReplyTime)
	case now.Before(w.deniedUntil):
		return Paused, w.deniedUntil
	default:
		return PermitNeeded, time.Time{}
	}
}

// Permit allows one request to a limited server.
type Permit struct {
	// ValidUntil is when the permit expires; zero if the server is not limited.
	ValidUntil time.Time
}

// Valid reports whether the permit may be used.
func (p Permit) Valid(now time.Time) bool {
	return p.ValidUntil.IsZero() || now.Before(p.ValidUntil)
}

// TakePermit uses one permit for a server, if there is one or none is needed.
func (t *Tracker) TakePermit(server Server, now time.Time) (Permit, bool) {
	s := t.servers[server]
	if s == nil || !s.limited {
		return Permit{}, true
	}
	w := &s.wallet
	if w.permits == 0 || !now.Before(w.validUntil) {
		return Permit{}, false
	}
	w.permits--
	if w.permits == 0 && now.Sub(w.askedAt) < batchInterval {
		w.batch = min(maxBatch, 2*max(w.batch, 1))
	}
	return Permit{ValidUntil: w.validUntil}, true
}

// PermitRequest asks a coordinator for permits.
type PermitRequest struct {
	ID   uint64 `json:"id"`
	Want int    `json:"want"`
	// Notice is what the asking entry knows about the server.
	Notice Notice `json:"notice"`
}

// PermitReply answers a PermitRequest.
type PermitReply struct {
	ID      uint64 `json:"id"`
	Granted int    `json:"granted"`
	// RetryMS is the time in milliseconds until the next permit, if none was granted.
	RetryMS int64 `json:"retry_ms,omitempty"`
	// Notice is what the coordinator knows about the server.
	Notice Notice `json:"notice"`
}

// Ask begins to ask for permits for a server. If another entry is the coordinator,
// it returns its id and the request; otherwise the permits, if there are any, are
// available at once and the id is empty.
func (t *Tracker) Ask(server Server, m Membership, now time.Time) (coordinator string, request PermitRequest) {
	s := t.servers[server]
	if s == nil || !s.limited {
		return "", PermitRequest{}
	}
	w := &s.wallet
	if w.permits > 0 && !now.Before(w.validUntil) {
		// A part of the last batch expired.
		w.permits, w.batch = 0, w.batch/2
	}
	w.askedAt = now
	want := max(w.batch, 1)
	id := t.coordinator(server, m, now)
	switch {
	case id == m.Self:
		granted, retry := t.coordinated.grant(server, m.share()*effectiveRate(s.rate), want, now)
		w.settle(granted, retry, now)
		return "", PermitRequest{}
	case id == "" || now.Before(w.fallbackUntil):
		granted, retry := t.fallback.grant(server, m.fallbackShare()*effectiveRate(s.rate), 1, now)
		w.settle(granted, retry, now)
		return "", PermitRequest{}
	}
	t.nextAsk++
	w.askID = t.nextAsk
	return id, PermitRequest{ID: w.askID, Want: want, Notice: t.NoticeOf(server, m, now)}
}

// Available returns the time until a member that shares its servers with nobody gets a
// permit. It neither asks for one nor uses one.
func (t *Tracker) Available(server Server, now time.Time) time.Duration {
	s := t.servers[server]
	if s == nil || !s.limited {
		return 0
	}
	return t.coordinated.supply(server, effectiveRate(s.rate), now).bucket.Wait(now, 1)
}

// settle ends an ask with its result.
func (w *wallet) settle(granted int, retry time.Duration, now time.Time) {
	w.askID = 0
	if granted > 0 {
		w.permits, w.validUntil = granted, w.askedAt.Add(permitValidity)
		return
	}
	w.deniedUntil = now.Add(min(max(retry, time.Millisecond), maxDenial))
}

// HandleReply records a coordinator's reply and returns the changes that its notice
// leads to.
func (t *Tracker) HandleReply(r PermitReply, now time.Time) []Change {
	changes := t.Adopt(r.Notice, now)
	s := t.servers[r.Notice.Server]
	if s == nil || s.wallet.askID == 0 || s.wallet.askID != r.ID {
		// Permits of an ask that timed out are not used: the entry may have asked
		// again.
		return changes
	}
	s.wallet.failures = 0
	s.wallet.settle(min(max(r.Granted, 0), maxBatch), time.Duration(r.RetryMS)*time.Millisecond, now)
	return changes
}

// HandleTimeout records that a coordinator did not reply. It reports whether the
// entry uses its fallback share from now on.
func (t *Tracker) HandleTimeout(server Server, askID uint64, now time.Time) (fallback bool) {
	s := t.servers[server]
	if s == nil || s.wallet.askID != askID {
		return false
	}
	w := &s.wallet
	w.settle(0, retryAfterTimeout, now)
	w.failures++
	if w.failures < failuresUntilFallback {
		return false
	}
	w.failures, w.fallbackUntil = 0, now.Add(fallbackPeriod)
	return true
}

// Grant handles another entry's request for permits.
func (t *Tracker) Grant(r PermitRequest, m Membership, now time.Time) (PermitReply, []Change) {
	server := r.Notice.Server
	changes := t.Adopt(r.Notice, now)
	reply := PermitReply{ID: r.ID}
	if s := t.servers[server]; s != nil && s.limited {
		if t.coordinator(server, m, now) == m.Self {
			granted, retry := t.coordinated.grant(server, m.share()*effectiveRate(s.rate), min(max(r.Want, 1), maxBatch), now)
			reply.Granted, reply.RetryMS = granted, retry.Milliseconds()+1
		} else {
			// The reply's notice names the coordinator.
			reply.RetryMS = retryAfterTimeout.Milliseconds()
		}
	}
	reply.Notice = t.NoticeOf(server, m, now)
	return reply, changes
}

func effectiveRate(rate float64) float64 { return max(rate, probeRate) }

// allocator hands out permits for servers at given rates.
type allocator struct {
	supplies map[Server]*supply
}

// supply is what an allocator has for one server.
type supply struct {
	bucket *limits.TokenBucket
	// nextTurn is when the next entry that is denied a permit may ask again. If all
	// were told the time of the next permit, each permit would be asked for by all
	// entries at once.
	nextTurn time.Time
	// nearMissAt is the time of the permit that was last kept for a near miss.
	nearMissAt time.Time
}

func newAllocator() *allocator { return &allocator{supplies: map[Server]*supply{}} }

func (a *allocator) remove(server Server) { delete(a.supplies, server) }

// supply returns what there is for a server at a rate.
func (a *allocator) supply(server Server, rate float64, now time.Time) *supply {
	s := a.supplies[server]
	if s == nil {
		// It starts empty: another entry may have handed out permits until now.
		s = &supply{bucket: limits.NewTokenBucket(rate, 0)}
		a.supplies[server] = s
	}
	s.bucket.SetRate(now, rate, minBurst+rate*burstTime.Seconds())
	return s
}

// grant returns up to want permits, or the time after which to ask again.
func (a *allocator) grant(server Server, rate float64, want int, now time.Time) (granted int, retry time.Duration) {
	s := a.supply(server, rate, now)
	for granted < want {
		wait, ok := s.bucket.Take(now, 1)
		if !ok && granted == 0 {
			return 0, s.turn(wait, rate, now)
		}
		if !ok {
			break
		}
		granted++
	}
	return granted, 0
}

// turn returns after which time an entry that was denied a permit may ask again. The
// next permit is available after wait.
func (s *supply) turn(wait time.Duration, rate float64, now time.Time) time.Duration {
	if permitAt := now.Add(wait); wait <= nearMiss && now.After(s.nearMissAt) {
		s.nearMissAt = permitAt
		return wait
	}
	turn := now.Add(wait)
	if s.nextTurn.After(turn) {
		turn = s.nextTurn
	}
	latest := now.Add(maxDenial)
	if !turn.Before(latest) {
		return maxDenial
	}
	s.nextTurn = turn.Add(time.Duration(float64(time.Second) / rate))
	return turn.Sub(now)
}
