package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/laburnumloft/laburnumloft/core/invariant"
)

// Timeouts of failure detection.
const (
	// SuspectAfter is the silence after which a member is suspected and gets no
	// new work.
	SuspectAfter = 3 * time.Second
	// GoneAfter is the silence after which a member is gone.
	GoneAfter = 30 * time.Second
	// TakeoverGracePeriod is the time that a new home entry waits for a
	// member's first report, because members and entries detect the loss of a
	// home entry a few seconds apart.
	TakeoverGracePeriod = 10 * time.Second
	// suspicionBackoff is the time for which a home entry doesn't suspect a
	// member after another entry has contradicted its suspicion. Without it,
	// one broken network path makes a member's state flap.
	suspicionBackoff = 10 * time.Second
	// tombstoneRetention exceeds the longest network partition between regions,
	// so that an old record of a member that is gone is not accepted as new when
	// the partition heals.
	tombstoneRetention = 24 * time.Hour
	// homesInterval is the shortest time between two computations of the home
	// entries.
	homesInterval = 500 * time.Millisecond
)

// Config describes the entry that owns the view.
type Config struct {
	ID          string
	Incarnation int64
	Place       Place
	// BytesPerSecond limits the bytes sent; 0 means DefaultBytesPerSecond.
	BytesPerSecond float64
	// Seed makes the random choice of gossip partners reproducible.
	Seed uint64
}

// ListedMember is one member in the platform's membership list.
type ListedMember struct {
	ID string
	Place
	Leaving bool
}

// Member is one member as the view shows it.
type Member struct {
	Record
	// EffectiveState is derived from the states of the record and of the zone and
	// from the platform's list.
	EffectiveState State
	// ChangedVersion is the version of the view at the latest change of the
	// effective state, the place, the incarnation or the served version.
	ChangedVersion uint64
	// LivenessVersion is the version of the view at the latest change of the place or of
	// whether the member is live (starting or serving).
	LivenessVersion uint64
}

// Output tells the caller what to do after an event.
type Output struct {
	// Changed is set if the state, place, incarnation or served version of a
	// member changed.
	Changed bool
	// Urgent is set if the caller should send deltas to UrgentTargets
	// immediately, because a member is leaving or suspected.
	Urgent bool
	// FollowUp is a message to send to the peer whose message was handled; nil
	// if there is none.
	FollowUp *Message
}

// View is one entry's view of all members. The entry is called its owner.
type View struct {
	cfg     Config
	self    *member
	members map[string]*member
	// membersInOrder holds the members in the order in which they were added,
	// so that the same events always give the same results.
	membersInOrder []*member
	zones          map[uint32]*zone
	version        uint64
	rng            *rand.Rand
	bucket         bucket
	queue          queue
	partners       []string
	nextRotationAt time.Time
	nextPartner    int
	// homesOutdated is set if the home entries have to be computed again;
	// homesComputedAt is the time of the last computation.
	homesOutdated   bool
	homesComputedAt time.Time
	liveEntryCount  int
	nextCompareAt   time.Time
	nextProbeAt     time.Time
	// comparePartner is the peer with which digests are compared. It is the
	// random partner, because home entries are all in one zone.
	comparePartner string
	nextLoad       int
	homeMembers    []*member
	settingsOffset int64
	history        invariant.History
	counters       Counters
}

// Counters count how often the bucket had no room (BucketExhausted), loads were left
// out of a message (LoadDropped), an older record of a peer was contradicted
// (Refuted) and a report was older than the known record (StaleReports).
type Counters struct {
	BucketExhausted, LoadDropped, Refuted, StaleReports uint64
}

type member struct {
	Member
	listed, listedLeaving              bool
	listedPlace                        Place
	recordHash                         uint32
	ownerIsHome                        bool
	homeSince                          time.Time
	lastContact, suspicionBackoffUntil time.Time
	suspectedAt, goneAt                time.Time
	wasLive                            bool
	lastPlace                          Place
	// wasSuspected is set if any entry reported this incarnation as suspected or
	// gone.
	wasSuspected bool
	// refutePending makes the member's next report to the owner a delta.
	refutePending bool
	// digestZone is the zone whose digest includes recordHash.
	digestZone *zone
	// unconfirmed is set for members of a zone that was gone and is reachable
	// again, because their records may be outdated.
	unconfirmed      bool
	unconfirmedSince time.Time
}

// New returns a view that holds only its owner.
func New(now time.Time, cfg Config) *View {
	if cfg.BytesPerSecond == 0 {
		cfg.BytesPerSecond = DefaultBytesPerSecond
	}
	v := &View{
		cfg: cfg, members: map[string]*member{}, zones: map[uint32]*zone{},
		rng: rand.New(rand.NewPCG(cfg.Seed, hash64(cfg.ID))), bucket: newBucket(now, cfg.BytesPerSecond), queue: queue{},
	}
	v.self = v.getOrAddMember(cfg.ID)
	v.apply(now, v.self, Record{ID: cfg.ID, Incarnation: cfg.Incarnation, Sequence: 1, State: Serving, Place: cfg.Place})
	return v
}

func (v *View) getOrAddMember(id string) *member {
	m := v.members[id]
	if m == nil {
		m = &member{}
		m.ID = id
		v.members[id] = m
		v.membersInOrder = append(v.membersInOrder, m)
	}
	return m
}

func (v *View) remove(m *member) {
	delete(v.members, m.ID)
	delete(v.queue, m.ID)
	v.membersInOrder = slices.DeleteFunc(slices.Clone(v.membersInOrder), func(o *member) bool { return o == m })
}

// Leave sets the owner's state to Leaving, which is final for its incarnation.
func (v *View) Leave(now time.Time) Output {
	r := v.self.Record
	r.Sequence++
	r.State = Leaving
	changed := v.apply(now, v.self, r)
	return Output{Changed: changed, Urgent: true}
}

// SetSettingsOffset records the offset of the settings that are in force at the
// owner. The offset never decreases.
func (v *View) SetSettingsOffset(offset int64) {
	v.settingsOffset = max(v.settingsOffset, offset)
}

// HandleList handles a new copy of the platform's membership list. For a member that
// has reported, its reports decide whether it is live, not the list.
func (v *View) HandleList(now time.Time, list []ListedMember) Output {
	var out Output
	inList := make(map[string]bool, len(list))
	for _, l := range list {
		if l.ID == v.cfg.ID {
			v.self.listed, v.self.listedPlace = true, l.Place
			if l.Leaving && v.self.State != Leaving {
				leaveOut := v.Leave(now)
				out.Changed, out.Urgent = true, leaveOut.Urgent
			}
			continue
		}
		inList[l.ID] = true
		m := v.getOrAddMember(l.ID)
		if m.Incarnation == 0 && m.Address == "" {
			m.Place = l.Place
			m.lastContact = now
			v.homesOutdated = true
		}
		if m.Address == "" {
			m.Place = l.Place
		}
		m.listed, m.listedPlace = true, l.Place
		m.listedLeaving = l.Leaving
		out.Changed = v.refreshState(now, m) || out.Changed
	}
	for _, m := range v.membersInOrder {
		if !m.listed || inList[m.ID] || m == v.self {
			continue
		}
		m.listed, m.listedLeaving = false, false
		if m.Incarnation == 0 {
			// The member never reported; only the list contained it.
			m.State, m.goneAt = Gone, now
		}
		out.Changed = v.refreshState(now, m) || out.Changed
	}
	return out
}

// HandleReport handles a report that came directly from the member.
func (v *View) HandleReport(now time.Time, r Record) Output {
	if r.ID == v.cfg.ID || r.Incarnation == 0 {
		return Output{}
	}
	m := v.getOrAddMember(r.ID)
	if r.Incarnation < m.Incarnation {
		v.counters.StaleReports++
		return Output{}
	}
	m.lastContact = now
	m.unconfirmed = false
	oldHash := m.recordHash
	if !r.Newer(&m.Record) {
		if r.Sequence < m.Sequence {
			v.counters.StaleReports++
		}
		return Output{Changed: v.refreshState(now, m)}
	}
	out := Output{Changed: v.apply(now, m, r)}
	if m.recordHash != oldHash || m.refutePending {
		m.refutePending = false
		out.Urgent = v.queueDelta(m)
	}
	return out
}

// RecordLoad records the load that a member's response to a request carried.
func (v *View) RecordLoad(id string, running, queued uint32) {
	if m := v.members[id]; m != nil {
		m.Running, m.Queued = running, queued
	}
}

// handleRecord merges a record that a peer sent.
func (v *View) handleRecord(now time.Time, r Record) Output {
	if r.ID == v.cfg.ID {
		return v.refuteSelf(now, r)
	}
	m := v.getOrAddMember(r.ID)
	if r.announcedHash() == m.recordHash && m.recordHash != 0 {
		// The peer already has this change, so count it as transmitted once.
		if d := v.queue[r.ID]; d != nil && !d.urgent {
			d.sent++
		}
	}
	if !r.Newer(&m.Record) {
		// The peer holds an older state, so send the owner's record again,
		// unless the records differ in load only.
		if r.announcedHash() != m.recordHash && m.Incarnation > 0 && (r.Incarnation < m.Incarnation || m.recordHash != 0 || m.State == Gone) {
			v.counters.Refuted++
			m.wasSuspected = m.wasSuspected || r.State == Suspected || r.State == Gone
			v.queueDelta(m)
		}
		return Output{}
	}
	if m.ownerIsHome && (r.State == Suspected || r.State == Gone) && r.Incarnation == m.Incarnation && now.Sub(m.lastContact) < SuspectAfter {
		// The member still reports to the owner; its next report refutes the
		// peer's record.
		m.Sequence, m.refutePending, m.wasSuspected = max(m.Sequence, r.Sequence), true, true
		return Output{}
	}
	oldHash := m.recordHash
	if r.State != Suspected && r.State != Gone {
		if m.State == Suspected && m.ownerIsHome {
			m.suspicionBackoffUntil = now.Add(suspicionBackoff)
		}
		if r.Incarnation > m.Incarnation || m.State == Suspected || m.State == Gone {
			// The member is alive, because it reports to other entries. Give it
			// the grace period to report to the owner.
			m.homeSince = now
		}
	}
	m.unconfirmed = false
	out := Output{Changed: v.apply(now, m, r)}
	if m.recordHash != oldHash || r.State == Gone {
		out.Urgent = v.queueDelta(m)
	}
	return out
}

// refuteSelf replaces a peer's newer record of the owner by a still newer one
// with the owner's actual state.
func (v *View) refuteSelf(now time.Time, r Record) Output {
	if !r.Newer(&v.self.Record) {
		return Output{}
	}
	v.counters.Refuted++
	outbid := v.self.Record
	if r.Incarnation > outbid.Incarnation {
		// The clock was set back since an earlier process with this id started.
		// Without a larger incarnation, the Leaving state of that process would be
		// final for this one as well.
		outbid.Incarnation = r.Incarnation + 1
	}
	outbid.Sequence = r.Sequence + 1
	changed := v.apply(now, v.self, outbid)
	v.queueDelta(v.self)
	return Output{Changed: changed}
}

// apply replaces the member's record by a newer one. Within an incarnation,
// Leaving can only be followed by Gone.
func (v *View) apply(now time.Time, m *member, r Record) bool {
	old := m.Record
	v.history.Check(r.Newer(&old), "record of %s would be replaced by an older or equal one: %d/%d by %d/%d", r.ID, old.Incarnation, old.Sequence, r.Incarnation, r.Sequence)
	if r.Incarnation == old.Incarnation && old.State == Leaving && r.State != Gone {
		r.State = Leaving
	}
	if r.Address == "" {
		r.Place = old.Place
	}
	if r.Address == "" {
		r.Place = m.listedPlace
	}
	restarted := r.Incarnation > old.Incarnation
	m.Record = r
	if restarted {
		m.suspicionBackoffUntil, m.wasSuspected = time.Time{}, false
	}
	m.wasSuspected = m.wasSuspected || r.State == Suspected || r.State == Gone
	switch {
	case r.State == Suspected && (old.State != Suspected || restarted):
		m.suspectedAt = now
	case r.State == Gone && old.State != Gone:
		m.goneAt = now
	}
	if r.State != old.State || restarted {
		v.history.Addf("%s: %d/%d state %d, was %d/%d state %d", r.ID, r.Incarnation, r.Sequence, r.State, old.Incarnation, old.Sequence, old.State)
	}
	wasLeaving := old.State == Leaving && !restarted
	v.history.Check(!wasLeaving || m.State == Leaving || m.State == Gone, "%s changed from leaving to a live state within incarnation %d", r.ID, r.Incarnation)
	changed := old.Version != r.Version || old.Place != r.Place || restarted || old.State != r.State
	return v.updateDerived(now, m, changed)
}

// refreshState recomputes the effective state and reports whether it changed.
func (v *View) refreshState(now time.Time, m *member) bool {
	return v.updateDerived(now, m, false)
}

func (v *View) updateDerived(now time.Time, m *member, changed bool) bool {
	status := v.effectiveState(now, m)
	if status != m.EffectiveState {
		changed = true
		if m.Role == RoleEntry {
			v.homesOutdated = true
		}
	}
	m.EffectiveState = status
	hash, z := m.Record.announcedHash(), v.getOrAddZone(now, m.Zone)
	if hash != m.recordHash || z != m.digestZone {
		if m.digestZone != nil {
			m.digestZone.digest ^= m.recordHash
		}
		z.digest ^= hash
		m.recordHash, m.digestZone = hash, z
	}
	if changed {
		v.version++
		m.ChangedVersion = v.version
	}
	if live := status == Starting || status == Serving; live != m.wasLive || m.Place != m.lastPlace {
		m.wasLive, m.lastPlace = live, m.Place
		m.LivenessVersion = v.version
	}
	return changed
}

func (v *View) effectiveState(now time.Time, m *member) State {
	if m == v.self {
		return m.State
	}
	z := v.getOrAddZone(now, m.Zone)
	switch {
	case m.State == Gone, z.state == Gone, m.unconfirmed && now.Sub(m.unconfirmedSince) >= GoneAfter:
		return Gone
	case m.State == Leaving, m.listedLeaving:
		return Leaving
	case m.State == Suspected, z.state == Suspected, m.unconfirmed:
		return Suspected
	case m.Incarnation == 0 && now.Sub(m.lastContact) >= GoneAfter:
		// Only the list contains the member, and no entry has sent a record of
		// it. It may have been gone before the owner started.
		return Gone
	case m.Incarnation == 0 && m.Role == RoleEntry:
		return Serving
	case m.Incarnation == 0:
		return Starting
	default:
		return m.State
	}
}

// Tick updates everything that depends on time: the bucket, the states of zones
// and silent members, the home entries and the retention of tombstones.
func (v *View) Tick(now time.Time) Output {
	var out Output
	v.bucket.refill(now)
	zonesChanged := v.updateZoneStates(now)
	if v.homesOutdated && now.Sub(v.homesComputedAt) >= homesInterval {
		v.assignHomes(now)
	}
	for _, m := range v.membersInOrder {
		if m == v.self {
			continue
		}
		if m.State == Gone {
			if now.Sub(m.goneAt) > tombstoneRetention && !m.listed {
				v.remove(m)
			} else if zonesChanged {
				out.Changed = v.refreshState(now, m) || out.Changed
			}
			continue
		}
		out = mergeOutputs(out, v.checkSilence(now, m))
		if m.unconfirmed && !m.listed && now.Sub(m.unconfirmedSince) >= GoneAfter && v.getOrAddZone(now, m.Zone).state == Serving {
			out.Changed = v.evictUnconfirmed(m) || out.Changed
			continue
		}
		if zonesChanged || m.unconfirmed || m.Incarnation == 0 {
			out.Changed = v.refreshState(now, m) || out.Changed
		}
	}
	return out
}

// evictUnconfirmed removes a member that no peer confirmed after its zone was
// reachable again. Other entries with the same record hold it as unconfirmed as
// well, so they do not send it back.
func (v *View) evictUnconfirmed(m *member) bool {
	m.digestZone.digest ^= m.recordHash
	v.remove(m)
	v.version++
	return true
}

// checkSilence marks a silent member as suspected and later as gone.
func (v *View) checkSilence(now time.Time, m *member) Output {
	r := m.Record
	switch {
	case m.State == Suspected && now.Sub(m.suspectedAt) >= GoneAfter-SuspectAfter:
		r.State = Gone
		return Output{Changed: v.apply(now, m, r)}
	case !m.ownerIsHome || m.State == Suspected || now.Before(m.suspicionBackoffUntil):
		return Output{}
	case m.unconfirmed || !v.getOrAddZone(now, m.Zone).settled(now):
		// The zone is checked as a whole. One delta for each of its members would
		// cause a storm when the zone is lost and another when it returns.
		return Output{}
	case m.State == Leaving && now.Sub(laterTime(m.lastContact, m.homeSince)) >= GoneAfter:
		r.State = Gone
		return Output{Changed: v.apply(now, m, r), Urgent: v.queueDelta(m)}
	case m.State == Leaving:
		return Output{}
	}
	// A member that reports to the owner is suspected after SuspectAfter. If the
	// owner has become its home entry since the last report, the member has
	// TakeoverGracePeriod to send its first one.
	silent := now.Sub(m.lastContact) >= SuspectAfter
	if m.lastContact.Before(m.homeSince) {
		silent = now.Sub(m.homeSince) >= TakeoverGracePeriod
	}
	if !silent {
		return Output{}
	}
	r.State = Suspected
	changed := v.apply(now, m, r)
	return Output{Changed: changed, Urgent: v.queueDelta(m)}
}

// assignHomes computes which members have the owner as a home entry.
func (v *View) assignHomes(now time.Time) {
	v.homesOutdated, v.homesComputedAt = false, now
	entries := v.LiveEntries()
	v.liveEntryCount = len(entries)
	v.homeMembers = v.homeMembers[:0]
	for _, m := range v.membersInOrder {
		if m == v.self {
			continue
		}
		home := slices.ContainsFunc(Homes(m.ID, m.Region, m.Zone, entries), func(c Candidate) bool { return c.ID == v.cfg.ID })
		if home && !m.ownerIsHome {
			m.homeSince = now
		}
		m.ownerIsHome = home
		if home && m.State != Gone {
			v.homeMembers = append(v.homeMembers, m)
		}
	}
	slices.SortFunc(v.homeMembers, func(a, b *member) int { return compareIDs(a.ID, b.ID) })
	v.countZoneEntries(entries)
}

// LiveEntries returns the serving entries, which are eligible as home entries,
// sorted by id.
func (v *View) LiveEntries() []Candidate {
	var entries []Candidate
	for _, m := range v.membersInOrder {
		if m.Role == RoleEntry && m.EffectiveState == Serving {
			entries = append(entries, NewCandidate(m.ID, m.Region, m.Zone))
		}
	}
	slices.SortFunc(entries, func(a, b Candidate) int { return compareIDs(a.ID, b.ID) })
	return entries
}

// Version returns the version of the view. It increases with each change of a
// member's effective state, place, incarnation or served version.
func (v *View) Version() uint64 { return v.version }

// Self returns the owner's record.
func (v *View) Self() Record { return v.self.Record }

// Counters returns the counters since the view was created.
func (v *View) Counters() Counters { return v.counters }

// Get returns the member with an id and reports whether the view holds it.
func (v *View) Get(id string) (Member, bool) {
	m := v.members[id]
	if m == nil {
		return Member{}, false
	}
	return m.Member, true
}

// Members calls yield for each member until yield returns false. The order is
// unspecified.
func (v *View) Members(yield func(*Member) bool) {
	for _, m := range v.membersInOrder {
		if !yield(&m.Member) {
			return
		}
	}
}

func mergeOutputs(a, b Output) Output {
	a.Changed = a.Changed || b.Changed
	a.Urgent = a.Urgent || b.Urgent
	return a
}

func compareIDs(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
