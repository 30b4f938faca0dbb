// Package evacuation keeps which availability zones the operator empties.
//
// The operator's records reach an entry over several ways, late, twice or in another
// order. Each entry keeps the newest record of each zone, by its position in the
// store, and tells others. The package does no I/O, reads no clock and starts no
// goroutine. Zones is not safe for concurrent use.
package evacuation

import (
	"cmp"
	"slices"
	"time"
)

const (
	// endNoticePeriod is how long the end of an evacuation is repeated to other
	// entries. Each round reaches only some of them.
	endNoticePeriod = 30 * time.Second
	// restoreGracePeriod is how long a zone stays evacuated if a copy of the store
	// lacks its record. The operator writes again what a restore has lost.
	restoreGracePeriod = 5 * time.Second
	// maxZones limits the zones of which state is kept. The design target has 10.
	maxZones = 256
	// maxZoneBytes limits the name of a zone.
	maxZoneBytes = 256
)

// Notice is the newest record of a zone: its evacuation, or the end of that.
type Notice struct {
	Zone      string `json:"zone"`
	Evacuated bool   `json:"evacuated,omitempty"`
	// Era and Offset are the position of the record in the store.
	Era    int64 `json:"era,omitempty"`
	Offset int64 `json:"offset"`
}

// newerThan compares the positions of two records.
func (n Notice) newerThan(other Notice) bool {
	return cmp.Or(cmp.Compare(n.Era, other.Era), cmp.Compare(n.Offset, other.Offset)) > 0
}

// usable reports whether a notice can be kept.
func (n Notice) usable() bool { return n.Zone != "" && len(n.Zone) <= maxZoneBytes }

type zone struct {
	notice Notice
	// endedAt is when the end became known, or when another entry was last seen not
	// to know it; zero while the zone is evacuated.
	endedAt time.Time
	// keptUntil is when a zone that a copy of the store lacks is given up; zero if
	// there is no doubt.
	keptUntil time.Time
}

// Zones holds the newest record of each zone.
type Zones struct {
	zones map[string]*zone
}

// NewZones returns a Zones without records.
func NewZones() *Zones { return &Zones{zones: map[string]*zone{}} }

// Change is a change in whether a zone is evacuated.
type Change struct {
	Zone      string
	Evacuated bool
	Offset    int64
}

// Adopt records a notice and reports the change that follows from it, if any.
func (z *Zones) Adopt(n Notice, now time.Time) (change Change, changed bool) {
	known := z.zones[n.Zone]
	switch {
	case !n.usable() || known == nil && len(z.zones) >= maxZones:
		return Change{}, false
	case known == nil:
		known = &zone{notice: Notice{Zone: n.Zone}}
		z.zones[n.Zone] = known
	case n == known.notice:
		known.keptUntil = time.Time{}
		return Change{}, false
	case !n.newerThan(known.notice):
		if !known.notice.Evacuated {
			// Another entry does not know the end yet.
			known.endedAt = now
		}
		return Change{}, false
	}
	return known.set(n, now)
}

// set replaces a zone's record.
func (z *zone) set(n Notice, now time.Time) (change Change, changed bool) {
	changed = n.Evacuated != z.notice.Evacuated
	z.notice, z.endedAt, z.keptUntil = n, time.Time{}, time.Time{}
	if !n.Evacuated {
		z.endedAt = now
	}
	return Change{Zone: n.Zone, Evacuated: n.Evacuated, Offset: n.Offset}, changed
}

// AdoptSnapshot records the newest records of all zones that are evacuated, as read
// from the store. Era and end are the position of the last record that the read covers. Evacuations that it lacks have ended, unless the
// store was restored from a copy.
func (z *Zones) AdoptSnapshot(evacuated []Notice, era, end int64, restored bool, now time.Time) (changes []Change) {
	listed := map[string]bool{}
	for _, n := range evacuated {
		listed[n.Zone] = true
		if change, changed := z.Adopt(n, now); changed {
			changes = append(changes, change)
		}
	}
	for name, known := range z.zones {
		if listed[name] || !known.notice.Evacuated {
			continue
		}
		ended := Notice{Zone: name, Era: era, Offset: end}
		switch {
		case restored || era > known.notice.Era:
			if known.keptUntil.IsZero() {
				known.keptUntil = now.Add(restoreGracePeriod)
			}
		case ended.newerThan(known.notice):
			change, _ := known.set(ended, now)
			changes = append(changes, change)
		}
	}
	return changes
}

// Expire ends evacuations whose record a restored store has lost and the operator has
// not written again.
func (z *Zones) Expire(now time.Time) (changes []Change) {
	for _, known := range z.zones {
		if known.keptUntil.IsZero() || now.Before(known.keptUntil) {
			continue
		}
		n := known.notice
		n.Evacuated = false
		change, _ := known.set(n, now)
		changes = append(changes, change)
	}
	return changes
}

// Evacuated reports whether a zone is evacuated.
func (z *Zones) Evacuated(name string) bool {
	known := z.zones[name]
	return known != nil && known.notice.Evacuated
}

// Names returns the evacuated zones in order.
func (z *Zones) Names() (names []string) {
	for name, known := range z.zones {
		if known.notice.Evacuated {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Notices returns what other entries should know, ordered by zone.
func (z *Zones) Notices(now time.Time) (notices []Notice) {
	for _, known := range z.zones {
		if known.notice.Evacuated || now.Sub(known.endedAt) < endNoticePeriod {
			notices = append(notices, known.notice)
		}
	}
	slices.SortFunc(notices, func(a, b Notice) int { return cmp.Compare(a.Zone, b.Zone) })
	return notices
}
