package rollout

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A list that one source gives again and again must not count as confirmed, and lists that
// differ in one digest must not confirm each other.
func TestListAgreement(t *testing.T) {
	c := qt.New(t)
	var a ListAgreement
	list := DigestList{Model: "m", Version: 2, Digests: []string{"a", "b"}}
	short := DigestList{Model: "m", Version: 2, Digests: []string{"a"}}
	c.Check(a.Record(list, "agent1"), qt.IsFalse)
	c.Check(a.Record(list, "agent1"), qt.IsFalse)
	c.Check(a.Record(short, "agent2"), qt.IsFalse)
	c.Check(a.Record(DigestList{Model: "m", Version: 3, Digests: list.Digests}, "agent2"), qt.IsFalse)
	c.Check(a.Record(list, "agent2"), qt.IsTrue)
	c.Check(a.Record(list, "agent1"), qt.IsTrue)
	c.Check(a.Record(short, OriginSource), qt.IsTrue)
	c.Check(a.Record(DigestList{Digests: []string{"c"}}, OriginSource), qt.IsFalse)
	c.Check(a.Record(DigestList{Digests: []string{"c"}}, OriginSource), qt.IsTrue)
	for n := range 10 * maxLists {
		c.Check(a.Record(DigestList{Version: int64(n + 10)}, "agent1"), qt.IsFalse)
		c.Check(len(a.lists) <= maxLists, qt.IsTrue)
	}
}
