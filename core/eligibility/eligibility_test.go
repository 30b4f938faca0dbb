package eligibility

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// healthy returns a server that may get any request.
func healthy() Server {
	return Server{Region: "north", WeightVersion: 2, Load: 3, MaxLoad: 16, MemoryTokens: 1000}
}

func request() Request { return Request{NeedsWeights: true, MinVersion: 2, Tokens: 100} }

// Each reason must exclude a server, and a lasting reason must be named before one that
// passes: an operator would otherwise look for load where a home is missing.
func TestReasonsInOrder(t *testing.T) {
	c := qt.New(t)
	changes := []struct {
		reason Reason
		change func(*Server, *Request)
	}{
		{Cold, func(s *Server, _ *Request) { s.Cold = true }},
		{Paused, func(s *Server, _ *Request) { s.Paused = true }},
		{Full, func(s *Server, _ *Request) { s.Load = s.MaxLoad }},
		{Memory, func(s *Server, _ *Request) { s.HeldTokens = 950 }},
		{NoWeights, func(s *Server, _ *Request) { s.Loading = true }},
		{SetAside, func(s *Server, _ *Request) { s.SetAside = true }},
		{Down, func(s *Server, _ *Request) { s.Down = true }},
		{Evacuated, func(s *Server, _ *Request) { s.Evacuated = true }},
		{Home, func(_ *Server, r *Request) { r.Regions = OnlyIn([]string{"south"}) }},
		{Misdirected, func(s *Server, _ *Request) { s.Misdirected = true }},
		{Leaving, func(s *Server, _ *Request) { s.Leaving = true }},
		{Draining, func(s *Server, _ *Request) { s.Draining = true }},
		{Tried, func(s *Server, _ *Request) { s.Tried = true }},
	}
	all, needs := healthy(), request()
	c.Assert(Check(&all, &needs), qt.Equals, Eligible)
	for _, change := range changes {
		s, r := healthy(), request()
		change.change(&s, &r)
		c.Check(Check(&s, &r), qt.Equals, change.reason, qt.Commentf("alone: %v", change.reason))
		change.change(&all, &needs)
		c.Check(Check(&all, &needs), qt.Equals, change.reason, qt.Commentf("beside those that pass sooner: %v", change.reason))
	}
}

// Requests must never leave their homes: both lists bind, lists without a common region
// allow nothing, and a server whose region is unknown is in no home.
func TestHomesBind(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		route, workspace []string
		region           string
		allowed          bool
	}{
		{nil, nil, "north", true},
		{nil, nil, "", true},
		{[]string{"north"}, nil, "north", true},
		{[]string{"north"}, nil, "south", false},
		{nil, []string{"south", "east"}, "east", true},
		{nil, []string{"south", "east"}, "north", false},
		{[]string{"north", "east"}, []string{"south", "east"}, "east", true},
		{[]string{"north", "east"}, []string{"south", "east"}, "north", false},
		{[]string{"north"}, []string{"south"}, "north", false},
		{[]string{"north"}, []string{"south"}, "south", false},
		{[]string{"north"}, nil, "", false},
		{[]string{""}, nil, "", false},
	} {
		regions := OnlyIn(test.route).And(OnlyIn(test.workspace))
		c.Check(regions.Allows(test.region), qt.Equals, test.allowed, qt.Commentf("%+v", test))
	}
}

// A wait must not be given up while some server is excluded for a reason that passes, or while
// none is known.
func TestExclusionsForGood(t *testing.T) {
	c := qt.New(t)
	c.Check(Exclusions{}.AllForGood(), qt.IsFalse)
	c.Check(Exclusions{Tried: 2, Draining: 1, Home: 1}.AllForGood(), qt.IsTrue)
	for _, passing := range []Reason{Evacuated, Down, SetAside, NoWeights, Memory, Full, Paused, Cold} {
		all := Exclusions{Tried: 2}
		all[passing]++
		c.Check(all.AllForGood(), qt.IsFalse, qt.Commentf("%v", passing))
	}
}
