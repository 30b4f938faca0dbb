package routing

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain sets the seed of the randomised runs unless a flag sets it.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}

var start = time.Unix(1_800_000_000, 0)

func backends(n int) []Backend {
	list := make([]Backend, n)
	for i := range list {
		list[i] = Backend{
			ID: fmt.Sprintf("agent-%d", i), Address: fmt.Sprintf("127.0.0.1:%d", i), Region: "priangan",
			Version: "v1", Incarnation: 1, Sequence: 1,
		}
	}
	return list
}

// TestLostEntriesSpreadCallers guards against answers that send all callers to
// the same entry when an entry, a zone or a region is lost.
func TestLostEntriesSpreadCallers(t *testing.T) {
	var all []EntryInfo
	for i := range 20 {
		all = append(all, EntryInfo{ID: fmt.Sprint(i), Zone: fmt.Sprintf("z%d", i%5), Region: fmt.Sprintf("r%d", i%5%3)})
	}
	cases := map[string]func(EntryInfo) bool{
		"entry":                       func(e EntryInfo) bool { return e.ID == "0" },
		"zone":                        func(e EntryInfo) bool { return e.Zone == "z0" },
		"region":                      func(e EntryInfo) bool { return e.Region == "r0" },
		"all but one entry of a zone": func(e EntryInfo) bool { return e.Zone == "z0" && e.ID != "0" },
	}
	for name, lost := range cases {
		var remaining []EntryInfo
		for _, e := range all {
			e.Leaving = lost(e)
			remaining = append(remaining, e)
		}
		random := rand.New(rand.NewPCG(1, 2))
		first := map[string]int{}
		const callers = 2000
		for range callers {
			answer := Discover(random, "z0", "r0", remaining)
			if answer.TTL < MinTTL || answer.TTL > MaxTTL || len(answer.Entries) > MaxAnswerEntries {
				t.Fatalf("%s lost: answer out of bounds: %+v", name, answer)
			}
			first[answer.Entries[0].ID]++
		}
		for id, count := range first {
			if float64(count) > callers*(maxFirstShare+0.04) {
				t.Errorf("%s lost: entry %s is first for %d of %d callers", name, id, count, callers)
			}
		}
	}
}

// TestOverloadedEntriesAreLeftOut guards against answers with entries that are
// full or leaving, and against an empty answer when all entries are full.
func TestOverloadedEntriesAreLeftOut(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	entries := []EntryInfo{{ID: "full", Load: 1}, {ID: "free"}, {ID: "gone", Leaving: true}}
	if got := Discover(random, "", "", entries).Entries; len(got) != 1 || got[0].ID != "free" {
		t.Errorf("one entry with room: got %+v, want only that entry", got)
	}
	entries[1].Load = 2
	if got := Discover(random, "", "", entries).Entries; len(got) != 2 {
		t.Errorf("no entry with room: got %+v, want both overloaded entries", got)
	}
}

// TestAffinityIsStable guards against prefixes that move between members when
// another member joins or leaves, and against a hot prefix that overloads its
// member.
func TestAffinityIsStable(t *testing.T) {
	moved, kept := 0, 0
	all := backends(20)
	full, smaller := NewPool(DefaultConfig("priangan")), NewPool(DefaultConfig("priangan"))
	full.Update(start, all)
	smaller.Update(start, all[:19])
	for i := range 500 {
		r := Request{Version: "v1", Affinity: Affinity("w", fmt.Sprint(i), 64)}
		a, _ := full.Choose(start, r)
		b, _ := smaller.Choose(start, r)
		full.Done(start, a.Handle, Succeeded)
		smaller.Done(start, b.Handle, Succeeded)
		switch {
		case a.ID == b.ID:
			kept++
		case a.ID != "agent-19":
			moved++
		}
	}
	if moved > 0 || kept < 450 {
		t.Errorf("%d of 500 prefixes moved between remaining members, %d stayed; want 0 and at least 450", moved, kept)
	}
	counts := map[string]int{}
	for range 80 {
		choice, _ := full.Choose(start, Request{Version: "v1", Affinity: 7})
		counts[choice.ID]++
	}
	for id, n := range counts {
		if n > 6 {
			t.Errorf("hot prefix: %d of 80 requests at %s with limit 8, want at most 6", n, id)
		}
	}
}

// TestOtherRegionOnlyWhenFull guards against choosing a member in another region
// while the own region has room.
func TestOtherRegionOnlyWhenFull(t *testing.T) {
	list := backends(2)
	list[1].Region = "pantura"
	p := NewPool(DefaultConfig("priangan"))
	p.Update(start, list)
	for i := range 16 {
		choice, status := p.Choose(start, Request{Version: "v1", Affinity: uint64(i)})
		if want := list[i/8].ID; status != Found || choice.ID != want {
			t.Fatalf("request %d went to %q, want %s", i, choice.ID, want)
		}
	}
	if _, status := p.Choose(start, Request{Version: "v1"}); status != Full {
		t.Errorf("full pool: got status %v, want Full", status)
	}
	if _, status := p.Choose(start, Request{Version: "v2"}); status != NoMember {
		t.Errorf("version that no member serves: got status %v, want NoMember", status)
	}
}

// TestMaxUtilizationLeavesRoom guards against a burst that fills single members
// completely, so that only other members have headroom left.
func TestMaxUtilizationLeavesRoom(t *testing.T) {
	p := NewPool(DefaultConfig("priangan"))
	p.Update(start, backends(2))
	taken := 0
	for {
		if _, status := p.Choose(start, Request{Version: "v1", Affinity: 7, MaxUtilization: 0.75}); status != Found {
			break
		}
		taken++
	}
	if taken != 12 {
		t.Errorf("a burst got %d of 16 places, want 12", taken)
	}
	if _, status := p.Choose(start, Request{Version: "v1", Affinity: 7}); status != Found {
		t.Errorf("no room left for a request without MaxUtilization")
	}
}

// TestOtherVersionDuringRollout guards against refused requests, and against
// overloading the first member with the new version, while the other members
// still serve the old version.
func TestOtherVersionDuringRollout(t *testing.T) {
	list := backends(3)
	list[0].Version = "v2"
	p := NewPool(DefaultConfig("priangan"))
	p.Update(start, list)
	got := map[string]int{}
	for i := range 24 {
		choice, _ := p.Choose(start, Request{Version: "v2", OtherVersions: true, Affinity: uint64(i)})
		got[choice.Version]++
		if i < 8 && choice.Version != "v2" {
			t.Errorf("request %d got version %s while the new version has room", i, choice.Version)
		}
	}
	if got["v2"] != 8 || got["v1"] != 16 {
		t.Errorf("24 requests to 3 members by version: got %v, want 8 of v2 and 16 of v1", got)
	}
}

// TestPoolProperties runs random events and compares the pool's counts with a
// model. It guards against choices of the wrong version, lost counts, members
// beyond their limit and too many ejected members.
func TestPoolProperties(t *testing.T) {
	rapid.Check(t, checkPool)
}

func checkPool(t *rapid.T) {
	p := NewPool(DefaultConfig("priangan"))
	now := start
	all := backends(12)
	type open struct {
		handle Handle
		id     string
		run    int
	}
	var requests []open
	inFlight := map[string]int{}
	restarts := map[string]int{}
	current := map[string]int64{}
	t.Repeat(map[string]func(*rapid.T){
		"time": func(t *rapid.T) {
			now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
		},
		"members": func(t *rapid.T) {
			var set []Backend
			next := map[string]int64{}
			for i := range all {
				if rapid.IntRange(0, 9).Draw(t, "state") == 0 {
					all[i].Incarnation++
				}
				if rapid.IntRange(0, 9).Draw(t, "listed") > 0 {
					all[i].Sequence++
					all[i].Running = rapid.IntRange(0, 10).Draw(t, "running")
					set = append(set, all[i])
					next[all[i].ID] = all[i].Incarnation
				}
			}
			for id, run := range current {
				if next[id] != run {
					inFlight[id] = 0
					restarts[id]++
				}
			}
			current = next
			p.Update(now, set)
		},
		"choose": func(t *rapid.T) {
			version := rapid.SampledFrom([]string{"v1", "v1", "v1", "v2"}).Draw(t, "version")
			choice, status := p.Choose(now, Request{Version: version, Affinity: rapid.Uint64().Draw(t, "affinity")})
			if status != Found {
				return
			}
			if version != "v1" || current[choice.ID] == 0 {
				t.Fatalf("request of version %s went to %q", version, choice.ID)
			}
			inFlight[choice.ID]++
			if inFlight[choice.ID] > DefaultConfig("").DefaultLimit {
				t.Fatalf("%d requests in flight at %s, beyond its limit", inFlight[choice.ID], choice.ID)
			}
			requests = append(requests, open{choice.Handle, choice.ID, restarts[choice.ID]})
		},
		"done": func(t *rapid.T) {
			if len(requests) == 0 {
				return
			}
			i := rapid.IntRange(0, len(requests)-1).Draw(t, "request")
			s := requests[i]
			requests = append(requests[:i], requests[i+1:]...)
			if restarts[s.id] == s.run {
				inFlight[s.id]--
			}
			p.Done(now, s.handle, rapid.SampledFrom([]Result{Succeeded, Failed, Failed, Refused}).Draw(t, "result"))
		},
		"": func(t *rapid.T) {
			total := 0
			for _, n := range inFlight {
				total += n
			}
			if got := p.Summary(now); got.InFlight != total || got.Members != len(current) {
				t.Fatalf("pool summary is %+v, want %d requests in flight at %d members", got, total, len(current))
			}
		},
	})
}

// TestEjectionIsBounded guards against a pool that ejects most members because
// of failures with a common cause.
func TestEjectionIsBounded(t *testing.T) {
	p := NewPool(DefaultConfig("priangan"))
	p.Update(start, backends(9))
	for i := range 900 {
		if choice, status := p.Choose(start, Request{Version: "v1", Affinity: uint64(i)}); status == Found {
			p.Done(start, choice.Handle, Failed)
		}
	}
	if got := p.Summary(start).Ejected; got != 3 {
		t.Errorf("%d of 9 members are ejected, want 3", got)
	}
	if got := p.Summary(start.Add(time.Minute)).Ejected; got != 0 {
		t.Errorf("%d members are still ejected after a minute, want 0", got)
	}
}

// TestChooseAllocatesNothing guards against heap allocations in the hot path.
func TestChooseAllocatesNothing(t *testing.T) {
	p := NewPool(DefaultConfig("priangan"))
	p.Update(start, backends(100))
	allocs := testing.AllocsPerRun(100, func() {
		choice, _ := p.Choose(start, Request{Version: "v1", Affinity: 3})
		p.Done(start, choice.Handle, Succeeded)
	})
	if allocs != 0 {
		t.Errorf("%v allocations per decision, want 0", allocs)
	}
}
