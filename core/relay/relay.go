// Package relay decides which entries work for the others of their region: who
// reads the platform's store, who asks whom for the list of servers, and who
// gathers reports and hellos.
//
// A large fleet that starts at once, or a storm of configurations: if every
// entry read the store, each change would cross the thin link to a region once
// for each entry there (58 entries: 3 s for one large configuration). A few
// readers a region take each change over that link once, and pass it on
// inside the region.
package relay

import "slices"

// Entry is what an entry knows of one entry, itself included.
type Entry struct {
	ID, Region string
	// Cut says that it tried to reach the store lately and failed.
	Cut bool
	// Ready says that it takes callers, Store that it reads the store and that
	// its list of servers is of use to others.
	Ready, Store bool
	// Address is where it answers other entries.
	Address string
}

// Readers returns the ids of the entries that read the store for a region: the
// first ones by id that are not cut off from it. When all are, the first ones
// try, so that somebody finds the store when it returns. Views that differ for
// a while only make for more or fewer readers.
func Readers(region string, entries []Entry, most int) []string {
	var reaching, cut []string
	for _, e := range entries {
		switch {
		case e.Region != region:
		case e.Cut:
			cut = append(cut, e.ID)
		default:
			reaching = append(reaching, e.ID)
		}
	}
	if len(reaching) == 0 {
		reaching = cut
	}
	slices.Sort(reaching)
	reaching = slices.Compact(reaching)
	return reaching[:min(most, len(reaching))]
}
