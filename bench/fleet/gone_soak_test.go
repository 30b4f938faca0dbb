package fleet

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/standin/platform"
)

// soakLeavers is how many callers leave one after the other at the same time.
const soakLeavers = 24

// TestDepartureSoak lets callers leave in all ways, one after the other, while entries
// are stopped, killed and reloaded and the store is away. No server may work for a
// caller, or get its request, more than maxEndDelay after it has left.
func TestDepartureSoak(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	f.startHolding()
	f.setWork(platform.Work{Time: 10 * time.Second})
	random := rand.New(rand.NewPCG(*soakSeed, 3))
	t.Logf("seed %d, %v", *soakSeed, *soakTime)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	var mu sync.Mutex
	left := map[string]time.Time{}
	for worker := range soakLeavers {
		own := rand.New(rand.NewPCG(*soakSeed, uint64(100+worker)))
		wait.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				h := f.randomLeaver(own, fmt.Sprintf("soak-%d-%d", worker, n))
				if h == nil {
					<-time.After(20 * time.Millisecond)
					continue
				}
				mu.Lock()
				left[h.ID] = h.left
				mu.Unlock()
			}
		})
	}
	for begun := time.Now(); time.Since(begun) < *soakTime; {
		f.disturb(random)
		<-time.After(time.Duration(random.Int64N(int64(500 * time.Millisecond))))
	}
	close(stop)
	wait.Wait()
	<-time.After(2 * maxEndDelay)
	late, seen := 0, 0
	now := time.Now()
	for _, v := range f.visits() {
		at, known := left[strings.TrimSuffix(v.ID, nextSuffix)]
		if !known {
			continue
		}
		seen++
		ended := v.Ended
		if v.Answered {
			ended = v.Arrived
		} else if ended.IsZero() {
			ended = now
		}
		if ended.Sub(at) > maxEndDelay || v.Arrived.Sub(at) > maxEndDelay {
			late++
			t.Logf("%s arrived %v and ended %v after its caller had left at %v", v.ID, v.Arrived.Sub(at), ended.Sub(at), at.Format(time.StampMilli))
			for _, line := range strings.Split(f.logs.String(), "\n") {
				if strings.Contains(line, v.ID) {
					t.Log(line)
				}
			}
		}
	}
	t.Logf("%d callers left, %d runs, %d late", len(left), seen, late)
	c.Check(late, qt.Equals, 0)
	c.Check(seen*3 > len(left), qt.IsTrue, qt.Commentf("only %d runs of %d callers", seen, len(left)))
	f.checkAlive()
}

// randomLeaver plays one caller; nil means that it could not send its request.
func (f *fleet) randomLeaver(random *rand.Rand, id string) *holdCaller {
	all := departures()
	d := all[random.IntN(len(all))]
	entry := random.IntN(entries)
	h := f.holdCall(entry, d.path, fmt.Sprintf("%s-%d-%s", id, entry, strings.ReplaceAll(d.name, " ", "-")))
	if d.shape != nil {
		d.shape(h)
	}
	if h.Send(h.address()) != nil {
		if h.Conn() != nil {
			_ = h.Leave(platform.Closes)
		}
		return nil
	}
	<-time.After(time.Duration(random.Int64N(int64(600 * time.Millisecond))))
	h.left = time.Now()
	// The entry may have closed the connection already.
	_ = h.Leave(d.how)
	return h
}

// disturb injects one fault or change.
func (f *fleet) disturb(random *rand.Rand) {
	entry, server := random.IntN(entries), random.IntN(holdingServers)
	switch random.IntN(7) {
	case 0:
		f.c.Logf("%v SIGTERM to entry %d", time.Now().Format(time.StampMilli), entry)
		f.restart(f.entries, entry, syscall.SIGTERM)
	case 1:
		f.c.Logf("%v SIGKILL to entry %d", time.Now().Format(time.StampMilli), entry)
		f.restart(f.entries, entry, syscall.SIGKILL)
	case 2:
		f.mu.Lock()
		process := f.entries[entry].Process
		f.mu.Unlock()
		_ = process.Signal(syscall.SIGHUP)
	case 3:
		f.holdTimeout = 2*time.Second + time.Duration(random.Int64N(int64(4*time.Second)))
		f.configure()
	case 4:
		f.store.SetDown(true)
		<-time.After(time.Duration(random.Int64N(int64(faultFor))))
		f.store.SetDown(false)
	case 5:
		f.holding[server].ChangeWork(platform.Work{Time: 10 * time.Second, Unread: true})
	default:
		f.holding[server].ChangeWork(platform.Work{Time: 10 * time.Second, EventBytes: 40 + random.IntN(20_000)})
	}
}
