package share

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/route"
	"github.com/laburnumloft/laburnumloft/node/decision"
	"github.com/laburnumloft/laburnumloft/node/gateway"
	"github.com/laburnumloft/laburnumloft/node/mesh"
)

// node is an entry with a real mesh and server on loopback.
type node struct {
	*Sharer
	gateway *gateway.Gateway
	mesh    *mesh.Mesh
	member  mesh.Member
	cut     atomic.Bool
	asked   atomic.Int32
}

func newNode(c *qt.C, id, region string) *node {
	n := &node{}
	log := decision.New(decision.Config{Output: io.Discard})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	n.member = mesh.Member{ID: id, Role: mesh.Entry, Address: listener.Addr().String(), Region: region}
	n.gateway = gateway.New(gateway.Config{ID: id, Log: log, WeightsDeadline: 8 * time.Second})
	n.mesh, err = mesh.Open(mesh.Config{Self: n.member, Log: log, Status: func() mesh.Hello {
		h := mesh.Hello{StoreFailed: n.cut.Load(), WeightsSum: n.gateway.NewestWeightsSum()}
		if table := n.gateway.Table(); table != nil {
			h.ConfigurationVersion = table.Version()
		}
		return h
	}})
	c.Assert(err, qt.IsNil)
	n.Sharer = New(Config{
		Self: n.member, Mesh: n.mesh, Gateway: n.gateway, Client: http.DefaultClient, Log: log,
		Cut: n.cut.Load, Seeds: func() []string { return nil }, Bootstrap: true,
	})
	handler := n.Handler()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.asked.Add(1)
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

// meet makes all nodes known to each other.
func meet(nodes ...*node) {
	for _, n := range nodes {
		for _, other := range nodes {
			n.mesh.Put(other.member)
		}
	}
	for _, n := range nodes {
		n.MembersKnown()
	}
}

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

// At the start of a whole fleet nobody has been heard yet: only the first
// entries of a region may read the store, or each change crosses the region's
// link once for every entry (CONFIG broken on grown days with large
// configurations).
func TestFewEntriesReadTheStore(t *testing.T) {
	c := qt.New(t)
	var nodes []*node
	for i := range 5 {
		nodes = append(nodes, newNode(c, fmt.Sprint("r-", i), "r"))
	}
	c.Assert(nodes[0].ReadsStore(), qt.IsFalse, qt.Commentf("the members are not known yet"))
	meet(nodes...)
	reading := func() (n int) {
		for _, node := range nodes {
			if node.ReadsStore() {
				n++
			}
		}
		return n
	}
	c.Assert(reading(), qt.Equals, readersPerRegion)
	// A reader that can't reach the store goes on trying, and another one
	// takes its place.
	nodes[0].cut.Store(true)
	nodes[0].mesh.SendHello()
	eventually(c, "another reader", func() bool { return nodes[2].ReadsStore() })
	c.Assert(nodes[0].ReadsStore(), qt.IsTrue)
	c.Assert(nodes[3].ReadsStore(), qt.IsFalse)
}

// An entry that hears nobody must not wait for others for ever.
func TestLonelyEntryReadsTheStore(t *testing.T) {
	c := qt.New(t)
	n := newNode(c, "b", "r")
	n.mesh.Put(mesh.Member{ID: "a1", Role: mesh.Entry, Address: "127.0.0.1:1", Region: "r"})
	n.mesh.Put(mesh.Member{ID: "a2", Role: mesh.Entry, Address: "127.0.0.1:2", Region: "r"})
	n.MembersKnown()
	c.Assert(n.ReadsStore(), qt.IsFalse)
	eventually(c, "the entry reads the store", n.ReadsStore)
}

// What a reader learns reaches the others within their bound, from the own
// region, with the ages of named weights; an older configuration never comes
// back.
func TestNewsSpreadsWithinTheRegion(t *testing.T) {
	c := qt.New(t)
	reader, far, follower := newNode(c, "a", "r"), newNode(c, "0", "s"), newNode(c, "b", "r")
	meet(reader, far, follower)
	take := func(n *node, version int64) {
		n.gateway.Configure(route.Configuration{Version: version, Services: []route.Service{{Name: "llm"}}}, "test")
		n.mesh.SendHello()
	}
	take(far, 1)
	take(reader, 1)
	for _, n := range []*node{reader, far, follower} {
		eventually(c, "the first configuration", func() bool { return n.gateway.Table() != nil })
	}
	asked := far.asked.Load()
	take(reader, 2)
	take(far, 2)
	begun := time.Now()
	eventually(c, "version 2", func() bool { return follower.gateway.Table().Version() == 2 })
	c.Assert(time.Since(begun) < time.Second, qt.IsTrue)
	c.Assert(far.asked.Load(), qt.Equals, asked)
	reader.gateway.RecordPublishedWeights("m", 2, 3*time.Second)
	reader.mesh.SendHello()
	eventually(c, "the weights", func() bool { return follower.gateway.HasPublishedWeights("m", 2) })
	named := follower.gateway.PublishedWeights()["m"][2]
	c.Assert(named.Exact, qt.IsTrue)
	c.Assert(named.AgeMS >= 3000 && named.AgeMS < 5000, qt.IsTrue, qt.Commentf("%d ms", named.AgeMS))
	c.Assert(follower.gateway.Configure(route.Configuration{Version: 1}, "test"), qt.IsFalse)
	target, err := AskTarget(t.Context(), http.DefaultClient, follower.member.Address)
	c.Assert(err, qt.IsNil)
	c.Assert(target.Services[0].Name, qt.Equals, "llm")
	c.Assert(target.Weights["m"][2].Exact, qt.IsTrue)
	members, err := AskMembers(t.Context(), http.DefaultClient, follower.member.Address)
	c.Assert(err, qt.IsNil)
	c.Assert(members, qt.HasLen, 3)
}
