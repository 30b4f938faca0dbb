package backpressure

import "time"

// Returns spreads the times at which refused callers of limited services may return,
// in the order of their refusals. The zero value holds no reservations.
type Returns struct {
	next map[string]time.Time
}

// Reserve returns after which time a refused caller of a service may return. The
// service's servers take rate requests per second from this entry, the first one
// after earliest. A caller that can't wait as long as horizon reserves no place.
func (r *Returns) Reserve(service string, rate float64, earliest, horizon time.Duration, now time.Time) time.Duration {
	at := now.Add(earliest)
	if next := r.next[service]; next.After(at) {
		at = next
	}
	if wait := at.Sub(now); wait > horizon || rate <= 0 {
		return wait
	}
	if r.next == nil {
		r.next = map[string]time.Time{}
	}
	r.next[service] = at.Add(time.Duration(float64(time.Second) / rate))
	return at.Sub(now)
}
