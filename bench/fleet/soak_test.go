package fleet

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	soakSeed = flag.Uint64("soak.seed", 1, "seed of the faults")
	soakTime = flag.Duration("soak.time", 15*time.Second, "how long faults are injected")
)

// faultFor bounds how long one fault lasts.
const faultFor = 1500 * time.Millisecond

// TestSoak injects random faults from outside, several at a time, and checks
// while it runs: an order runs at most once, what was refused has not run, every
// answer is whole and its caller's own, no engine loads mixed weights. At the end
// the fleet must converge to the newest configuration and weights.
func TestSoak(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	random := rand.New(rand.NewPCG(*soakSeed, 0))
	t.Logf("seed %d, %v", *soakSeed, *soakTime)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	var mu sync.Mutex
	refused, answered, calls := map[string]bool{}, 0, 0
	for worker := range 6 {
		wait.Go(func() {
			paths := []string{"/order/", "/notice/", "/read/"}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				path := paths[n%len(paths)]
				id := fmt.Sprintf("%s-%d-%d", strings.Trim(path, "/"), worker, n)
				status := f.call((worker+n)%entries, path, id)
				mu.Lock()
				calls++
				switch status {
				case http.StatusServiceUnavailable, http.StatusTooManyRequests:
					refused[id] = true
				case http.StatusOK:
					answered++
				}
				mu.Unlock()
			}
		})
	}
	var faults sync.WaitGroup
	for begun := time.Now(); time.Since(begun) < *soakTime; {
		inject := f.fault(random)
		length := time.Duration(random.Int64N(int64(faultFor)))
		faults.Go(func() { inject(length) })
		<-time.After(time.Duration(random.Int64N(int64(400 * time.Millisecond))))
	}
	faults.Wait()
	close(stop)
	wait.Wait()
	for i := range entries {
		f.eventually("newest configuration in force", func() bool { return f.inForce(i) })
	}
	f.eventually("newest weights on all engines", f.onVersion)
	f.checkServers(refused)
	t.Logf("%d of %d requests answered, %d refused", answered, calls, len(refused))
	c.Check(answered*2 > calls, qt.IsTrue)
}

// fault draws one fault; it lasts for the given time.
func (f *fleet) fault(random *rand.Rand) func(time.Duration) {
	entry, engine, plain, piece := random.IntN(entries), random.IntN(engines), random.IntN(usualPlains), random.IntN(4)
	toggle := func(set func(bool)) func(time.Duration) {
		return func(d time.Duration) {
			set(true)
			<-time.After(d)
			set(false)
		}
	}
	all := []func(time.Duration){
		func(time.Duration) { f.exclusive(func() { f.restart(f.entries, entry, syscall.SIGKILL) }) },
		func(time.Duration) { f.exclusive(func() { f.restart(f.entries, entry, syscall.SIGTERM) }) },
		func(time.Duration) { f.exclusive(func() { f.restart(f.agents, engine, syscall.SIGKILL) }) },
		func(d time.Duration) {
			f.exclusive(func() {
				_ = f.entries[entry].Process.Signal(syscall.SIGSTOP)
				<-time.After(d)
				_ = f.entries[entry].Process.Signal(syscall.SIGCONT)
			})
		},
		toggle(f.store.SetDown), toggle(f.store.SetLosing), toggle(f.origin.SetDown),
		toggle(func(on bool) { f.origin.SetCorrupt(map[bool]int{true: 5}[on]) }),
		func(time.Duration) { f.origin.ShortenLists(1 + piece) },
		toggle(func(on bool) { f.plains[plain].SetFaults(map[bool]int{true: 7}[on], 0, map[bool]int{true: 5}[on]) }),
		toggle(func(on bool) { f.engines[engine].SetFaults(map[bool]int{true: 9}[on], map[bool]int{true: 4}[on], 0) }),
		func(time.Duration) { f.engines[engine].Crash() },
		func(time.Duration) { f.engines[engine].Rot(piece) },
		func(time.Duration) { f.configure() },
		func(time.Duration) { f.nameWeights() },
		func(d time.Duration) { f.exclusive(func() { f.restoreToRecentMark(d) }) },
	}
	return all[random.IntN(len(all))]
}

// restoreToRecentMark restores the store to a state some time ago; the operator writes
// again what was lost.
func (f *fleet) restoreToRecentMark(ago time.Duration) {
	mark := f.store.Mark()
	f.configure()
	<-time.After(ago)
	f.restore(mark, ago/4)
	f.writeAgain()
}

var processFault sync.Mutex

// exclusive keeps faults of processes from meeting at the same process.
func (f *fleet) exclusive(inject func()) {
	processFault.Lock()
	defer processFault.Unlock()
	inject()
}
