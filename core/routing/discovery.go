package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Times of a discovery answer.
const (
	// MaxTTL is the longest time that a caller may keep an answer.
	MaxTTL = 5 * time.Second
	// MinTTL is the shortest. The spread keeps callers that started
	// together from asking together for ever.
	MinTTL = 3 * time.Second
)

// Weights of an entry by its distance to the caller.
const (
	sameZoneWeight    = 16
	sameRegionWeight  = 4
	otherRegionWeight = 1
)

// Bounds of a discovery answer.
const (
	// MaxAnswerEntries bounds the entries of one answer.
	MaxAnswerEntries = 8
	// maxFirstShare bounds how often one entry is named first to the callers
	// of one zone while others are eligible. Without it the last entry of a
	// zone would get all callers of the zone.
	maxFirstShare = 0.4
	// overloadedAt is the load from which an entry is left out.
	overloadedAt = 1.0
	// minLoadWeight keeps a busy entry in use, so that its load is measured.
	minLoadWeight = 0.05
)

// EntryInfo is what discovery knows of one entry.
type EntryInfo struct {
	ID, Address, Zone, Region string
	// Leaving entries are never named.
	Leaving bool
	// Load is the used share of the entry's capacity; 1 is full.
	Load float64
}

// DiscoveryAnswer tells a caller which entries to use, best first.
type DiscoveryAnswer struct {
	TTL     time.Duration
	Entries []EntryInfo
}

// Discover orders the entries for a caller in the given zone and region. The
// order is a weighted random one: each answer draws anew, so the callers of
// a lost entry spread over all others by weight. A rendezvous hash of the
// caller's address is no alternative, because the callers of a whole
// platform may share one address.
func Discover(random *rand.Rand, zone, region string, entries []EntryInfo) DiscoveryAnswer {
	eligible := make([]EntryInfo, 0, len(entries))
	for _, overloaded := range []bool{false, true} {
		for _, e := range entries {
			if !e.Leaving && (e.Load >= overloadedAt) == overloaded {
				eligible = append(eligible, e)
			}
		}
		// Overloaded entries are named only when there is no other: they
		// answer with Retry-After, which is better than no address.
		if len(eligible) > 0 {
			break
		}
	}
	if region == "" {
		region = regionOf(zone, entries)
	}
	weights := entryWeights(zone, region, eligible)
	keys := make([]float64, len(eligible))
	order := make([]int, len(eligible))
	for i := range eligible {
		// The entry with the smallest exponential variate comes first with a
		// probability proportional to its weight.
		keys[i] = random.ExpFloat64() / weights[i]
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if keys[a] < keys[b] {
			return -1
		}
		return 1
	})
	answer := DiscoveryAnswer{TTL: MinTTL + time.Duration(random.Int64N(int64(MaxTTL-MinTTL)))}
	for _, i := range order[:min(len(order), MaxAnswerEntries)] {
		answer.Entries = append(answer.Entries, eligible[i])
	}
	return answer
}

func regionOf(zone string, entries []EntryInfo) string {
	for _, e := range entries {
		if e.Zone == zone {
			return e.Region
		}
	}
	return ""
}

// entryWeights weighs entries by distance and load, and bounds the share of
// each one.
func entryWeights(zone, region string, entries []EntryInfo) []float64 {
	weights := make([]float64, len(entries))
	total := 0.0
	for i, e := range entries {
		distance := float64(otherRegionWeight)
		switch {
		case e.Zone == zone:
			distance = sameZoneWeight
		case e.Region == region:
			distance = sameRegionWeight
		}
		weights[i] = distance * max(minLoadWeight, 1-e.Load)
		total += weights[i]
	}
	limit := max(maxFirstShare, 1/float64(len(entries)))
	// Cutting one weight raises the shares of the others, so the cut is
	// repeated until it settles. It settles because limit*len(entries) >= 1.
	for range len(entries) {
		cut := false
		for i, w := range weights {
			others := total - w
			if w > limit*total*(1+1e-9) && others > 0 {
				weights[i] = min(w, others*limit/(1-math.Min(limit, 0.5)))
				total = others + weights[i]
				cut = cut || weights[i] < w
			}
		}
		if !cut {
			break
		}
	}
	return weights
}
