package configsync

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/evacuation"
	"github.com/laburnumloft/laburnumloft/core/route"
	"github.com/laburnumloft/laburnumloft/node/decision"
	"github.com/laburnumloft/laburnumloft/node/gateway"
	"github.com/laburnumloft/laburnumloft/node/mesh"
)

// noCodec reads no headers.
type noCodec struct{}

func (noCodec) Call(http.Header) gateway.Call            { return gateway.Call{} }
func (noCodec) Prepare(http.Header, gateway.AttemptInfo) {}
func (noCodec) Answer(*http.Response) gateway.Answer     { return gateway.Answer{} }

// testEntry is an entry with a real mesh and a real server on loopback.
type testEntry struct {
	*Syncer
	gateway  *gateway.Gateway
	mesh     *mesh.Mesh
	member   mesh.Member
	cut      atomic.Bool
	hanging  atomic.Bool
	requests atomic.Int32
}

func newTestEntry(c *qt.C, id, region string) *testEntry {
	n := &testEntry{}
	log := decision.New(decision.Config{Output: io.Discard})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	n.member = mesh.Member{ID: id, Role: mesh.Entry, Address: listener.Addr().String(), Region: region}
	n.gateway = gateway.New(gateway.Config{ID: id, Codec: noCodec{}, Log: log, WeightsDeadline: 8 * time.Second})
	n.mesh, err = mesh.Open(mesh.Config{Self: n.member, Log: log, Status: func() mesh.Hello {
		h := mesh.Hello{StoreFailed: n.cut.Load(), WeightsSum: n.gateway.NewestWeightsSum()}
		if table := n.gateway.Table(); table != nil {
			h.ConfigurationVersion = table.Version()
		}
		return h
	}})
	c.Assert(err, qt.IsNil)
	n.Syncer = New(Config{
		Self: n.member, Mesh: n.mesh, Gateway: n.gateway, Client: http.DefaultClient, Log: log,
		StoreUnreachable: n.cut.Load, Seeds: func() []string { return nil }, Bootstrap: true,
	})
	handler := n.Handler()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.requests.Add(1)
		if n.hanging.Load() {
			<-r.Context().Done()
			return
		}
		handler.ServeHTTP(w, r)
	}))
	_ = server.Listener.Close()
	server.Listener = listener
	server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	go n.mesh.Run(ctx)
	go n.Run(ctx)
	c.Cleanup(func() { cancel(); server.Close() })
	return n
}

// connect adds all entries to each other's member lists.
func connect(nodes ...*testEntry) {
	for _, n := range nodes {
		for _, other := range nodes {
			n.mesh.Put(other.member)
		}
	}
	for _, n := range nodes {
		n.SetMembersKnown()
	}
}

// eventually waits up to 5 s until a condition holds, and fails with the message
// otherwise.
func eventually(c *qt.C, what string, holds func() bool) {
	deadline := time.After(5 * time.Second)
	for !holds() {
		select {
		case <-deadline:
			c.Fatal(what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// When a whole fleet starts and no heartbeat has arrived yet, only
// storeReadersPerRegion entries of a region may read the store. Otherwise each
// change of a large configuration crosses the region's link once per entry, and
// arrives too late.
func TestFewEntriesReadTheStore(t *testing.T) {
	c := qt.New(t)
	var nodes []*testEntry
	for i := range 5 {
		nodes = append(nodes, newTestEntry(c, fmt.Sprint("r-", i), "r"))
	}
	c.Assert(nodes[0].ReadsStore(), qt.IsFalse, qt.Commentf("an entry reads the store before the list of members is known"))
	connect(nodes...)
	countReaders := func() (n int) {
		for _, node := range nodes {
			if node.ReadsStore() {
				n++
			}
		}
		return n
	}
	c.Assert(countReaders(), qt.Equals, storeReadersPerRegion)
	// A reader that can't reach the store keeps trying, and another entry
	// reads in its place.
	nodes[0].cut.Store(true)
	nodes[0].mesh.SendHello()
	eventually(c, "no other entry replaced the failed store reader within 5 s", func() bool { return nodes[2].ReadsStore() })
	c.Assert(nodes[0].ReadsStore(), qt.IsTrue)
	c.Assert(nodes[3].ReadsStore(), qt.IsFalse)
}

// An entry that gets no heartbeats must not wait for other store readers for ever.
func TestIsolatedEntryReadsTheStore(t *testing.T) {
	c := qt.New(t)
	n := newTestEntry(c, "b", "r")
	n.mesh.Put(mesh.Member{ID: "a1", Role: mesh.Entry, Address: "127.0.0.1:1", Region: "r"})
	n.mesh.Put(mesh.Member{ID: "a2", Role: mesh.Entry, Address: "127.0.0.1:2", Region: "r"})
	n.SetMembersKnown()
	c.Assert(n.ReadsStore(), qt.IsFalse)
	eventually(c, "the entry did not read the store within 5 s", n.ReadsStore)
}

// A configuration that a store reader has read must reach the other entries within
// a second and from their own region, and published weights must keep their ages.
// An older configuration must not replace a newer one.
func TestUpdatesSpreadWithinTheRegion(t *testing.T) {
	c := qt.New(t)
	reader, remote, follower := newTestEntry(c, "a", "r"), newTestEntry(c, "0", "s"), newTestEntry(c, "b", "r")
	connect(reader, remote, follower)
	configure := func(n *testEntry, version int64) {
		n.gateway.Configure(route.Configuration{Access: route.AccessOpen, Version: version, Services: []route.Service{{Name: "llm"}}}, "test")
		n.mesh.SendHello()
	}
	configure(remote, 1)
	configure(reader, 1)
	for _, n := range []*testEntry{reader, remote, follower} {
		eventually(c, "an entry did not get the first configuration within 5 s", func() bool { return n.gateway.Table() != nil })
	}
	requests := remote.requests.Load()
	configure(reader, 2)
	configure(remote, 2)
	start := time.Now()
	eventually(c, "the follower did not get configuration 2 within 5 s", func() bool { return follower.gateway.Table().Version() == 2 })
	c.Assert(time.Since(start) < time.Second, qt.IsTrue)
	c.Assert(remote.requests.Load(), qt.Equals, requests)
	reader.gateway.RecordPublishedWeights("m", 2, 3*time.Second)
	reader.mesh.SendHello()
	eventually(c, "the follower did not get the weight version within 5 s", func() bool { return follower.gateway.HasPublishedWeights("m", 2) })
	published := follower.gateway.PublishedWeights()["m"][2]
	c.Assert(published.Exact, qt.IsTrue)
	c.Assert(published.AgeMS >= 3000 && published.AgeMS < 5000, qt.IsTrue, qt.Commentf("the follower has a version with an age of %d ms, want 3000 to 4999 ms", published.AgeMS))
	c.Assert(follower.gateway.Configure(route.Configuration{Access: route.AccessOpen, Version: 1}, "test"), qt.IsFalse)
	target, err := FetchTarget(t.Context(), http.DefaultClient, []string{follower.member.Address})
	c.Assert(err, qt.IsNil)
	c.Assert(target.Services[0].Name, qt.Equals, "llm")
	c.Assert(target.Weights["m"][2].Exact, qt.IsTrue)
	members, err := FetchMembers(t.Context(), http.DefaultClient, []string{follower.member.Address})
	c.Assert(err, qt.IsNil)
	c.Assert(members, qt.HasLen, 3)
}

// An entry that starts on a restored store must get the newer configuration of another
// one before it uses its copy.
func TestNewerConfigurationBeforeACopy(t *testing.T) {
	c := qt.New(t)
	other, starting := newTestEntry(c, "a", "r"), newTestEntry(c, "b", "s")
	starting.mesh.Put(other.member)
	other.gateway.Configure(route.Configuration{Access: route.AccessOpen, Version: 5, StoreEra: 1}, "test")
	starting.FetchNewer(4)
	c.Assert(starting.gateway.Table().Version(), qt.Equals, int64(5))
	c.Assert(starting.gateway.Table().Configuration().StoreEra, qt.Equals, int64(1))
	c.Assert(starting.gateway.Configure(route.Configuration{Access: route.AccessOpen, Version: 4}, "store"), qt.IsFalse)
}

// hang makes an entry accept requests and answer none, like one that is frozen. Its last
// hello stays.
func (n *testEntry) hang() { n.hanging.Store(true) }

// Readers of the own region that hang must not keep a configuration away that a live entry
// of another region has (review/4): both of them count as live for 2 s, and were asked in
// turn, for 0.7 s each.
func TestSilentReadersDoNotKeepAConfigurationAway(t *testing.T) {
	c := qt.New(t)
	first, second := newTestEntry(c, "a", "r"), newTestEntry(c, "b", "r")
	follower, remote := newTestEntry(c, "c", "r"), newTestEntry(c, "0", "s")
	connect(first, second, follower, remote)
	entries := []*testEntry{first, second, follower, remote}
	configure := func(version int64, on ...*testEntry) {
		for _, n := range on {
			n.gateway.Configure(route.Configuration{Access: route.AccessOpen, Version: version, Services: []route.Service{{Name: "llm"}}}, "test")
		}
		for _, n := range on {
			n.mesh.SendHello()
		}
	}
	configure(1, entries...)
	eventually(c, "the follower did not hear of all entries within 5 s", func() bool { return len(follower.mesh.LiveEntries()) == 3 })
	first.hang()
	second.hang()
	// The readers announce version 2 and hang before they pass it on.
	configure(2, first, second, remote)
	start := time.Now()
	eventually(c, "the follower did not get configuration 2 within 5 s", func() bool { return follower.gateway.Table().Version() == 2 })
	c.Check(time.Since(start) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("configuration 2 came after %v", time.Since(start)))
}

// If no entry answers for a configuration that others have announced, this entry must read
// the store, and until it has the configuration it must not say that a request is unknown.
func TestConfigurationThatNoEntryPassesOn(t *testing.T) {
	c := qt.New(t)
	first, second, follower := newTestEntry(c, "a", "r"), newTestEntry(c, "b", "r"), newTestEntry(c, "c", "r")
	connect(first, second, follower)
	for _, n := range []*testEntry{first, second, follower} {
		n.gateway.Configure(route.Configuration{Access: route.AccessOpen, Version: 1}, "test")
	}
	first.hang()
	second.hang()
	for _, n := range []*testEntry{first, second} {
		n.gateway.Configure(route.Configuration{Access: route.AccessOpen, Version: 2}, "test")
		n.mesh.SendHello()
	}
	start := time.Now()
	eventually(c, "the follower did not read the store within 5 s", follower.ReadsStore)
	c.Check(time.Since(start) < 1800*time.Millisecond, qt.IsTrue, qt.Commentf("the follower read the store after %v", time.Since(start)))
	response := httptest.NewRecorder()
	follower.gateway.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/new/", nil))
	c.Check(response.Code, qt.Equals, http.StatusServiceUnavailable)
	follower.gateway.Configure(route.Configuration{Access: route.AccessOpen, Version: 2}, "store")
	response = httptest.NewRecorder()
	follower.gateway.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/new/", nil))
	c.Check(response.Code, qt.Equals, http.StatusNotFound)
	eventually(c, "the follower went on reading the store for 5 s", func() bool { return !follower.unanswered.Load() })
}

// Entries that hand each other a configuration must keep what it says about keys, with and
// without workspaces. One of an earlier release says nothing: its answer must not be taken
// for open access, and the entry must read the store itself.
func TestAccessIsHandedOn(t *testing.T) {
	c := qt.New(t)
	for _, cfg := range []route.Configuration{
		{Version: 3, Access: route.AccessByKey, Workspaces: []route.Workspace{}},
		{Version: 3, Access: route.AccessOpen},
		{Version: 3, Workspaces: []route.Workspace{{Name: "w"}}},
	} {
		running, starting := newTestEntry(c, "a", "r"), newTestEntry(c, "b", "r")
		running.gateway.Configure(cfg, "test")
		starting.mesh.Put(running.member)
		starting.FetchNewer(0)
		c.Assert(starting.gateway.Table(), qt.IsNotNil)
		c.Check(starting.gateway.Table().Configuration().Access, qt.Equals, cfg.Access)
	}
	older, reader, starting := newTestEntry(c, "a", "r"), newTestEntry(c, "b", "r"), newTestEntry(c, "c", "r")
	older.gateway.Configure(route.Configuration{Version: 3}, "test")
	starting.mesh.Put(older.member)
	starting.mesh.Put(reader.member)
	starting.SetMembersKnown()
	c.Check(starting.ReadsStore(), qt.IsFalse)
	starting.FetchNewer(0)
	c.Check(starting.gateway.Table(), qt.IsNil)
	c.Check(starting.ReadsStore(), qt.IsTrue)
	starting.gateway.Configure(route.Configuration{Version: 3, Access: route.AccessByKey}, "store")
	eventually(c, "the entry went on reading the store for 5 s", func() bool { return !starting.ReadsStore() })
}

// The answer with a configuration must stay as it was for a deployment without
// evacuations, and carry them for an entry that starts inside one.
func TestConfigurationCarriesEvacuations(t *testing.T) {
	c := qt.New(t)
	cfg := route.Configuration{Access: route.AccessOpen, Version: 3, Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/a/"}}, Services: []route.Service{{Name: "s", Engine: &route.Engine{Slots: 4}}}}
	plain, err := json.Marshal(configurationAnswer{Configuration: cfg})
	c.Assert(err, qt.IsNil)
	want, err := json.Marshal(cfg)
	c.Assert(err, qt.IsNil)
	c.Assert(string(plain), qt.Equals, string(want))
	for _, name := range []string{"Homes", "Cold", "MemoryTokens", "UsualAnswer", "Evacuations"} {
		c.Check(string(plain), qt.Not(qt.Contains), name)
	}
	running, starting := newTestEntry(c, "a", "r"), newTestEntry(c, "b", "r")
	running.gateway.Configure(cfg, "test")
	running.gateway.AdoptEvacuations([]evacuation.Notice{{Zone: "z", Evacuated: true, Offset: 7}}, "store")
	starting.mesh.Put(running.member)
	starting.FetchNewer(0)
	c.Assert(starting.gateway.Table().Version(), qt.Equals, int64(3))
	c.Assert(starting.gateway.Evacuations(), qt.DeepEquals, []evacuation.Notice{{Zone: "z", Evacuated: true, Offset: 7}})
}
