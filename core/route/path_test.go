package route

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Only encodings that can't change what a path means may be undone.
func TestNormalizePath(t *testing.T) {
	c := qt.New(t)
	for path, want := range map[string]string{
		"/a/b":            "/a/b",
		"/%61/b%7e%2Dc":   "/a/b~-c",
		"/a%2fb%2Fc":      "/a%2Fb%2Fc",
		"/a%252Fb":        "/a%252Fb",
		"/a%2":            "/a%2",
		"/a%zz":           "/a%zz",
		"/%c3%A9/":        "/%C3%A9/",
		"/x%2e%2e/%3f%23": "/x../%3F%23",
	} {
		c.Check(NormalizePath(path), qt.Equals, want, qt.Commentf("%q", path))
	}
}

// An encoded slash must not select the route of the decoded path: it may lead to another
// service, or past the check of the key.
func TestEncodedSlashSelectsNoLongerPrefix(t *testing.T) {
	c := qt.New(t)
	table := NewTable(Configuration{Routes: []Route{
		{Host: "a.example", Prefix: "/x/"}, {Host: "a.example", Prefix: "/x/pub/", Public: true}, {Host: "a.example", Prefix: "/%7ey/"},
	}})
	prefix := func(path string) string {
		if r := table.Match("a.example", path); r != nil {
			return r.Prefix
		}
		return ""
	}
	c.Check(prefix("/x/pub/1"), qt.Equals, "/x/pub/")
	c.Check(prefix("/x/%70ub/1"), qt.Equals, "/x/pub/")
	c.Check(prefix("/x/pub%2F1"), qt.Equals, "/x/")
	c.Check(prefix("/x%2Fpub/1"), qt.Equals, "")
	c.Check(prefix("/~y/1"), qt.Equals, "/%7ey/")
}
