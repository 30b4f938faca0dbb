package placement

import (
	"time"

	"github.com/laburnumloft/laburnumloft/core/backpressure"
	"github.com/laburnumloft/laburnumloft/core/coldstart"
	"github.com/laburnumloft/laburnumloft/core/eligibility"
)

// Traits is what the configuration says about the servers of a service.
type Traits struct {
	// Pace limits requests to servers that have just started.
	Pace coldstart.Pace
	// MemoryTokens is how many tokens of requests one server holds; 0 means unknown.
	MemoryTokens float64
}

// missFor returns what the reason that excludes a server means for the request.
func missFor(reason eligibility.Reason) Miss {
	switch reason {
	case eligibility.Home:
		return NoHome
	case eligibility.Paused:
		return Limited
	case eligibility.Cold:
		return AllCold
	case eligibility.NoWeights:
		return NoWeights
	case eligibility.Memory, eligibility.Full:
		return AllFull
	default:
		return NoServer
	}
}

// rank orders the misses of several servers: the one with the highest rank describes
// them best, because its cause passes first.
func (m Miss) rank() int {
	switch m {
	case NoHome:
		return 1
	case Limited:
		return 2
	case AllCold:
		return 3
	case NoWeights:
		return 4
	case AllFull:
		return 5
	default:
		return 0
	}
}

// SetTraits sets what the configuration says about the servers of each service.
func (f *Fleet) SetTraits(traits map[string]Traits) { f.traits = traits }

// SetEvacuated records that the operator empties an availability zone, or that this
// has ended. The servers of a zone that is taken back may have become cold meanwhile,
// and are taken to be cold until their records say for how long.
func (f *Fleet) SetEvacuated(zone string, evacuated bool, now time.Time) {
	if evacuated {
		f.evacuated[zone] = true
	} else {
		delete(f.evacuated, zone)
	}
	for _, m := range f.members {
		if m.server.Zone != zone {
			continue
		}
		returned := m.evacuated && !evacuated
		m.evacuated = evacuated
		if pace := f.traits[m.server.Service].Pace; returned && pace.Limited() {
			m.cold.begin(pace.Duration, now)
		}
	}
}

// requirements returns what a request asks of a server.
func (f *Fleet) requirements(q *Query, now time.Time) eligibility.Request {
	r := eligibility.Request{Regions: q.Regions, Tokens: q.Tokens, NeedsWeights: q.Model != ""}
	if r.NeedsWeights {
		r.MinVersion = f.published.MinVersion(q.Model, now)
	}
	return r
}

// isTooLarge reports whether a request fits into no engine of its service.
func (f *Fleet) isTooLarge(q *Query) bool {
	if !f.cfg.CheckMemory {
		return false
	}
	memory := f.traits[q.Service].MemoryTokens
	return memory > 0 && max(q.Tokens, q.MaxTokens) > memory
}

// exclusion returns the reason for which a server may not get a request now.
func (f *Fleet) exclusion(m *member, q *Query, r *eligibility.Request, now time.Time) eligibility.Reason {
	s := &f.facts
	until := f.gather(s, m, q, now)
	reason := eligibility.Check(s, r)
	switch {
	case reason == eligibility.SetAside && now.Before(m.excludedUntilFor(q)) && !f.hasFreshReport(m, now):
		f.pauseEndsAt = earlier(f.pauseEndsAt, m.excludedUntilFor(q))
	case reason == eligibility.Paused:
		f.availableAt = earlier(f.availableAt, until)
	case reason == eligibility.Cold:
		f.pauseEndsAt = earlier(f.pauseEndsAt, now.Add(f.coldWait(m, now)))
	}
	return reason
}

// gather fills in what is known about a server. It returns until when a server that is
// Paused wants no requests.
func (f *Fleet) gather(s *eligibility.Server, m *member, q *Query, now time.Time) (until time.Time) {
	fresh := f.hasFreshReport(m, now)
	*s = eligibility.Server{
		Region: m.region, Draining: m.server.Draining, Misdirected: m.misdirected, Evacuated: m.evacuated,
		Down: fresh && (m.report.Down || m.restarted()), SetAside: (now.Before(m.excludedUntilFor(q)) || f.isSilent(m)) && len(q.Only) == 0,
		Tried: q.excludes(m.server.ID), Cold: (m.cold.begun || m.cold.ended) && f.coldWait(m, now) > 0,
	}
	if q.Model != "" {
		s.WeightVersion, s.Loading = f.weightVersion(m), fresh && m.report.Loading
		s.Load, s.MaxLoad = f.estimatedLoad(m, now), f.maxLoad(m, q)
		if f.cfg.CheckMemory {
			s.MemoryTokens = f.traits[m.server.Service].MemoryTokens
			s.HeldTokens = f.heldTokens(m, s.Load, s.MemoryTokens, now)
		}
	}
	if !f.tracksBackpressure() {
		return time.Time{}
	}
	standing, until := f.cfg.Backpressure.Standing(m.server.Instance(), now)
	s.Leaving, s.Paused = standing == backpressure.Leaving, standing == backpressure.Paused
	return until
}

// heldTokens estimates what the requests at a server hold of its memory: this entry's
// own by their size, those of other entries by the mean size of this entry's, and no less
// than what the engine reported and what this entry has sent since.
func (f *Fleet) heldTokens(m *member, load, memory float64, now time.Time) float64 {
	mean := f.meanTokens[m.server.Service]
	held := m.inFlightTokens + max(0, load-float64(m.inFlight))*mean
	if !f.hasFreshReport(m, now) {
		return held
	}
	return max(held, m.report.MemoryShare*memory+m.tokensSinceReport)
}

// tokensAveraged is the number of requests over which the mean size is taken.
const tokensAveraged = 64

// recordTokens records the size of a request to a service.
func (f *Fleet) recordTokens(service string, tokens float64) {
	mean, known := f.meanTokens[service]
	if !known {
		mean = tokens
	}
	f.meanTokens[service] = mean + (tokens-mean)/tokensAveraged
}

// earlier returns the earlier of two times, of which a may be zero for none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
