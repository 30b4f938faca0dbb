// Package relay selects the entries that do work on behalf of their region: the
// entries that read the platform's store, the entries that are asked for the
// list of servers, and the entries that collect reports and hellos.
//
// If every entry read the store, each change would cross the narrow link to a
// region once per entry there (58 entries: 3 s for one large configuration).
// This matters when a large fleet starts at once and when configurations change
// rapidly. Instead, a few readers per region fetch each change over that link
// once and forward it inside the region.
package relay

import (
	"slices"
	"time"
)

// Entry is the known state of one entry, which may be the local one.
type Entry struct {
	ID, Region string
	// StoreUnreachable is set if the entry recently failed to reach the store.
	StoreUnreachable bool
	// Silent is set if the entry was not heard of for MaxReaderSilence.
	Silent bool
	// Ready is set if the entry accepts callers. ListCurrent is set if the
	// entry reaches the store and its list of servers is current.
	Ready, ListCurrent bool
	// Address is where the entry answers other entries.
	Address string
}

const (
	// MaxReaderSilence is the age of a reader's last hello above which others read the
	// store as well. Hellos take up to 0.9 s on their way through a collector;
	// configurations must be in force after 2 s.
	MaxReaderSilence = 1200 * time.Millisecond
	// maxSilentReaders bounds the silent readers that are replaced. If the collectors
	// hang, all entries of a region are silent to each other for a moment, and if all
	// of them read the store then, its link to the region would be full.
	maxSilentReaders = 4
)

// StoreReaders returns the ids of the entries that read the store for a region:
// the lowest ids, up to limit, of the entries that reach the store, and one more for
// each of these that is silent. If no entry reaches the store, the lowest ids of all keep trying, so that its recovery is
// noticed. If the entries' views differ, the only effect is that more or fewer
// entries than limit read the store.
func StoreReaders(region string, entries []Entry, limit int) []string {
	var reachable, unreachable []string
	silent := map[string]bool{}
	for _, e := range entries {
		silent[e.ID] = e.Silent
		switch {
		case e.Region != region:
		case e.StoreUnreachable:
			unreachable = append(unreachable, e.ID)
		default:
			reachable = append(reachable, e.ID)
		}
	}
	if len(reachable) == 0 {
		reachable = unreachable
	}
	slices.Sort(reachable)
	reachable = slices.Compact(reachable)
	replaced := 0
	for i, id := range reachable {
		if i == limit+replaced {
			return reachable[:i]
		}
		if silent[id] && replaced < maxSilentReaders {
			replaced++
		}
	}
	return reachable
}
