package membership_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/laburnumloft/laburnumloft/bench/harness"
	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/agent"
	"github.com/laburnumloft/laburnumloft/node/entry"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
	"github.com/laburnumloft/laburnumloft/standin/logservice"
	"github.com/laburnumloft/laburnumloft/standin/memberlist"
)

// fleet is entries and agents in this process, joined by loopback sockets
// whose bytes are counted at the side that dials. The list and the log are
// in this process too; their bytes are counted apart.
type fleet struct {
	testing.TB
	list, log *httptest.Server
	members   *memberlist.List
	entries   []*node
	agents    []*node
	done      sync.WaitGroup
	// cut separates region-0 from the others while it is set.
	cut atomic.Bool
}

// node is one entry or agent of a fleet.
type node struct {
	member wire.Member
	stop   context.CancelFunc
	ended  chan struct{}
	// sent and received are the bytes of the calls that the node made.
	sent, received atomic.Int64
}

// Shape of a fleet: the target has 410 entries to 600 agents in 3 regions with
// 10 availability zones.
const (
	entryShare = 410.0 / 1010
	fleetZones = 10
)

func newFleet(tb testing.TB, members int) *fleet {
	entries := max(2, int(float64(members)*entryShare+0.5))
	return newFleetOf(tb, entries, members-entries)
}

func newFleetOf(tb testing.TB, entries, agents int) *fleet {
	f := &fleet{TB: tb, members: memberlist.New()}
	f.list = httptest.NewServer(f.members.Handler())
	f.log = httptest.NewServer(logservice.New(logservice.Control{}).Handler())
	for i := range entries + agents {
		n := f.place(i, i < entries)
		f.members.Put(n.member)
	}
	for _, n := range append(append([]*node{}, f.entries...), f.agents...) {
		f.start(n)
	}
	tb.Cleanup(f.close)
	return f
}

func (f *fleet) place(i int, isEntry bool) *node {
	address := freeAddress(f)
	zone := i % fleetZones
	n := &node{member: wire.Member{
		ID: fmt.Sprintf("agent-%03d", i), Role: wire.RoleAgent, Address: address, Service: serviceName,
		Region: fmt.Sprintf("region-%d", zone%3), Zone: fmt.Sprintf("zone-%d", zone), State: wire.MemberLive,
	}}
	if !isEntry {
		f.agents = append(f.agents, n)
		return n
	}
	n.member.ID, n.member.Role, n.member.Service = fmt.Sprintf("entry-%03d", i), wire.RoleEntry, ""
	n.member.PeerAddress = freeAddress(f)
	f.entries = append(f.entries, n)
	return n
}

func freeAddress(tb testing.TB) string {
	address, err := harness.FreeAddress()
	qt.Assert(tb, err, qt.IsNil)
	return address
}

// start runs a node until its stop is called.
func (f *fleet) start(n *node) {
	ctx, cancel := context.WithCancel(context.Background())
	// The node ends at once, without a drain: it dies.
	force, cancelForce := context.WithCancel(context.Background())
	n.ended = make(chan struct{})
	n.stop = func() { cancelForce(); cancel(); <-n.ended }
	logger := hclog.NewNullLogger()
	m := n.member
	var run func(context.Context) error
	if m.Role == wire.RoleEntry {
		run = entry.New(entry.Config{
			ID: m.ID, Region: m.Region, Zone: m.Zone, Listen: m.Address, PeerListen: m.PeerAddress, LogURL: f.log.URL,
			LogRetention: time.Hour, SnapshotEvery: 1 << 20, MembershipURL: f.list.URL, MaxBodyBytes: 1 << 20,
			DrainTimeout: time.Minute, Logger: logger, Force: force, Dial: f.dial(n),
		}).Run
	} else {
		run = agent.New(agent.Config{
			ID: m.ID, Region: m.Region, Zone: m.Zone, Service: m.Service, Kind: settings.KindPlain, Listen: m.Address,
			BackendURL: "http://127.0.0.1:1", MembershipURL: f.list.URL, DrainTimeout: time.Minute, Logger: logger,
			Force: force, Dial: f.dial(n),
		}).Run
	}
	f.done.Go(func() {
		defer close(n.ended)
		_ = run(ctx)
	})
}

func (f *fleet) close() {
	var stops sync.WaitGroup
	for _, n := range append(append([]*node{}, f.entries...), f.agents...) {
		stops.Go(n.stop)
	}
	stops.Wait()
	f.done.Wait()
	f.list.Close()
	f.log.Close()
}

// dial counts the bytes of a node's calls and fails across a separation.
func (f *fleet) dial(n *node) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if f.separated(n, address) {
			return nil, fmt.Errorf("no route from %s to %s", n.member.ID, address)
		}
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, node: n, cut: func() bool { return f.separated(n, address) }}, nil
	}
}

func (f *fleet) separated(n *node, address string) bool {
	if !f.cut.Load() {
		return false
	}
	for _, e := range f.entries {
		if e.member.PeerAddress == address {
			return (e.member.Region == "region-0") != (n.member.Region == "region-0")
		}
	}
	return false
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	node *node
	cut  func() bool
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.node.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	if c.cut() {
		_ = c.Conn.Close()
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	c.node.sent.Add(int64(n))
	return n, err
}

// status returns the reports that the entry knows.
func (f *fleet) status(n *node) []*rpc.MemberReport {
	resp, err := http.Get("http://" + n.member.Address + "/v1/status")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var status struct {
		Agents []*rpc.MemberReport `json:"agents"`
	}
	if json.NewDecoder(resp.Body).Decode(&status) != nil {
		return nil
	}
	return status.Agents
}

// agentsIn counts the agents of the service that the entry knows in the state.
func (f *fleet) agentsIn(n *node, state rpc.AgentState) int {
	count := 0
	for _, r := range f.status(n) {
		if r.GetState() == state && r.GetService() == serviceName {
			count++
		}
	}
	return count
}

// bytes returns what all nodes' calls cost so far, both ways, by role.
func (f *fleet) bytes() (entries, agents int64) {
	for _, n := range f.entries {
		entries += n.sent.Load() + n.received.Load()
	}
	for _, n := range f.agents {
		agents += n.sent.Load() + n.received.Load()
	}
	return entries, agents
}

// cost is what a phase of a run cost per node. Each byte of a call counts at
// both of its ends.
type cost struct {
	entryBytes, agentBytes, cpuShare, memory float64
}

// phase measures the fleet until done reports true, which is looked at each
// second, but for at least the given time.
func (f *fleet) phase(length time.Duration, done func() bool) (cost, time.Duration) {
	entries, agents := f.bytes()
	cpu := cpuTime(f, os.Getpid())
	begun := time.Now()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	reached := time.Duration(0)
	for time.Since(begun) < length || reached == 0 && time.Since(begun) < 5*time.Minute {
		if reached == 0 && done() {
			reached = time.Since(begun)
		}
		<-ticker.C
	}
	seconds := time.Since(begun).Seconds()
	entriesAfter, agentsAfter := f.bytes()
	used := cpuTime(f, os.Getpid()) - cpu
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	nodes := float64(len(f.entries) + len(f.agents))
	own := float64(entriesAfter - entries)
	fromAgents := float64(agentsAfter - agents)
	return cost{
		entryBytes: (2*own + fromAgents) / seconds / float64(len(f.entries)),
		agentBytes: fromAgents / seconds / float64(len(f.agents)),
		cpuShare:   used.Seconds() / seconds / nodes * 100,
		memory:     float64(mem.HeapInuse+mem.StackInuse) / nodes / (1 << 20),
	}, reached
}

// clockTicks is USER_HZ, in which Linux states the times of a process.
const clockTicks = 100

// cpuTime returns the processor time of a process.
func cpuTime(tb testing.TB, pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	qt.Assert(tb, err, qt.IsNil)
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+2:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicks
}

// residentMB returns the memory of a process in megabytes.
func residentMB(tb testing.TB, pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	qt.Assert(tb, err, qt.IsNil)
	pages, _ := strconv.ParseFloat(strings.Fields(string(data))[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}
