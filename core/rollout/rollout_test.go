package rollout_test

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/laburnumloft/laburnumloft/core/rollout"
)

// TestMain sets a fixed seed and length for randomised tests unless the command
// line sets them.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "2000"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// TestManifestRefusals guards against accepting a manifest that would make an
// agent hold a partial or mixed version, or too many bytes.
func TestManifestRefusals(t *testing.T) {
	cases := map[rollout.Refusal]func(m *rollout.Manifest){
		rollout.RefusedMissing:    func(m *rollout.Manifest) { m.Chunks[2].Index = 9 },
		rollout.RefusedDuplicate:  func(m *rollout.Manifest) { m.Chunks[2].Index = 1 },
		rollout.RefusedOrder:      func(m *rollout.Manifest) { m.Chunks[0], m.Chunks[1] = m.Chunks[1], m.Chunks[0] },
		rollout.RefusedOversized:  func(m *rollout.Manifest) { m.Chunks[3].Size = rollout.MaxChunkSize + 1 },
		rollout.RefusedEmptyChunk: func(m *rollout.Manifest) { m.Chunks[1].Size = 0 },
		rollout.RefusedOverlap:    func(m *rollout.Manifest) { m.Chunks[1].Offset-- },
		rollout.RefusedGap:        func(m *rollout.Manifest) { m.Chunks[1].Offset++ },
		rollout.RefusedSize:       func(m *rollout.Manifest) { m.Size++ },
		rollout.RefusedEmpty:      func(m *rollout.Manifest) { m.Size, m.Chunks = 0, nil },
		rollout.RefusedCeiling:    func(m *rollout.Manifest) { m.Size = 1 << 40 },
		rollout.RefusedHash:       func(m *rollout.Manifest) { m.Chunks[0].SHA256 = "ab" },
		rollout.RefusedName:       func(m *rollout.Manifest) { m.Version = "v2" },
	}
	for reason, corrupt := range cases {
		m, want := sampleManifest(t)
		corrupt(m)
		var encoded []byte
		encoded, want.Digest = m.Encode()
		_, err := rollout.ParseManifest(encoded, want)
		var refused *rollout.ManifestError
		if !errors.As(err, &refused) || refused.Reason != reason {
			t.Errorf("manifest with fault %q: got error %v", reason, err)
		}
	}
	m, want := sampleManifest(t)
	encoded, digest := m.Encode()
	want.Digest = digest[1:] + "0"
	if _, err := rollout.ParseManifest(encoded, want); err == nil {
		t.Error("a manifest with a wrong digest was accepted")
	}
}

func sampleManifest(t *testing.T) (*rollout.Manifest, rollout.ManifestRequirements) {
	encoded, digest := rollout.BuildManifest("m", "v1", make([]byte, 1000), 256)
	want := rollout.ManifestRequirements{Model: "m", Version: "v1", Digest: digest, Ceiling: 1 << 30}
	m, err := rollout.ParseManifest(encoded, want)
	if err != nil {
		t.Fatal(err)
	}
	return m, want
}

func testAgents(n int) []rollout.Peer {
	regions := []string{"norte", "centro", "sul"}
	peers := make([]rollout.Peer, n)
	for i := range peers {
		peers[i] = rollout.Peer{ID: fmt.Sprintf("agent-%d", i), Region: regions[i%len(regions)]}
	}
	return peers
}

func newTestTree(self rollout.Peer, peers []rollout.Peer) *rollout.Tree {
	return rollout.NewTree(rollout.TreeConfig{Self: self, Peers: peers, OriginRegion: "norte"})
}

// TestTreeBalance guards against an agent that uploads much more than one copy,
// against fetching a chunk from the origin twice, and against sending it out of
// a region twice.
func TestTreeBalance(t *testing.T) {
	const chunks = 256
	for _, n := range []int{20, 40, 100, 340} {
		peers := testAgents(n)
		uploads := map[string]int{}
		originFetches := 0
		crossings := map[string]int{}
		for _, self := range peers {
			tree := newTestTree(self, peers)
			for c := range chunks {
				source := tree.Place(c).Sources[0]
				if source.Origin {
					originFetches++
					continue
				}
				uploads[source.Peer.ID]++
				if source.Peer.Region != self.Region {
					crossings[source.Peer.Region]++
				}
			}
		}
		if originFetches != chunks {
			t.Errorf("n=%d: %d fetches from the origin for %d chunks", n, originFetches, chunks)
		}
		for region, count := range crossings {
			if count > chunks {
				t.Errorf("n=%d: %d chunks, of %d in the version, are sent out of region %s", n, count, chunks, region)
			}
		}
		for id, count := range uploads {
			if count > chunks*11/10 {
				t.Errorf("n=%d: %s uploads %d chunks, of %d in the version", n, id, count, chunks)
			}
		}
	}
}

// TestTreeHasNoCycles guards against agents that wait for each other in a cycle
// because their peer lists differ.
func TestTreeHasNoCycles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := testAgents(rapid.IntRange(2, 16).Draw(t, "agents"))
		chunk := rapid.IntRange(0, 50).Draw(t, "chunk")
		parents := map[string]string{}
		for i, self := range peers {
			var known []rollout.Peer
			for _, p := range peers {
				if rapid.IntRange(0, 3).Draw(t, fmt.Sprintf("agent %d knows %s", i, p.ID)) > 0 {
					known = append(known, p)
				}
			}
			if first := newTestTree(self, known).Place(chunk).Sources[0]; !first.Origin {
				parents[self.ID] = first.Peer.ID
			}
		}
		for start := range parents {
			steps := 0
			for at := start; parents[at] != ""; at = parents[at] {
				if steps++; steps > len(peers) {
					t.Fatalf("%s is part of or waits for a cycle of parents", start)
				}
			}
		}
	})
}

// TestPlannerReachesTheOrigin guards against a chunk that is never fetched because
// all peers fail, and against all agents fetching it from the origin at once.
func TestPlannerReachesTheOrigin(t *testing.T) {
	peers := testAgents(30)
	now := time.Unix(0, 0)
	originFetches := map[time.Duration]int{}
	for _, self := range peers {
		p := rollout.NewPlanner(rollout.PlannerConfig{Deadline: time.Second, FaultBackoff: time.Second, MaxFaultBackoff: time.Second}, newTestTree(self, peers))
		at, reachedOrigin := now, false
		for range 1000 {
			next := p.Next(7, at)
			if !next.Ask {
				at = next.Until
				continue
			}
			if next.Source.Origin {
				originFetches[at.Sub(now).Truncate(time.Second)]++
				reachedOrigin = true
				break
			}
			p.RecordResult(7, next.Source, rollout.Refused, 0, at)
		}
		if !reachedOrigin {
			t.Errorf("%s never fetches from the origin", self.ID)
		}
	}
	for at, count := range originFetches {
		if count > 3 {
			t.Errorf("%d agents fetch from the origin at %s", count, at)
		}
	}
}

// TestPlannerBacksOff guards against retrying a source that sent corrupt data
// too early, and against never retrying it.
func TestPlannerBacksOff(t *testing.T) {
	peers := testAgents(30)
	p := rollout.NewPlanner(rollout.PlannerConfig{Deadline: time.Second, FaultBackoff: 4 * time.Second, MaxFaultBackoff: 8 * time.Second}, newTestTree(peers[0], peers))
	chunk := 0
	for p.Place(chunk).Rank < 3 {
		chunk++
	}
	now := time.Unix(0, 0)
	bad := p.Next(chunk, now).Source
	p.RecordResult(chunk, bad, rollout.Corrupt, 0, now)
	again := false
	for i := range 100 {
		now = now.Add(100 * time.Millisecond)
		next := p.Next(chunk, now)
		if next.Ask && next.Source == bad {
			if i < 39 {
				t.Fatalf("corrupt source is tried again after %d steps of 100 ms", i)
			}
			again = true
		}
		if next.Ask {
			p.RecordResult(chunk, next.Source, rollout.NotYet, 0, now)
		}
	}
	if !again {
		t.Error("corrupt source is never tried again")
	}
}

// TestNextStart guards against a rollout that starts an hour early or late,
// twice or never because clocks change.
func TestNextStart(t *testing.T) {
	cases := []struct{ name, at, zone, since, want string }{
		{"winter", "18:00", "Europe/Lisbon", "2026-01-10T12:00:00Z", "2026-01-10T18:00:00Z"},
		{"summer", "18:00", "Europe/Lisbon", "2026-07-10T12:00:00Z", "2026-07-10T17:00:00Z"},
		{"next day", "18:00", "Europe/Lisbon", "2026-01-10T18:00:01Z", "2026-01-11T18:00:00Z"},
		{"exactly now", "18:00", "Europe/Lisbon", "2026-01-10T18:00:00Z", "2026-01-10T18:00:00Z"},
		{"skipped time starts at the clock change", "01:30", "Europe/Lisbon", "2026-03-29T00:00:00Z", "2026-03-29T01:00:00Z"},
		{"repeated time starts at its first occurrence", "01:30", "Europe/Lisbon", "2026-10-25T00:00:00Z", "2026-10-25T00:30:00Z"},
		{"between the repeats waits a day", "01:30", "Europe/Lisbon", "2026-10-25T00:45:00Z", "2026-10-26T01:30:00Z"},
		{"day of the clock change", "18:00", "Europe/Lisbon", "2026-10-25T12:00:00Z", "2026-10-25T18:00:00Z"},
		{"zone without clock changes", "18:00", "Asia/Jakarta", "2026-03-29T00:00:00Z", "2026-03-29T11:00:00Z"},
		{"local day differs from UTC", "05:00", "Asia/Jakarta", "2026-03-29T20:00:00Z", "2026-03-29T22:00:00Z"},
	}
	for _, c := range cases {
		since, _ := time.Parse(time.RFC3339, c.since)
		got, err := rollout.NextStart(c.at, c.zone, since)
		if err != nil || got.UTC().Format(time.RFC3339) != c.want {
			t.Errorf("%s: got %v, %v, want %s", c.name, got.UTC(), err, c.want)
		}
	}
	for _, bad := range [][2]string{{"25:00", "Asia/Jakarta"}, {"18:00", "Mars/Base"}, {"18:00", ""}} {
		if _, err := rollout.NextStart(bad[0], bad[1], time.Unix(0, 0)); err == nil {
			t.Errorf("invalid start %v was accepted", bad)
		}
	}
}

// TestHedgedRootsDrawLate guards against HedgeRoots delaying the first fetch from
// the origin or making all regions fetch at once.
func TestHedgedRootsDrawLate(t *testing.T) {
	peers := testAgents(30)
	now := time.Unix(0, 0)
	originFetches := 0
	for _, self := range peers {
		tree := rollout.NewTree(rollout.TreeConfig{Self: self, Peers: peers, OriginRegion: "norte", HedgeRoots: true})
		p := rollout.NewPlanner(rollout.PlannerConfig{Deadline: time.Second, FaultBackoff: time.Minute, MaxFaultBackoff: time.Minute}, tree)
		if next := p.Next(7, now); next.Ask && next.Source.Origin {
			originFetches++
		}
		place := tree.Place(7)
		if place.Rank != 0 || place.Hop == 0 {
			continue
		}
		for range place.Sources[:place.Upstream] {
			p.RecordResult(7, p.Next(7, now).Source, rollout.Refused, 0, now)
			now = now.Add(time.Second / 4)
		}
		if late := now.Add(2 * time.Second); !asksOrigin(p, late) {
			t.Errorf("root %s does not fetch from the origin although the previous region fails", self.ID)
		}
		now = time.Unix(0, 0)
	}
	if originFetches != 1 {
		t.Errorf("%d agents fetch from the origin at the start, want 1", originFetches)
	}
}

// asksOrigin refuses the next attempts until the planner selects the origin. It
// reports whether that happens within 20 steps.
func asksOrigin(p *rollout.Planner, now time.Time) bool {
	for range 20 {
		next := p.Next(7, now)
		if next.Ask && next.Source.Origin {
			return true
		}
		if next.Ask {
			p.RecordResult(7, next.Source, rollout.Refused, 0, now)
		}
		now = now.Add(100 * time.Millisecond)
	}
	return false
}
