package quarantine

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/prompt"
)

// Requests as a whole.
const (
	firstRequest prompt.Part = 1<<60 + iota
	secondRequest
	soundRequest
)

func (t *Tracker) wholeCrash(engine string, ms int, whole prompt.Part, parts ...prompt.Part) []Verdict {
	return t.RecordCrash(t.Suspect(engine, Request{Parts: parts, Whole: whole}, at(ms)), ThisEntry, at(ms))
}

func (t *Tracker) blocksWhole(ms int, whole prompt.Part, parts ...prompt.Part) bool {
	_, found := t.Match(Request{Parts: parts, Whole: whole}, at(ms))
	return found
}

// A request under which engines crash and whose parts are sound must be kept away when it
// comes again, and no other request that shares its parts.
func TestDeadlyRequest(t *testing.T) {
	c := qt.New(t)
	tr := warmTracker()
	tr.wholeCrash("e1", 0, firstRequest, common)
	c.Check(tr.blocksWhole(0, firstRequest, common), qt.IsFalse)
	verdicts := tr.wholeCrash("e2", 300, firstRequest, common)
	c.Assert(verdicts, qt.HasLen, 1)
	c.Check(verdicts[0].Parts, qt.DeepEquals, []prompt.Part{firstRequest})
	c.Check(tr.blocksWhole(300, firstRequest, common), qt.IsTrue)
	c.Check(tr.blocksWhole(300, soundRequest, common), qt.IsFalse)
	// Sound answers with its parts do not refute the verdict, and other entries adopt it.
	tr.RecordSound(Request{Parts: []prompt.Part{common}, Whole: soundRequest}, at(400), at(500))
	c.Check(tr.blocksWhole(500, firstRequest, common), qt.IsTrue)
	entry := warmTracker()
	c.Assert(entry.Adopt(verdicts[0], at(500)), qt.IsTrue)
	c.Check(entry.blocksWhole(500, firstRequest, common), qt.IsTrue)
	c.Check(entry.blocksWhole(500, soundRequest, common), qt.IsFalse)
	// A sound answer to the request itself does refute it.
	c.Check(tr.RecordSound(Request{Parts: []prompt.Part{common}, Whole: firstRequest}, at(600), at(700)), qt.HasLen, 1)
	c.Check(tr.blocksWhole(700, firstRequest, common), qt.IsFalse)
}

// A new part that a deadly request has must not be blamed for its crashes.
func TestPartOfADeadlyRequestIsNotBlamed(t *testing.T) {
	c := qt.New(t)
	tr := warmTracker()
	for i := range 6 {
		tr.wholeCrash(fmt.Sprint("e", i), 100*i, firstRequest, other)
		c.Check(tr.blocksWhole(100*i, soundRequest, other), qt.IsFalse, qt.Commentf("after %d crashes", i+1))
	}
	c.Check(tr.blocksWhole(600, firstRequest, other), qt.IsTrue)
}

// A deadly part must be found although each request with it is sent again and would be
// explanation enough for its own crashes.
func TestDeadlyPartOfRepeatedRequests(t *testing.T) {
	c := qt.New(t)
	tr := warmTracker()
	tr.wholeCrash("e1", 0, firstRequest, common, deadly)
	tr.wholeCrash("e2", 100, firstRequest, common, deadly)
	c.Check(tr.blocksWhole(100, firstRequest, common, deadly), qt.IsTrue)
	c.Check(tr.blocksWhole(100, secondRequest, common, deadly), qt.IsFalse)
	tr.wholeCrash("e3", 200, secondRequest, common, deadly)
	c.Check(tr.blocksWhole(200, soundRequest, common, deadly), qt.IsTrue)
	c.Check(tr.blocksWhole(200, soundRequest, common), qt.IsFalse)
}

// Requests that only shared the engines of a deadly one must not be quarantined, though
// they were sent again and shared a second engine with it.
func TestRequestBesideADeadlyOne(t *testing.T) {
	c := qt.New(t)
	tr := warmTracker()
	for i := range 2 {
		engine := fmt.Sprint("e", i)
		weak := tr.Suspect(engine, Request{Parts: []prompt.Part{common}, Whole: soundRequest}, at(100*i))
		weak.Weak = true
		tr.RecordCrash(weak, OtherEntry, at(100*i))
		tr.wholeCrash(engine, 100*i, firstRequest, common)
	}
	c.Check(tr.blocksWhole(200, firstRequest, common), qt.IsTrue)
	c.Check(tr.blocksWhole(200, soundRequest, common), qt.IsFalse)
}
