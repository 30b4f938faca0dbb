package placement

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const slots = 16

func engines(n int) (*Fleet, *PublishedVersions) {
	published := NewPublishedVersions(6*time.Second, 4*time.Second)
	f := NewFleet(DefaultConfig("a"), published, 1)
	for i := range n {
		f.Put(Server{ID: fmt.Sprint("e", i), Address: fmt.Sprint("10.0.0.", i, ":1"), Service: "llm", Zone: "a", Slots: slots, WeightVersion: 1})
	}
	return f, published
}

func query() Query { return Query{Service: "llm", Model: "m"} }

func report(i, running int) Report {
	return Report{Address: fmt.Sprint("10.0.0.", i, ":1"), Running: running, WeightVersion: 1}
}

// In a burst, requests above the slots plus the allowance must be refused at
// once. Otherwise they queue at the engines and delay the accepted requests.
func TestBurstIsRefusedAboveTheAllowance(t *testing.T) {
	c := qt.New(t)
	f, _ := engines(3)
	accepted := 0
	for range 1000 {
		if _, miss := f.Choose(start, query()); miss == Found {
			accepted++
		} else {
			c.Assert(miss, qt.Equals, AllFull)
		}
	}
	c.Assert(accepted, qt.Equals, 3*(slots+2))
}

// Between two reports an entry must count the requests that it sent. Otherwise
// it sends a whole burst to the engine that reported the lowest load.
func TestOwnSendsCountBetweenReports(t *testing.T) {
	c := qt.New(t)
	f, _ := engines(2)
	f.Report(report(0, 0), start)
	f.Report(report(1, 10), start)
	sent := map[string]int{}
	for range 2 * slots {
		choice, miss := f.Choose(start, query())
		if miss != Found {
			break
		}
		sent[choice.Server.ID]++
	}
	c.Assert(sent["e0"] <= slots+2, qt.IsTrue)
	c.Assert(sent["e1"] <= slots+2-10, qt.IsTrue)
	c.Assert(sent["e0"]+sent["e1"], qt.Equals, 2*(slots+2)-10)
}

// Entries with the same reports must not all choose the same engine, which they
// would do if each chose the least loaded one.
func TestEntriesDoNotHerd(t *testing.T) {
	c := qt.New(t)
	const entries, n = 20, 10
	chosen := map[string]int{}
	for e := range entries {
		f := NewFleet(DefaultConfig("a"), NewPublishedVersions(time.Hour, 0), uint64(e))
		for i := range n {
			f.Put(Server{ID: fmt.Sprint("e", i), Address: fmt.Sprint("10.0.0.", i, ":1"), Service: "llm", Zone: "a", Slots: slots, WeightVersion: 1})
			f.Report(report(i, i), start)
		}
		for range 2 {
			choice, miss := f.Choose(start, query())
			c.Assert(miss, qt.Equals, Found)
			chosen[choice.Server.ID]++
		}
	}
	for id, count := range chosen {
		c.Check(count <= entries, qt.IsTrue, qt.Commentf("engine %s was chosen for %d of %d requests", id, count, 2*entries))
	}
}

// Late requests must only use slots that would be idle, so that they do not
// delay requests that can still be answered on time.
func TestSpareCapacityOnlyRequestsLeaveRoom(t *testing.T) {
	c := qt.New(t)
	f, _ := engines(1)
	f.Report(report(0, slots-1), start)
	q := query()
	q.SpareCapacityOnly = true
	_, miss := f.Choose(start, q)
	c.Assert(miss, qt.Equals, AllFull)
	_, miss = f.Choose(start, query())
	c.Assert(miss, qt.Equals, Found)
}

// After a power loss of all VMs, refused callers retry when engines begin to
// load, and a second refusal would be final. Late requests must therefore wait
// for weights. First attempts, requests in a burst and requests with little time
// left must not.
func TestReturningCallersWaitForWeights(t *testing.T) {
	c := qt.New(t)
	const target, remaining = 400 * time.Millisecond, 4 * time.Second
	short := 80 * time.Millisecond
	c.Assert(MaxWait(NoWeights, true, target, remaining), qt.Equals, weightsLoadWait)
	c.Assert(MaxWait(NoWeights, false, target, remaining), qt.Equals, short)
	c.Assert(MaxWait(AllFull, true, target, remaining), qt.Equals, short)
	c.Assert(MaxWait(NoWeights, true, target, 2*time.Second), qt.Equals, short)
	c.Assert(MaxWait(NoServer, false, 0, remaining), qt.Equals, minWait)
}

// Engines that drain, load weights, hold no weights or are down must not receive
// requests.
func TestUnusableServers(t *testing.T) {
	c := qt.New(t)
	for name, change := range map[string]func(*Server, *Report){
		"draining": func(s *Server, _ *Report) { s.Draining = true },
		"loading":  func(_ *Server, r *Report) { r.Loading = true },
		"down":     func(_ *Server, r *Report) { r.Down = true },
		"empty":    func(_ *Server, r *Report) { r.WeightVersion = 0 },
	} {
		f, _ := engines(1)
		s, r := f.Servers()[0], report(0, 0)
		change(&s, &r)
		f.Put(s)
		f.Report(r, start)
		_, miss := f.Choose(start, query())
		c.Check(miss, qt.Not(qt.Equals), Found, qt.Commentf(name))
	}
}

// A request that waits for servers in their pause after a refusal must be told when the
// first pause ends, because nothing else happens then. Servers that report their load are
// left to their next report: all waiting requests would go there at once.
func TestEndOfAPauseIsTold(t *testing.T) {
	c := qt.New(t)
	f, _ := engines(2)
	plain := Query{Service: "plain"}
	for i := range 2 {
		f.Report(report(i, 0), start)
		f.Put(Server{ID: fmt.Sprint("p", i), Address: fmt.Sprint("p", i, ":1"), Service: plain.Service, Zone: "z"})
	}
	for i := range 2 {
		for _, q := range []Query{plain, query()} {
			choice, miss := f.Choose(start, q)
			c.Assert(miss, qt.Equals, Found)
			f.Done(start.Add(time.Duration(i)*30*time.Millisecond), choice.Handle, Shed)
		}
	}
	now := start.Add(40 * time.Millisecond)
	choice, miss := f.Choose(now, plain)
	c.Assert(miss, qt.Equals, NoServer)
	c.Check(choice.PauseEndsIn, qt.Equals, f.cfg.ShedPause-40*time.Millisecond)
	_, miss = f.Choose(now.Add(choice.PauseEndsIn), plain)
	c.Check(miss, qt.Equals, Found)
	choice, miss = f.Choose(now, query())
	c.Assert(miss, qt.Equals, NoServer)
	c.Check(choice.PauseEndsIn, qt.Equals, time.Duration(0))
}

// When another server reuses an address, the state of the previous server must
// not apply to it.
func TestAddressIsReused(t *testing.T) {
	c := qt.New(t)
	f, _ := engines(1)
	f.Report(report(0, 0), start)
	choice, _ := f.Choose(start, query())
	f.Done(start, choice.Handle, Misdirected)
	_, miss := f.Choose(start, query())
	c.Assert(miss, qt.Equals, NoServer)
	f.Remove("e0")
	f.Put(Server{ID: "n", Address: "10.0.0.0:1", Service: "plain", Zone: "a"})
	_, miss = f.Choose(start, query())
	c.Assert(miss, qt.Equals, NoServer)
	choice, miss = f.Choose(start, Query{Service: "plain"})
	c.Assert(miss, qt.Equals, Found)
	c.Assert(choice.Server.ID, qt.Equals, "n")
}

// An engine that restarts under its id has lost its weights. The registry's
// record of the earlier instance must not make it eligible again.
func TestRestartUnderTheSameID(t *testing.T) {
	c := qt.New(t)
	f, _ := engines(1)
	f.Report(Report{Address: "10.0.0.0:1", Born: 200}, start)
	_, miss := f.Choose(start, query())
	c.Assert(miss, qt.Equals, NoWeights)
	s := f.Servers()[0]
	s.Born, s.WeightVersion = 100, 1
	f.Put(s)
	_, miss = f.Choose(start, query())
	c.Assert(miss, qt.Equals, NoServer)
	// The engine has loaded its weights again, but the registry still lists the
	// earlier instance.
	f.Report(Report{Address: "10.0.0.0:1", Born: 200, WeightVersion: 1}, start)
	_, miss = f.Choose(start, query())
	c.Assert(miss, qt.Equals, NoServer)
	s.Born = 200
	f.Put(s)
	_, miss = f.Choose(start, query())
	c.Assert(miss, qt.Equals, Found)
}

// A failing server is set aside, but at most half of a service's servers at
// once, because a failure of all servers has a common cause elsewhere.
func TestSetAsideIsBounded(t *testing.T) {
	c := qt.New(t)
	f := NewFleet(DefaultConfig("a"), NewPublishedVersions(time.Hour, 0), 1)
	for i := range 4 {
		f.Put(Server{ID: fmt.Sprint("p", i), Address: fmt.Sprint("10.0.1.", i, ":1"), Service: "plain", Zone: "a"})
	}
	for range 100 {
		choice, miss := f.Choose(start, Query{Service: "plain"})
		c.Assert(miss, qt.Equals, Found)
		f.Done(start, choice.Handle, Broken)
	}
	used := map[string]bool{}
	for range 100 {
		choice, _ := f.Choose(start, Query{Service: "plain"})
		used[choice.Server.ID] = true
		f.Done(start, choice.Handle, Succeeded)
	}
	c.Assert(len(used) >= 2, qt.IsTrue)
}

// After the grace period of a published version, no request may begin at an
// older one.
func TestPublishedVersionIsRequired(t *testing.T) {
	c := qt.New(t)
	f, published := engines(1)
	published.RecordJustPublished("m", 2, start)
	_, miss := f.Choose(start.Add(5*time.Second), query())
	c.Assert(miss, qt.Equals, Found)
	_, miss = f.Choose(start.Add(6*time.Second), query())
	c.Assert(miss, qt.Equals, NoWeights)
	f.Report(Report{Address: "10.0.0.0:1", WeightVersion: 2}, start.Add(6*time.Second))
	_, miss = f.Choose(start.Add(6*time.Second), query())
	c.Assert(miss, qt.Equals, Found)
	// The registry lists no model while an engine changes weights, so the model
	// must not come from the registry. Otherwise requests get outdated weights,
	// as in benchmark scenario scale-1.
	s := f.Servers()[0]
	s.WeightVersion = 0
	f.Put(s)
	published.RecordJustPublished("m", 3, start.Add(-time.Minute))
	_, miss = f.Choose(start.Add(6*time.Second), query())
	c.Assert(miss, qt.Equals, NoWeights)
}

// A request that is queued at an engine with older weights must begin before the
// weights are out of date, however long the queue is.
func TestTimeToBeginOnOlderWeights(t *testing.T) {
	c := qt.New(t)
	f, published := engines(1)
	choice, _ := f.Choose(start, query())
	c.Assert(choice.HasFirstEventTimeout, qt.IsFalse)
	published.RecordJustPublished("m", 2, start)
	choice, miss := f.Choose(start.Add(5900*time.Millisecond), query())
	c.Assert(miss, qt.Equals, Found)
	c.Assert(choice.HasFirstEventTimeout, qt.IsTrue)
	c.Assert(choice.FirstEventTimeout, qt.Equals, 100*time.Millisecond+FirstEventMargin)
	// A second version does not extend the timeout due to the first.
	published.RecordJustPublished("m", 3, start.Add(5*time.Second))
	choice, _ = f.Choose(start.Add(5900*time.Millisecond), query())
	c.Assert(choice.FirstEventTimeout, qt.Equals, 100*time.Millisecond+FirstEventMargin)
	f.Report(Report{Address: "10.0.0.0:1", WeightVersion: 3}, start.Add(6*time.Second))
	choice, _ = f.Choose(start.Add(6*time.Second), query())
	c.Assert(choice.HasFirstEventTimeout, qt.IsFalse)
}

// A restarted entry must count the grace period of a version from the publication
// and not from the entry's start. Otherwise requests get outdated weights; in one
// run, 716 requests did.
func TestPublishedVersionSurvivesARestart(t *testing.T) {
	c := qt.New(t)
	p := NewPublishedVersions(6*time.Second, 4*time.Second)
	p.RecordWithUnknownAge("m", 3, start)
	// No entry has sent the age yet, so the version may already be required: in
	// scenario scale-1 of tromba, an entry started 7.4 s after the version was
	// published.
	c.Assert(p.MinVersion("m", start.Add(time.Second-1)), qt.Equals, int64(3))
	// No entry sends the age, because all have just started.
	c.Assert(p.MinVersion("m", start.Add(time.Second)), qt.Equals, int64(0))
	c.Assert(p.MinVersion("m", start.Add(2*time.Second)), qt.Equals, int64(3))
	p.RecordWithAge("m", 2, 7*time.Second, start)
	p.RecordWithAge("m", 3, time.Second, start)
	c.Assert(p.MinVersion("m", start), qt.Equals, int64(2))
	c.Assert(p.MinVersion("m", start.Add(4*time.Second)), qt.Equals, int64(2))
	c.Assert(p.MinVersion("m", start.Add(5*time.Second)), qt.Equals, int64(3))
	c.Assert(p.Ages(start.Add(time.Second))["m"][3], qt.Equals, Age{2 * time.Second, true})
	c.Assert(p.NewestSum(), qt.Equals, int64(3))
}

// An operator who publishes many versions must not make the memory grow without
// bound.
func TestPublishedVersionsAreBounded(t *testing.T) {
	c := qt.New(t)
	p := NewPublishedVersions(6*time.Second, 0)
	for v := range int64(100) {
		p.RecordJustPublished("m", v+1, start)
	}
	c.Assert(len(p.publications["m"]), qt.Equals, maxVersionsPerModel)
	c.Assert(p.MinVersion("m", start.Add(time.Minute)), qt.Equals, int64(100))
}

// Each report arrives over two paths. A reordered report must not restore an
// outdated state of the engine, and a duplicate must not reset the count of the
// requests that the entry sent.
func TestReorderedReportIsIgnored(t *testing.T) {
	c := qt.New(t)
	f, _ := engines(1)
	r := func(sequence uint32, running int, loading bool) Report {
		out := report(0, running)
		out.Sequence, out.Loading = sequence, loading
		return out
	}
	f.Report(r(8, slots+1, false), start)
	_, miss := f.Choose(start, query())
	c.Assert(miss, qt.Equals, Found)
	f.Report(r(8, slots+1, false), start.Add(50*time.Millisecond))
	_, miss = f.Choose(start, query())
	c.Assert(miss, qt.Equals, AllFull)
	f.Report(r(9, 0, true), start.Add(150*time.Millisecond))
	f.Report(r(7, 0, false), start.Add(200*time.Millisecond))
	_, miss = f.Choose(start.Add(200*time.Millisecond), query())
	c.Assert(miss, qt.Equals, NoWeights)
	// A restarted agent starts again with low sequence numbers.
	f.Report(r(1, 0, false), start.Add(150*time.Millisecond+reorderWindow))
	_, miss = f.Choose(start.Add(150*time.Millisecond+reorderWindow), query())
	c.Assert(miss, qt.Equals, Found)
}

// BenchmarkChoose measures one decision among 300 engines, with free slots at
// all engines and with all engines full.
func BenchmarkChoose(b *testing.B) {
	for _, full := range []bool{false, true} {
		b.Run(fmt.Sprint("full=", full), func(b *testing.B) {
			f, _ := engines(300)
			for i := range 300 {
				running := slots / 2
				if full {
					running = 2 * slots
				}
				f.Report(report(i, running), start)
			}
			b.ReportAllocs()
			for range b.N {
				if choice, miss := f.Choose(start, query()); miss == Found {
					f.Done(start, choice.Handle, Canceled)
				}
			}
		})
	}
}

// A server that is silent on two requests must get no more until one of them goes on, and
// may get requests while most of its service is silent. It used to be set aside for seconds
// after it had gone on.
func TestSilentServerIsExcludedWhileItIsSilent(t *testing.T) {
	c := qt.New(t)
	f, _ := engines(4)
	only := func(id string) Query {
		q := query()
		for i := range 4 {
			if other := fmt.Sprint("e", i); other != id {
				q.Tried = append(q.Tried, other)
			}
		}
		return q
	}
	silence := func(id string) (handles []Handle) {
		for range 2 {
			choice, miss := f.Choose(start, only(id))
			c.Assert(miss, qt.Equals, Found)
			f.RecordSilence(choice.Handle)
			handles = append(handles, choice.Handle)
		}
		return handles
	}
	first := silence("e0")
	c.Assert(f.CanServe(start, only("e0")), qt.IsFalse)
	q := query()
	q.Only = []string{"e0"}
	c.Assert(f.CanServe(start, q), qt.IsTrue, qt.Commentf("a request may return to it"))
	f.EndSilence(first[0])
	c.Assert(f.CanServe(start, only("e0")), qt.IsTrue)
	f.RecordSilence(first[0])
	silence("e1")
	c.Assert(f.CanServe(start, only("e1")), qt.IsFalse)
	silence("e2")
	c.Assert(f.CanServe(start, only("e1")), qt.IsTrue, qt.Commentf("three of four are silent"))
}

// A server that refuses to resume a stream must still get fresh requests, and no further
// resumes for a moment.
func TestRefusedResumePausesOnlyResumes(t *testing.T) {
	c := qt.New(t)
	f := NewFleet(DefaultConfig("z"), NewPublishedVersions(time.Hour, 0), 1)
	f.Put(Server{ID: "s", Address: "a", Service: "svc", Zone: "z"})
	choice, miss := f.Choose(start, Query{Service: "svc", Resumes: true})
	c.Assert(miss, qt.Equals, Found)
	f.Done(start, choice.Handle, ResumeShed)
	_, miss = f.Choose(start, Query{Service: "svc"})
	c.Check(miss, qt.Equals, Found)
	choice, miss = f.Choose(start, Query{Service: "svc", Resumes: true})
	c.Check(miss, qt.Equals, NoServer)
	c.Check(choice.PauseEndsIn, qt.Equals, f.cfg.ShedPause)
	_, miss = f.Choose(start.Add(f.cfg.ShedPause), Query{Service: "svc", Resumes: true})
	c.Check(miss, qt.Equals, Found)
}
