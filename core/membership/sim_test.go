package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// network runs many views against each other in virtual time.
type network struct {
	now     time.Time
	rng     *rand.Rand
	entries map[string]*View
	agents  map[string]*simAgent
	places  map[string]Place
	// dead members neither send nor answer; cut tells which regions are
	// separated from the others.
	dead map[string]bool
	cut  map[string]bool
	// loss, double and reorder are probabilities per message.
	loss, double, reorder float64
	late                  []func()
	bytes                 map[string]int
}

type simAgent struct {
	record Record
	paused bool
	known  []Candidate
}

func newNetwork(seed uint64, zones, entries, agents int) *network {
	n := &network{
		now: time.Unix(1_800_000_000, 0), rng: rand.New(rand.NewPCG(seed, 7)), entries: map[string]*View{}, agents: map[string]*simAgent{},
		places: map[string]Place{}, dead: map[string]bool{}, cut: map[string]bool{}, bytes: map[string]int{},
	}
	for i := range entries {
		id := fmt.Sprintf("entry-%03d", i)
		n.places[id] = n.place(RoleEntry, id, i%zones)
	}
	for i := range agents {
		id := fmt.Sprintf("agent-%03d", i)
		n.places[id] = n.place(RoleAgent, id, i%zones)
	}
	for _, id := range n.ids(RoleEntry) {
		n.startEntry(id, seed)
	}
	for _, id := range n.ids(RoleAgent) {
		n.startAgent(id)
	}
	return n
}

// warm tells every entry of every agent.
func (n *network) warm() {
	for _, v := range n.entries {
		for _, a := range n.agents {
			v.Report(n.now, a.record)
		}
		for _, w := range n.entries {
			v.Report(n.now, w.self.Record)
		}
		clear(v.queue)
	}
}

func (n *network) place(role Role, id string, zone int) Place {
	p := Place{Role: role, Address: "10.0.0.1:" + id, Region: fmt.Sprintf("region-%d", zone%3), Zone: fmt.Sprintf("zone-%d", zone)}
	if role == RoleEntry {
		p.PeerAddress = "10.0.0.2:" + id
	} else {
		p.Service = "juru-tulis"
	}
	return p
}

func (n *network) ids(role Role) []string {
	var ids []string
	for id, p := range n.places {
		if p.Role == role {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (n *network) startEntry(id string, seed uint64) {
	v := New(n.now, Config{ID: id, Incarnation: n.now.UnixMilli(), Place: n.places[id], Seed: seed})
	n.entries[id] = v
	delete(n.dead, id)
	v.List(n.now, n.list())
}

func (n *network) startAgent(id string) {
	delete(n.dead, id)
	n.agents[id] = &simAgent{record: Record{ID: id, Incarnation: n.now.UnixMilli(), Sequence: 1, State: Serving, Place: n.places[id], Version: "v1", VersionState: "serving"}}
}

func (n *network) list() []Listed {
	var list []Listed
	for id, p := range n.places {
		list = append(list, Listed{ID: id, Place: p})
	}
	slices.SortFunc(list, func(a, b Listed) int { return compare(a.ID, b.ID) })
	return list
}

func (n *network) reachable(a, b string) bool {
	pa, pb := n.places[a], n.places[b]
	return !n.dead[a] && !n.dead[b] && (pa.Region == pb.Region || !n.cut[pa.Region] && !n.cut[pb.Region])
}

// deliver runs a message now, later, twice or never.
func (n *network) deliver(f func()) {
	switch p := n.rng.Float64(); {
	case p < n.loss:
	case p < n.loss+n.double:
		f()
		f()
	case p < n.loss+n.double+n.reorder:
		n.late = append(n.late, f)
	default:
		f()
	}
}

func (n *network) exchange(from, to string, msg Message) {
	n.deliver(func() {
		if !n.reachable(from, to) {
			return
		}
		a, b := n.entries[from], n.entries[to]
		n.count(from, msg)
		out := b.Receive(n.now, msg)
		reply := b.Reply(n.now, msg)
		n.count(to, reply)
		n.urgent(to, out)
		n.deliver(func() {
			if n.dead[from] || n.entries[from] != a {
				return
			}
			out := a.Receive(n.now, reply)
			n.urgent(from, out)
			if out.FollowUp != nil {
				n.exchange(from, to, *out.FollowUp)
			}
		})
	})
}

func (n *network) urgent(id string, out Output) {
	if !out.Urgent {
		return
	}
	for _, target := range n.entries[id].UrgentTargets(n.now) {
		n.late = append(n.late, func() { n.exchange(id, target.ID, n.entries[id].Compose(n.now, target.ID)) })
	}
}

func (n *network) count(id string, msg Message) {
	size := msg.size()
	for i := range msg.Records {
		size += msg.Records[i].size()
	}
	n.bytes[id] += size
}

// second advances time by one second in four ticks.
func (n *network) second() {
	for quarter := range 4 {
		n.now = n.now.Add(250 * time.Millisecond)
		late := n.late
		n.late = nil
		for _, f := range late {
			f()
		}
		for i, id := range n.ids(RoleEntry) {
			if n.dead[id] {
				continue
			}
			v := n.entries[id]
			n.urgent(id, v.Tick(n.now))
			if i%4 != quarter {
				continue
			}
			for _, target := range v.Targets(n.now) {
				n.exchange(id, target.ID, v.Compose(n.now, target.ID))
			}
		}
		for i, id := range n.ids(RoleAgent) {
			if i%4 == quarter {
				n.report(id)
			}
		}
	}
}

func (n *network) report(id string) {
	a := n.agents[id]
	if n.dead[id] || a.paused {
		return
	}
	var live []Candidate
	for _, e := range a.known {
		if n.reachable(id, e.ID) {
			live = append(live, e)
		}
	}
	if len(live) == 0 {
		for _, e := range n.ids(RoleEntry) {
			if n.reachable(id, e) {
				live = append(live, NewCandidate(e, n.places[e].Region, n.places[e].Zone))
			}
		}
	}
	p := n.places[id]
	for _, home := range Homes(id, p.Region, p.Zone, live) {
		a.record.Sequence++
		r := a.record
		n.deliver(func() {
			if n.reachable(id, home.ID) {
				v := n.entries[home.ID]
				n.urgent(home.ID, v.Report(n.now, r))
				a.known = v.LiveEntries()
			}
		})
	}
}

func (n *network) run(seconds int) {
	for range seconds {
		n.second()
	}
}

// skip lets time pass in which agents report and entries tick but exchange
// nothing, for long separations that would take long to run.
func (n *network) skip(seconds int) {
	for range seconds {
		n.now = n.now.Add(time.Second)
		for _, id := range n.ids(RoleEntry) {
			v := n.entries[id]
			for _, z := range v.zones {
				if n.reachableZone(id, z.id) {
					z.heard = n.now
				}
			}
			for member, m := range v.members {
				if m.home && n.reachable(id, member) && (n.agents[member] == nil || !n.agents[member].paused) {
					m.heard = n.now
				}
			}
			v.Tick(n.now)
		}
	}
}

func (n *network) reachableZone(id string, zone uint32) bool {
	for other := range n.entries {
		if zoneID(n.places[other].Zone) == zone && n.reachable(id, other) {
			return true
		}
	}
	return false
}

func (n *network) restart(id string) {
	if n.places[id].Role == RoleEntry {
		n.startEntry(id, 1)
	} else {
		n.startAgent(id)
	}
}

// missing counts the live entries at which the member lacks the status.
func (n *network) missing(id string, status State) int {
	count := 0
	for e, v := range n.entries {
		if m, _ := v.Get(id); !n.dead[e] && e != id && m.Status != status {
			count++
		}
	}
	return count
}

// falselySuspected counts the pairs of an entry and a live member that gets
// no work there.
func (n *network) falselySuspected() int {
	count := 0
	for e, v := range n.entries {
		for id, m := range v.members {
			if !n.dead[e] && !n.dead[id] && (m.Status == Suspected || m.Status == Gone) {
				count++
			}
		}
	}
	return count
}

// stale counts the pairs of an entry and a live agent whose incarnation or
// version it does not know.
func (n *network) stale() int {
	count := 0
	for e := range n.entries {
		count += n.unknown(e)
	}
	return count
}

func (n *network) unknown(entry string) int {
	count := 0
	for id, a := range n.agents {
		m, _ := n.entries[entry].Get(id)
		if !n.dead[entry] && !n.dead[id] && (m.Incarnation != a.record.Incarnation || m.Version != a.record.Version) {
			count++
		}
	}
	return count
}

// measure returns the mean bytes that an entry sent since the last call.
func (n *network) measure() float64 {
	total := 0
	for _, bytes := range n.bytes {
		total += bytes
	}
	clear(n.bytes)
	return float64(total) / float64(len(n.entries))
}

// fatal is what tests and randomised runs share.
type fatal interface {
	Fatalf(format string, args ...any)
}

// checkConverged fails unless all live entries agree with the truth.
func (n *network) checkConverged(t fatal) {
	for e, v := range n.entries {
		if n.dead[e] {
			continue
		}
		for id := range n.places {
			m, _ := v.Get(id)
			want := Serving
			if a := n.agents[id]; a != nil {
				want = a.record.State
			}
			switch {
			case id == e:
			case n.dead[id] && (m.Status == Serving || m.Status == Starting):
				t.Fatalf("%s gives work to dead %s", e, id)
			case !n.dead[id] && m.Status != want:
				t.Fatalf("%s has %s in status %d, want %d (record %+v)", e, id, m.Status, want, m.Record)
			case !n.dead[id] && n.agents[id] != nil && want == Serving && m.Version != n.agents[id].record.Version:
				t.Fatalf("%s has %s at version %s", e, id, m.Version)
			}
		}
	}
}

// orderCheck sees that no entry's record of a member ever becomes older.
type orderCheck struct {
	n    *network
	last map[string]map[string]Record
}

func newOrderCheck(n *network) *orderCheck {
	return &orderCheck{n: n, last: map[string]map[string]Record{}}
}

func (o *orderCheck) forget(entry string) {
	delete(o.last, entry)
}

func (o *orderCheck) check(t fatal) {
	for e, v := range o.n.entries {
		if o.last[e] == nil {
			o.last[e] = map[string]Record{}
		}
		for id, m := range v.members {
			last := o.last[e][id]
			if m.Incarnation < last.Incarnation || m.Incarnation == last.Incarnation && m.Sequence < last.Sequence {
				t.Fatalf("%s went back on %s from %d/%d to %d/%d", e, id, last.Incarnation, last.Sequence, m.Incarnation, m.Sequence)
			}
			if last.State == Leaving && m.Incarnation == last.Incarnation && m.State != Leaving && m.State != Gone {
				t.Fatalf("%s took %s back from leaving", e, id)
			}
			o.last[e][id] = m.Record
		}
	}
}
