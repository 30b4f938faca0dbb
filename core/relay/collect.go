package relay

import (
	"cmp"
	"slices"
	"time"
)

const (
	// CollectorsPerRegion is how many entries of a region collect reports and
	// hellos for the others. With two, no process waits when one crashes, hangs
	// or is slow.
	CollectorsPerRegion = 2
	// maxActiveCollectors bounds the collectors that a process sends to while
	// the entries' views differ.
	maxActiveCollectors = 3
	// collectorTimeout is the time without a message from a collector after
	// which it is considered failed: three of its send intervals. It is well
	// below the age at which a report or a hello counts as lost.
	collectorTimeout = 1200 * time.Millisecond
)

// Collectors returns the ids of the entries that collect for a region, in order
// of preference: the ready entries with the highest ids, because those with the
// lowest ids read the store (see StoreReaders).
//
// If each of A agents sent its engine's load to each of E entries, and each
// entry sent a hello to every other entry, a node would handle A+E datagrams per
// round. With two collectors per region, which forward what they collected in
// one datagram, it handles two per region.
func Collectors(region string, entries []Entry) []string {
	var ids, notReady []string
	for _, e := range entries {
		switch {
		case e.Region != region:
		case e.Ready:
			ids = append(ids, e.ID)
		default:
			notReady = append(notReady, e.ID)
		}
	}
	if len(ids) == 0 {
		// Entries that are not ready also need the hellos of other regions.
		ids = notReady
	}
	slices.Sort(ids)
	ids = slices.Compact(ids)
	slices.Reverse(ids)
	return ids[:min(CollectorsPerRegion, len(ids))]
}

// CollectorTracker tracks the collectors of the own region from which a process
// received messages recently. It uses only the collectors' own messages, so that
// a collector that crashed or is partitioned expires without a notification. The
// zero value tracks no collector.
type CollectorTracker struct {
	lastMessage map[string]time.Time
}

// Record stores the time of a message from a collector.
func (t *CollectorTracker) Record(id string, now time.Time) {
	if t.lastMessage == nil {
		t.lastMessage = map[string]time.Time{}
	}
	t.lastMessage[id] = now
}

// Active returns the ids of the collectors that sent a message within
// collectorTimeout, the most recent one first. While there are none, a process
// sends to all entries of its region itself.
func (t *CollectorTracker) Active(now time.Time) []string {
	ids := make([]string, 0, len(t.lastMessage))
	for id, at := range t.lastMessage {
		if now.Sub(at) > collectorTimeout {
			delete(t.lastMessage, id)
			continue
		}
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(t.lastMessage[b].Compare(t.lastMessage[a]), cmp.Compare(a, b))
	})
	return ids[:min(maxActiveCollectors, len(ids))]
}
