package placement

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/coldstart"
	"github.com/laburnumloft/laburnumloft/core/eligibility"
)

// zonedEngines returns a fleet with an engine in each of the zones a, b and c of the
// regions ra, rb and rc.
func zonedEngines(change func(*Config)) *Fleet {
	cfg := DefaultConfig("a")
	cfg.Regions = map[string]string{"a": "ra", "b": "rb", "c": "rc"}
	if change != nil {
		change(&cfg)
	}
	f := NewFleet(cfg, NewPublishedVersions(time.Hour, 0), 1)
	for i, zone := range []string{"a", "b", "c"} {
		f.Put(Server{ID: fmt.Sprint("e", i), Address: fmt.Sprint("10.0.0.", i, ":1"), Service: "llm", Zone: zone, Slots: slots, WeightVersion: 1})
		f.Report(report(i, 0), start)
	}
	return f
}

// zonesOf returns the zones that n requests are sent to.
func zonesOf(f *Fleet, q Query, n int, now time.Time) map[string]int {
	zones := map[string]int{}
	for range n {
		choice, miss := f.Choose(now, q)
		if miss != Found {
			zones[string(miss)]++
			continue
		}
		zones[choice.Server.Zone]++
		f.Done(now, choice.Handle, Succeeded)
	}
	return zones
}

// A request must reach servers in its homes alone. If there is none, it is refused at
// once, also while servers elsewhere are idle.
func TestRequestsStayInTheirHomes(t *testing.T) {
	c := qt.New(t)
	f := zonedEngines(nil)
	q := query()
	q.Regions = eligibility.OnlyIn([]string{"rb"})
	c.Assert(zonesOf(f, q, 50, start), qt.DeepEquals, map[string]int{"b": 50})
	r := report(1, 0)
	r.Down = true
	f.Report(r, start.Add(time.Second))
	c.Assert(zonesOf(f, q, 5, start.Add(time.Second)), qt.DeepEquals, map[string]int{string(NoHome): 5})
	choice, _ := f.Choose(start.Add(time.Second), q)
	c.Assert(choice.Exclusions.String(), qt.Equals, "home=2,down=1")
	c.Assert(MaxWait(NoHome, false, time.Second, time.Second), qt.Equals, time.Duration(0))
}

// An evacuated zone must get nothing, from an entry that knew its servers before and from
// one that learns of them during the evacuation, and be used again after it.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	c := qt.New(t)
	f := zonedEngines(nil)
	f.SetEvacuated("a", true, start)
	f.Put(Server{ID: "late", Address: "10.0.0.9:1", Service: "llm", Zone: "a", Slots: slots, WeightVersion: 1})
	got := zonesOf(f, query(), 100, start)
	c.Assert(got["a"], qt.Equals, 0)
	c.Assert(got["b"]+got["c"], qt.Equals, 100)
	f.SetEvacuated("a", false, start)
	c.Assert(zonesOf(f, query(), 100, start)["a"] > 0, qt.IsTrue)
}

// coldFleet is like zonedEngines with a limit for cold servers of 10 requests a second.
func coldFleet() *Fleet {
	f := zonedEngines(nil)
	f.SetTraits(map[string]Traits{"llm": {Pace: coldstart.Pace{PerSecond: 10, MaxPerSecond: 20, Duration: 3 * time.Second}}})
	return f
}

// A zone that is taken back has cold servers before their records say so. An entry that
// is alone sends each of them its rate, not a burst.
func TestReturnedZoneIsCold(t *testing.T) {
	c := qt.New(t)
	f := coldFleet()
	f.SetEvacuated("a", true, start)
	f.SetEvacuated("a", false, start)
	onlyA := query()
	onlyA.Regions = eligibility.OnlyIn([]string{"ra"})
	sent := 0
	for at := time.Duration(0); at < time.Second; at += 10 * time.Millisecond {
		choice, miss := f.Choose(start.Add(at), onlyA)
		if miss == Found {
			sent++
			f.Done(start.Add(at), choice.Handle, Succeeded)
			continue
		}
		c.Assert(miss, qt.Equals, AllCold)
		c.Assert(choice.PauseEndsIn > 0, qt.IsTrue)
	}
	c.Assert(sent >= 8 && sent <= 11, qt.IsTrue, qt.Commentf("%d requests in the first second", sent))
	c.Assert(zonesOf(f, onlyA, 20, start.Add(3*time.Second)), qt.DeepEquals, map[string]int{"a": 20})
}

// An entry that starts reads the records of servers before the configuration. After a loss
// of power of all VMs, an engine got 34 requests in a second of 30 allowed, because its
// record was taken for that of a warm one until the next one came.
func TestColdRecordBeforeTheConfiguration(t *testing.T) {
	c := qt.New(t)
	f := zonedEngines(nil)
	c.Assert(f.RecordCold("e0", 3*time.Second, start), qt.IsFalse)
	f.SetTraits(map[string]Traits{"llm": {Pace: coldstart.Pace{PerSecond: 10, MaxPerSecond: 20, Duration: 3 * time.Second}}})
	c.Assert(f.HasCold(start), qt.IsTrue)
	onlyA := query()
	onlyA.Regions = eligibility.OnlyIn([]string{"ra"})
	c.Assert(zonesOf(f, onlyA, 20, start), qt.DeepEquals, map[string]int{string(AllCold): 20})
}

// Records of cold servers count only for services with a limit; other servers are used
// as before.
func TestColdRecordWithoutALimit(t *testing.T) {
	c := qt.New(t)
	f := zonedEngines(nil)
	c.Assert(f.RecordCold("e0", 3*time.Second, start), qt.IsFalse)
	c.Assert(f.HasCold(start), qt.IsFalse)
	c.Assert(zonesOf(f, query(), 20, start)[string(AllCold)], qt.Equals, 0)
	f = coldFleet()
	c.Assert(f.RecordCold("e0", 3*time.Second, start), qt.IsTrue)
	c.Assert(f.RecordCold("unknown", 3*time.Second, start), qt.IsFalse)
	c.Assert(f.HasCold(start), qt.IsTrue)
}

// An engine crashes if its requests exceed its memory. A request that would overfill it
// goes elsewhere, and one that fits no engine is refused at once.
func TestEngineMemoryIsNotOverfilled(t *testing.T) {
	c := qt.New(t)
	f := zonedEngines(func(cfg *Config) { cfg.CheckMemory = true })
	f.SetTraits(map[string]Traits{"llm": {MemoryTokens: 1000}})
	q := query()
	q.Tokens = 1001
	_, miss := f.Choose(start, q)
	c.Assert(miss, qt.Equals, TooLarge)
	q.Tokens = 400
	held := map[string]float64{}
	var choices []Choice
	for range 6 {
		choice, miss := f.Choose(start, q)
		c.Assert(miss, qt.Equals, Found)
		held[choice.Server.ID] += q.Tokens
		choices = append(choices, choice)
	}
	for id, tokens := range held {
		c.Check(tokens <= 1000, qt.IsTrue, qt.Commentf("%s holds %v tokens", id, tokens))
	}
	_, miss = f.Choose(start, q)
	c.Assert(miss, qt.Equals, AllFull)
	f.Done(start, choices[0].Handle, Succeeded)
	choice, miss := f.Choose(start, q)
	c.Assert(miss, qt.Equals, Found)
	c.Assert(choice.Server.ID, qt.Equals, choices[0].Server.ID)
	// Requests of other entries count at the mean size of this entry's.
	f.Report(report(1, 3), start.Add(time.Millisecond))
	f.Report(report(2, 3), start.Add(time.Millisecond))
	_, miss = f.Choose(start.Add(time.Millisecond), q)
	c.Assert(miss, qt.Equals, AllFull)
	// What the engines report of their memory counts, however few requests they have.
	f = zonedEngines(func(cfg *Config) { cfg.CheckMemory = true })
	f.SetTraits(map[string]Traits{"llm": {MemoryTokens: 1000}})
	for i, share := range []float64{0.8, 0.8, 0.2} {
		r := report(i, 1)
		r.MemoryShare = share
		f.Report(r, start)
	}
	q.Tokens = 250
	for _, want := range []Miss{Found, Found, Found, AllFull} {
		choice, miss := f.Choose(start, q)
		c.Check(miss, qt.Equals, want)
		c.Check(miss == Found, qt.Equals, choice.Server.ID == "e2")
	}
}

// A deployment that configures none of these parts must be served as before: the same
// server for each request. The digest is that of the code before the parts were added.
func TestPlainDeploymentsDecideAsBefore(t *testing.T) {
	c := qt.New(t)
	c.Assert(plainDecisions(), qt.Equals, uint64(872181139882414266))
}

// plainDecisions returns a digest of the decisions of an entry over three seconds with
// reports, failures and refusals.
func plainDecisions() uint64 {
	f, published := engines(30)
	published.RecordJustPublished("m", 1, start)
	digest := fnv.New64a()
	var open []Choice
	for step := range 3000 {
		now := start.Add(time.Duration(step) * time.Millisecond)
		if step%7 == 0 {
			f.Report(report(step%30, (step*13)%20), now)
		}
		choice, miss := f.Choose(now, Query{Service: "llm", Model: "m", SpareCapacityOnly: step%5 == 0})
		fmt.Fprintln(digest, choice.Server.ID, miss, choice.Load)
		if miss == Found {
			open = append(open, choice)
		}
		if len(open) > 300 {
			f.Done(now, open[0].Handle, []Outcome{Succeeded, Succeeded, Succeeded, Shed, Unreachable, Broken}[step%6])
			open = open[1:]
		}
	}
	return digest.Sum64()
}

// A preview must name the server that the next request gets, and change nothing: with it
// or without it, an entry makes the same choices.
func TestPreviewIsTheNextChoice(t *testing.T) {
	c := qt.New(t)
	for _, byRoom := range []bool{false, true} {
		fleets := make([]*Fleet, 2)
		for i := range fleets {
			cfg := DefaultConfig("a")
			cfg.SpreadByRoom = byRoom
			fleets[i] = NewFleet(cfg, NewPublishedVersions(time.Hour, 0), 7)
			fleets[i].SetEntryCount(10)
			for e := range 20 {
				fleets[i].Put(Server{ID: fmt.Sprint("e", e), Address: fmt.Sprint("10.0.0.", e, ":1"), Service: "llm", Zone: "a", Slots: slots, WeightVersion: 1})
				fleets[i].Report(report(e, e%slots), start)
			}
		}
		for n := range 400 {
			now := start.Add(time.Duration(n) * time.Millisecond)
			preview, previewMiss, candidates := fleets[0].Preview(now, query())
			choice, miss := fleets[0].Choose(now, query())
			other, _ := fleets[1].Choose(now, query())
			c.Assert(previewMiss, qt.Equals, miss)
			c.Assert(preview.Server, qt.Equals, choice.Server)
			c.Assert(preview.Load, qt.Equals, choice.Load)
			c.Assert(other.Server, qt.Equals, choice.Server)
			c.Assert(candidates, qt.HasLen, 20)
		}
	}
}

// A plain server whose process has ended may be back, cold and under its id, before its record
// says so: such servers got 31 to 67 requests in a second of 30 allowed. It counts as cold from
// the first request on, however long it was set aside.
func TestServerThatRefusedAConnectionReturnsCold(t *testing.T) {
	c := qt.New(t)
	f := plainFleet(coldstart.Pace{PerSecond: 10, MaxPerSecond: 20, Duration: 3 * time.Second})
	refused := false
	var sent []time.Duration
	for at := time.Duration(0); at < 6*time.Second; at += 10 * time.Millisecond {
		choice, miss := f.Choose(start.Add(at), Query{Service: "desk"})
		c.Assert(miss, qt.Equals, Found)
		outcome := Succeeded
		switch {
		case choice.Server.ID != "e0":
		case refused:
			sent = append(sent, at)
		default:
			refused, outcome = true, Refused
		}
		f.Done(start.Add(at), choice.Handle, outcome)
	}
	cold := 0
	for _, at := range sent {
		if at < sent[0]+3*time.Second {
			cold++
		}
	}
	c.Check(cold >= 10 && cold <= 31, qt.IsTrue, qt.Commentf("%d requests in three seconds", cold))
	c.Check(len(sent) > cold+20, qt.IsTrue, qt.Commentf("%d requests after that", len(sent)-cold))
}

// plainFleet returns a fleet with three servers of the service desk.
func plainFleet(pace coldstart.Pace) *Fleet {
	f := NewFleet(DefaultConfig("a"), NewPublishedVersions(time.Hour, 0), 1)
	for i := range 3 {
		f.Put(Server{ID: fmt.Sprint("e", i), Address: fmt.Sprint("10.0.0.", i, ":1"), Service: "desk", Zone: "a", Slots: 100})
	}
	f.SetTraits(map[string]Traits{"desk": {Pace: pace}})
	return f
}

// A server is used as before without a limit for cold ones, after a connection that timed out,
// if its record has said since then that it is warm soon, and if it is an engine, whose agent
// reports its start.
func TestServerIsNotTakenForCold(t *testing.T) {
	limited := coldstart.Pace{PerSecond: 10, MaxPerSecond: 20, Duration: 3 * time.Second}
	for _, test := range []struct {
		name          string
		pace          coldstart.Pace
		outcome       Outcome
		before, after func(f *Fleet, s Server)
	}{
		{name: "no limit", outcome: Refused},
		{name: "timed out", pace: limited, outcome: Unreachable},
		{name: "engine", pace: limited, outcome: Refused, before: func(f *Fleet, s Server) { f.Report(Report{Address: s.Address, WeightVersion: 1}, start) }},
		{name: "record", pace: limited, outcome: Refused, after: func(f *Fleet, s Server) { f.RecordCold(s.ID, time.Millisecond, start) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := plainFleet(test.pace)
			choice, _ := f.Choose(start, Query{Service: "desk"})
			if test.before != nil {
				test.before(f, choice.Server)
			}
			f.Done(start, choice.Handle, test.outcome)
			if test.after != nil {
				test.after(f, choice.Server)
			}
			c.Check(f.HasCold(start.Add(time.Second)), qt.IsFalse)
		})
	}
}
