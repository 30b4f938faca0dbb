package membership

import (
	"hash/fnv"
	"slices"
	"time"
)

// Limits for the check whether a whole zone is silent.
const (
	// ZoneSuspectAfter is the silence after which all members of a zone are
	// suspected: SuspectAfter plus the time that gossip with one round a
	// second needs to spread the latest contact time to every entry.
	ZoneSuspectAfter = 6 * time.Second
	// minZoneEntries is the smallest number of entries with which a zone is
	// checked as a whole. In a smaller zone each entry is checked individually,
	// and the agents use home entries in other zones.
	minZoneEntries = 4
)

// zone is the state of one availability zone.
type zone struct {
	id          uint32
	lastContact time.Time
	entries     int
	state       State
	digest      uint32
	// returnedAt is the time at which the zone was reachable again after a
	// silence.
	returnedAt time.Time
}

// settled reports whether the members of the zone are checked for silence
// individually. For TakeoverGracePeriod after the zone's return they are not,
// because entries in other zones still act as home entries of its members.
func (z *zone) settled(now time.Time) bool {
	return z.state == Serving && now.Sub(z.returnedAt) >= TakeoverGracePeriod
}

// ZoneSummary reports to a peer how long ago the sender's latest contact with a
// zone was, and the digest of the zone's records; 0 if the digest was not
// requested or the zone has unconfirmed members.
type ZoneSummary struct {
	ID     uint32
	AgeMS  uint32
	Digest uint32
}

func zoneID(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}

func (v *View) getOrAddZone(now time.Time, name string) *zone {
	id := zoneID(name)
	z := v.zones[id]
	if z == nil {
		z = &zone{id: id, lastContact: now, state: Serving}
		v.zones[id] = z
	}
	return z
}

func (v *View) countZoneEntries(live []Candidate) {
	for _, z := range v.zones {
		if z.state == Serving {
			z.entries = 0
		}
	}
	for _, c := range live {
		z := v.zones[zoneID(c.Zone)]
		if z != nil && z.state == Serving {
			z.entries++
		}
	}
}

// updateZoneStates sets each zone to serving, suspected or gone by the time of
// the latest contact, and reports whether a state changed.
func (v *View) updateZoneStates(now time.Time) bool {
	changed := false
	for _, z := range v.zones {
		age := now.Sub(z.lastContact)
		state := Serving
		switch {
		case z.id == zoneID(v.cfg.Place.Zone) || z.entries < minZoneEntries:
		case age >= GoneAfter:
			state = Gone
		case age >= ZoneSuspectAfter:
			state = Suspected
		}
		if state == z.state {
			continue
		}
		v.history.Addf("zone %08x: state %d, was %d", z.id, state, z.state)
		if z.state == Gone {
			v.markUnconfirmed(now, z)
		}
		if state == Serving {
			z.returnedAt = now
		}
		z.state = state
		changed = true
		v.homesOutdated = true
	}
	return changed
}

// markUnconfirmed marks the members of a zone that is reachable again after it
// was gone. They receive no work until their records are confirmed.
func (v *View) markUnconfirmed(now time.Time, z *zone) {
	for _, m := range v.membersInOrder {
		if m != v.self && m.digestZone == z && m.Incarnation > 0 {
			m.unconfirmed, m.unconfirmedSince = true, now
		}
	}
	// Compare digests immediately instead of after compareInterval.
	v.nextCompareAt = time.Time{}
}

// zoneSummaries returns the summaries of all zones, sorted by id. Digests are
// included only on request, because they take most of the bytes.
func (v *View) zoneSummaries(now time.Time, digests bool) []ZoneSummary {
	own := zoneID(v.cfg.Place.Zone)
	list := make([]ZoneSummary, 0, len(v.zones))
	for _, z := range v.zones {
		s := ZoneSummary{ID: z.id, AgeMS: uint32(now.Sub(z.lastContact).Milliseconds())}
		if digests && v.zoneIsConfirmed(z.id) {
			s.Digest = z.digest
		}
		if z.id == own {
			s.AgeMS = 0
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b ZoneSummary) int { return int(int64(a.ID) - int64(b.ID)) })
	return list
}

// handleZoneSummaries adopts the peer's contact time of each zone if it is
// later than the owner's.
func (v *View) handleZoneSummaries(now time.Time, list []ZoneSummary) {
	for _, s := range list {
		z := v.zones[s.ID]
		if z == nil {
			continue
		}
		if at := now.Add(-time.Duration(s.AgeMS) * time.Millisecond); at.After(z.lastContact) {
			z.lastContact = at
		}
	}
}

// confirmMembers clears the unconfirmed mark of the zone's members whose records
// the peer also holds, and reports whether an effective state changed.
func (v *View) confirmMembers(now time.Time, id uint32, peerHolds func(hash uint32) bool) bool {
	changed := false
	for _, m := range v.membersInOrder {
		if m.unconfirmed && m.digestZone.id == id && peerHolds(m.recordHash) {
			// The member may be confirmed before its home entries are, so it
			// gets the grace period again.
			m.unconfirmed, m.homeSince = false, now
			changed = v.refreshState(now, m) || changed
		}
	}
	return changed
}
