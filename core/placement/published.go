package placement

import "time"

// PublishedVersions records when the operator published each weight version,
// and derives the lowest version at which a request may still begin.
//
// During a rolling restart, an entry that starts reads the newest version from
// the store, but not its age, and it does not see the version before the newest.
// If the entry counted the age from its own start, it would use older weights
// for too long. It therefore requires the newest version at once until another
// entry sends the age of each version. If none does, because all entries have
// just started, it assumes an age.
type PublishedVersions struct {
	// gracePeriod is the age from which a version is required.
	gracePeriod time.Duration
	// assumedAge is the age given to a version of unknown age when it is found.
	assumedAge   time.Duration
	publications map[string]map[int64]publication
}

type publication struct {
	publishedAt time.Time
	exact       bool
	// foundAt is when a version of unknown age was found.
	foundAt time.Time
}

// ageQueryTimeout is how long an entry that has just started waits for another
// entry to send the ages. One round trip takes milliseconds.
const ageQueryTimeout = time.Second

// FirstEventMargin is the time within which a request begins at an engine that
// is not full. In a fleet with low load (benchmark scenario quiet-1), callers get
// the first event within 150 ms at the median, and 99 in 100 within 430 ms.
const FirstEventMargin = 350 * time.Millisecond

// maxVersionsPerModel bounds the memory; the lowest versions are evicted.
const maxVersionsPerModel = 8

// NewPublishedVersions returns a PublishedVersions without versions. A version
// is required gracePeriod after it was published.
func NewPublishedVersions(gracePeriod, assumedAge time.Duration) *PublishedVersions {
	return &PublishedVersions{gracePeriod: gracePeriod, assumedAge: assumedAge, publications: map[string]map[int64]publication{}}
}

// RecordJustPublished records a version that was published at now.
func (p *PublishedVersions) RecordJustPublished(model string, version int64, now time.Time) bool {
	return p.record(model, version, publication{publishedAt: now, exact: true})
}

// RecordWithUnknownAge records a version that was published at an unknown time.
func (p *PublishedVersions) RecordWithUnknownAge(model string, version int64, now time.Time) bool {
	return p.record(model, version, publication{publishedAt: now.Add(-p.assumedAge), foundAt: now})
}

// RecordWithAge records a version with the age that another entry sent.
func (p *PublishedVersions) RecordWithAge(model string, version int64, age time.Duration, now time.Time) bool {
	return p.record(model, version, publication{publishedAt: now.Add(-age), exact: true})
}

// record stores the time of publication of a version, and reports whether the
// version is new. An exact time replaces an estimate; of two times of the same
// kind the earlier one is kept.
func (p *PublishedVersions) record(model string, version int64, update publication) bool {
	versions := p.publications[model]
	if versions == nil {
		versions = map[int64]publication{}
		p.publications[model] = versions
	}
	old, known := versions[version]
	if !known || update.exact && !old.exact || update.exact == old.exact && update.publishedAt.Before(old.publishedAt) {
		versions[version] = update
	}
	for len(versions) > maxVersionsPerModel {
		oldest := version
		for v := range versions {
			oldest = min(oldest, v)
		}
		delete(versions, oldest)
	}
	return !known
}

// MinVersion returns the lowest version of a model at which a request may begin;
// 0 if there is no restriction.
func (p *PublishedVersions) MinVersion(model string, now time.Time) int64 {
	var minVersion int64
	for version, pub := range p.publications[model] {
		agePending := !pub.exact && now.Sub(pub.foundAt) < ageQueryTimeout
		if agePending || now.Sub(pub.publishedAt) >= p.gracePeriod {
			minVersion = max(minVersion, version)
		}
	}
	return minVersion
}

// FirstEventTimeout returns how long a request to a version may wait for its
// first event: until FirstEventMargin after the end of the earliest grace period
// of a newer version. bounded is false if no newer version has been published.
func (p *PublishedVersions) FirstEventTimeout(model string, version int64, now time.Time) (timeout time.Duration, bounded bool) {
	for newer, pub := range p.publications[model] {
		if newer <= version {
			continue
		}
		untilStale := pub.publishedAt.Add(p.gracePeriod + FirstEventMargin).Sub(now)
		if !bounded || untilStale < timeout {
			timeout, bounded = untilStale, true
		}
	}
	return max(timeout, 0), bounded
}

// Ages returns the age of each version by model.
func (p *PublishedVersions) Ages(now time.Time) map[string]map[int64]Age {
	ages := map[string]map[int64]Age{}
	for model, versions := range p.publications {
		ages[model] = map[int64]Age{}
		for version, pub := range versions {
			ages[model][version] = Age{Age: now.Sub(pub.publishedAt), Exact: pub.exact}
		}
	}
	return ages
}

// Age is the time since a version was published. It is an estimate unless Exact
// is set.
type Age struct {
	Age   time.Duration
	Exact bool
}

// NewestSum returns the sum of the newest recorded versions of all models. It
// increases whenever a newer version of a model is recorded.
func (p *PublishedVersions) NewestSum() int64 {
	var sum int64
	for _, versions := range p.publications {
		var newest int64
		for version := range versions {
			newest = max(newest, version)
		}
		sum += newest
	}
	return sum
}
