package membership_test

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// Sizes of the fleets and lengths of the phases.
var fleetSizes = []int{10, 50, 100, 200}

const (
	steadyTime  = 10 * time.Second
	burstTime   = 12 * time.Second
	cutTime     = 10 * time.Second
	reunionTime = 8 * time.Second
)

// BenchmarkMembershipCost measures control bytes over counted loopback sockets
// of entries and agents in this process, and processor time and memory of one
// entry and one agent that run as processes among them. Burst is a restart of
// all agents at once; reunion follows a separation of one region.
func BenchmarkMembershipCost(b *testing.B) {
	lines := map[string]*line{}
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			b.StopTimer()
			for name, value := range measureFleet(b, size) {
				b.ReportMetric(value, name)
				if lines[name] == nil {
					lines[name] = &line{}
				}
				lines[name].add(float64(size), value)
			}
		})
	}
	b.Run("slope", func(b *testing.B) {
		for name, l := range lines {
			slope, intercept, fit := l.fit()
			b.Logf("%-28s at 1010 members %.1f; slope %.4f per member, R2 %.3f", name, intercept+slope*1010, slope, fit)
			b.ReportMetric(slope, name+"/member")
		}
	})
}

func measureFleet(b *testing.B, size int) map[string]float64 {
	f := newFleet(b, size)
	probeEntry, probeAgent := f.spawnProbes()
	known := func() bool { return f.known(rpc.AgentState_SERVING) }
	_, joined := f.phase(time.Second, known)
	f.phase(3*time.Second, func() bool { return true })

	probe := newProbe(f, probeEntry, probeAgent)
	steady, _ := f.phase(steadyTime, func() bool { return true })
	result := map[string]float64{
		"entry-B/s": steady.entryBytes, "agent-B/s": steady.agentBytes, "process-cpu-%": steady.cpuShare,
		"process-MB": steady.memory, "join-s": joined.Seconds(),
	}
	probe.report(result)

	var restarts sync.WaitGroup
	begun := time.Now().UnixMilli()
	for _, n := range f.agents {
		restarts.Go(n.stop)
	}
	restarts.Wait()
	for _, n := range f.agents {
		f.start(n)
	}
	burst, converged := f.phase(burstTime, func() bool { return f.restarted(begun) })
	result["burst-entry-B/s"], result["burst-agent-B/s"], result["burst-s"] = burst.entryBytes, burst.agentBytes, converged.Seconds()

	f.cut.Store(true)
	f.phase(cutTime, func() bool { return true })
	f.cut.Store(false)
	reunion, healed := f.phase(reunionTime, known)
	result["reunion-entry-B/s"], result["reunion-agent-B/s"], result["reunion-s"] = reunion.entryBytes, reunion.agentBytes, healed.Seconds()
	return result
}

// known reports whether all entries know all agents in the state.
func (f *fleet) known(state rpc.AgentState) bool {
	for _, e := range f.entries {
		if f.agentsIn(e, state) < len(f.agents) {
			return false
		}
	}
	return true
}

// restarted reports whether all entries know all agents in incarnations that
// began after the time.
func (f *fleet) restarted(since int64) bool {
	for _, e := range f.entries {
		fresh := 0
		for _, r := range f.status(e) {
			if r.GetState() == rpc.AgentState_SERVING && r.GetIncarnation() >= since {
				fresh++
			}
		}
		if fresh < len(f.agents) {
			return false
		}
	}
	return true
}

// spawnProbes adds one entry and one agent that run as processes.
func (f *fleet) spawnProbes() (entryProcess, agentProcess *exec.Cmd) {
	place := func(id string, role wire.MemberRole) wire.Member {
		m := wire.Member{ID: id, Role: role, Address: freeAddress(f), Region: "region-0", Zone: "zone-0", State: wire.MemberLive}
		if role == wire.RoleEntry {
			m.PeerAddress = freeAddress(f)
		} else {
			m.Service = "probe"
		}
		f.members.Put(m)
		return m
	}
	run := func(name string, args ...string) *exec.Cmd {
		cmd := exec.Command(filepath.Join("../../bin", name), args...)
		qt.Assert(f, cmd.Start(), qt.IsNil)
		f.Cleanup(func() {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		})
		return cmd
	}
	e, a := place("probe-entry", wire.RoleEntry), place("probe-agent", wire.RoleAgent)
	entryProcess = run("laburnum-entry", "serve", "--id", e.ID, "--region", e.Region, "--zone", e.Zone, "--listen", e.Address,
		"--peer-listen", e.PeerAddress, "--log-url", f.log.URL, "--membership-url", f.list.URL)
	agentProcess = run("laburnum-agent", "--id", a.ID, "--region", a.Region, "--zone", a.Zone, "--listen", a.Address,
		"--service", a.Service, "--kind", "plain", "--backend-url", "http://127.0.0.1:1", "--membership-url", f.list.URL)
	return entryProcess, agentProcess
}

// probe measures the two processes.
type probe struct {
	f                  *fleet
	entry, agent       int
	begun              time.Time
	entryCPU, agentCPU time.Duration
}

func newProbe(f *fleet, entry, agent *exec.Cmd) *probe {
	p := &probe{f: f, entry: entry.Process.Pid, agent: agent.Process.Pid, begun: time.Now()}
	p.entryCPU, p.agentCPU = cpuTime(f, p.entry), cpuTime(f, p.agent)
	return p
}

func (p *probe) report(into map[string]float64) {
	elapsed := time.Since(p.begun).Seconds()
	into["entry-cpu-%"] = (cpuTime(p.f, p.entry) - p.entryCPU).Seconds() / elapsed * 100
	into["agent-cpu-%"] = (cpuTime(p.f, p.agent) - p.agentCPU).Seconds() / elapsed * 100
	into["entry-RSS-MB"], into["agent-RSS-MB"] = residentMB(p.f, p.entry), residentMB(p.f, p.agent)
}

// line is a least-squares fit.
type line struct {
	x, y []float64
}

func (l *line) add(x, y float64) {
	l.x, l.y = append(l.x, x), append(l.y, y)
}

func (l *line) fit() (slope, intercept, r2 float64) {
	n := float64(len(l.x))
	var sx, sy, sxx, sxy, syy float64
	for i := range l.x {
		sx, sy = sx+l.x[i], sy+l.y[i]
		sxx, sxy, syy = sxx+l.x[i]*l.x[i], sxy+l.x[i]*l.y[i], syy+l.y[i]*l.y[i]
	}
	covariance, varianceX, varianceY := sxy-sx*sy/n, sxx-sx*sx/n, syy-sy*sy/n
	if varianceX == 0 || varianceY == 0 {
		return 0, sy / math.Max(n, 1), 1
	}
	slope = covariance / varianceX
	return slope, (sy - slope*sx) / n, covariance * covariance / (varianceX * varianceY)
}

// BenchmarkMembershipBaseline measures the exchange that home entries
// replaced: each agent syncs with all entries by HTTP/1.1 and gets the whole
// list with each answer.
func BenchmarkMembershipBaseline(b *testing.B) {
	lines := map[string]*line{}
	for _, size := range fleetSizes[:3] {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			b.StopTimer()
			f := newFleet(b, size)
			f.phase(3*time.Second, func() bool { return true })
			ctx, cancel := context.WithCancel(context.Background())
			var loops sync.WaitGroup
			for _, a := range f.agents {
				f.syncWithAll(ctx, &loops, a)
			}
			f.phase(3*time.Second, func() bool { return true })
			cost, _ := f.phase(steadyTime, func() bool { return true })
			cancel()
			loops.Wait()
			for name, value := range map[string]float64{"entry-B/s": cost.entryBytes, "agent-B/s": cost.agentBytes, "process-cpu-%": cost.cpuShare} {
				b.ReportMetric(value, name)
				if lines[name] == nil {
					lines[name] = &line{}
				}
				lines[name].add(float64(size), value)
			}
		})
	}
	for name, l := range lines {
		slope, _, fit := l.fit()
		b.Logf("baseline %s: slope %.2f per member, R2 %.3f", name, slope, fit)
	}
}

// syncWithAll adds the exchange with all entries to an agent.
func (f *fleet) syncWithAll(ctx context.Context, loops *sync.WaitGroup, a *node) {
	transport := &http.Transport{DialContext: f.dial(a), MaxIdleConnsPerHost: 16}
	for _, e := range f.entries {
		client := rpc.NewControlProtobufClient("http://"+e.member.PeerAddress, &http.Client{Transport: transport})
		loops.Go(func() {
			for sequence := uint64(1); ctx.Err() == nil; sequence++ {
				_, _ = client.Sync(ctx, &rpc.SyncRequest{WaitMs: 1000, Report: &rpc.MemberReport{
					Id: a.member.ID + "-baseline", Incarnation: 1, Sequence: sequence, Address: a.member.Address, Region: a.member.Region,
					Zone: a.member.Zone, Service: serviceName, State: rpc.AgentState_STARTING,
				}})
			}
			transport.CloseIdleConnections()
		})
	}
}
