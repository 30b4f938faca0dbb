package fleet

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/standin/platform"
)

const (
	// phase is how long a server says the same.
	phase = limitSettles + 4500*time.Millisecond
	// excusedAfter is how long after a fault of an entry its requests do not count.
	excusedAfter = 3 * time.Second
)

// span is a time in which entries were stopped or started.
type span struct{ from, to time.Time }

// unexcused drops arrivals near the faults of entries: one that has just started can't
// know what a server said, and one that was stopped acts late.
func unexcused(arrivals []platform.Arrival, faults []span) (out []platform.Arrival) {
	for _, a := range arrivals {
		excused := false
		for _, f := range faults {
			excused = excused || a.At.After(f.from) && a.At.Before(f.to.Add(excusedAfter))
		}
		if !excused {
			out = append(out, a)
		}
	}
	return out
}

// TestDistressSoak lets a plain server say random things about itself, one after the
// other, while entries are killed, asked to stop and paused, the store is down and the
// configuration changes, and checks that it is respected.
func TestDistressSoak(t *testing.T) {
	c := qt.New(t)
	f := startWith(c, 3)
	random := rand.New(rand.NewPCG(*soakSeed, 1))
	t.Logf("seed %d, %v", *soakSeed, *soakTime)
	stop := f.callers("distress", plainPaths, allEntries)
	for began := time.Now(); time.Since(began) < *soakTime; {
		f.distressPhase(random)
	}
	counts := stop()
	t.Logf("answers by status: %v", counts)
	f.checkServers(nil)
}

// distressPhase runs one phase with a fault of an entry or the store in it.
func (f *fleet) distressPhase(random *rand.Rand) {
	server := f.plains[random.IntN(len(f.plains))]
	limit := []float64{0.1, 0.5, 1, 3, 8}[random.IntN(5)]
	distresses := []platform.Distress{
		{Limit: []string{fmt.Sprint(limit)}},
		{Limit: []string{fmt.Sprint(limit), fmt.Sprint(limit + 1)}},
		{Leaving: []string{"1"}},
		{Leaving: []string{"1"}, Refuse: true},
		{Refuse: true, RetryAfter: fmt.Sprint(phase.Seconds())},
		{Limit: []string{fmt.Sprint(limit)}, Refuse: true, RetryAfter: fmt.Sprint(phase.Seconds())},
		{Limit: []string{"-1"}, Leaving: []string{"soon"}},
	}
	d := distresses[random.IntN(len(distresses))]
	server.SetDistress(d)
	said := time.Now()
	fault := f.entryFault(random)
	<-time.After(time.Duration(random.Int64N(int64(2 * time.Second))))
	faulted := span{from: time.Now()}
	fault()
	faulted.to = time.Now()
	<-time.After(max(0, phase-time.Since(said)))
	f.checkDistress(server, d, limit, said, faulted)
	// The next instance says nothing.
	server.SetDistress(platform.Distress{})
	server.Crash()
	f.eventually("the next instance gets requests", func() bool {
		now := time.Now()
		return len(arrivalsBetween(server, now.Add(-time.Second), now)) > 0
	})
}

func (f *fleet) checkDistress(server *platform.Server, d platform.Distress, limit float64, said time.Time, faulted span) {
	now := time.Now()
	describe := func(got []platform.Arrival) qt.Comment {
		return qt.Commentf("%+v: %d requests; entries faulted %v to %v after it was said", d, len(got), faulted.from.Sub(said), faulted.to.Sub(said))
	}
	if len(d.Limit) > 0 && d.Limit[0] != "-1" {
		got := unexcused(arrivalsBetween(server, said.Add(limitSettles), now), []span{faulted})
		f.c.Check(peak(got) <= allowed(limit), qt.IsTrue, describe(got))
	}
	if len(d.Leaving) > 0 && d.Leaving[0] == "1" {
		got := unexcused(arrivalsBetween(server, said.Add(leavingSettles), now), []span{faulted})
		f.c.Check(len(got), qt.Equals, 0, describe(got))
	}
	if d.RetryAfter != "" {
		// The last entry may be refused for the first time a second after the first.
		got := unexcused(arrivalsBetween(server, said.Add(time.Second+quietSettles), now), []span{faulted})
		f.c.Check(len(got) <= maxQuietArrivals*entries, qt.IsTrue, describe(got))
	}
}

// entryFault draws a fault of an entry or of the store.
func (f *fleet) entryFault(random *rand.Rand) func() {
	entry := random.IntN(entries)
	pause := time.Duration(random.Int64N(int64(faultFor)))
	faults := []func(){
		func() {},
		func() { f.restart(f.entries, entry, syscall.SIGKILL) },
		func() { f.restart(f.entries, entry, syscall.SIGTERM) },
		func() {
			_ = f.entries[entry].Process.Signal(syscall.SIGSTOP)
			<-time.After(pause)
			_ = f.entries[entry].Process.Signal(syscall.SIGCONT)
		},
		func() {
			f.store.SetDown(true)
			<-time.After(pause)
			f.store.SetDown(false)
		},
		func() { f.configure() },
	}
	return faults[random.IntN(len(faults))]
}
