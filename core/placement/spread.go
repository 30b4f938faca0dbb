package placement

import (
	"time"

	"github.com/laburnumloft/laburnumloft/core/eligibility"
	"github.com/laburnumloft/laburnumloft/core/limits"
)

// Config.SpreadByRoom answers the load of many entries that choose at the same moment by
// figures that are a few hundred milliseconds old. What is missing in the figure for an
// engine is what the other entries sent meanwhile. All entries choose engines in proportion
// to their room, so that each can estimate the others' part from its own rate of requests
// and the number of entries, without asking the engines more often.

const (
	// reportDelay is the mean time from the measurement of a report to its arrival: a
	// collector sends every 200 ms, to other regions every 400 ms, where two of three
	// engines stand.
	reportDelay = 250 * time.Millisecond
	// sentRateTime is the time constant of the mean rate of own requests.
	sentRateTime = time.Second
	// minRateTime is the shortest time from which a rate is estimated.
	minRateTime = 100 * time.Millisecond
	// staleRoom is the room of an engine whose reports have stopped: some, because an engine
	// may be well while its reports are lost, but little, because it may be full. One that
	// has never reported has just started.
	staleRoom = 1
	// overdueAfter is the age of a report from which the next one is overdue: with the
	// collectors' intervals and the ways between regions it is at most 0.5 s old. What keeps a
	// report from arriving, such as a narrow link, keeps answers, too.
	overdueAfter = 500 * time.Millisecond
	// overdueWeight is the part of its room with which such an engine counts. It still gets
	// requests where no other has room, or where all reports are overdue.
	overdueWeight = 0.05
	// serviceTimesAveraged is the number of requests over which the mean time at an engine
	// is taken, and usualServiceTime that time until one has ended.
	serviceTimesAveraged = 32
	usualServiceTime     = time.Second
	// maxBurst is how far above what the engines' load needs the rate of requests is taken
	// to be.
	maxBurst = 2
	// minServiceTime bounds the rate at which engines are taken to end requests.
	minServiceTime = 100 * time.Millisecond
)

// spreadMember is what is kept of one engine.
type spreadMember struct {
	// weight is the room at the last report and what becomes free until the next, in
	// requests.
	weight float64
	// load is the reported load.
	load float64
}

// spreadService is what is kept of the engines of one service.
type spreadService struct {
	// weight and load are the sums of those of the engines.
	weight, load float64
	// sent is the mean rate of this entry's requests.
	sent limits.MeanRate
	// firstSentAt is when the first request was sent.
	firstSentAt time.Time
	serviceTime time.Duration
	// plainSeconds is the mean time of the answers of plain servers; 0 until there is one.
	plainSeconds float64
}

// rate returns the mean rate of this entry's requests, in requests a second.
func (s *spreadService) rate(now time.Time) float64 {
	if s.firstSentAt.IsZero() {
		return 0
	}
	observed := max(now.Sub(s.firstSentAt), minRateTime)
	return s.sent.PerSecond(now) / s.sent.Weight(observed)
}

// SetEntryCount sets the number of entries that send requests.
func (f *Fleet) SetEntryCount(n int) { f.entryCount = n }

func (f *Fleet) spreadOf(service string) *spreadService {
	s := f.spread[service]
	if s == nil {
		s = &spreadService{sent: limits.NewMeanRate(sentRateTime), serviceTime: usualServiceTime}
		f.spread[service] = s
	}
	return s
}

// recordRoom updates the weight of an engine after its report.
func (f *Fleet) recordRoom(m *member) {
	if !f.cfg.SpreadByRoom {
		return
	}
	s := f.spreadOf(m.server.Service)
	load := float64(m.report.Running + m.report.Queued)
	weight := max(0, f.fullLoad(m)-load) + f.endedWithin(m, s, reportDelay)
	if m.report.Down || m.report.Loading {
		weight = 0
	}
	if m.removed {
		weight, load = 0, 0
	}
	s.weight, s.load = max(0, s.weight+weight-m.spread.weight), max(0, s.load+load-m.spread.load)
	m.spread = spreadMember{weight, load}
}

// fullLoad returns the load from which an engine is full for requests of the highest rank.
func (f *Fleet) fullLoad(m *member) float64 {
	return float64(max(m.server.Slots, 1)) + f.queueAllowance(m)
}

// queueAllowance returns how many requests may wait at an engine. It stands for a time, in
// which a slow engine begins fewer.
func (f *Fleet) queueAllowance(m *member) float64 {
	if f.cfg.SpreadByRoom && m.report.Slowdown > 1 {
		return f.cfg.QueueAllowance / m.report.Slowdown
	}
	return f.cfg.QueueAllowance
}

// endedWithin estimates how many of the requests that an engine reported end in a time.
func (f *Fleet) endedWithin(m *member, s *spreadService, span time.Duration) float64 {
	running := float64(min(m.report.Running, m.server.Slots))
	return min(running, running*span.Seconds()/max(s.serviceTime, minServiceTime).Seconds())
}

// recordSent records a request of this entry.
func (f *Fleet) recordSent(m *member, now time.Time) {
	if !f.cfg.SpreadByRoom {
		return
	}
	s := f.spreadOf(m.server.Service)
	if s.firstSentAt.IsZero() {
		s.firstSentAt = now
	}
	s.sent.Record(now)
}

// recordServiceTime records how long a request was at a server.
func (f *Fleet) recordServiceTime(m *member, took time.Duration) {
	if !f.cfg.SpreadByRoom {
		return
	}
	s := f.spreadOf(m.server.Service)
	s.serviceTime += (took - s.serviceTime) / serviceTimesAveraged
}

// othersSince estimates by how much the requests of the other entries at an engine have
// increased since its report was measured.
func (f *Fleet) othersSince(m *member, now time.Time) float64 {
	s := f.spread[m.server.Service]
	if s == nil || f.entryCount < 2 {
		return 0
	}
	age := now.Sub(m.reportedAt) + reportDelay
	arrived := 0.0
	if s.weight > 0 {
		arrived = f.othersRate(s, now) * age.Seconds() * m.spread.weight / s.weight
	}
	return arrived - f.endedWithin(m, s, age)*float64(f.entryCount-1)/float64(f.entryCount)
}

// othersRate estimates the rate of the other entries' requests to a service, as the mean of
// two figures. If each of them has as many as this entry, a burst shows at once, but entries
// have unequal traffic; what the engines' load needs, by Little's law, shows a burst late.
func (f *Fleet) othersRate(s *spreadService, now time.Time) float64 {
	own := s.rate(now)
	all := s.load / max(s.serviceTime, minServiceTime).Seconds()
	return (min(float64(f.entryCount-1)*own, maxBurst*all) + max(0, all-own)) / 2
}

// sampleByRoom returns an engine chosen at random in proportion to its room, or the reason
// why no engine is eligible.
func (f *Fleet) sampleByRoom(q *Query, r *eligibility.Request, now time.Time) (*member, Miss) {
	members := f.services[q.Service]
	for range maxSamples {
		if len(members) <= maxSamples {
			break
		}
		m := members[f.rng.IntN(len(members))]
		if f.exclusion(m, q, r, now) == eligibility.Eligible && f.rng.Float64()*f.fullLoad(m) < f.room(m, now) {
			return m, Found
		}
	}
	var chosen *member
	miss, total := NoServer, 0.0
	for _, m := range members {
		reason := f.exclusion(m, q, r, now)
		if reason != eligibility.Eligible {
			f.exclusions[reason]++
			if other := missFor(reason); other.rank() > miss.rank() {
				miss = other
			}
			continue
		}
		room := f.room(m, now)
		if total += room; chosen == nil || f.rng.Float64()*total < room {
			chosen = m
		}
	}
	if chosen == nil {
		return nil, miss
	}
	return chosen, Found
}

// minRoom keeps an engine with hardly any room from being chosen never.
const minRoom = 0.01

// room returns the room of the engine whose facts were gathered last, as a weight: an engine
// in another zone has less, and so has a slow one or one whose report is overdue.
func (f *Fleet) room(m *member, now time.Time) float64 {
	room := f.facts.MaxLoad - f.facts.Load
	if m.server.Zone != f.cfg.Zone {
		room -= f.cfg.CrossZonePenalty * float64(m.server.Slots)
	}
	if m.report.Slowdown > 1 {
		room /= m.report.Slowdown
	}
	if !m.reportedAt.IsZero() && now.Sub(m.reportedAt) > overdueAfter {
		room *= overdueWeight
	}
	return max(room, minRoom)
}
