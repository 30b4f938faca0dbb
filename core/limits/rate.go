package limits

import (
	"math"
	"time"
)

// MeanRate is the rate of events, as a mean that forgets with a time constant.
type MeanRate struct {
	constant  time.Duration
	perSecond float64
	at        time.Time
}

// NewMeanRate returns the rate of no events.
func NewMeanRate(constant time.Duration) MeanRate { return MeanRate{constant: constant} }

// Record counts an event.
func (r *MeanRate) Record(now time.Time) {
	r.perSecond, r.at = r.PerSecond(now)+1/r.constant.Seconds(), now
}

// PerSecond returns the rate in events a second.
func (r *MeanRate) PerSecond(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.perSecond * (1 - r.Weight(now.Sub(r.at)))
}

// Weight returns the part that the events of the last span have in the rate.
func (r *MeanRate) Weight(span time.Duration) float64 {
	return 1 - math.Exp(-max(0, span).Seconds()/r.constant.Seconds())
}
