package membership

import "hash/fnv"

// HomeCount is the number of home entries of a member.
const HomeCount = 2

// Candidate is an entry that is eligible as a home entry.
type Candidate struct {
	ID, Region, Zone string
	hash             uint64
}

// NewCandidate returns a candidate and computes the hash of its id.
func NewCandidate(id, region, zone string) Candidate {
	return Candidate{ID: id, Region: region, Zone: zone, hash: hash64(id)}
}

// Homes returns the home entries of a member, best first. Entries in the
// member's availability zone come before entries in its region, and these
// before all others; at equal distance the rendezvous hash decides. A member is
// never its own home entry.
func Homes(id, region, zone string, entries []Candidate) []Candidate {
	type choice struct {
		index, distance int
		weight          uint64
	}
	best := [HomeCount]choice{}
	count := 0
	own := hash64(id)
	for i := range entries {
		e := &entries[i]
		if e.ID == id {
			continue
		}
		c := choice{index: i, distance: 2, weight: mix(own ^ mix(e.hash))}
		switch {
		case e.Zone == zone && e.Region == region:
			c.distance = 0
		case e.Region == region:
			c.distance = 1
		}
		for j := range best {
			better := j >= count || c.distance < best[j].distance || c.distance == best[j].distance && c.weight > best[j].weight
			if better {
				c, best[j] = best[j], c
				if j >= count {
					break
				}
			}
		}
		count = min(count+1, HomeCount)
	}
	homes := make([]Candidate, 0, HomeCount)
	for _, c := range best[:count] {
		homes = append(homes, entries[c.index])
	}
	return homes
}

func hash64(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return mix(h.Sum64())
}

// mix is the finalizer of SplitMix64. FNV alone distributes short names poorly.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
