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

// A large region's bundle needs several datagrams. None may exceed a packet, and
// together they must contain all reports and hellos.
func TestBundlesRoundTrip(t *testing.T) {
	c := qt.New(t)
	bundle := Bundle{Collector: 9, Relay: true}
	for i := range 100 {
		bundle.Reports = append(bundle.Reports, placement.Report{Address: fmt.Sprintf("10.0.0.%d:80", i), Running: i, Sequence: uint32(i) + 1, Slowdown: 1, Changed: i%2 == 0})
		bundle.Hellos = append(bundle.Hellos, Hello{Member: uint64(i), Ready: i%3 == 0, ConfigurationVersion: int64(i)})
	}
	for _, withMemory := range []bool{false, true} {
		for i := range bundle.Reports {
			if withMemory {
				bundle.Reports[i].MemoryShare = float64(i) / memoryScale
			}
		}
		got := Bundle{Collector: 9, Relay: true}
		for _, datagram := range EncodeBundle(bundle) {
			c.Assert(len(datagram) <= maxBundleBytes, qt.IsTrue)
			part, err := Decode(datagram)
			c.Assert(err, qt.IsNil)
			b := part.(*Bundle)
			c.Assert(b.Collector == 9 && b.Relay, qt.IsTrue)
			got.Reports, got.Hellos = append(got.Reports, b.Reports...), append(got.Hellos, b.Hellos...)
		}
		c.Assert(got, qt.DeepEquals, bundle)
	}
	for i := range bundle.Reports {
		bundle.Reports[i].MemoryShare = 0
	}
	// The largest region has 53 engines, whose reports must fit in one datagram.
	c.Assert(EncodeBundle(Bundle{Reports: bundle.Reports[:53]}), qt.HasLen, 1)
	// An empty bundle still needs a datagram, which identifies the collector.
	c.Assert(EncodeBundle(Bundle{Collector: 9}), qt.HasLen, 1)
}

// fleet is a set of entries and agents of several regions on loopback.
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
			m, member := openIn(c, id, region, Entry, Config{Status: func() Hello { return Hello{Ready: true} }, OnReports: func(got []placement.Report) { f.recordReports(id, got) }})
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

func (f *fleet) recordReports(id string, reports []placement.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reports[id] == nil {
		f.reports[id] = map[string]placement.Report{}
	}
	for _, r := range reports {
		f.reports[id][r.Address] = r
	}
}

// await waits up to 10 s until a condition holds.
func (f *fleet) await(what string, condition func() bool) {
	deadline := time.After(10 * time.Second)
	for !condition() {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-deadline:
			f.c.Fatalf("timeout after 10 s waiting for: %s", what)
		}
	}
}

// allHaveReport reports whether all entries, except one, have a report with the
// given number of running requests.
func (f *fleet) allHaveReport(address string, running int, except ...string) bool {
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

// A report sent to the collectors of one region must reach every entry of all
// regions, and every entry must see all others as live. Only the collectors of a
// region may forward: when all entries and agents sent to each other, this took more
// processor time than the requests.
func TestCollectorsReachAllMembers(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 2, 4, 1)
	agent := f.agents["agent-r0-0"]
	f.await("collectors", func() bool { return len(agent.activeCollectors()) == 2 })
	f.await("hellos", func() bool {
		for _, m := range f.entries {
			if len(m.LiveEntries()) != 7 {
				return false
			}
		}
		return true
	})
	c.Assert(agent.SendReport(placement.Report{Address: "10.0.0.1:80", Running: 5, Sequence: 1, Changed: true}), qt.IsNil)
	f.await("report", func() bool { return f.allHaveReport("10.0.0.1:80", 5) })
	c.Assert(agent.SendReport(placement.Report{Address: "10.0.0.1:80", Running: 6, Sequence: 2}), qt.IsNil)
	f.await("load", func() bool { return f.allHaveReport("10.0.0.1:80", 6) })
	collectorCount := 0
	for _, m := range f.entries {
		if m.isCollector() {
			collectorCount++
		}
	}
	c.Assert(collectorCount, qt.Equals, 4)
}

// When a collector dies, another entry must replace it, and reports must still
// arrive.
func TestCollectorDies(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 1, 4, 1)
	agent := f.agents["agent-r0-0"]
	f.await("collectors", func() bool { return len(agent.activeCollectors()) == 2 })
	f.stops["entry-r0-3"]()
	running := 0
	f.await("the next collector", func() bool {
		running++
		c.Assert(agent.SendReport(placement.Report{Address: "10.0.0.1:80", Running: running, Sequence: uint32(running)}), qt.IsNil)
		return f.entries["entry-r0-1"].isCollector() && f.entries["entry-r0-2"].isCollector()
	})
	f.await("report", func() bool { return f.allHaveReport("10.0.0.1:80", running, "entry-r0-3") })
}

// Without any collector, as after a start or a loss of all VMs, agents must send
// reports to the region's entries and changed reports also to other regions.
func TestReportsWithoutCollectors(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 2, 2, 1)
	agent := f.agents["agent-r1-0"]
	c.Assert(agent.activeCollectors(), qt.HasLen, 0)
	c.Assert(agent.SendReport(placement.Report{Address: "10.0.0.1:80", Running: 5, Sequence: 1, Changed: true}), qt.IsNil)
	f.await("report", func() bool { return f.allHaveReport("10.0.0.1:80", 5) })
}

// During a rollout agents announce every new piece. In a large region each
// announcement must go to a few agents only, or the number of announcements that an
// agent receives grows with the region.
func TestHeldPiecesRecipientLimit(t *testing.T) {
	c := qt.New(t)
	var received atomic.Int64
	var wait sync.WaitGroup
	ctx, cancel := context.WithCancel(c.Context())
	defer wait.Wait()
	defer cancel()
	from, member := openIn(c, "agent-0", "r", Agent, Config{})
	defer func() { _ = from.conn.Close() }()
	for i := range 6 {
		to, other := openIn(c, fmt.Sprint("agent-", i+1), "r", Agent, Config{OnHeldPieces: func(Member, HeldPieces) { received.Add(1) }})
		to.Put(member)
		from.Put(other)
		wait.Go(func() { to.Run(ctx) })
	}
	all := func(Member) bool { return true }
	c.Assert(from.AnnouncePieces(2, []bool{true}, 2, all), qt.IsNil)
	c.Assert(from.AnnouncePieces(2, []bool{true}, 0, all), qt.IsNil)
	deadline := time.After(5 * time.Second)
	for received.Load() < 8 {
		select {
		case <-time.After(5 * time.Millisecond):
		case <-deadline:
			c.Fatalf("received %d of 8 announcements within 5 s", received.Load())
		}
	}
	<-time.After(50 * time.Millisecond)
	c.Assert(received.Load(), qt.Equals, int64(8))
}

// Hellos must be sent at fixed ticks. If changes of loading engines delayed them,
// live entries would seem dead.
func TestBundleSchedule(t *testing.T) {
	c := qt.New(t)
	var s schedule
	hellos, remoteHellos := 0, 0
	for range 2 * remoteHelloTicks {
		withHellos, withRemoteHellos := s.next(true)
		c.Assert(withHellos || !withRemoteHellos, qt.IsTrue)
		if withHellos {
			hellos++
		}
		if withRemoteHellos {
			remoteHellos++
		}
	}
	c.Assert(hellos, qt.Equals, 2*remoteHelloTicks/helloBundleTicks)
	c.Assert(remoteHellos, qt.Equals, 2)
	// Both collectors send hellos to other regions within LiveTimeout.
	c.Assert(remoteHelloTicks*bundleInterval < LiveTimeout, qt.IsTrue)
	withHellos, _ := s.next(false)
	c.Assert(withHellos, qt.IsTrue)
}
