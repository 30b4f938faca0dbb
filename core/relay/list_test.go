package relay

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// One entry reads the store, one of each region follows it, and the others
// follow that one; nobody follows an entry that follows it or that doesn't reach
// the store.
func TestListSources(t *testing.T) {
	c := qt.New(t)
	var live []Entry
	for _, region := range []string{"s", "r"} {
		for i := range 4 {
			id := fmt.Sprint(region, i)
			live = append(live, Entry{ID: id, Region: region, Address: id, Store: i < 2})
		}
	}
	of := func(id, region string) []Source {
		return ListSources(Entry{ID: id, Region: region}, live)
	}
	c.Assert(of("r0", "r"), qt.HasLen, 0)
	c.Assert(of("r1", "r"), qt.DeepEquals, []Source{{Address: "r0"}})
	c.Assert(of("r3", "r"), qt.DeepEquals, []Source{{Address: "r0"}, {Address: "r1"}})
	c.Assert(of("s0", "s"), qt.DeepEquals, []Source{{"r0", true}, {"r1", true}})
	c.Assert(of("s3", "s"), qt.DeepEquals, []Source{{Address: "s0"}, {Address: "s1"}, {"r0", true}, {"r1", true}})
	for i := range live {
		live[i].Store = live[i].Region == "r" && i%4 < 2
	}
	c.Assert(of("s3", "s"), qt.DeepEquals, []Source{{"r0", true}, {"r1", true}})
}
