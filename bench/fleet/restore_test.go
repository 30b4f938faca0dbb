package fleet

import (
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/node/stager"
	"github.com/laburnumloft/laburnumloft/standin/platform"
)

const (
	// inForceWithin is the bound of a configuration at the target size.
	inForceWithin = 5 * time.Second
	// onEnginesWithin is the bound of a weight version in the settings.
	onEnginesWithin = 8 * time.Second
	// goneWithin is when a server that has left gets no more requests.
	goneWithin = 5 * time.Second
	// rewrittenWithin is when our own records stand in the store again.
	rewrittenWithin = 5 * time.Second
	// registersAgainWithin is less than the time in which servers that the store lost
	// write again.
	registersAgainWithin = 1500 * time.Millisecond
	// switchingPath is a route to the plain servers.
	switchingPath = "/read/"
)

// restore lets the store be away for a while and come back in the state of a mark.
func (f *fleet) restore(m platform.Mark, away time.Duration) {
	if away > 0 {
		f.store.SetDown(true)
		<-time.After(away)
	}
	f.store.Restore(m)
	f.store.SetDown(false)
}

// within waits until a condition holds and fails if that takes longer than the bound.
func (f *fleet) within(bound time.Duration, what string, done func() bool) {
	began := time.Now()
	f.eventually(what, done)
	f.c.Check(time.Since(began) < bound, qt.IsTrue, qt.Commentf("%s after %v, bound %v", what, time.Since(began), bound))
}

func (f *fleet) inForceAtAll() bool {
	for i := range entries {
		if !f.inForce(i) {
			return false
		}
	}
	return true
}

// awayTimes are the times for which the store is away in the tests.
var awayTimes = []time.Duration{0, 50 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second}

// A configuration that is written at an offset which the store had given out before a
// restore must be in force in time.
func TestConfigurationAfterARestore(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	f.patience = 2 * inForceWithin
	for _, away := range awayTimes {
		mark := f.store.Mark()
		f.configure()
		f.within(inForceWithin, "configuration in force before the restore", f.inForceAtAll)
		f.restore(mark, away)
		f.configure()
		f.within(inForceWithin, fmt.Sprint("configuration in force after a restore, away for ", away), f.inForceAtAll)
	}
	f.checkServers(nil)
}

// Weights that are named at an offset which the store had given out before a restore
// must reach the engines in time.
func TestNamedWeightsAfterARestore(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	f.patience = 2 * onEnginesWithin
	for _, away := range awayTimes[:3] {
		mark := f.store.Mark()
		f.configure()
		f.within(inForceWithin, "configuration in force before the restore", f.inForceAtAll)
		f.restore(mark, away)
		f.nameWeights()
		f.within(onEnginesWithin, fmt.Sprint("weights on the engines after a restore, away for ", away), f.onVersion)
	}
	f.checkServers(nil)
}

// reach counts the requests that reached a plain server while calls were made for a
// second.
func (f *fleet) reach(server *platform.Server, name string) int {
	from := time.Now()
	for n := 0; time.Since(from) < time.Second; n++ {
		f.call(n%entries, switchingPath, fmt.Sprint("read-", name, "-", n))
	}
	return len(arrivalsBetween(server, from, time.Now()))
}

// A server that is removed right after a restore, at an offset that the store had given
// out before, must get no more requests.
func TestServerRemovedAfterARestore(t *testing.T) {
	c := qt.New(t)
	f := startWith(c, 4)
	for i, away := range awayTimes[:3] {
		id := fmt.Sprint("plain-", i)
		f.eventually("the server gets requests", func() bool { return f.reach(f.plains[i], fmt.Sprint("before-", i)) > 0 })
		mark := f.store.Mark()
		<-time.After(2 * beatEvery)
		f.silence(id, true)
		f.restore(mark, away)
		f.store.Drop("keyed.servers", id)
		// Records of others follow before the next read, up to offsets beyond those
		// that were read before.
		for n := range 40 {
			c.Assert(f.store.Put("keyed.servers", fmt.Sprint("other-", n%3), f.plains[3].Beat("elsewhere", plainIP(3)+":8001", "z")), qt.IsNil)
		}
		<-time.After(goneWithin)
		c.Check(f.reach(f.plains[i], fmt.Sprint("after-", i)), qt.Equals, 0, qt.Commentf("away for %v", away))
	}
}

// A copy of the store that still lists a server which has left, or lists a draining one
// as ready, must not bring it back.
func TestCopyDoesNotBringBackServers(t *testing.T) {
	c := qt.New(t)
	f := startWith(c, 4)
	for i := range 2 {
		f.eventually("the server gets requests", func() bool { return f.reach(f.plains[i], fmt.Sprint("before-", i)) > 0 })
	}
	mark := f.store.Mark()
	f.silence("plain-0", true)
	f.store.Drop("keyed.servers", "plain-0")
	f.drain("plain-1")
	f.eventually("servers are gone", func() bool {
		return f.reach(f.plains[0], "gone") == 0 && f.reach(f.plains[1], "draining") == 0
	})
	f.silence("plain-1", true)
	f.restore(mark, 0)
	for n := range 3 {
		for i := range 2 {
			c.Check(f.reach(f.plains[i], fmt.Sprint("restored-", i, "-", n)), qt.Equals, 0, qt.Commentf("plain-%d, %d s after the restore", i, 2*n+i))
		}
	}
}

// Servers that registered after the copy was taken must go on getting requests, and
// those that the new history removes must go.
func TestServersThatTheCopyLacksStay(t *testing.T) {
	c := qt.New(t)
	f := startWith(c, 2)
	f.eventually("servers get requests", func() bool { return f.reach(f.plains[0], "before") > 0 })
	mark := f.store.Mark()
	delete(mark, "keyed.servers")
	for i := range 2 {
		f.silence(fmt.Sprint("plain-", i), true)
	}
	<-time.After(2 * beatEvery)
	f.restore(mark, 0)
	served := func(phase string, length time.Duration) {
		for began, n := time.Now(), 0; time.Since(began) < length; n++ {
			c.Check(f.call(n%entries, switchingPath, fmt.Sprint("read-", phase, "-", n)), qt.Equals, http.StatusOK, qt.Commentf("%v after it", time.Since(began)))
			<-time.After(25 * time.Millisecond)
		}
	}
	served("restored", registersAgainWithin)
	for i := range 2 {
		f.silence(fmt.Sprint("plain-", i), false)
	}
	served("registered", 2*time.Second)
}

// An entry that starts on a copy with an older configuration must not use it while
// others know a newer one.
func TestStartOnAnOlderCopy(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	mark := f.store.Mark()
	f.configure()
	f.within(inForceWithin, "configuration in force", f.inForceAtAll)
	f.restore(mark, 0)
	for i := range entries {
		f.restart(f.entries, i, syscall.SIGKILL)
		older := fmt.Sprintf("/v%d/", f.config-1)
		for began := time.Now(); time.Since(began) < 2*time.Second; {
			if status := f.call(i, older, "older"); status == http.StatusOK {
				c.Errorf("entry %d uses the older configuration %v after its start", i, time.Since(began))
				break
			}
		}
		f.eventually("configuration in force at the entry that started", func() bool { return f.inForce(i) })
	}
}

// ownKeys are the keys of the processes' records.
func ownKeys() (keys []string) {
	for i := range entries {
		keys = append(keys, fmt.Sprint("entry-", i))
	}
	for i := range engines {
		keys = append(keys, fmt.Sprint("agent-", i))
	}
	return keys
}

// holdsOwnRecords reports whether the store holds the records of all processes and the
// manifest of the model.
func (f *fleet) holdsOwnRecords() bool {
	for _, key := range append(ownKeys(), "manifest/"+model) {
		if _, ok := f.store.Newest("keyed.members", key); !ok {
			return false
		}
	}
	return true
}

// manifestAtAllAgents reports whether every agent can give the manifest of the model.
// Each fetches that of the running version some seconds after its start.
func (f *fleet) manifestAtAllAgents() bool {
	for i := range engines {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := stager.FetchManifest(ctx, f.client, fmt.Sprintf("%s:%d", engineIP(i), ownPort), stager.ManifestRequirements{Model: model, Version: 1, Pieces: platform.Pieces})
		cancel()
		if err != nil {
			return false
		}
	}
	return true
}

// What our processes wrote and the store forgot must be written again, also if the
// writer has ended, and must outlast the loss of all processes.
func TestOwnRecordsAreWrittenAgain(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	f.eventually("own records in the store", f.holdsOwnRecords)
	// A manifest that only its killed writer held would be fetched from the origin and
	// published once more, which is one append more than the bound.
	f.eventually("the manifest at all agents", f.manifestAtAllAgents)
	empty := f.store.Mark()
	delete(empty, "keyed.members")
	// The writer of one record is gone when the store comes back.
	_ = f.agents[0].Process.Kill()
	_ = f.agents[0].Wait()
	appends, reads := f.store.Calls("keyed.members")
	f.restore(empty, 50*time.Millisecond)
	f.within(rewrittenWithin, "own records in the store after a restore", f.holdsOwnRecords)
	// All readers of the region have checked after this time.
	<-time.After(2 * time.Second)
	appendsAfter, readsAfter := f.store.Calls("keyed.members")
	c.Check(appendsAfter-appends <= readers, qt.IsTrue, qt.Commentf("%d appends for one restore", appendsAfter-appends))
	c.Check(readsAfter-reads <= 2*readers, qt.IsTrue, qt.Commentf("%d reads for one restore", readsAfter-reads))
	f.restart(f.agents, 0, syscall.SIGKILL)

	f.restore(empty, 0)
	f.within(rewrittenWithin, "own records in the store after a second restore", f.holdsOwnRecords)
	f.mu.Lock()
	all := append(append([]*exec.Cmd{}, f.entries...), f.agents...)
	f.mu.Unlock()
	for _, cmd := range all {
		_ = cmd.Process.Kill()
	}
	for i := range entries {
		f.restart(f.entries, i, syscall.SIGKILL)
	}
	for i := range engines {
		f.restart(f.agents, i, syscall.SIGKILL)
	}
	f.eventually("all entries ready", func() bool { return f.ready(0) && f.ready(1) && f.ready(2) })
	f.configure()
	f.within(inForceWithin, "configuration in force after the loss of all processes", f.inForceAtAll)
	f.nameWeights()
	f.within(onEnginesWithin, "weights on the engines after the loss of all processes", f.onVersion)
}

// Processes that start when the store holds no members must learn of the others, or they
// get neither configurations nor weights.
func TestStartWithoutMembers(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	f.eventually("own records in the store", f.holdsOwnRecords)
	empty := f.store.Mark()
	delete(empty, "keyed.members")
	for n := range 3 {
		f.restore(empty, 0)
		f.restart(f.entries, 1+n%2, syscall.SIGKILL)
		f.restart(f.agents, n, syscall.SIGKILL)
		f.eventually("the entry that started is ready", func() bool { return f.ready(1 + n%2) })
		f.configure()
		f.within(inForceWithin, "configuration in force at all", f.inForceAtAll)
		f.nameWeights()
		f.within(onEnginesWithin, "weights on all engines", f.onVersion)
		f.within(rewrittenWithin, "own records in the store", f.holdsOwnRecords)
	}
}

// A verdict that the store forgot must be there for entries that start when all that
// knew it are gone, also if its writer ended before the others.
func TestVerdictIsWrittenAgain(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	began := time.Now()
	f.eventually("entries have answered prompts for a while", func() bool {
		for i := range entries {
			f.prompt(i, "/notice/", fmt.Sprint("notice-warm-", i, time.Now().UnixNano()), soundParts)
		}
		return time.Since(began) > 3*time.Second
	})
	mark := f.store.Mark()
	f.taint(0, "first")
	for i := range entries {
		f.taint(i, fmt.Sprint("all-", i))
	}
	verdicts := func() (n int) {
		for _, key := range f.store.Keys("keyed.members") {
			if strings.HasPrefix(key, "quarantine/") {
				n++
			}
		}
		return n
	}
	f.eventually("verdict in the store", func() bool { return verdicts() > 0 })
	f.restart(f.entries, 0, syscall.SIGKILL)
	f.eventually("the entry that started is ready and knows the verdict", func() bool { return f.ready(0) && f.verdictsFrom("store")+f.verdictsFrom("entry") > 0 })
	f.restore(mark, 0)
	c.Check(verdicts(), qt.Equals, 0)
	f.within(rewrittenWithin, "verdict in the store after a restore", func() bool { return verdicts() > 0 })
}

// Two restores within a second, and one while processes restart, must leave the newest
// configuration in force.
func TestRestoresInSeries(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	for n := range 3 {
		mark := f.store.Mark()
		f.configure()
		f.restore(mark, 0)
		f.configure()
		<-time.After(time.Duration(n) * 200 * time.Millisecond)
		mark = f.store.Mark()
		f.configure()
		if n == 2 {
			f.restart(f.entries, n, syscall.SIGKILL)
		}
		f.restore(mark, 0)
		f.configure()
		f.within(inForceWithin, "configuration in force after two restores", f.inForceAtAll)
	}
	f.checkServers(nil)
}

// Answers without a readable era, or with one that falls, must lose nothing and be
// logged.
func TestUnreadableEras(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	for header, line := range map[string]string{"-": "store_era_missing", "soon": "store_era_unreadable"} {
		f.store.SetEraHeader(header)
		f.configure()
		f.within(inForceWithin, "configuration in force with the header "+header, f.inForceAtAll)
		f.eventually(line, func() bool { return strings.Contains(f.logs.String(), line) })
		f.store.SetEraHeader("")
	}
	mark := f.store.Mark()
	f.configure()
	f.within(inForceWithin, "configuration in force", f.inForceAtAll)
	f.restore(mark, 0)
	f.configure()
	f.within(inForceWithin, "configuration in force after a restore", f.inForceAtAll)
	mark = f.store.Mark()
	f.configure()
	f.within(inForceWithin, "configuration in force", f.inForceAtAll)
	f.store.Restore(mark)
	f.store.SetEra(0)
	f.configure()
	f.within(inForceWithin, "configuration in force after an era that fell", f.inForceAtAll)
	f.eventually("an era that fell is logged", func() bool { return strings.Contains(f.logs.String(), "store_era_went_back") })
}
