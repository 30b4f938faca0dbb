package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/standin/platform"
)

const (
	// maxAway is the longest time for which a restored store is away in the soak, and
	// maxLost the age of the copy.
	maxAway = 2 * time.Second
	maxLost = 4 * time.Second
	// operatorRewrites is the longest time until the operator has written again what the
	// store lost.
	operatorRewrites = time.Second
)

// restorer plays restores of the store with what the operator and the servers do then.
type restorer struct {
	f      *fleet
	random *rand.Rand
	marks  []timedMark
	// removed are the plain servers that have left, with the time of the last word on it.
	removed map[int]time.Time
}

type timedMark struct {
	at   time.Time
	mark platform.Mark
}

func (r *restorer) mark() { r.marks = append(r.marks, timedMark{time.Now(), r.f.store.Mark()}) }

// restore plays one restore to a random mark and writes the operator's records again,
// under their numbers.
func (r *restorer) restore() {
	oldest := 0
	for i, m := range r.marks {
		if time.Since(m.at) > maxLost {
			oldest = i
		}
	}
	chosen := oldest + r.random.IntN(len(r.marks)-oldest)
	away := []time.Duration{0, time.Duration(r.random.Int64N(int64(400 * time.Millisecond))), time.Duration(r.random.Int64N(int64(maxAway)))}[r.random.IntN(3)]
	r.f.restore(r.marks[chosen].mark, away)
	r.marks = r.marks[:chosen+1]
	<-time.After(time.Duration(r.random.Int64N(int64(operatorRewrites))))
	r.f.writeAgain()
	for i := range r.removed {
		r.f.store.Drop("keyed.servers", fmt.Sprint("plain-", i))
		r.removed[i] = time.Now()
	}
}

// TestRestoreSoak restores the store from copies again and again, alone and in series,
// beside changes, named weights, leaving servers, kills, stops and pauses, and checks
// that the newest configuration is in force in time, that no running process goes back,
// that servers which have left get nothing, and that our own records are written again.
func TestRestoreSoak(t *testing.T) {
	c := qt.New(t)
	f := startWith(c, 5)
	t.Logf("seed %d, %v", *soakSeed, *soakTime)
	r := &restorer{f: f, random: rand.New(rand.NewPCG(*soakSeed, 2)), removed: map[int]time.Time{}}
	r.mark()
	stop := f.callers("restored", plainPaths, allEntries)
	for began := time.Now(); time.Since(began) < *soakTime; {
		r.phase()
	}
	t.Logf("answers by status: %v, era %d", stop(), f.store.Era())
	f.checkServers(nil)
}

// phase plays some changes with restores between them, and checks what holds at its end.
func (r *restorer) phase() {
	f := r.f
	regress := f.watchRegress()
	for range 3 + r.random.IntN(4) {
		r.step()
		r.mark()
		<-time.After(time.Duration(r.random.Int64N(int64(500 * time.Millisecond))))
	}
	for range 1 + r.random.IntN(2) {
		r.restore()
	}
	f.configure()
	f.within(inForceWithin, "newest configuration in force after restores", f.inForceAtAll)
	f.within(rewrittenWithin, "own records in the store after restores", f.holdsOwnRecords)
	regress()
	f.within(2*onEnginesWithin, "newest weights on the engines after restores", f.onVersion)
	for i, since := range r.removed {
		<-time.After(max(0, goneWithin-time.Since(since)))
		f.c.Check(f.reach(f.plains[i], fmt.Sprint("soak-", i, "-", time.Now().UnixNano())), qt.Equals, 0, qt.Commentf("plain-%d has left", i))
	}
}

// step plays one change or fault.
func (r *restorer) step() {
	f := r.f
	entry, agent := r.random.IntN(entries), r.random.IntN(engines)
	pause := time.Duration(r.random.Int64N(int64(faultFor)))
	// Two plain servers always stay.
	plain := 2 + r.random.IntN(3)
	steps := []func(){
		f.configure, f.configure, f.nameWeights, r.restore,
		func() { f.restart(f.entries, entry, syscall.SIGKILL) },
		func() { f.restart(f.entries, entry, syscall.SIGTERM) },
		func() { f.restart(f.agents, agent, syscall.SIGKILL) },
		func() { f.pause(f.entries[entry], pause) },
		func() {
			id := fmt.Sprint("plain-", plain)
			f.silence(id, true)
			f.store.Drop("keyed.servers", id)
			r.removed[plain] = time.Now()
		},
	}
	steps[r.random.IntN(len(steps))]()
}

// pause stops a process for a while.
func (f *fleet) pause(cmd *exec.Cmd, d time.Duration) {
	_ = cmd.Process.Signal(syscall.SIGSTOP)
	<-time.After(d)
	_ = cmd.Process.Signal(syscall.SIGCONT)
}

// watchRegress asks all entries for the newest configuration until the returned function
// is called, and checks that none goes back to an older one while its process runs.
func (f *fleet) watchRegress() (stop func()) {
	done := make(chan struct{})
	var watching sync.WaitGroup
	for i := range entries {
		watching.Go(func() {
			var process *exec.Cmd
			var newest int64
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(50 * time.Millisecond):
				}
				f.mu.Lock()
				current, version := f.entries[i], f.config
				f.mu.Unlock()
				if current != process {
					process, newest = current, 0
				}
				status := f.call(i, fmt.Sprintf("/v%d/", version), fmt.Sprint("regress-", i, "-", n, "-", time.Now().UnixNano()))
				f.mu.Lock()
				// A newer configuration drops the route that is asked for.
				comparable := f.entries[i] == process && f.config == version
				f.mu.Unlock()
				switch {
				case !comparable:
				case status == http.StatusOK:
					newest = max(newest, version)
				case status == http.StatusNotFound && version <= newest:
					f.c.Errorf("entry %d used configuration %d and does not know it any more", i, newest)
				}
			}
		})
	}
	return func() {
		close(done)
		watching.Wait()
	}
}
