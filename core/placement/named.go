package placement

import "time"

// Named remembers when an entry learnt of the weight versions that the
// operator named, and from that which version requests must not begin below.
//
// Rolling restarts: an entry that starts reads the newest version from the
// store, but not how long ago it was named. Counting from its own start would
// let it use older weights for too long, and it doesn't even see the version
// before the newest. It therefore requires the version at once, until another
// entry tells the age of each. When none does, because all have just started,
// it assumes an age.
type Named struct {
	// within is the time after which requests go to the version only.
	within time.Duration
	// assumed is the age of a version of which only the existence is known.
	assumed time.Duration
	models  map[string]map[int64]naming
}

type naming struct {
	at    time.Time
	exact bool
	// found is when a version of unknown age was found.
	found time.Time
}

// askTime is how long an entry that has just started waits for another one to
// tell the ages. One round trip takes milliseconds.
const askTime = time.Second

// BeginReserve is the time in which a request at an engine that isn't full
// begins: callers of pldpr quiet-1 get the first event within 150 ms at the
// median and 430 ms for 99 in 100.
const BeginReserve = 350 * time.Millisecond

// maxNamings bounds the remembered versions of a model.
const maxNamings = 8

// NewNamed returns a Named without versions. A version is required the time
// within after it was named.
func NewNamed(within, assumed time.Duration) *Named {
	return &Named{within: within, assumed: assumed, models: map[string]map[int64]naming{}}
}

// Saw takes a version that was just named.
func (n *Named) Saw(model string, version int64, now time.Time) bool {
	return n.learn(model, version, naming{at: now, exact: true})
}

// Found takes a version that was named at an unknown time.
func (n *Named) Found(model string, version int64, now time.Time) bool {
	return n.learn(model, version, naming{at: now.Add(-n.assumed), found: now})
}

// Told takes a version with the age that another entry tells.
func (n *Named) Told(model string, version int64, age time.Duration, now time.Time) bool {
	return n.learn(model, version, naming{at: now.Add(-age), exact: true})
}

// learn keeps the earliest exact time, and reports whether the version is new.
func (n *Named) learn(model string, version int64, fresh naming) bool {
	versions := n.models[model]
	if versions == nil {
		versions = map[int64]naming{}
		n.models[model] = versions
	}
	old, known := versions[version]
	if !known || fresh.exact && !old.exact || fresh.exact == old.exact && fresh.at.Before(old.at) {
		versions[version] = fresh
	}
	for len(versions) > maxNamings {
		oldest := version
		for v := range versions {
			oldest = min(oldest, v)
		}
		delete(versions, oldest)
	}
	return !known
}

// Required returns the version of a model below which no request may begin.
func (n *Named) Required(model string, now time.Time) int64 {
	var required int64
	for version, naming := range n.models[model] {
		asking := !naming.exact && now.Sub(naming.found) < askTime
		if asking || now.Sub(naming.at) >= n.within {
			required = max(required, version)
		}
	}
	return required
}

// BeginWithin returns the time that a request has to begin on a version until a
// newer one counts; bounded is false if no newer one is named.
func (n *Named) BeginWithin(model string, version int64, now time.Time) (left time.Duration, bounded bool) {
	for newer, naming := range n.models[model] {
		if newer <= version {
			continue
		}
		until := naming.at.Add(n.within + BeginReserve).Sub(now)
		if !bounded || until < left {
			left, bounded = until, true
		}
	}
	return max(left, 0), bounded
}

// All returns every version with its age, as far as it is known.
func (n *Named) All(now time.Time) map[string]map[int64]Age {
	out := map[string]map[int64]Age{}
	for model, versions := range n.models {
		out[model] = map[int64]Age{}
		for version, naming := range versions {
			out[model][version] = Age{Age: now.Sub(naming.at), Exact: naming.exact}
		}
	}
	return out
}

// Age is the time since a version was named; an estimate unless Exact.
type Age struct {
	Age   time.Duration
	Exact bool
}

// Newest returns the sum of the newest known version of each model. It grows
// with each version that is named.
func (n *Named) Newest() int64 {
	var sum int64
	for _, versions := range n.models {
		var newest int64
		for version := range versions {
			newest = max(newest, version)
		}
		sum += newest
	}
	return sum
}
