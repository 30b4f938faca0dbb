// Package answerlength estimates how many tokens the answer to a request will have.
//
// Callers name the most that they allow and give a hint, which is right at the median and
// often far off. The hint is corrected by the answers of the same kind of request. An
// Estimator is not safe for concurrent use.
package answerlength

import "math"

const (
	// minAnswers is the number of answers of a kind from which its correction counts.
	minAnswers = 32
	// coverage is the part of the answers that the estimate should cover.
	coverage = 0.9
	// correctionStep is by how much one answer moves a correction, as a factor's logarithm.
	correctionStep = 0.1
	// eventsAveraged is the number of answers over which the mean number of events is taken.
	eventsAveraged = 64
	// maxKinds limits the kinds that are kept.
	maxKinds = 1024
)

// Estimator keeps what the answers of each kind of request showed.
type Estimator struct {
	kinds map[string]*kind
	// events is the mean number of events of an answer by service.
	events map[string]float64
}

type kind struct {
	answers int
	// correction is the factor of the hint that covers most answers.
	correction float64
}

// New returns an estimator that has seen no answers.
func New() *Estimator { return &Estimator{kinds: map[string]*kind{}, events: map[string]float64{}} }

// Estimate returns the tokens of an answer: at most allowed, and that too if nothing more
// is known. hint is the caller's, 0 for none.
func (e *Estimator) Estimate(name string, hint, allowed int) float64 {
	k := e.kinds[name]
	if hint <= 0 || k == nil || k.answers < minAnswers {
		return float64(max(allowed, 0))
	}
	return min(float64(max(allowed, 0)), k.correction*float64(hint))
}

// Answer is a complete answer.
type Answer struct {
	Service, Kind string
	// Hint is the caller's hint in tokens.
	Hint int
	// Events is the number of events of the answer, and MeanTokens the mean number of
	// tokens of the service's answers by its configuration.
	Events     int64
	MeanTokens float64
}

// Record corrects the hints of a kind by an answer. Events have equally many tokens, so that
// the mean of both gives the tokens of one.
func (e *Estimator) Record(a Answer) {
	if a.Hint <= 0 || a.Events <= 0 || a.MeanTokens <= 0 {
		return
	}
	if len(e.kinds) >= maxKinds && e.kinds[a.Kind] == nil || len(e.events) >= maxKinds && e.events[a.Service] == 0 {
		clear(e.kinds)
		clear(e.events)
	}
	mean := e.events[a.Service]
	if mean == 0 {
		mean = float64(a.Events)
	}
	mean += (float64(a.Events) - mean) / eventsAveraged
	e.events[a.Service] = mean
	k := e.kinds[a.Kind]
	if k == nil {
		k = &kind{correction: 1}
		e.kinds[a.Kind] = k
	}
	k.answers++
	// Steps up and down are in balance where the estimate covers the wanted part.
	if tokens := float64(a.Events) * a.MeanTokens / mean; tokens > k.correction*float64(a.Hint) {
		k.correction *= math.Exp(correctionStep * coverage)
	} else {
		k.correction *= math.Exp(-correctionStep * (1 - coverage))
	}
}
