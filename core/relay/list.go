package relay

import (
	"cmp"
	"slices"
)

const (
	// maxOwnRegionSources and maxOtherRegionSources bound the entries that are
	// asked for the list of servers before the store is read.
	maxOwnRegionSources   = 2
	maxOtherRegionSources = 2
)

// Source is an entry to ask for the list of servers.
type Source struct {
	Address string
	// OtherRegion is set if the source is in another region. The asking entry
	// must poll such a source more often, because entries of its region may
	// get the list from the asking entry.
	OtherRegion bool
}

// ListSources returns the entries that self asks for the list of servers, in
// order of preference: entries with a current list, first of the own region and
// then of other regions. Only entries with a lower id than self are sources, so
// that no two entries follow each other. If all sources fail, self reads the
// store.
//
// In a large fleet, the entry with the lowest id reads the store, the first entry
// of each region follows it, and the other entries follow the first one of their
// region. If all followed one entry, 400 entries would send it 590 requests a
// second over the links between regions.
func ListSources(self Entry, live []Entry) []Source {
	candidates := slices.DeleteFunc(slices.Clone(live), func(e Entry) bool {
		return e.ID >= self.ID || !e.ListCurrent
	})
	slices.SortFunc(candidates, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	var ownRegion, otherRegion []Source
	for _, e := range candidates {
		if e.Region == self.Region && len(ownRegion) < maxOwnRegionSources {
			ownRegion = append(ownRegion, Source{Address: e.Address})
		} else if e.Region != self.Region && len(otherRegion) < maxOtherRegionSources {
			otherRegion = append(otherRegion, Source{Address: e.Address, OtherRegion: true})
		}
	}
	return append(ownRegion, otherRegion...)
}
