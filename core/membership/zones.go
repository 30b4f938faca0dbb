package membership

import (
	"hash/fnv"
	"slices"
	"time"
)

// Times of a zone's silence.
const (
	// ZoneSilentAfter is SuspectAfter plus the time that word of a zone needs
	// to reach every entry by exchanges once a second.
	ZoneSilentAfter = 6 * time.Second
	// minZoneEntries is the number of entries from which a zone is judged as a
	// whole. Fewer are judged one by one, and their agents move elsewhere.
	minZoneEntries = 4
)

// zone is the summary of one availability zone.
type zone struct {
	id      uint32
	heard   time.Time
	entries int
	state   State
	digest  uint32
	// returned is when the zone was heard again after a silence.
	returned time.Time
}

// settled reports whether members of the zone can be judged one by one. Just
// after a return, entries elsewhere still take themselves for home entries.
func (z *zone) settled(now time.Time) bool {
	return z.state == Serving && now.Sub(z.returned) >= TakeoverGrace
}

// ZoneSummary tells a peer how fresh and in what state a zone is known.
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

func (v *View) zone(now time.Time, name string) *zone {
	id := zoneID(name)
	z := v.zones[id]
	if z == nil {
		z = &zone{id: id, heard: now, state: Serving}
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

// tickZones moves zones between serving, suspected and gone and reports
// whether one moved.
func (v *View) tickZones(now time.Time) bool {
	changed := false
	for _, z := range v.zones {
		age := now.Sub(z.heard)
		state := Serving
		switch {
		case z.id == zoneID(v.cfg.Place.Zone) || z.entries < minZoneEntries:
		case age >= DropAfter:
			state = Gone
		case age >= ZoneSilentAfter:
			state = Suspected
		}
		if state == z.state {
			continue
		}
		v.history.Addf("zone %08x: state %d, was %d", z.id, state, z.state)
		if z.state == Gone {
			v.distrust(now, z)
		}
		if state == Serving {
			z.returned = now
		}
		z.state = state
		changed = true
		v.entriesChanged = true
	}
	return changed
}

// distrust marks the members of a zone that was cut off for long. They get
// work once they are confirmed.
func (v *View) distrust(now time.Time, z *zone) {
	for _, m := range v.order {
		if m != v.self && m.hashZone == z && m.Incarnation > 0 {
			m.unconfirmed, m.unconfirmedSince = true, now
		}
	}
	// Compare at once instead of at the next interval.
	v.compareAt = time.Time{}
}

// summaries returns what the owner knows of zones; digests only on request,
// because they are most of the bytes.
func (v *View) summaries(now time.Time, digests bool) []ZoneSummary {
	own := zoneID(v.cfg.Place.Zone)
	list := make([]ZoneSummary, 0, len(v.zones))
	for _, z := range v.zones {
		s := ZoneSummary{ID: z.id, AgeMS: uint32(now.Sub(z.heard).Milliseconds())}
		if digests && v.trusts(z.id) {
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

// hearZones takes over fresher word of zones.
func (v *View) hearZones(now time.Time, list []ZoneSummary) {
	for _, s := range list {
		z := v.zones[s.ID]
		if z == nil {
			continue
		}
		if at := now.Add(-time.Duration(s.AgeMS) * time.Millisecond); at.After(z.heard) {
			z.heard = at
		}
	}
}

// confirm trusts the members whose records a peer holds too.
func (v *View) confirm(now time.Time, id uint32, known func(hash uint32) bool) bool {
	changed := false
	for _, m := range v.order {
		if m.unconfirmed && m.hashZone.id == id && known(m.hash) {
			// Its home entries may be confirmed later than itself.
			m.unconfirmed, m.homeSince = false, now
			changed = v.refresh(now, m) || changed
		}
	}
	return changed
}
