package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// network simulates many entries and agents in virtual time.
type network struct {
	now     time.Time
	rng     *rand.Rand
	entries map[string]*View
	agents  map[string]*simAgent
	places  map[string]Place
	// dead members neither send nor answer; partitioned regions have no
	// connection to any other region.
	dead        map[string]bool
	partitioned map[string]bool
	// lossRate, duplicateRate and reorderRate are probabilities per message.
	lossRate, duplicateRate, reorderRate float64
	delayed                              []func()
	bytes                                map[string]int
}

type simAgent struct {
	record       Record
	paused       bool
	knownEntries []Candidate
}

func newNetwork(seed uint64, zones, entries, agents int) *network {
	n := &network{
		now: time.Unix(1_800_000_000, 0), rng: rand.New(rand.NewPCG(seed, 7)), entries: map[string]*View{}, agents: map[string]*simAgent{},
		places: map[string]Place{}, dead: map[string]bool{}, partitioned: map[string]bool{}, bytes: map[string]int{},
	}
	for i := range entries {
		id := fmt.Sprintf("entry-%03d", i)
		n.places[id] = n.newPlace(RoleEntry, id, i%zones)
	}
	for i := range agents {
		id := fmt.Sprintf("agent-%03d", i)
		n.places[id] = n.newPlace(RoleAgent, id, i%zones)
	}
	for _, id := range n.ids(RoleEntry) {
		n.startEntry(id, seed)
	}
	for _, id := range n.ids(RoleAgent) {
		n.startAgent(id)
	}
	return n
}

// fillViews gives every entry the records of all agents and entries.
func (n *network) fillViews() {
	for _, v := range n.entries {
		for _, a := range n.agents {
			v.HandleReport(n.now, a.record)
		}
		for _, w := range n.entries {
			v.HandleReport(n.now, w.self.Record)
		}
		clear(v.queue)
	}
}

func (n *network) newPlace(role Role, id string, zone int) Place {
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
	v.HandleList(n.now, n.platformList())
}

func (n *network) startAgent(id string) {
	delete(n.dead, id)
	n.agents[id] = &simAgent{record: Record{ID: id, Incarnation: n.now.UnixMilli(), Sequence: 1, State: Serving, Place: n.places[id], Version: "v1", VersionState: "serving"}}
}

func (n *network) platformList() []ListedMember {
	var list []ListedMember
	for id, p := range n.places {
		list = append(list, ListedMember{ID: id, Place: p})
	}
	slices.SortFunc(list, func(a, b ListedMember) int { return compareIDs(a.ID, b.ID) })
	return list
}

func (n *network) reachable(a, b string) bool {
	pa, pb := n.places[a], n.places[b]
	return !n.dead[a] && !n.dead[b] && (pa.Region == pb.Region || !n.partitioned[pa.Region] && !n.partitioned[pb.Region])
}

// deliver runs the delivery of a message once, twice, in the next tick or never.
func (n *network) deliver(f func()) {
	switch p := n.rng.Float64(); {
	case p < n.lossRate:
	case p < n.lossRate+n.duplicateRate:
		f()
		f()
	case p < n.lossRate+n.duplicateRate+n.reorderRate:
		n.delayed = append(n.delayed, f)
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
		n.countBytes(from, msg)
		out := b.HandleMessage(n.now, msg)
		reply := b.Reply(n.now, msg)
		n.countBytes(to, reply)
		n.sendUrgent(to, out)
		n.deliver(func() {
			if n.dead[from] || n.entries[from] != a {
				return
			}
			out := a.HandleMessage(n.now, reply)
			n.sendUrgent(from, out)
			if out.FollowUp != nil {
				n.exchange(from, to, *out.FollowUp)
			}
		})
	})
}

func (n *network) sendUrgent(id string, out Output) {
	if !out.Urgent {
		return
	}
	for _, target := range n.entries[id].UrgentTargets(n.now) {
		n.delayed = append(n.delayed, func() { n.exchange(id, target.ID, n.entries[id].Compose(n.now, target.ID)) })
	}
}

func (n *network) countBytes(id string, msg Message) {
	size := msg.estimatedSize()
	for i := range msg.Records {
		size += msg.Records[i].estimatedSize()
	}
	n.bytes[id] += size
}

// runSecond advances time by one second in four ticks. An entry or agent sends
// in one of the four.
func (n *network) runSecond() {
	for quarter := range 4 {
		n.now = n.now.Add(250 * time.Millisecond)
		late := n.delayed
		n.delayed = nil
		for _, f := range late {
			f()
		}
		for i, id := range n.ids(RoleEntry) {
			if n.dead[id] {
				continue
			}
			v := n.entries[id]
			n.sendUrgent(id, v.Tick(n.now))
			if i%4 != quarter {
				continue
			}
			for _, target := range v.Targets(n.now) {
				n.exchange(id, target.ID, v.Compose(n.now, target.ID))
			}
		}
		for i, id := range n.ids(RoleAgent) {
			if i%4 == quarter {
				n.sendReports(id)
			}
		}
	}
}

func (n *network) sendReports(id string) {
	a := n.agents[id]
	if n.dead[id] || a.paused {
		return
	}
	var live []Candidate
	for _, e := range a.knownEntries {
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
				n.sendUrgent(home.ID, v.HandleReport(n.now, r))
				a.knownEntries = v.LiveEntries()
			}
		})
	}
}

func (n *network) runSeconds(seconds int) {
	for range seconds {
		n.runSecond()
	}
}

// skipSeconds advances time as if all reachable members had reported, without
// any messages between entries. It shortens the simulation of long partitions.
func (n *network) skipSeconds(seconds int) {
	for range seconds {
		n.now = n.now.Add(time.Second)
		for _, id := range n.ids(RoleEntry) {
			v := n.entries[id]
			for _, z := range v.zones {
				if n.reachableZone(id, z.id) {
					z.lastContact = n.now
				}
			}
			for member, m := range v.members {
				if m.ownerIsHome && n.reachable(id, member) && (n.agents[member] == nil || !n.agents[member].paused) {
					m.lastContact = n.now
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

// entriesWithoutState counts the live entries at which the member's effective
// state differs from the given one.
func (n *network) entriesWithoutState(id string, status State) int {
	count := 0
	for e, v := range n.entries {
		if m, _ := v.Get(id); !n.dead[e] && e != id && m.EffectiveState != status {
			count++
		}
	}
	return count
}

// falseSuspicions counts the pairs of a live entry and a live member that is
// suspected or gone in the entry's view.
func (n *network) falseSuspicions() int {
	count := 0
	for e, v := range n.entries {
		for id, m := range v.members {
			if !n.dead[e] && !n.dead[id] && (m.EffectiveState == Suspected || m.EffectiveState == Gone) {
				count++
			}
		}
	}
	return count
}

// outdatedPairs counts the pairs of a live entry and a live agent for which the
// entry's view has another incarnation or version than the agent's current one.
func (n *network) outdatedPairs() int {
	count := 0
	for e := range n.entries {
		count += n.outdatedAt(e)
	}
	return count
}

func (n *network) outdatedAt(entry string) int {
	count := 0
	for id, a := range n.agents {
		m, _ := n.entries[entry].Get(id)
		if !n.dead[entry] && !n.dead[id] && (m.Incarnation != a.record.Incarnation || m.Version != a.record.Version) {
			count++
		}
	}
	return count
}

// meanBytesSent returns the mean number of bytes that an entry has sent since the
// last call.
func (n *network) meanBytesSent() float64 {
	total := 0
	for _, bytes := range n.bytes {
		total += bytes
	}
	clear(n.bytes)
	return float64(total) / float64(len(n.entries))
}

// failer is implemented by *qt.C and by *rapid.T.
type failer interface {
	Fatalf(format string, args ...any)
}

// checkConverged fails unless the views of all live entries match the actual
// states and versions.
func (n *network) checkConverged(t failer) {
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
			case n.dead[id] && (m.EffectiveState == Serving || m.EffectiveState == Starting):
				t.Fatalf("%s gives work to %s, which is dead", e, id)
			case !n.dead[id] && m.EffectiveState != want:
				t.Fatalf("%s has %s in effective state %d, want %d (record %+v)", e, id, m.EffectiveState, want, m.Record)
			case !n.dead[id] && n.agents[id] != nil && want == Serving && m.Version != n.agents[id].record.Version:
				t.Fatalf("%s has an outdated version for %s: %s", e, id, m.Version)
			}
		}
	}
}

// orderChecker checks that an entry's record of a member is never replaced by an
// older one.
type orderChecker struct {
	n           *network
	lastRecords map[string]map[string]Record
}

func newOrderChecker(n *network) *orderChecker {
	return &orderChecker{n: n, lastRecords: map[string]map[string]Record{}}
}

func (o *orderChecker) reset(entry string) {
	delete(o.lastRecords, entry)
}

func (o *orderChecker) check(t failer) {
	for e, v := range o.n.entries {
		if o.lastRecords[e] == nil {
			o.lastRecords[e] = map[string]Record{}
		}
		for id, m := range v.members {
			last := o.lastRecords[e][id]
			if m.Incarnation < last.Incarnation || m.Incarnation == last.Incarnation && m.Sequence < last.Sequence {
				t.Fatalf("%s replaced the record of %s by an older one: %d/%d by %d/%d", e, id, last.Incarnation, last.Sequence, m.Incarnation, m.Sequence)
			}
			if last.State == Leaving && m.Incarnation == last.Incarnation && m.State != Leaving && m.State != Gone {
				t.Fatalf("%s changed %s from leaving to a live state", e, id)
			}
			o.lastRecords[e][id] = m.Record
		}
	}
}
