package rollout

import (
	"fmt"
	"time"
	// Zone data is embedded because VMs may have none installed.
	_ "time/tzdata"
)

// startLayout is the form of a time of day.
const startLayout = "15:04"

// NextStart returns the first instant at or after since at which the local
// time of day in the IANA zone is at, such as "18:00".
//
// When clocks go forward over the time of day, the rollout starts at the
// instant of the change. When clocks go back and the time of day comes twice,
// it starts at the first one.
func NextStart(at, zone string, since time.Time) (time.Time, error) {
	clock, err := time.Parse(startLayout, at)
	if err != nil {
		return time.Time{}, fmt.Errorf("rollout start %q is not a time of day such as 18:00", at)
	}
	location, err := time.LoadLocation(zone)
	if err != nil || zone == "" || zone == "Local" {
		return time.Time{}, fmt.Errorf("rollout time zone %q is not an IANA time zone", zone)
	}
	local := since.In(location)
	for day := 0; ; day++ {
		start := instant(local.Year(), local.Month(), local.Day()+day, clock.Hour(), clock.Minute(), location)
		if !start.Before(since) {
			return start, nil
		}
	}
}

// instant returns the first instant whose local time is the given one, or the
// instant of the clock change that skips it.
func instant(year int, month time.Month, day, hour, minute int, location *time.Location) time.Time {
	wall := time.Date(year, month, day, hour, minute, 0, 0, time.UTC)
	// The offsets a day before and after cover at most one change.
	_, before := wall.Add(-24 * time.Hour).In(location).Zone()
	_, after := wall.Add(24 * time.Hour).In(location).Zone()
	for _, offset := range []int{max(before, after), min(before, after)} {
		candidate := wall.Add(-time.Duration(offset) * time.Second).In(location)
		if candidate.Hour() == hour && candidate.Minute() == minute {
			return candidate
		}
	}
	// The local time is skipped: the zone's interval that holds the later
	// candidate begins at the change.
	change, _ := wall.Add(-time.Duration(min(before, after)) * time.Second).In(location).ZoneBounds()
	return change.In(location)
}
