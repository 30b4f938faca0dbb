package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/laburnumloft/laburnumloft/core/eligibility"
)

// Candidate is a server of a service as a decision sees it.
type Candidate struct {
	Server Server
	Region string
	// Reason excludes the server; Eligible if nothing does.
	Reason eligibility.Reason
	// Load is the estimated number of requests at the server, and MaxLoad the number from
	// which it is full; both are 0 for plain services.
	Load, MaxLoad float64
	// ReportAge is the age of the engine's report; negative if there is none.
	ReportAge time.Duration
	// ColdFor is how much longer the server bears only a low rate of requests.
	ColdFor time.Duration
}

// Preview returns the choice that Choose would make for a request now, and all servers of
// its service in the order of their ids. It changes nothing.
func (f *Fleet) Preview(now time.Time, q Query) (Choice, Miss, []Candidate) {
	candidates := f.candidates(now, &q)
	if f.isTooLarge(&q) {
		return Choice{}, TooLarge, candidates
	}
	f.availableAt, f.pauseEndsAt, f.exclusions = time.Time{}, time.Time{}, eligibility.Exclusions{}
	source, rng := *f.source, f.rng
	f.rng = rand.New(&source)
	m, miss := f.choose(&q, now)
	f.rng = rng
	if m == nil {
		return Choice{AvailableIn: max(0, f.availableAt.Sub(now)), PauseEndsIn: max(0, f.pauseEndsAt.Sub(now)), Exclusions: f.exclusions}, miss, candidates
	}
	return Choice{Server: m.server, Version: f.weightVersion(m), Load: f.estimatedLoad(m, now), ReportAge: m.reportAge(now)}, Found, candidates
}

// candidates returns all servers of a request's service.
func (f *Fleet) candidates(now time.Time, q *Query) []Candidate {
	r := f.requirements(q, now)
	candidates := make([]Candidate, 0, len(f.services[q.Service]))
	for _, m := range f.services[q.Service] {
		reason := f.exclusion(m, q, &r, now)
		candidates = append(candidates, Candidate{
			Server: m.server, Region: m.region, Reason: reason, Load: f.facts.Load, MaxLoad: f.facts.MaxLoad,
			ReportAge: m.reportAge(now), ColdFor: m.cold.allowance.Remaining(now),
		})
	}
	slices.SortFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.Server.ID, b.Server.ID) })
	return candidates
}

// reportAge returns the age of the last report; negative if there was none.
func (m *member) reportAge(now time.Time) time.Duration {
	if m.reportedAt.IsZero() {
		return -1
	}
	return now.Sub(m.reportedAt)
}
