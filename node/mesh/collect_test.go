package mesh

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/placement"
)

// A bundle of a large region needs several datagrams; none may be larger than a
// packet, and nothing may be lost on the way.
func TestBundlesRoundTrip(t *testing.T) {
	c := qt.New(t)
	bundle := Bundle{Collector: 9, Relay: true}
	for i := range 100 {
		bundle.Reports = append(bundle.Reports, placement.Report{Address: fmt.Sprintf("10.0.0.%d:80", i), Running: i, Sequence: uint32(i) + 1, Slowdown: 1, Changed: i%2 == 0})
		bundle.Hellos = append(bundle.Hellos, Hello{Member: uint64(i), Ready: i%3 == 0, Configuration: int64(i)})
	}
	got := Bundle{Collector: 9, Relay: true}
	for _, datagram := range EncodeBundle(bundle) {
		c.Assert(len(datagram) <= bundleBytes, qt.IsTrue)
		part, err := Decode(datagram)
		c.Assert(err, qt.IsNil)
		b := part.(*Bundle)
		c.Assert(b.Collector == 9 && b.Relay, qt.IsTrue)
		got.Reports, got.Hellos = append(got.Reports, b.Reports...), append(got.Hellos, b.Hellos...)
	}
	c.Assert(got, qt.DeepEquals, bundle)
	// The reports of a region of 53 engines, that of the largest site, fit one.
	c.Assert(EncodeBundle(Bundle{Reports: bundle.Reports[:53]}), qt.HasLen, 1)
	// One without content tells who collects.
	c.Assert(EncodeBundle(Bundle{Collector: 9}), qt.HasLen, 1)
}

// fleet is entries and agents of two regions, on loopback.
type fleet struct {
	c       *qt.C
	entries map[string]*Mesh
	agents  map[string]*Mesh
	stops   map[string]context.CancelFunc

	mu      sync.Mutex
	reports map[string]map[string]placement.Report
}

func newFleet(c *qt.C, regions, entries, agents int) *fleet {
	f := &fleet{c: c, entries: map[string]*Mesh{}, agents: map[string]*Mesh{}, stops: map[string]context.CancelFunc{}, reports: map[string]map[string]placement.Report{}}
	var members []Member
	all := map[string]*Mesh{}
	for r := range regions {
		region := fmt.Sprint("r", r)
		for i := range entries {
			id := fmt.Sprint("entry-", region, "-", i)
			m, member := openIn(c, id, region, Entry, Config{Status: func() Hello { return Hello{Ready: true} }, OnReports: func(got []placement.Report) { f.take(id, got) }})
			f.entries[id], all[id], members = m, m, append(members, member)
		}
		for i := range agents {
			id := fmt.Sprint("agent-", region, "-", i)
			m, member := openIn(c, id, region, Agent, Config{})
			f.agents[id], all[id], members = m, m, append(members, member)
		}
	}
	var wait sync.WaitGroup
	c.Cleanup(wait.Wait)
	for id, m := range all {
		for _, member := range members {
			m.Put(member)
		}
		ctx, cancel := context.WithCancel(context.Background())
		f.stops[id] = cancel
		c.Cleanup(cancel)
		wait.Go(func() { m.Run(ctx) })
	}
	return f
}

func (f *fleet) take(id string, reports []placement.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reports[id] == nil {
		f.reports[id] = map[string]placement.Report{}
	}
	for _, r := range reports {
		f.reports[id][r.Address] = r
	}
}

// await waits until a condition holds.
func (f *fleet) await(what string, holds func() bool) {
	deadline := time.After(10 * time.Second)
	for !holds() {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-deadline:
			f.c.Fatalf("%s: not within 10 s", what)
		}
	}
}

// everywhere reports whether all entries but some have a report.
func (f *fleet) everywhere(address string, running int, except ...string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.entries {
		if len(except) > 0 && id == except[0] {
			continue
		}
		if f.reports[id][address].Running != running {
			return false
		}
	}
	return true
}

// A report told to the collectors of one region must reach every entry of all
// regions, every entry must hear that all others live, and no agent tells more
// than the collectors: each of many entries and agents telling each other took
// more processor time than the requests.
func TestCollectorsTellEverybody(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 2, 4, 1)
	agent := f.agents["agent-r0-0"]
	f.await("collectors", func() bool { return len(agent.collectorsHeard()) == 2 })
	f.await("hellos", func() bool {
		for _, m := range f.entries {
			if len(m.LiveEntries()) != 7 {
				return false
			}
		}
		return true
	})
	c.Assert(agent.Report(placement.Report{Address: "10.0.0.1:80", Running: 5, Sequence: 1, Changed: true}), qt.IsNil)
	f.await("report", func() bool { return f.everywhere("10.0.0.1:80", 5) })
	c.Assert(agent.Report(placement.Report{Address: "10.0.0.1:80", Running: 6, Sequence: 2}), qt.IsNil)
	f.await("load", func() bool { return f.everywhere("10.0.0.1:80", 6) })
	collecting := 0
	for _, m := range f.entries {
		if m.collects() {
			collecting++
		}
	}
	c.Assert(collecting, qt.Equals, 4)
}

// When a collector dies, reports must go on arriving, and another entry must
// take its place.
func TestCollectorDies(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 1, 4, 1)
	agent := f.agents["agent-r0-0"]
	f.await("collectors", func() bool { return len(agent.collectorsHeard()) == 2 })
	f.stops["entry-r0-3"]()
	running := 0
	f.await("the next collector", func() bool {
		running++
		c.Assert(agent.Report(placement.Report{Address: "10.0.0.1:80", Running: running, Sequence: uint32(running)}), qt.IsNil)
		return f.entries["entry-r0-1"].collects() && f.entries["entry-r0-2"].collects()
	})
	f.await("report", func() bool { return f.everywhere("10.0.0.1:80", running, "entry-r0-3") })
}

// Without any collector, as after a start or a loss of all VMs, agents tell the
// entries themselves, and other regions what changed.
func TestReportsWithoutCollectors(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 2, 2, 1)
	agent := f.agents["agent-r1-0"]
	c.Assert(agent.collectorsHeard(), qt.HasLen, 0)
	c.Assert(agent.Report(placement.Report{Address: "10.0.0.1:80", Running: 5, Sequence: 1, Changed: true}), qt.IsNil)
	f.await("report", func() bool { return f.everywhere("10.0.0.1:80", 5) })
}

// While a version is on its way, agents tell of every new piece. In a large region
// each word must go to a few, or what an agent handles grows with the region.
func TestHeldGoesToAFew(t *testing.T) {
	c := qt.New(t)
	var heard atomic.Int64
	var wait sync.WaitGroup
	ctx, cancel := context.WithCancel(c.Context())
	defer wait.Wait()
	defer cancel()
	from, member := openIn(c, "agent-0", "r", Agent, Config{})
	defer func() { _ = from.conn.Close() }()
	for i := range 6 {
		to, other := openIn(c, fmt.Sprint("agent-", i+1), "r", Agent, Config{OnHeld: func(Member, Held) { heard.Add(1) }})
		to.Put(member)
		from.Put(other)
		wait.Go(func() { to.Run(ctx) })
	}
	all := func(Member) bool { return true }
	c.Assert(from.Held(2, []bool{true}, 2, all), qt.IsNil)
	c.Assert(from.Held(2, []bool{true}, 0, all), qt.IsNil)
	deadline := time.After(5 * time.Second)
	for heard.Load() < 8 {
		select {
		case <-time.After(5 * time.Millisecond):
		case <-deadline:
			c.Fatalf("%d of 8 came", heard.Load())
		}
	}
	<-time.After(50 * time.Millisecond)
	c.Assert(heard.Load(), qt.Equals, int64(8))
}

// Hellos must go out at fixed ticks, or entries seem dead while many engines load
// and each change is told in between.
func TestScheduleOfBundles(t *testing.T) {
	c := qt.New(t)
	var s schedule
	hellos, far := 0, 0
	for range 2 * farHellosEvery {
		all, farHellos := s.next(true)
		c.Assert(all || !farHellos, qt.IsTrue)
		if all {
			hellos++
		}
		if farHellos {
			far++
		}
	}
	c.Assert(hellos, qt.Equals, 2*farHellosEvery/tellEvery)
	c.Assert(far, qt.Equals, 2)
	// Both collectors tell within the time after which an entry counts as dead.
	c.Assert(farHellosEvery*bundleEvery < LiveWithin, qt.IsTrue)
	all, _ := s.next(false)
	c.Assert(all, qt.IsTrue)
}
