package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Bounds of the time to live of a discovery answer.
const (
	// MaxTTL is the longest time for which a caller may cache an answer.
	MaxTTL = 5 * time.Second
	// MinTTL is the shortest such time. The TTL is random between MinTTL and
	// MaxTTL, so that callers that started together don't keep asking at the
	// same time.
	MinTTL = 3 * time.Second
)

// Weights of an entry by its distance from the caller.
const (
	sameZoneWeight    = 16
	sameRegionWeight  = 4
	otherRegionWeight = 1
)

// Bounds of a discovery answer.
const (
	// MaxAnswerEntries is the largest number of entries in one answer.
	MaxAnswerEntries = 8
	// maxFirstShare limits the share of a zone's callers whose answers have the
	// same entry in first place while other entries are eligible. Without it, the
	// last remaining entry of a zone would get almost all callers of the zone.
	maxFirstShare = 0.4
	// overloadThreshold is the load from which an entry counts as overloaded and
	// is left out.
	overloadThreshold = 1.0
	// minLoadFactor is the smallest factor by which load reduces the weight of an
	// entry. A busy entry stays in use, so that its load is still measured.
	minLoadFactor = 0.05
)

// EntryInfo describes one entry to Discover.
type EntryInfo struct {
	ID, Address, Zone, Region string
	// Leaving entries are never in an answer.
	Leaving bool
	// Load is the used share of the entry's capacity; 1 means full.
	Load float64
}

// DiscoveryAnswer lists the entries that a caller should use, best first.
type DiscoveryAnswer struct {
	TTL     time.Duration
	Entries []EntryInfo
}

// Discover returns the entries for a caller in the given zone and region, in a
// weighted random order. The order is drawn again for each answer, so the callers
// of a lost entry are distributed over all others by weight. A rendezvous hash of
// the caller's address would not work, because all callers of a platform may
// share one address.
func Discover(random *rand.Rand, zone, region string, entries []EntryInfo) DiscoveryAnswer {
	eligible := make([]EntryInfo, 0, len(entries))
	for _, overloaded := range []bool{false, true} {
		for _, e := range entries {
			if !e.Leaving && (e.Load >= overloadThreshold) == overloaded {
				eligible = append(eligible, e)
			}
		}
		// Overloaded entries are used only if there is no other entry. They
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
		// Sorting by exponential variates divided by the weights puts each entry
		// in first place with a probability proportional to its weight.
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

// entryWeights computes the weights of the entries from distance and load, and
// limits the share of each entry to maxFirstShare.
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
		weights[i] = distance * max(minLoadFactor, 1-e.Load)
		total += weights[i]
	}
	limit := max(maxFirstShare, 1/float64(len(entries)))
	// Reducing one weight increases the shares of the others, so the reduction is
	// repeated until no share exceeds the limit. It converges because
	// limit*len(entries) >= 1.
	for range len(entries) {
		reduced := false
		for i, w := range weights {
			others := total - w
			if w > limit*total*(1+1e-9) && others > 0 {
				weights[i] = min(w, others*limit/(1-math.Min(limit, 0.5)))
				total = others + weights[i]
				reduced = reduced || weights[i] < w
			}
		}
		if !reduced {
			break
		}
	}
	return weights
}
