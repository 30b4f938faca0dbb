package rollout

import (
	"fmt"
	"time"
	// Zone data is embedded because VMs may have none installed.
	_ "time/tzdata"
)

// startLayout is the layout of a time of day for time.Parse.
const startLayout = "15:04"

// NextStart returns the first instant, not before since, at which a clock in the
// IANA time zone shows the time of day at, such as "18:00".
//
// If a change to summer time skips that time of day, the result is the instant
// of the change. If the time of day occurs twice because clocks are set back, the
// result is the first occurrence.
func NextStart(at, zone string, since time.Time) (time.Time, error) {
	timeOfDay, err := time.Parse(startLayout, at)
	if err != nil {
		return time.Time{}, fmt.Errorf("rollout start %q is not a time of day such as 18:00", at)
	}
	location, err := time.LoadLocation(zone)
	if err != nil || zone == "" || zone == "Local" {
		return time.Time{}, fmt.Errorf("rollout time zone %q is not an IANA time zone", zone)
	}
	local := since.In(location)
	for day := 0; ; day++ {
		start := firstInstant(local.Year(), local.Month(), local.Day()+day, timeOfDay.Hour(), timeOfDay.Minute(), location)
		if !start.Before(since) {
			return start, nil
		}
	}
}

// firstInstant returns the first instant with the given local time, or the
// instant of the clock change that skips this local time.
func firstInstant(year int, month time.Month, day, hour, minute int, location *time.Location) time.Time {
	wall := time.Date(year, month, day, hour, minute, 0, 0, time.UTC)
	// At most one clock change lies between the day before and the day after.
	_, before := wall.Add(-24 * time.Hour).In(location).Zone()
	_, after := wall.Add(24 * time.Hour).In(location).Zone()
	for _, offset := range []int{max(before, after), min(before, after)} {
		candidate := wall.Add(-time.Duration(offset) * time.Second).In(location)
		if candidate.Hour() == hour && candidate.Minute() == minute {
			return candidate
		}
	}
	// The clock change skips the local time. The later of the two candidates lies
	// in the period of constant offset that begins at the clock change.
	change, _ := wall.Add(-time.Duration(min(before, after)) * time.Second).In(location).ZoneBounds()
	return change.In(location)
}
