package evacuation

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	core "github.com/laburnumloft/laburnumloft/core/evacuation"
	"github.com/laburnumloft/laburnumloft/node/decision"
	"github.com/laburnumloft/laburnumloft/node/gateway"
	"github.com/laburnumloft/laburnumloft/node/gossip"
	"github.com/laburnumloft/laburnumloft/node/mesh"
)

// noCodec reads no headers.
type noCodec struct{}

func (noCodec) Call(http.Header) gateway.Call            { return gateway.Call{} }
func (noCodec) Prepare(http.Header, gateway.AttemptInfo) {}
func (noCodec) Answer(*http.Response) gateway.Answer     { return gateway.Answer{} }

// testEntry is an entry with a real mesh on loopback.
type testEntry struct {
	gateway *gateway.Gateway
	mesh    *mesh.Mesh
	member  mesh.Member
	// notices counts the datagrams on zones that arrived.
	notices atomic.Int32
}

func newTestEntry(c *qt.C, id string) *testEntry {
	log := decision.New(decision.Config{Output: io.Discard})
	free, err := net.ListenPacket("udp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	e := &testEntry{member: mesh.Member{ID: id, Role: mesh.Entry, Address: free.LocalAddr().String(), Region: "r"}}
	c.Assert(free.Close(), qt.IsNil)
	var sharer *Sharer
	e.gateway = gateway.New(gateway.Config{ID: id, Codec: noCodec{}, Log: log, OnEvacuations: func(n []core.Notice) { sharer.Announce(n) }})
	e.mesh, err = mesh.Open(mesh.Config{
		Self: e.member, Log: log, Status: func() mesh.Hello { return mesh.Hello{} },
		OnEvacuations: func(n []core.Notice) {
			e.notices.Add(1)
			sharer.HandleNotices(n)
		},
	})
	c.Assert(err, qt.IsNil)
	sharer = New(Config{Mesh: e.mesh, Gateway: e.gateway, Log: log})
	ctx, cancel := context.WithCancel(context.Background())
	go e.mesh.Run(ctx)
	go sharer.Run(ctx)
	c.Cleanup(cancel)
	return e
}

// A deployment without evacuations must send nothing for them. A change must reach the
// other entries at once, and one that missed it by the rounds.
func TestNoticesAreSentOnlyForEvacuations(t *testing.T) {
	c := qt.New(t)
	reader, other := newTestEntry(c, "a"), newTestEntry(c, "b")
	reader.mesh.Put(other.member)
	other.mesh.Put(reader.member)
	<-time.After(2 * gossip.Interval)
	c.Assert(reader.notices.Load()+other.notices.Load(), qt.Equals, int32(0))
	reader.gateway.AdoptEvacuations([]core.Notice{{Zone: "z", Evacuated: true, Offset: 3}}, "store")
	eventually := func(what string, done func() bool) {
		for deadline := time.Now().Add(5 * time.Second); !done(); {
			c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf(what))
			<-time.After(10 * time.Millisecond)
		}
	}
	eventually("the other entry knows", func() bool { return len(other.gateway.Evacuations()) == 1 })
	late := newTestEntry(c, "c")
	other.mesh.Put(late.member)
	eventually("the entry that missed it knows", func() bool { return len(late.gateway.Evacuations()) == 1 })
}
