package fleet

import (
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/standin/platform"
)

const (
	soundParts  = "a1:20"
	deadlyParts = "a1:20," + platform.DeadlyPart + ":40"
	// maxEnginesLost is the users' bound on engines lost to one part.
	maxEnginesLost = 5
)

// taint sends requests with the deadly part through an entry until it refuses them
// as not run.
func (f *fleet) taint(entry int, id string) { f.taintWith(entry, id, deadlyParts, soundParts) }

// taintWith is taint for the parts of a prompt with and without the deadly one.
func (f *fleet) taintWith(entry int, id, deadly, sound string) {
	n := 0
	f.eventually("requests with the deadly part refused", func() bool {
		n++
		return f.prompt(entry, "/notice/", fmt.Sprint("notice-", id, "-", n), deadly) == http.StatusServiceUnavailable &&
			f.prompt(entry, "/notice/", fmt.Sprint("notice-sound-", id, "-", n), sound) == http.StatusOK
	})
}

// verdictsFrom counts the verdicts that entries took over from a source.
func (f *fleet) verdictsFrom(source string) (n int) {
	for line := range strings.SplitSeq(f.logs.String(), "\n") {
		if strings.Contains(line, "prompt_quarantined") && strings.Contains(line, `"source":"`+source+`"`) {
			n++
		}
	}
	return n
}

// A part that crashes engines must be kept away by all entries after few crashes,
// also by those that restart one by one, without the store, and all together.
// Requests that share the caller and the other parts must be served.
func TestDeadlyPartIsKnownToAllEntries(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	began := time.Now()
	f.eventually("entries have answered prompts for a while", func() bool {
		for i := range entries {
			c.Check(f.prompt(i, "/notice/", fmt.Sprint("notice-warm-", i, time.Now().UnixNano()), soundParts), qt.Equals, http.StatusOK)
		}
		return time.Since(began) > 3*time.Second
	})
	f.taint(0, "first")
	for i := range entries {
		f.taint(i, fmt.Sprint("all-", i))
	}
	c.Assert(f.crashes.Load() <= maxEnginesLost, qt.IsTrue, qt.Commentf("%d engines crashed", f.crashes.Load()))
	crashed := f.crashes.Load()

	f.store.SetDown(true)
	f.restart(f.entries, 1, syscall.SIGKILL)
	f.eventually("configuration from another entry", func() bool { return f.inForce(1) })
	f.eventually("verdict from another entry", func() bool { return f.verdictsFrom("entry") > 0 })
	f.taint(1, "store-down")
	f.store.SetDown(false)

	f.mu.Lock()
	old := append([]*exec.Cmd{}, f.entries...)
	f.mu.Unlock()
	for _, cmd := range old {
		_ = cmd.Process.Kill()
	}
	for i := range entries {
		f.restart(f.entries, i, syscall.SIGKILL)
	}
	for i := range entries {
		f.eventually("entry ready", func() bool { return f.ready(i) })
	}
	f.eventually("verdict from the store at all entries", func() bool { return f.verdictsFrom("store") >= entries })
	for i := range entries {
		f.taint(i, fmt.Sprint("restarted-", i))
	}
	c.Assert(f.crashes.Load(), qt.Equals, crashed, qt.Commentf("entries forgot the part in a restart"))
}

// longPrompt returns the parts of a prompt of 400 parts, with the deadly one at a place; none
// if that is negative.
func longPrompt(place int) string {
	const length = 400
	parts := make([]string, length)
	for i := range parts {
		parts[i] = fmt.Sprintf("%x:20", 0xa0000000+i)
	}
	if place >= 0 {
		parts[place] = platform.DeadlyPart + ":40"
	}
	return strings.Join(parts, ",")
}

// A part that crashes engines must be kept away wherever it stands in a long prompt, also by
// entries that saw none of the crashes. Parts behind the 16th were not read, and a suspect
// with many parts did not fit in a notice to the other entries.
func TestDeadlyPartInALongPrompt(t *testing.T) {
	c := qt.New(t)
	f := start(c)
	began := time.Now()
	f.eventually("entries have answered prompts for a while", func() bool {
		for i := range entries {
			c.Check(f.prompt(i, "/notice/", fmt.Sprint("notice-warm-", i, time.Now().UnixNano()), longPrompt(-1)), qt.Equals, http.StatusOK)
		}
		return time.Since(began) > 3*time.Second
	})
	for i, place := range []int{390, 17, 0} {
		f.taintWith(i%entries, fmt.Sprint("long-", place), longPrompt(place), longPrompt(-1))
	}
	c.Check(f.crashes.Load() <= maxEnginesLost, qt.IsTrue, qt.Commentf("%d engines crashed", f.crashes.Load()))
	c.Check(strings.Contains(f.logs.String(), "crash_notice_unsent"), qt.IsFalse)
}
