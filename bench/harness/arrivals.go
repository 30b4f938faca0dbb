package harness

import "time"

// Peak returns the largest number of times within any window of the given length. The
// times are in order.
func Peak(times []time.Time, window time.Duration) (most int) {
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
