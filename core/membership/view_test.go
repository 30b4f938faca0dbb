package membership

import (
	"flag"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestMain sets the seed and the number of the randomised runs unless flags set
// them.
func TestMain(m *testing.M) {
	given := map[string]bool{}
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "20"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

func newTestView() (*View, time.Time) {
	now := time.Unix(1_800_000_000, 0)
	place := Place{Role: RoleEntry, Address: "10.0.0.1:1", PeerAddress: "10.0.0.1:2", Region: "norte", Zone: "norte-a"}
	return New(now, Config{ID: "entry-1", Incarnation: 1, Place: place}), now
}

func agentRecord(incarnation int64, sequence uint64, state State) Record {
	return Record{
		ID: "agent-1", Incarnation: incarnation, Sequence: sequence, State: state, Version: "v1",
		Place: Place{Address: "10.0.0.2:1", Region: "norte", Zone: "norte-a", Service: "laburnum-tutors"},
	}
}

func stateOf(v *View, id string) State {
	m, _ := v.Get(id)
	return m.EffectiveState
}

// TestOlderReportIsIgnored guards against a delayed report that replaces a newer
// one, and against a report of the previous incarnation that arrives after a
// restart.
func TestOlderReportIsIgnored(t *testing.T) {
	c := qt.New(t)
	v, now := newTestView()
	v.HandleReport(now, agentRecord(10, 5, Serving))
	v.HandleReport(now, agentRecord(10, 4, Starting))
	c.Check(stateOf(v, "agent-1"), qt.Equals, Serving)
	v.HandleReport(now, agentRecord(20, 1, Starting))
	v.HandleReport(now, agentRecord(10, 900, Serving))
	c.Check(stateOf(v, "agent-1"), qt.Equals, Starting)
}

// TestLeavingIsFinal guards against new work for a member that reports
// Serving after it reported Leaving, and against rejecting its next incarnation.
func TestLeavingIsFinal(t *testing.T) {
	c := qt.New(t)
	v, now := newTestView()
	out := v.HandleReport(now, agentRecord(10, 1, Leaving))
	c.Check(out.Urgent, qt.IsTrue)
	v.HandleReport(now, agentRecord(10, 2, Serving))
	c.Check(stateOf(v, "agent-1"), qt.Equals, Leaving)
	v.HandleReport(now, agentRecord(11, 1, Serving))
	c.Check(stateOf(v, "agent-1"), qt.Equals, Serving)
}

// TestSilentMemberIsSuspected guards against work for a silent member, which the
// platform's list may still contain, and against a member that stays gone after
// it reports again.
func TestSilentMemberIsSuspected(t *testing.T) {
	c := qt.New(t)
	v, now := newTestView()
	list := []ListedMember{{ID: "agent-1", Place: agentRecord(0, 0, 0).Place}}
	v.HandleList(now, list)
	v.Tick(now)
	at := func(d time.Duration) State {
		v.HandleList(now.Add(d), list)
		v.Tick(now.Add(d))
		return stateOf(v, "agent-1")
	}
	v.HandleReport(now.Add(time.Millisecond), agentRecord(10, 1, Serving))
	c.Check(at(2900*time.Millisecond), qt.Equals, Serving)
	c.Check(at(3100*time.Millisecond), qt.Equals, Suspected)
	c.Check(at(29*time.Second), qt.Equals, Suspected)
	c.Check(at(31*time.Second), qt.Equals, Gone)
	v.HandleReport(now.Add(32*time.Second), agentRecord(10, 2, Serving))
	c.Check(stateOf(v, "agent-1"), qt.Equals, Serving)
}

// TestListedLeaving guards against work for a member that the platform's list
// shows as leaving while its own reports say Serving.
func TestListedLeaving(t *testing.T) {
	c := qt.New(t)
	v, now := newTestView()
	v.HandleReport(now, agentRecord(10, 1, Serving))
	v.HandleList(now, []ListedMember{{ID: "agent-1", Place: agentRecord(0, 0, 0).Place, Leaving: true}})
	c.Check(stateOf(v, "agent-1"), qt.Equals, Leaving)
}

// TestDeparturesBeforeOtherChanges guards against state changes and load reports
// that use up the bytes needed for a departure, which is then sent too late.
func TestDeparturesBeforeOtherChanges(t *testing.T) {
	c := qt.New(t)
	v, now := newTestView()
	for i := range 200 {
		r := agentRecord(10, 1, Serving)
		r.ID = string(rune('a'+i%26)) + string(rune('a'+i/26))
		v.HandleReport(now, r)
	}
	v.Charge(now, int(DefaultBytesPerSecond*burstSeconds)-2000)
	v.HandleReport(now, agentRecord(10, 1, Leaving))
	msg := v.Compose(now, "entry-2")
	c.Assert(len(msg.Records), qt.Equals, 1)
	c.Check(msg.Records[0].ID, qt.Equals, "agent-1")
	c.Check(v.Counters().BucketExhausted > 0, qt.IsTrue)
}

// TestHomes guards against home entries outside the member's zone while the zone
// has enough entries, against reassigning members whose home entries remain when
// one entry is lost, and against uneven distribution.
func TestHomes(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(1, 3, 30, 300)
	var entries []Candidate
	for _, id := range n.ids(RoleEntry) {
		entries = append(entries, NewCandidate(id, n.places[id].Region, n.places[id].Zone))
	}
	load := map[string]int{}
	moved := 0
	for _, id := range n.ids(RoleAgent) {
		p := n.places[id]
		homes := Homes(id, p.Region, p.Zone, entries)
		c.Assert(len(homes), qt.Equals, HomeCount)
		for _, h := range homes {
			c.Assert(h.Zone, qt.Equals, p.Zone)
			load[h.ID]++
		}
		after := Homes(id, p.Region, p.Zone, entries[1:])
		if after[0].ID != homes[0].ID || after[1].ID != homes[1].ID {
			moved++
		}
	}
	for id, count := range load {
		c.Check(count >= 8 && count <= 40, qt.IsTrue, qt.Commentf("%s is a home entry of %d agents, want 8 to 40", id, count))
	}
	c.Check(moved, qt.Equals, load["entry-000"])
	only := Homes("agent-000", "region-0", "zone-0", entries[1:2])
	c.Check(len(only), qt.Equals, 1)
}
