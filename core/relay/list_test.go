package relay

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// One entry must read the store, the first entry of each region must follow that
// reader, and all other entries must follow the first entry of their region. Two
// entries must not follow each other, and no entry may follow an entry that does
// not reach the store.
func TestListSources(t *testing.T) {
	c := qt.New(t)
	var live []Entry
	for _, region := range []string{"s", "r"} {
		for i := range 4 {
			id := fmt.Sprint(region, i)
			live = append(live, Entry{ID: id, Region: region, Address: id, ListCurrent: i < 2})
		}
	}
	sources := func(id, region string) []Source {
		return ListSources(Entry{ID: id, Region: region}, live)
	}
	c.Assert(sources("r0", "r"), qt.HasLen, 0)
	c.Assert(sources("r1", "r"), qt.DeepEquals, []Source{{Address: "r0"}})
	c.Assert(sources("r3", "r"), qt.DeepEquals, []Source{{Address: "r0"}, {Address: "r1"}})
	c.Assert(sources("s0", "s"), qt.DeepEquals, []Source{{"r0", true}, {"r1", true}})
	c.Assert(sources("s3", "s"), qt.DeepEquals, []Source{{Address: "s0"}, {Address: "s1"}, {"r0", true}, {"r1", true}})
	for i := range live {
		live[i].ListCurrent = live[i].Region == "r" && i%4 < 2
	}
	c.Assert(sources("s3", "s"), qt.DeepEquals, []Source{{"r0", true}, {"r1", true}})
}
