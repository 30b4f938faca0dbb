package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/laburnumloft/laburnumloft/core/invariant"
)

// Times of suspicion.
const (
	// SuspectAfter is the silence after which a member gets no new work.
	SuspectAfter = 3 * time.Second
	// DropAfter is the silence after which a member is dropped.
	DropAfter = 30 * time.Second
	// TakeoverGrace is how long a new home entry waits for the first report.
	// Members and entries learn of a lost home entry a few seconds apart.
	TakeoverGrace = 10 * time.Second
	// deferFor is how long a home entry leaves suspicion to another one that
	// contradicted it. Without it a single broken path makes a member flap.
	deferFor = 10 * time.Second
	// tombstoneFor exceeds the longest separation of regions, so that no old
	// record of a dropped member is taken for news at a reunion.
	tombstoneFor = 24 * time.Hour
	// homesEvery bounds how often home entries are computed anew.
	homesEvery = 500 * time.Millisecond
)

// Config describes the entry that owns the view.
type Config struct {
	ID          string
	Incarnation int64
	Place       Place
	// BytesPerSecond bounds the bytes sent; 0 means DefaultBytesPerSecond.
	BytesPerSecond float64
	// Seed makes the choice of partners repeatable.
	Seed uint64
}

// Listed is a member of the platform's list.
type Listed struct {
	ID string
	Place
	Leaving bool
}

// Member is what the view says of one member.
type Member struct {
	Record
	// Status is the effective state: the record's, the list's or the zone's.
	Status State
	// Changed is the version of the view at the latest change of the status,
	// the place or the served version.
	Changed uint64
	// Moved is the same for changes of the place or of being live only.
	Moved uint64
}

// Output is what the caller has to act on after an event.
type Output struct {
	// Changed is set when a status, place or version changed.
	Changed bool
	// Urgent is set when a departure should be passed on at once.
	Urgent bool
	// FollowUp is a message for the peer whose message was received.
	FollowUp *Message
}

// View is one entry's view of all members.
type View struct {
	cfg     Config
	self    *member
	members map[string]*member
	// order holds the members in the order of their first mention, so that
	// equal events have equal results.
	order    []*member
	zones    map[uint32]*zone
	version  uint64
	rng      *rand.Rand
	bucket   bucket
	queue    queue
	partners []string
	rotateAt time.Time
	next     int
	// entriesChanged asks for new home entries; homesAt is when they were
	// computed last.
	entriesChanged bool
	homesAt        time.Time
	liveEntries    int
	compareAt      time.Time
	probeAt        time.Time
	// compareWith is the random partner; home entries are all in one zone.
	compareWith    string
	loadFrom       int
	homed          []*member
	settingsOffset int64
	history        invariant.History
	counters       Counters
}

// Counters count what limits and policies did.
type Counters struct {
	Exhausted, LoadDropped, Refuted, Stale uint64
}

type member struct {
	Member
	listed, listLeaving bool
	listPlace           Place
	hash                uint32
	home                bool
	homeSince           time.Time
	heard, deferUntil   time.Time
	suspectedAt, goneAt time.Time
	live                bool
	movedTo             Place
	// alarmed is set once the incarnation was suspected or dropped anywhere.
	alarmed bool
	// refute makes the next own report of the member a delta.
	refute bool
	// hashZone is the zone whose digest holds hash.
	hashZone *zone
	// unconfirmed is set for members of a zone that was silent for so long
	// that its records may have been overtaken.
	unconfirmed      bool
	unconfirmedSince time.Time
}

// New returns a view that knows only its owner.
func New(now time.Time, cfg Config) *View {
	if cfg.BytesPerSecond == 0 {
		cfg.BytesPerSecond = DefaultBytesPerSecond
	}
	v := &View{
		cfg: cfg, members: map[string]*member{}, zones: map[uint32]*zone{},
		rng: rand.New(rand.NewPCG(cfg.Seed, hash64(cfg.ID))), bucket: newBucket(now, cfg.BytesPerSecond), queue: queue{},
	}
	v.self = v.ensure(cfg.ID)
	v.apply(now, v.self, Record{ID: cfg.ID, Incarnation: cfg.Incarnation, Sequence: 1, State: Serving, Place: cfg.Place})
	return v
}

func (v *View) ensure(id string) *member {
	m := v.members[id]
	if m == nil {
		m = &member{}
		m.ID = id
		v.members[id] = m
		v.order = append(v.order, m)
	}
	return m
}

func (v *View) remove(m *member) {
	delete(v.members, m.ID)
	delete(v.queue, m.ID)
	v.order = slices.DeleteFunc(slices.Clone(v.order), func(o *member) bool { return o == m })
}

// Leave makes the owner leave for good.
func (v *View) Leave(now time.Time) Output {
	r := v.self.Record
	r.Sequence++
	r.State = Leaving
	changed := v.apply(now, v.self, r)
	return Output{Changed: changed, Urgent: true}
}

// SetSettingsOffset records the settings that the owner has in force.
func (v *View) SetSettingsOffset(offset int64) {
	v.settingsOffset = max(v.settingsOffset, offset)
}

// List takes the platform's list. Reports take precedence for liveness.
func (v *View) List(now time.Time, list []Listed) Output {
	var out Output
	seen := make(map[string]bool, len(list))
	for _, l := range list {
		if l.ID == v.cfg.ID {
			v.self.listed, v.self.listPlace = true, l.Place
			if l.Leaving && v.self.State != Leaving {
				left := v.Leave(now)
				out.Changed, out.Urgent = true, left.Urgent
			}
			continue
		}
		seen[l.ID] = true
		m := v.ensure(l.ID)
		if m.Incarnation == 0 && m.Address == "" {
			m.Place = l.Place
			m.heard = now
			v.entriesChanged = true
		}
		if m.Address == "" {
			m.Place = l.Place
		}
		m.listed, m.listPlace = true, l.Place
		m.listLeaving = l.Leaving
		out.Changed = v.refresh(now, m) || out.Changed
	}
	for _, m := range v.order {
		if !m.listed || seen[m.ID] || m == v.self {
			continue
		}
		m.listed, m.listLeaving = false, false
		if m.Incarnation == 0 {
			// Only the list knew of it.
			m.State, m.goneAt = Gone, now
		}
		out.Changed = v.refresh(now, m) || out.Changed
	}
	return out
}

// Report takes a report that the member itself delivered.
func (v *View) Report(now time.Time, r Record) Output {
	if r.ID == v.cfg.ID || r.Incarnation == 0 {
		return Output{}
	}
	m := v.ensure(r.ID)
	if r.Incarnation < m.Incarnation {
		v.counters.Stale++
		return Output{}
	}
	m.heard = now
	m.unconfirmed = false
	before := m.hash
	if !r.Newer(&m.Record) {
		if r.Sequence < m.Sequence {
			v.counters.Stale++
		}
		return Output{Changed: v.refresh(now, m)}
	}
	out := Output{Changed: v.apply(now, m, r)}
	if m.hash != before || m.refute {
		m.refute = false
		out.Urgent = v.announce(m)
	}
	return out
}

// ObserveLoad takes the load that a data response carried.
func (v *View) ObserveLoad(id string, running, queued uint32) {
	if m := v.members[id]; m != nil {
		m.Running, m.Queued = running, queued
	}
}

// take merges a record that another entry passed on.
func (v *View) take(now time.Time, r Record) Output {
	if r.ID == v.cfg.ID {
		return v.refuteSelf(now, r)
	}
	m := v.ensure(r.ID)
	if r.hash() == m.hash && m.hash != 0 {
		// The peer has this change: pass it on less often.
		if d := v.queue[r.ID]; d != nil && !d.urgent {
			d.sent++
		}
	}
	if !r.Newer(&m.Record) {
		// Somebody holds an older state than this entry: tell it again. Load
		// alone is no reason to.
		if r.hash() != m.hash && m.Incarnation > 0 && (r.Incarnation < m.Incarnation || m.hash != 0 || m.State == Gone) {
			v.counters.Refuted++
			m.alarmed = m.alarmed || r.State == Suspected || r.State == Gone
			v.announce(m)
		}
		return Output{}
	}
	if m.home && (r.State == Suspected || r.State == Gone) && r.Incarnation == m.Incarnation && now.Sub(m.heard) < SuspectAfter {
		// The owner hears the member itself; its next report refutes this.
		m.Sequence, m.refute, m.alarmed = max(m.Sequence, r.Sequence), true, true
		return Output{}
	}
	before := m.hash
	if r.State != Suspected && r.State != Gone {
		if m.State == Suspected && m.home {
			m.deferUntil = now.Add(deferFor)
		}
		if r.Incarnation > m.Incarnation || m.State == Suspected || m.State == Gone {
			// Others hear it: give it time to report here.
			m.homeSince = now
		}
	}
	m.unconfirmed = false
	out := Output{Changed: v.apply(now, m, r)}
	if m.hash != before || r.State == Gone {
		out.Urgent = v.announce(m)
	}
	return out
}

// refuteSelf outbids what others say of the owner.
func (v *View) refuteSelf(now time.Time, r Record) Output {
	if !r.Newer(&v.self.Record) {
		return Output{}
	}
	v.counters.Refuted++
	own := v.self.Record
	if r.Incarnation > own.Incarnation {
		// The clock was set back since the predecessor started, whose leaving
		// would be final for this process as well.
		own.Incarnation = r.Incarnation + 1
	}
	own.Sequence = r.Sequence + 1
	changed := v.apply(now, v.self, own)
	v.announce(v.self)
	return Output{Changed: changed}
}

// apply puts a newer record in place. Leaving is final for an incarnation.
func (v *View) apply(now time.Time, m *member, r Record) bool {
	old := m.Record
	v.history.Check(r.Newer(&old), "record of %s goes back from %d/%d to %d/%d", r.ID, old.Incarnation, old.Sequence, r.Incarnation, r.Sequence)
	if r.Incarnation == old.Incarnation && old.State == Leaving && r.State != Gone {
		r.State = Leaving
	}
	if r.Address == "" {
		r.Place = old.Place
	}
	if r.Address == "" {
		r.Place = m.listPlace
	}
	restarted := r.Incarnation > old.Incarnation
	m.Record = r
	if restarted {
		m.deferUntil, m.alarmed = time.Time{}, false
	}
	m.alarmed = m.alarmed || r.State == Suspected || r.State == Gone
	switch {
	case r.State == Suspected && (old.State != Suspected || restarted):
		m.suspectedAt = now
	case r.State == Gone && old.State != Gone:
		m.goneAt = now
	}
	if r.State != old.State || restarted {
		v.history.Addf("%s: %d/%d state %d, was %d/%d state %d", r.ID, r.Incarnation, r.Sequence, r.State, old.Incarnation, old.Sequence, old.State)
	}
	leftBefore := old.State == Leaving && !restarted
	v.history.Check(!leftBefore || m.State == Leaving || m.State == Gone, "%s returned from leaving within incarnation %d", r.ID, r.Incarnation)
	changed := old.Version != r.Version || old.Place != r.Place || restarted || old.State != r.State
	return v.touch(now, m, changed)
}

// refresh computes the status anew and reports whether it changed.
func (v *View) refresh(now time.Time, m *member) bool {
	return v.touch(now, m, false)
}

func (v *View) touch(now time.Time, m *member, changed bool) bool {
	status := v.status(now, m)
	if status != m.Status {
		changed = true
		if m.Role == RoleEntry {
			v.entriesChanged = true
		}
	}
	m.Status = status
	hash, z := m.Record.hash(), v.zone(now, m.Zone)
	if hash != m.hash || z != m.hashZone {
		if m.hashZone != nil {
			m.hashZone.digest ^= m.hash
		}
		z.digest ^= hash
		m.hash, m.hashZone = hash, z
	}
	if changed {
		v.version++
		m.Changed = v.version
	}
	if live := status == Starting || status == Serving; live != m.live || m.Place != m.movedTo {
		m.live, m.movedTo = live, m.Place
		m.Moved = v.version
	}
	return changed
}

func (v *View) status(now time.Time, m *member) State {
	if m == v.self {
		return m.State
	}
	z := v.zone(now, m.Zone)
	switch {
	case m.State == Gone, z.state == Gone, m.unconfirmed && now.Sub(m.unconfirmedSince) >= DropAfter:
		return Gone
	case m.State == Leaving, m.listLeaving:
		return Leaving
	case m.State == Suspected, z.state == Suspected, m.unconfirmed:
		return Suspected
	case m.Incarnation == 0 && now.Sub(m.heard) >= DropAfter:
		// Only the list shows it, and no entry passed on a report: it may have
		// been dropped before this entry started.
		return Gone
	case m.Incarnation == 0 && m.Role == RoleEntry:
		return Serving
	case m.Incarnation == 0:
		return Starting
	default:
		return m.State
	}
}

// Tick advances suspicion, zones and home entries.
func (v *View) Tick(now time.Time) Output {
	var out Output
	v.bucket.fill(now)
	zonesChanged := v.tickZones(now)
	if v.entriesChanged && now.Sub(v.homesAt) >= homesEvery {
		v.assignHomes(now)
	}
	for _, m := range v.order {
		if m == v.self {
			continue
		}
		if m.State == Gone {
			if now.Sub(m.goneAt) > tombstoneFor && !m.listed {
				v.remove(m)
			} else if zonesChanged {
				out.Changed = v.refresh(now, m) || out.Changed
			}
			continue
		}
		out = merge(out, v.watch(now, m))
		if m.unconfirmed && !m.listed && now.Sub(m.unconfirmedSince) >= DropAfter && v.zone(now, m.Zone).state == Serving {
			out.Changed = v.forget(m) || out.Changed
			continue
		}
		if zonesChanged || m.unconfirmed || m.Incarnation == 0 {
			out.Changed = v.refresh(now, m) || out.Changed
		}
	}
	return out
}

// forget removes a member that nobody confirmed after its zone returned.
// Those who hold the same record distrust it too, so it does not come back.
func (v *View) forget(m *member) bool {
	m.hashZone.digest ^= m.hash
	v.remove(m)
	v.version++
	return true
}

// watch suspects and drops a silent member.
func (v *View) watch(now time.Time, m *member) Output {
	r := m.Record
	switch {
	case m.State == Suspected && now.Sub(m.suspectedAt) >= DropAfter-SuspectAfter:
		r.State = Gone
		return Output{Changed: v.apply(now, m, r)}
	case !m.home || m.State == Suspected || now.Before(m.deferUntil):
		return Output{}
	case m.unconfirmed || !v.zone(now, m.Zone).settled(now):
		// The zone is judged as a whole; deltas for each member of it would be
		// a storm at its loss and another one at its return.
		return Output{}
	case m.State == Leaving && now.Sub(maxTime(m.heard, m.homeSince)) >= DropAfter:
		r.State = Gone
		return Output{Changed: v.apply(now, m, r), Urgent: v.announce(m)}
	case m.State == Leaving:
		return Output{}
	}
	// A member that reports here is suspected after SuspectAfter; one whose
	// home entry this only just became has TakeoverGrace to find it.
	silent := now.Sub(m.heard) >= SuspectAfter
	if m.heard.Before(m.homeSince) {
		silent = now.Sub(m.homeSince) >= TakeoverGrace
	}
	if !silent {
		return Output{}
	}
	r.State = Suspected
	changed := v.apply(now, m, r)
	return Output{Changed: changed, Urgent: v.announce(m)}
}

// assignHomes computes which members have the owner as home entry.
func (v *View) assignHomes(now time.Time) {
	v.entriesChanged, v.homesAt = false, now
	entries := v.LiveEntries()
	v.liveEntries = len(entries)
	v.homed = v.homed[:0]
	for _, m := range v.order {
		if m == v.self {
			continue
		}
		home := slices.ContainsFunc(Homes(m.ID, m.Region, m.Zone, entries), func(c Candidate) bool { return c.ID == v.cfg.ID })
		if home && !m.home {
			m.homeSince = now
		}
		m.home = home
		if home && m.State != Gone {
			v.homed = append(v.homed, m)
		}
	}
	slices.SortFunc(v.homed, func(a, b *member) int { return compare(a.ID, b.ID) })
	v.countZoneEntries(entries)
}

// LiveEntries returns the entries that may be home entries, sorted by id.
func (v *View) LiveEntries() []Candidate {
	var entries []Candidate
	for _, m := range v.order {
		if m.Role == RoleEntry && m.Status == Serving {
			entries = append(entries, NewCandidate(m.ID, m.Region, m.Zone))
		}
	}
	slices.SortFunc(entries, func(a, b Candidate) int { return compare(a.ID, b.ID) })
	return entries
}

// Version grows with each change of a status, place or served version.
func (v *View) Version() uint64 { return v.version }

// Self returns the owner's record.
func (v *View) Self() Record { return v.self.Record }

// Counters returns what limits and policies did so far.
func (v *View) Counters() Counters { return v.counters }

// Get returns one member.
func (v *View) Get(id string) (Member, bool) {
	m := v.members[id]
	if m == nil {
		return Member{}, false
	}
	return m.Member, true
}

// Members calls yield for each member in no particular order.
func (v *View) Members(yield func(*Member) bool) {
	for _, m := range v.order {
		if !yield(&m.Member) {
			return
		}
	}
}

func merge(a, b Output) Output {
	a.Changed = a.Changed || b.Changed
	a.Urgent = a.Urgent || b.Urgent
	return a
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
