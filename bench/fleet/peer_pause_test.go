package fleet

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// peerPauses are how long the store or another entry stands still: below, at and beyond the
// limits of 1.5 s on calls to them and on unacknowledged bytes.
var peerPauses = []time.Duration{time.Second, 1500 * time.Millisecond, 2 * time.Second, 3500 * time.Millisecond}

// callEntries calls entries with requests of every kind until done is closed, and checks that
// each one is answered.
func (f *fleet) callEntries(name string, first int, done <-chan struct{}) {
	var callers sync.WaitGroup
	defer callers.Wait()
	for n := 0; ; n++ {
		for i := first; i < entries; i++ {
			for _, path := range []string{"/notice/", "/order/", "/read/"} {
				callers.Go(func() {
					id := fmt.Sprintf("%s-%s-%d-%d", strings.Trim(path, "/"), name, i, n)
					status := f.call(i, path, id)
					f.c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("%s", id))
				})
			}
		}
		select {
		case <-time.After(probeInterval):
		case <-done:
			return
		}
	}
}

// standStill runs callers while a peer of entries stands still.
func (f *fleet) standStill(name string, first int, pause time.Duration, set func(paused bool)) {
	done := make(chan struct{})
	set(true)
	time.AfterFunc(pause, func() {
		set(false)
		// The connections that ended meanwhile are made again.
		<-time.After(time.Second)
		close(done)
	})
	f.callEntries(name, first, done)
}

// Callers must not notice that the store stands still for a second or a few, though calls to
// it are given up meanwhile, and a configuration must be in force in time after it.
func TestStoreThatStandsStillIsNotNoticed(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	for round, pause := range peerPauses {
		f.standStill(fmt.Sprint("store-", round), 0, pause, f.store.SetPaused)
		f.configure()
		published := time.Now()
		f.eventually("configuration in force", f.inForceAtAll)
		c.Check(time.Since(published) < settleTime, qt.IsTrue, qt.Commentf("after %v", time.Since(published)))
	}
	c.Check(f.logs.String(), qt.Contains, "store_lost", qt.Commentf("no call to the store was given up"))
	f.checkServers(nil)
}

// Callers of the other entries must not notice that an entry stands still.
func TestEntryThatStandsStillIsNotNoticed(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	for round, pause := range peerPauses {
		f.standStill(fmt.Sprint("entry-", round), 1, pause, func(paused bool) {
			if paused {
				f.signalEntry(0, syscall.SIGSTOP)
			} else {
				f.signalEntry(0, syscall.SIGCONT)
			}
		})
	}
	f.checkServers(nil)
}
