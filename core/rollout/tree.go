package rollout

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
)

// Fanout is the number of children of a node in the tree of one chunk.
const Fanout = 2

// orderPairs is the number of pairs of tree orders that the chunks share. An
// agent has at most twice as many parents, which bounds its connections. If each
// chunk had its own order, an agent would connect to every agent of its region.
const orderPairs = 8

// ManifestIndex is the chunk index that stands for the manifest in the tree.
const ManifestIndex = -2

// maxMiddleRankRegion is the size of a region up to which the next region
// fetches from the middle rank, which has the fewest children in both directions
// of an order. In larger regions the root and its children upload in turn,
// because the depth of the middle rank costs more time than the uneven load.
const maxMiddleRankRegion = 32

// crossRegionRanks is the number of ranks, from the root on, that upload to the
// next region in turn if their region is large.
const crossRegionRanks = Fanout + 1

// extraPeerSources is the number of peers of the region, in tree order, that
// follow the ancestors in the source order.
const extraPeerSources = 3

// Peer is an agent that shares chunks.
type Peer struct {
	ID, Address, Region string
}

// Strategy selects the sources of chunks. All strategies but StrategyTree are
// baselines for measurements.
type Strategy int

// Distribution strategies.
const (
	StrategyTree Strategy = iota
	StrategyOriginOnly
	StrategyRandomPeers
	// StrategyDirectRoots makes the root of every region fetch from the origin
	// first.
	StrategyDirectRoots
)

// TreeConfig describes the agents of one deployment from the view of one agent.
type TreeConfig struct {
	// Self is the agent whose sources are computed.
	Self Peer
	// Peers are the other live agents; Self may be among them.
	Peers []Peer
	// OriginRegion is the region at which region chains start.
	OriginRegion string
	// HedgeRoots makes the root of a region fetch from the origin as soon as the
	// previous region is late by one deadline.
	HedgeRoots bool
	Strategy   Strategy
}

// Source is an agent, or the origin, from which a chunk can be fetched.
type Source struct {
	// Peer is empty for the origin.
	Peer Peer
	// Origin is true if the source is the weight store.
	Origin bool
}

// key identifies the source in the planner's table of sources.
func (s Source) key() string {
	if s.Origin {
		return ""
	}
	return s.Peer.ID
}

// node is a peer with the hash of its id.
type node struct {
	peer Peer
	hash uint64
}

// Tree arranges the agents of all regions in a tree for each chunk. Agents are
// ordered by rendezvous hash. A parent always precedes its children in an order
// that depends only on the ids, so agents with different peer lists never wait
// for each other in a cycle.
//
// Chunks 2j and 2j+1 use the same order in opposite directions: an agent that
// is a leaf for one of them has children for the other. Over all chunks, each
// agent therefore uploads one copy; with independent orders the load of 100
// chunks would have a standard deviation of 10%.
type Tree struct {
	cfg     TreeConfig
	self    node
	regions []string
	nodes   map[string][]node
	ids     map[string]bool
}

// NewTree returns the tree of the agents in cfg.
func NewTree(cfg TreeConfig) *Tree {
	t := &Tree{cfg: cfg, self: newNode(cfg.Self), nodes: map[string][]node{}}
	t.ids = map[string]bool{cfg.Self.ID: true}
	t.nodes[cfg.Self.Region] = []node{t.self}
	for _, p := range cfg.Peers {
		if t.ids[p.ID] {
			continue
		}
		t.ids[p.ID] = true
		t.nodes[p.Region] = append(t.nodes[p.Region], newNode(p))
	}
	for region := range t.nodes {
		t.regions = append(t.regions, region)
	}
	slices.SortFunc(t.regions, func(a, b string) int {
		if (a == cfg.OriginRegion) != (b == cfg.OriginRegion) {
			if a == cfg.OriginRegion {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	return t
}

func newNode(p Peer) node {
	h := fnv.New64a()
	// Write on a hash never returns an error.
	_, _ = h.Write([]byte(p.ID))
	return node{peer: p, hash: h.Sum64()}
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// contains reports whether the tree contains the agent with the id.
func (t *Tree) contains(id string) bool {
	return t.ids[id]
}

// order returns the nodes of a region in the tree order of a chunk. The node
// at rank r has its children at ranks 2r+1 and 2r+2.
func (t *Tree) order(region string, chunk int) []node {
	pair, reversed := (chunk>>1)&(orderPairs-1), chunk&1 == 1
	salt := mix(uint64(pair))
	ordered := slices.Clone(t.nodes[region])
	slices.SortFunc(ordered, func(a, b node) int {
		if c := cmp.Compare(mix(a.hash^salt), mix(b.hash^salt)); c != 0 {
			return c
		}
		return strings.Compare(a.peer.ID, b.peer.ID)
	})
	if reversed {
		slices.Reverse(ordered)
	}
	return ordered
}

// chain returns the regions in the order in which a chunk passes through them.
func (t *Tree) chain(chunk int) []string {
	first := 0
	if t.regions[0] == t.cfg.OriginRegion {
		first = 1
	}
	rest := t.regions[first:]
	chain := slices.Clone(t.regions[:first])
	for i := range rest {
		chain = append(chain, rest[(i+(chunk>>1)%max(len(rest), 1)+len(rest))%len(rest)])
	}
	return chain
}

// Placement is the position of this agent in the tree of one chunk.
type Placement struct {
	// Rank is the position in the region's order; 0 is the root.
	Rank int
	// Hop is the position of the region in the chain.
	Hop int
	// Sources are in the order in which they are tried. The first Upstream
	// sources get the chunk before this agent.
	Sources  []Source
	Upstream int
	// OriginRank is 0 for the agent that fetches from the origin first. An
	// agent with a higher rank waits longer.
	OriginRank int
	// Hedge is true if the agent fetches from the origin after one deadline even
	// if upstream agents are usable.
	Hedge bool
}

// Place returns this agent's placement for a chunk.
func (t *Tree) Place(chunk int) Placement {
	chain := t.chain(chunk)
	hop := slices.Index(chain, t.cfg.Self.Region)
	ordered := t.order(t.cfg.Self.Region, chunk)
	rank := slices.IndexFunc(ordered, func(n node) bool { return n.peer.ID == t.cfg.Self.ID })
	p := Placement{Rank: rank, Hop: hop, OriginRank: t.originRank(rank, hop, len(chain)), Hedge: rank == 0 && hop > 0 && t.cfg.HedgeRoots}
	switch t.cfg.Strategy {
	case StrategyOriginOnly:
		p.OriginRank = 0
		p.Sources = []Source{{Origin: true}}
		return p
	case StrategyRandomPeers:
		p.Sources = t.randomSources(chunk)
		return p
	}
	list := sourceList{self: t.cfg.Self.ID}
	if p.OriginRank == 0 {
		list.add(Source{Origin: true})
	}
	if rank == 0 && hop > 0 {
		previous := t.order(chain[hop-1], chunk)
		list.add(Source{Peer: previous[crossRegionRank(chunk, len(previous))].peer})
		list.addRegion(previous, Fanout)
	}
	for r := rank; r > 0; {
		r = (r - 1) / Fanout
		list.add(Source{Peer: ordered[r].peer})
	}
	p.Upstream = len(list.sources)
	list.addRegion(ordered, extraPeerSources)
	// One more peer, different for each agent, spreads the load if all of the
	// first ranks are down.
	list.add(Source{Peer: ordered[mix(t.self.hash^uint64(chunk))%uint64(len(ordered))].peer})
	if hop > 0 {
		list.addRegion(t.order(chain[hop-1], chunk), 1)
	}
	list.add(Source{Origin: true})
	p.Sources = list.sources
	return p
}

// crossRegionRank returns the rank of the agent that uploads the chunk to the
// next region, in a region of n agents.
func crossRegionRank(chunk, n int) int {
	if n <= maxMiddleRankRegion {
		return (n - 1) / Fanout
	}
	return (max(chunk, 0) / (2 * orderPairs)) % crossRegionRanks
}

// originRank returns the agent's rank in the order in which agents may fetch a
// chunk from the origin.
func (t *Tree) originRank(rank, hop, regions int) int {
	if rank == 0 && t.cfg.Strategy == StrategyDirectRoots {
		return 0
	}
	return rank*regions + hop
}

// randomSources returns extraPeerSources random peers of all regions, followed
// by the origin.
func (t *Tree) randomSources(chunk int) []Source {
	var all []node
	for _, region := range t.regions {
		all = append(all, t.nodes[region]...)
	}
	list := sourceList{self: t.cfg.Self.ID}
	for i := range extraPeerSources {
		random := mix(t.self.hash ^ mix(uint64(chunk*extraPeerSources+i)))
		list.add(Source{Peer: all[random%uint64(len(all))].peer})
	}
	list.add(Source{Origin: true})
	return list.sources
}

// sourceList collects sources without duplicates.
type sourceList struct {
	self    string
	sources []Source
}

func (l *sourceList) add(s Source) {
	if !s.Origin && s.Peer.ID == l.self || slices.Contains(l.sources, s) {
		return
	}
	l.sources = append(l.sources, s)
}

func (l *sourceList) addRegion(ordered []node, count int) {
	for _, n := range ordered[:min(count, len(ordered))] {
		l.add(Source{Peer: n.peer})
	}
}
