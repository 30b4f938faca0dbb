package route

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func testTable() *Table {
	low := 3
	return NewTable(Configuration{
		Version: 4,
		Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/x/", Kind: Safe, Shares: []Share{{"one", 1}}},
			{Name: "long", Host: "A.example", Prefix: "/x/y/", Kind: Stream, Shares: []Share{{"one", 90}, {"two", 10}}},
			{Name: "open", Host: "a.example", Prefix: "/open/", Public: true, Shares: []Share{{"one", 1}}},
		},
		Services:   []Service{{Name: "one"}, {Name: "two"}},
		Workspaces: []Workspace{{Name: "w", Keys: []string{"k1", "k2"}, Priority: &low}},
	})
}

// TestMatchTakesLongestPrefix guards against matching a shorter prefix, which would
// send the request to a service that is not on its route.
func TestMatchTakesLongestPrefix(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example:8080", "/x/y/1", "long"},
		{"A.EXAMPLE", "/x/y", "short"},
		{"a.example", "/xy/", ""},
		{"b.example", "/x/1", ""},
		{"a.example", "/", ""},
	} {
		got := ""
		if r := testTable().Match(test.host, test.path); r != nil {
			got = r.Name
		}
		c.Check(got, qt.Equals, test.want, qt.Commentf("%s %s", test.host, test.path))
	}
}

// TestAuthenticate guards against access to a route that is not public with a
// revoked key or without a key.
func TestAuthenticate(t *testing.T) {
	c := qt.New(t)
	tab := testTable()
	w, ok := tab.Authenticate(tab.Match("a.example", "/x/1"), "k2")
	c.Assert(ok, qt.IsTrue)
	c.Assert(w.Name, qt.Equals, "w")
	_, ok = tab.Authenticate(tab.Match("a.example", "/x/1"), "gone")
	c.Assert(ok, qt.IsFalse)
	_, ok = tab.Authenticate(tab.Match("a.example", "/x/1"), "")
	c.Assert(ok, qt.IsFalse)
	w, ok = tab.Authenticate(tab.Match("a.example", "/open/1"), "gone")
	c.Assert(ok, qt.IsTrue)
	c.Assert(w, qt.IsNil)
}

// TestAuthenticateWithoutWorkspaces guards against access without a key once the last
// workspace or its last key has been taken away, and with an empty key (review/14).
func TestAuthenticateWithoutWorkspaces(t *testing.T) {
	c := qt.New(t)
	routes := []Route{{Host: "h", Prefix: "/closed/"}, {Host: "h", Prefix: "/open/", Public: true}}
	for _, test := range []struct {
		access     Access
		workspaces []Workspace
		admitted   bool
	}{
		{AccessOpen, nil, true},
		{AccessOpen, []Workspace{}, true},
		{AccessByKey, nil, false},
		{AccessByKey, []Workspace{}, false},
		{AccessUnstated, nil, false},
		{"of a later release", nil, false},
		{AccessOpen, []Workspace{{Name: "w"}}, false},
		{AccessByKey, []Workspace{{Name: "w", Keys: []string{}}}, false},
		{AccessByKey, []Workspace{{Name: "w", Keys: []string{""}}}, false},
	} {
		table := NewTable(Configuration{Version: 1, Routes: routes, Workspaces: test.workspaces, Access: test.access})
		for _, key := range []string{"", "k1"} {
			w, admitted := table.Authenticate(table.Match("h", "/closed/1"), key)
			c.Check(admitted, qt.Equals, test.admitted, qt.Commentf("%+v, key %q", test, key))
			c.Check(w, qt.IsNil)
			_, admitted = table.Authenticate(table.Match("h", "/open/1"), key)
			c.Check(admitted, qt.IsTrue, qt.Commentf("%+v, key %q, public route", test, key))
		}
	}
}

// TestServiceFollowsWeights guards against a distribution over services that
// ignores the weights, and against different services for the same request id.
func TestServiceFollowsWeights(t *testing.T) {
	c := qt.New(t)
	r := testTable().Match("a.example", "/x/y/")
	counts := map[string]int{}
	for i := range 10000 {
		id := string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676%26))
		counts[r.Service(id)]++
		c.Assert(r.Service(id), qt.Equals, r.Service(id))
	}
	share := float64(counts["two"]) / 10000
	c.Assert(share > 0.05 && share < 0.15, qt.IsTrue, qt.Commentf("service with 10%% of the weight got a share of %v of the requests, want 0.05 to 0.15", share))
	c.Assert((&Route{Shares: []Share{{"one", 0}, {"two", 0}}}).Service("x"), qt.Equals, "")
	// A service without weight, or with a negative one, must get nothing.
	for _, shares := range [][]Share{{{"one", 0}}, {{"one", -1}}, {{"one", -1}, {"two", 0}}} {
		c.Check((&Route{Shares: shares}).Service("x"), qt.Equals, "", qt.Commentf("%v", shares))
	}
	for n := range 100 {
		c.Check((&Route{Shares: []Share{{"one", -3}, {"two", 2}}}).Service(string(rune('a'+n))), qt.Equals, "two")
	}
}

// TestRetryable guards against retries of unsafe requests and of streams that are
// not resumable.
func TestRetryable(t *testing.T) {
	c := qt.New(t)
	c.Assert((&Route{Kind: Unsafe, Resumable: true}).Retryable(), qt.IsFalse)
	c.Assert((&Route{Kind: Stream}).Retryable(), qt.IsFalse)
	c.Assert((&Route{Kind: Stream, Resumable: true}).Retryable(), qt.IsTrue)
	c.Assert((&Route{Kind: Safe}).Retryable(), qt.IsTrue)
}

// The directory must name no entry outside the homes of a host's routes. It knows the
// host alone, so that routes with different homes leave what all of them allow.
func TestDirectoryRegions(t *testing.T) {
	c := qt.New(t)
	table := NewTable(Configuration{Routes: []Route{
		{Host: "one.example", Prefix: "/a/", Homes: []string{"north"}},
		{Host: "one.example", Prefix: "/b/"},
		{Host: "two.example", Prefix: "/a/", Homes: []string{"north", "east"}},
		{Host: "two.example", Prefix: "/b/", Homes: []string{"east"}},
		{Host: "split.example", Prefix: "/a/", Homes: []string{"north"}},
		{Host: "split.example", Prefix: "/b/", Homes: []string{"east"}},
		{Host: "free.example", Prefix: "/a/"},
	}})
	for host, want := range map[string][]string{
		"one.example": {"north"}, "ONE.example:80": {"north"}, "two.example": {"east"}, "split.example": {"north", "east"},
		"free.example": {"north", "east", "south"}, "other.example": {"north", "east", "south"},
	} {
		regions := table.DirectoryRegions(host)
		var allowed []string
		for _, region := range []string{"north", "east", "south"} {
			if regions.Allows(region) {
				allowed = append(allowed, region)
			}
		}
		c.Check(allowed, qt.DeepEquals, want, qt.Commentf(host))
	}
}
