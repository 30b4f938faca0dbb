package fleet

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/bench/harness"
)

const (
	// evacuationBound is the users' bound on the time until a zone gets nothing more.
	evacuationBound = 5 * time.Second
	// coldStart is how long a plain server is cold, and coldRate what it bears meanwhile,
	// in requests a second. In any second it may get coldOverage x coldRate + coldSlack.
	coldStart   = 3 * time.Second
	coldRate    = 10.0
	coldOverage = 1.5
	coldSlack   = 5
)

// moveToZone makes a server say that it stands in another availability zone, and returns
// when all entries know.
func (f *fleet) moveToZone(zone, id string) {
	f.mu.Lock()
	if f.zones == nil {
		f.zones = map[string]string{}
	}
	f.zones[id] = zone
	f.mu.Unlock()
	f.eventually("entries know the zone of "+id, func() bool {
		return f.countLines("server_taken", fmt.Sprintf("%q", id), fmt.Sprintf(`"zone":%q`, zone)) >= entries
	})
}

// spreadOverZones moves the plain servers to zones in which no entry stands, so that the
// entries prefer none of them.
func (f *fleet) spreadOverZones() {
	f.moveToZone("x", "plain-0")
	f.moveToZone("y", "plain-1")
}

// countLines returns how many log lines hold all the parts.
func (f *fleet) countLines(parts ...string) (count int) {
	for _, line := range strings.Split(f.logs.String(), "\n") {
		if !slices.ContainsFunc(parts, func(part string) bool { return !strings.Contains(line, part) }) {
			count++
		}
	}
	return count
}

// sayCold makes a server say for how much longer it is cold; 0 ends that.
func (f *fleet) sayCold(id string, remaining time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cold == nil {
		f.cold = map[string]int64{}
	}
	f.cold[id] = remaining.Milliseconds()
}

func (f *fleet) evacuate(zone string) time.Time {
	f.c.Check(f.store.Put("keyed.op", "evacuate/"+zone, map[string]any{}), qt.IsNil)
	return time.Now()
}

// An evacuated zone gets nothing after the bound, although a reader of the store misses the
// record, an entry is frozen while the others are told, and one starts meanwhile. It is used
// again when it is taken back.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	f.spreadOverZones()
	stop := f.callers("evacuated", plainPaths, allEntries)
	f.eventually("the server gets requests", func() bool { return len(f.plains[1].Arrivals()) > 0 })
	f.eventually("the region's readers wait for the store", func() bool { return f.store.Waiting() == readers })
	f.store.SetDeaf(1)
	c.Check(f.entries[2].Process.Signal(syscall.SIGSTOP), qt.IsNil)
	evacuated := f.evacuate("y")
	<-time.After(time.Second)
	c.Check(f.entries[2].Process.Signal(syscall.SIGCONT), qt.IsNil)
	f.restart(f.entries, 1, syscall.SIGKILL)
	f.eventually("the entry is back", func() bool { return f.ready(1) })
	<-time.After(time.Until(evacuated.Add(evacuationBound + 3*time.Second)))
	late := arrivalsBetween(f.plains[1], evacuated.Add(evacuationBound), time.Now())
	c.Check(late, qt.HasLen, 0, qt.Commentf("%d requests reached the evacuated zone", len(late)))

	f.store.Drop("keyed.op", "evacuate/y")
	takenBack := time.Now()
	f.eventually("the zone gets requests again", func() bool {
		return len(arrivalsBetween(f.plains[1], takenBack, time.Now())) > 0
	})
	c.Check(time.Since(takenBack) < evacuationBound, qt.IsTrue)
	stop()
	f.checkServers(nil)
}

// A zone comes back cold under load. Its server gets no more in any second than it bears,
// from all entries together, although its record says that it is cold only later, and its
// usual share once it is warm.
func TestReturnedZoneIsColdUnderLoad(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	f.mu.Lock()
	f.coldPerSecond = coldRate
	f.mu.Unlock()
	f.configure()
	for i := range entries {
		f.eventually("configuration in force", func() bool { return f.inForce(i) })
	}
	f.spreadOverZones()
	stop := f.callers("cold", plainPaths, allEntries)
	f.evacuate("y")
	f.eventually("all entries know", func() bool { return f.countLines("zone_evacuated") >= entries })
	f.checkExplanation()
	f.store.Drop("keyed.op", "evacuate/y")
	returned := time.Now()
	f.sayCold("plain-1", coldStart)
	<-time.After(beatEvery + 100*time.Millisecond)
	f.sayCold("plain-1", 0)
	<-time.After(time.Until(returned.Add(coldStart)))
	var times []time.Time
	for _, a := range arrivalsBetween(f.plains[1], returned, returned.Add(coldStart)) {
		times = append(times, a.At)
	}
	peak := harness.Peak(times, time.Second)
	c.Logf("%d requests while cold, at most %d in a second", len(times), peak)
	c.Check(float64(peak) <= coldOverage*coldRate+coldSlack, qt.IsTrue, qt.Commentf("%d requests in a second", peak))
	c.Check(len(times) > 0, qt.IsTrue)
	f.eventually("the server gets its usual share", func() bool {
		now := time.Now()
		return len(arrivalsBetween(f.plains[1], now.Add(-time.Second), now)) >= 20
	})
	f.checkServed(stop())
	f.checkServers(nil)
}

// checkExplanation checks that the operators' command tells where a request would go while
// the zone y is evacuated, and refuses bad input with one line and code 2.
func (f *fleet) checkExplanation() {
	f.c.Helper()
	explain := func(args ...string) (out string, code int) {
		cmd := exec.Command(filepath.Join(bin, "laburnum-entry"), append([]string{"explain"}, args...)...)
		text, _ := cmd.CombinedOutput()
		return string(text), cmd.ProcessState.ExitCode()
	}
	question := []string{"--entry", entryIP(0) + ":8000", "--host", "h.example", "--path", "/read/x", "--workspace", "w"}
	out, code := explain(append(question, "--output", "json")...)
	f.c.Check(code, qt.Equals, 0)
	var answer struct {
		Server     string
		Evacuated  []string
		Candidates []struct{ Server, Excluded string }
	}
	f.c.Check(json.Unmarshal([]byte(out), &answer), qt.IsNil, qt.Commentf(out))
	f.c.Check(answer.Server, qt.Equals, "plain-0")
	f.c.Check(answer.Evacuated, qt.DeepEquals, []string{"y"})
	f.c.Assert(answer.Candidates, qt.HasLen, 2)
	f.c.Check(answer.Candidates[1].Excluded, qt.Equals, "evacuated")
	out, code = explain(question...)
	f.c.Check(code, qt.Equals, 0)
	f.c.Check(out, qt.Contains, "would go to plain-0")
	for _, bad := range [][]string{{"--entry", "here"}, {"--entry", entryIP(0) + ":8000", "--host", "h"}, append(question, "--tokens", "many"), append(question, "--output", "xml"), {}} {
		out, code := explain(bad...)
		f.c.Check(code, qt.Equals, 2, qt.Commentf("%v: %s", bad, out))
		f.c.Check(strings.Count(strings.TrimSpace(out), "\n"), qt.Equals, 0, qt.Commentf("%s", out))
	}
}
