package operations_test

import (
	"encoding/json"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/bench/harness"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// logEnd returns the offset after the last record of a stream.
func (f *fixture) logEnd(stream string) int64 {
	f.Helper()
	var page wire.LogPage
	resp, err := http.Get(f.cluster.LogURL + "/v1/streams/" + stream + "/records?from=1&limit=100")
	qt.Assert(f, err, qt.IsNil)
	defer resp.Body.Close()
	qt.Assert(f, json.NewDecoder(resp.Body).Decode(&page), qt.IsNil)
	return page.Next
}

// restoreLog brings the log back from a copy in which streams end before offsets.
func (f *fixture) restoreLog(ends map[string]int64) {
	f.Helper()
	qt.Assert(f, harness.PostJSON(f.cluster.LogURL+"/v1/restore", map[string]any{"ends": ends}, nil), qt.IsNil)
}

// restartEntry kills an entry and starts it again without what it knew.
func (f *fixture) restartEntry(i int) {
	f.Helper()
	qt.Assert(f, f.entries[i].Kill(), qt.IsNil)
	again, err := f.cluster.Restart(f.entries[i])
	qt.Assert(f, err, qt.IsNil)
	f.entries[i] = again
	f.until(func() bool { return f.call(i, "state", "", `{}`).Outcome == "completed" })
}

// An operation whose claim the log has lost must not run a second time, at an entry that
// starts afterwards or at one that read on at offsets which were given out again.
func TestLostClaimDoesNotRunAgain(t *testing.T) {
	f := newFixture(t)
	c := qt.New(t)
	copyEnd := f.logEnd("claims")
	key, body := newKey(), newBody()
	c.Assert(f.call(0, "open", key, body).told(), qt.Equals, "completed")
	f.restoreLog(map[string]int64{"claims": copyEnd})
	f.restartEntry(1)
	again := f.call(1, "open", key, body)
	f.check(body, again)
	c.Check(again.told(), qt.Equals, "unknown")
	// An entry that knows the claim still tells the outcome.
	c.Check(f.call(0, "open", key, body).told(), qt.Equals, "completed")

	// Claims of the new era at offsets that the first entry has already read.
	lost, lostBody := newKey(), newBody()
	c.Check(f.call(0, "open", lost, lostBody, wire.FirstUseHeader, "true").told(), qt.Not(qt.Equals), "completed",
		qt.Commentf("a key may have been used shortly before the restore"))
	for range 3 {
		f.check(lostBody, f.call(1, "open", lost, lostBody), f.call(0, "open", lost, lostBody))
	}
}
