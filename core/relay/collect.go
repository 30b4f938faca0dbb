package relay

import (
	"cmp"
	"slices"
	"time"
)

const (
	// CollectorsPerRegion is how many entries of a region gather reports and
	// hellos for the others: one may die, freeze or be slow without anybody
	// waiting for it.
	CollectorsPerRegion = 2
	// mostCollectors bounds the collectors that a process sends to while views
	// differ.
	mostCollectors = 3
	// collectorPatience is the time without a word of a collector after which
	// it is not relied on: three of its tellings. It is well below
	// the age at which a report or a hello counts as lost.
	collectorPatience = 1200 * time.Millisecond
)

// Collectors returns the ids of the entries that gather for a region, first
// one first: the last ready ones by id, since the first ones read the store for
// the others (Readers).
//
// A large fleet: if each of A agents told each of E entries how loaded its
// engine is, and each entry told each other one that it lives, a node would
// handle A+E datagrams a round. Told to two collectors, which send on what they
// gathered in one datagram, it handles two for each region.
func Collectors(region string, entries []Entry) []string {
	var ids, unready []string
	for _, e := range entries {
		switch {
		case e.Region != region:
		case e.Ready:
			ids = append(ids, e.ID)
		default:
			unready = append(unready, e.ID)
		}
	}
	if len(ids) == 0 {
		// They too must hear from other regions.
		ids = unready
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	slices.Reverse(ids)
	return ids[:min(CollectorsPerRegion, len(ids))]
}

// Heard remembers which collectors of the own region a process heard lately.
// What it believes comes only from their own words, so that a collector that
// died or was cut off is left without anybody telling. The zero value has heard
// none.
type Heard struct {
	last map[string]time.Time
}

// Saw notes a word of a collector.
func (h *Heard) Saw(id string, now time.Time) {
	if h.last == nil {
		h.last = map[string]time.Time{}
	}
	h.last[id] = now
}

// Lately returns the collectors heard within collectorPatience, the latest ones
// first. While there are none, a process tells all entries of its region
// itself.
func (h *Heard) Lately(now time.Time) []string {
	ids := make([]string, 0, len(h.last))
	for id, at := range h.last {
		if now.Sub(at) > collectorPatience {
			delete(h.last, id)
			continue
		}
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(h.last[b].Compare(h.last[a]), cmp.Compare(a, b))
	})
	return ids[:min(mostCollectors, len(ids))]
}
