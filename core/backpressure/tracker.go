package backpressure

import (
	"math"
	"slices"
	"time"
)

const (
	// retention is how long the state of a server is kept after the last signal. A
	// server that leaves may go on for many seconds after its record is gone, and
	// records that expired during an outage of the store come back.
	retention = 10 * time.Minute
	// maxServers limits the servers of which state is kept.
	maxServers = 4096
	// withdrawalNoticePeriod is how long a withdrawn limit is repeated to other
	// entries, and leavingNoticePeriod a server's leaving. Each round reaches only
	// some of them.
	withdrawalNoticePeriod = 10 * time.Second
	leavingNoticePeriod    = 20 * time.Second
)

// Standing is what an entry may do at a server.
type Standing int

// Values of Standing.
const (
	// Free means that requests may be sent.
	Free Standing = iota
	// PermitHeld means that a request may be sent with TakePermit.
	PermitHeld
	// PermitNeeded means that the entry may ask for a permit with Ask.
	PermitNeeded
	// Paused means that no request may be sent until a known time.
	Paused
	// Leaving means that no request may be sent to this instance any more.
	Leaving
)

// ChangeKind is the kind of a change in what is known about a server.
type ChangeKind string

// Kinds of changes, with the names that log lines contain.
const (
	LimitSet       ChangeKind = "server_limit_named"
	LimitChanged   ChangeKind = "server_limit_changed"
	LimitWithdrawn ChangeKind = "server_limit_withdrawn"
	LeavingSeen    ChangeKind = "server_leaving"
	QuietBegun     ChangeKind = "server_quiet"
)

// Change is a change in what is known about a server.
type Change struct {
	Kind   ChangeKind
	Server Server
	// Rate is the limit in requests per second, or the one that was withdrawn.
	Rate float64
	// QuietFor is the length of the quiet time of a QuietBegun.
	QuietFor time.Duration
}

// Notice tells other entries what is known about a server. Quiet times are not
// part of it, because each entry has its own.
type Notice struct {
	Server Server `json:"server"`
	// ByAddress means that the server's id is its address: agents know no other.
	ByAddress bool `json:"by_address,omitempty"`
	// Limited says whether the server limits its rate, as of AgeMS milliseconds
	// ago. A negative age means that nothing is known about a limit.
	Limited bool    `json:"limited,omitempty"`
	Rate    float64 `json:"rate,omitempty"`
	AgeMS   int64   `json:"age_ms"`
	Leaving bool    `json:"leaving,omitempty"`
	// Coordinator is the entry that hands out the server's permits in the view of
	// the sender, which heard from it CoordinatorAgeMS milliseconds ago.
	Coordinator      string `json:"coordinator,omitempty"`
	CoordinatorAgeMS int64  `json:"coordinator_age_ms,omitempty"`
}

// state is what an entry knows about one server.
type state struct {
	limited bool
	rate    float64
	// limitAsOf is when the server last named its limit or, if it is not limited,
	// showed that it has none; zero if it never named one.
	limitAsOf    time.Time
	leaving      bool
	leavingSince time.Time
	// quietUntil is the end of the time for which the server wants no requests, and
	// quietAsOf when it last named one.
	quietUntil, quietAsOf time.Time
	touchedAt             time.Time
	wallet                wallet
}

// Tracker holds what an entry knows about the servers in need.
type Tracker struct {
	servers map[Server]*state
	// coordinated are the permits that this entry hands out to all entries;
	// fallback are those that it gives itself while a coordinator does not answer.
	coordinated, fallback *allocator
	// claims are the times at which other entries last heard from coordinators.
	claims  map[string]time.Time
	nextAsk uint64
}

// NewTracker returns a tracker that knows of no server.
func NewTracker() *Tracker {
	return &Tracker{servers: map[Server]*state{}, coordinated: newAllocator(), fallback: newAllocator(), claims: map[string]time.Time{}}
}

// Observe records what an answer said about its server. The request was sent at
// sentAt. It returns the changes that follow.
func (t *Tracker) Observe(server Server, signals Signals, sentAt, now time.Time) (changes []Change) {
	s := t.servers[server]
	if s == nil {
		if signals.Limit != LimitNamed && !signals.Leaving && signals.QuietFor == 0 {
			return nil
		}
		s = t.add(server, now)
	}
	s.touchedAt = now
	switch {
	case signals.Limit == LimitNamed:
		changes = s.setLimit(server, true, signals.Rate, now)
	case signals.Limit == LimitAbsent && sentAt.After(s.limitAsOf):
		// The server answered a request that it got after it last named the limit.
		changes = s.setLimit(server, false, 0, now)
	}
	if signals.Leaving {
		changes = append(changes, s.setLeaving(server, now)...)
	}
	if until := now.Add(signals.QuietFor); signals.QuietFor > 0 && until.After(s.quietUntil) {
		if !now.Before(s.quietUntil) {
			changes = append(changes, Change{Kind: QuietBegun, Server: server, QuietFor: signals.QuietFor})
		}
		s.quietUntil, s.quietAsOf = until, now
	}
	return changes
}

// Succeed records that an instance of a server started at a time. Its answers may have come
// before its record, so that they were taken for those of an earlier instance: a limit or a
// quiet time that was named since the start is its own. A server that said that it leaves
// has ended since then.
func (t *Tracker) Succeed(server Server, started, now time.Time) (changes []Change) {
	for other, earlier := range t.servers {
		if other.ID != server.ID || other.Born >= server.Born {
			continue
		}
		// What the later instance has named itself stays.
		signals := Signals{Limit: LimitUnreadable}
		if earlier.limited && earlier.limitAsOf.After(started) {
			signals.Limit, signals.Rate = LimitNamed, earlier.rate
		}
		if earlier.quietAsOf.After(started) {
			signals.QuietFor = max(0, earlier.quietUntil.Sub(now))
		}
		changes = append(changes, t.Observe(server, signals, started, now)...)
	}
	return changes
}

func (s *state) setLimit(server Server, limited bool, rate float64, asOf time.Time) (changes []Change) {
	switch {
	case limited && !s.limited:
		changes = []Change{{Kind: LimitSet, Server: server, Rate: rate}}
		s.wallet = wallet{}
	case limited && rate != s.rate:
		changes = []Change{{Kind: LimitChanged, Server: server, Rate: rate}}
		// What was refused at the old rate may be possible at the new one.
		s.wallet.deniedUntil = time.Time{}
	case !limited && s.limited:
		changes = []Change{{Kind: LimitWithdrawn, Server: server, Rate: s.rate}}
	case !limited:
		// A server that never named a limit needs no record of that.
		return nil
	}
	s.limited, s.rate, s.limitAsOf = limited, rate, asOf
	return changes
}

func (s *state) setLeaving(server Server, now time.Time) []Change {
	if s.leaving {
		return nil
	}
	s.leaving, s.leavingSince = true, now
	return []Change{{Kind: LeavingSeen, Server: server}}
}

// Adopt records a notice of another entry, or of the agent beside the server.
func (t *Tracker) Adopt(n Notice, now time.Time) (changes []Change) {
	if n.Server.ID == "" || math.IsNaN(n.Rate) || n.Rate < 0 || n.Rate > maxRate {
		return nil
	}
	if n.Coordinator != "" && n.CoordinatorAgeMS >= 0 {
		heard := now.Add(-time.Duration(n.CoordinatorAgeMS) * time.Millisecond)
		if heard.After(t.claims[n.Coordinator]) {
			t.claims[n.Coordinator] = heard
		}
	}
	s := t.servers[n.Server]
	if s == nil {
		if !n.Limited && !n.Leaving {
			return nil
		}
		s = t.add(n.Server, now)
	}
	if n.AgeMS >= 0 {
		asOf := now.Add(-time.Duration(n.AgeMS) * time.Millisecond)
		if asOf.After(s.limitAsOf) && (n.Limited || s.limited) {
			s.touchedAt = now
			changes = s.setLimit(n.Server, n.Limited, n.Rate, asOf)
		}
	}
	if n.Leaving {
		changes = append(changes, s.setLeaving(n.Server, now)...)
	}
	return changes
}

// add returns the new state of a server, and drops states that are no longer needed.
func (t *Tracker) add(server Server, now time.Time) *state {
	for other, s := range t.servers {
		if now.Sub(s.touchedAt) > retention || len(t.servers) >= maxServers {
			t.remove(other)
		}
	}
	s := &state{touchedAt: now}
	t.servers[server] = s
	return s
}

func (t *Tracker) remove(server Server) {
	delete(t.servers, server)
	t.coordinated.remove(server)
	t.fallback.remove(server)
}

// Standing returns what this entry may do at a server, and for Paused until when.
func (t *Tracker) Standing(server Server, now time.Time) (Standing, time.Time) {
	s := t.servers[server]
	switch {
	case s == nil:
		return Free, time.Time{}
	case s.leaving:
		return Leaving, time.Time{}
	case now.Before(s.quietUntil):
		return Paused, s.quietUntil
	case !s.limited:
		return Free, time.Time{}
	default:
		return s.wallet.standing(now)
	}
}

// Len returns the number of servers of which something is known.
func (t *Tracker) Len() int { return len(t.servers) }

// Limit returns a server's limit in requests per second, if it has one.
func (t *Tracker) Limit(server Server) (rate float64, limited bool) {
	s := t.servers[server]
	if s == nil || !s.limited {
		return 0, false
	}
	return s.rate, true
}

// Notices returns what other entries should know, ordered by server. It forgets servers
// that are no longer in need, which would slow down each decision.
func (t *Tracker) Notices(m Membership, now time.Time) []Notice {
	var servers []Server
	for server, s := range t.servers {
		withdrawn := !s.limited && !s.limitAsOf.IsZero() && now.Sub(s.limitAsOf) < withdrawalNoticePeriod
		switch {
		case s.limited || withdrawn || s.leaving && now.Sub(s.leavingSince) < leavingNoticePeriod:
			servers = append(servers, server)
		case !s.leaving && !now.Before(s.quietUntil):
			t.remove(server)
		}
	}
	slices.SortFunc(servers, compareServers)
	notices := make([]Notice, 0, len(servers))
	for _, server := range servers {
		notices = append(notices, t.NoticeOf(server, m, now))
	}
	return notices
}

// NoticeOf returns what other entries should know about one server.
func (t *Tracker) NoticeOf(server Server, m Membership, now time.Time) Notice {
	n := Notice{Server: server, AgeMS: -1}
	s := t.servers[server]
	if s == nil {
		return n
	}
	n.Leaving = s.leaving
	if s.limitAsOf.IsZero() {
		return n
	}
	n.Limited, n.Rate, n.AgeMS = s.limited, s.rate, max(0, now.Sub(s.limitAsOf).Milliseconds())
	if s.limited {
		// Only what this entry heard itself is passed on, so that a claim expires.
		if id := m.preferred(server, nil); id != "" {
			n.Coordinator, n.CoordinatorAgeMS = id, m.heardAgo(id).Milliseconds()
		}
	}
	return n
}
