package backpressure

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// claimTimeout is the age above which another entry's word that it heard from a
	// coordinator no longer counts.
	claimTimeout = 2 * time.Second
	// minorityShare is the share of its part of a limit that a coordinator hands out
	// if it sees at most half of the entries. A majority elsewhere hands out the whole
	// limit, and all minorities together less than half of this.
	minorityShare = 0.8
	// fallbackTotal is the share of a limit that all entries together may use without
	// a reply of the coordinator.
	fallbackTotal = 0.4
)

// Membership is an entry's view of the entries.
type Membership struct {
	Self string
	// Candidates are the live entries that accept callers, this one included if it
	// does, with the time since each was last heard from.
	Candidates map[string]time.Duration
	// Live counts the live entries, and Known those that exist as far as this entry
	// knows, this one included.
	Live, Known int
}

// preferred returns the entry with the highest rank for a server among the
// candidates and other ids, or "" if there is none.
func (m Membership) preferred(server Server, others []string) (best string) {
	var bestRank uint64
	consider := func(id string) {
		rank := xxhash.Sum64String(id + " " + server.ID)
		if best == "" || rank > bestRank || rank == bestRank && id < best {
			best, bestRank = id, rank
		}
	}
	for id := range m.Candidates {
		consider(id)
	}
	for _, id := range others {
		consider(id)
	}
	return best
}

func (m Membership) heardAgo(id string) time.Duration { return m.Candidates[id] }

// share returns the share of a limit that this entry hands out as the coordinator.
func (m Membership) share() float64 {
	known := max(m.Known, m.Live, 1)
	if 2*m.Live > known {
		return 1
	}
	return minorityShare * float64(max(m.Live, 1)) / float64(known)
}

// fallbackShare returns the share of a limit that this entry uses without a
// coordinator.
func (m Membership) fallbackShare() float64 {
	return fallbackTotal / float64(max(m.Known, m.Live, 1))
}

// coordinator returns the entry that hands out the permits for a server, or "" if
// none is known. Entries of which others heard recently count as live, so that two
// entries that are cut off from each other alone agree with the others.
func (t *Tracker) coordinator(server Server, m Membership, now time.Time) string {
	var claimed []string
	for id, heard := range t.claims {
		if now.Sub(heard) > claimTimeout {
			delete(t.claims, id)
			continue
		}
		claimed = append(claimed, id)
	}
	return m.preferred(server, claimed)
}

// Coordinator returns the entry that hands out the permits for a server, and the
// share of the limit that this entry may use: all of it if the coordinator answers.
func (t *Tracker) Coordinator(server Server, m Membership, now time.Time) (id string, share float64) {
	id = t.coordinator(server, m, now)
	if id == m.Self || id == "" {
		return id, m.share()
	}
	return id, 1
}
