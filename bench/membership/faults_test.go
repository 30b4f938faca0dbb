package membership_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/bench/harness"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
	"github.com/laburnumloft/laburnumloft/standin/faults"
	"github.com/laburnumloft/laburnumloft/standin/memberlist"
)

// TestPlannedStopOfEntry guards against a planned stop that cuts a stream,
// refuses a caller who still holds the address, or stays in discovery.
func TestPlannedStopOfEntry(t *testing.T) {
	t.Parallel()
	f := newFixture(t, nil, nil)
	entry := f.entries[1]
	f.until(func() bool { return f.discovered(entry.Name) })
	running := f.startLoad()
	id, body := f.longStream(entry.Address)
	qt.Assert(t, entry.Cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	var health struct{ Ready, Leaving bool }
	f.until(func() bool { f.get(entry, "/v1/health", &health); return health.Leaving })
	qt.Check(t, health.Ready, qt.IsFalse)
	f.until(func() bool { return !f.discovered(entry.Name) })

	resp, err := f.post(context.Background(), &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}, entry.Address, 1)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusTemporaryRedirect)
	var answer struct {
		wire.ErrorBody
		Entry wire.DiscoveryEntry
	}
	qt.Assert(t, json.NewDecoder(resp.Body).Decode(&answer), qt.IsNil)
	qt.Check(t, answer.Error.Run, qt.Equals, wire.RunNotRun)
	qt.Check(t, answer.Entry.ID, qt.Not(qt.Equals), entry.Name)
	qt.Check(t, resp.Header.Get("Location"), qt.Equals, "http://"+answer.Entry.Address+requestPath)

	begun := f.begun(entry)
	running.more()
	qt.Check(t, f.begun(entry), qt.Equals, begun, qt.Commentf("new work at a leaving entry"))
	qt.Check(t, ended(entry), qt.IsFalse, qt.Commentf("exit before stream %s ended", id))
	qt.Assert(t, body.Close(), qt.IsNil)
	qt.Check(t, f.wait(entry), qt.Equals, 0)
	running.more()
	running.end()
}

// TestPlannedStopOfAgent guards against a planned stop that cuts a stream, and
// against requests that fail because entries still know the agent as serving.
func TestPlannedStopOfAgent(t *testing.T) {
	t.Parallel()
	f := newFixture(t, nil, nil)
	running := f.startLoad()
	agent := f.agents[1]
	qt.Assert(t, agent.Cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	f.untilState(agentID(1), rpc.AgentState_LEAVING)
	begun := f.begun(agent)
	running.more()
	if now := f.begun(agent); now != 0 {
		qt.Check(t, now, qt.Equals, begun, qt.Commentf("new work at a leaving agent"))
	}
	qt.Check(t, f.wait(agent), qt.Equals, 0)
	running.more()
	running.end()
	qt.Check(t, running.failures, qt.HasLen, 0)
}

// TestListedLeaving guards against work for an agent that only the list shows
// as leaving, and against an agent that does not stop then.
func TestListedLeaving(t *testing.T) {
	t.Parallel()
	f := newFixture(t, nil, nil)
	running := f.startLoad()
	qt.Assert(t, f.cluster.List(wire.Member{
		ID: agentID(2), Role: wire.RoleAgent, Address: f.agents[2].Address, Region: "priangan", Zone: "priangan-a",
		Service: serviceName, State: wire.MemberLeaving,
	}), qt.IsNil)
	f.untilState(agentID(2), rpc.AgentState_LEAVING)
	qt.Check(t, f.wait(f.agents[2]), qt.Equals, 0)
	running.end()
	qt.Check(t, running.failures, qt.HasLen, 0)
}

// TestSecondSignal guards against a stop that can't be forced, and against cut
// requests that nobody can name.
func TestSecondSignal(t *testing.T) {
	t.Parallel()
	f := newFixture(t, nil, nil)
	id, body := f.longStream(f.entries[0].Address)
	defer body.Close()
	process := f.entries[0].Cmd.Process
	qt.Assert(t, process.Signal(syscall.SIGTERM), qt.IsNil)
	f.until(func() bool { return strings.Contains(f.logs.String(), "entry is leaving") })
	qt.Assert(t, process.Signal(syscall.SIGTERM), qt.IsNil)
	qt.Check(t, f.wait(f.entries[0]), qt.Equals, 1)
	qt.Check(t, f.logs.String(), qt.Contains, id)
}

// TestDrainTimeout guards against an agent that never ends because a stream
// does not, and against cut requests that nobody can name.
func TestDrainTimeout(t *testing.T) {
	t.Parallel()
	f := newFixture(t, nil, []string{"--drain-timeout", "1s"})
	id, body := f.longStream(f.entries[0].Address)
	defer body.Close()
	for _, agent := range f.agents {
		qt.Assert(t, agent.Cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	}
	codes := 0
	for _, agent := range f.agents {
		codes += f.wait(agent)
	}
	qt.Check(t, codes, qt.Equals, 1, qt.Commentf("one agent had the stream"))
	qt.Check(t, f.logs.String(), qt.Contains, id)
}

// TestPausedAgent guards against work for a paused agent, and against an agent
// that stays out after it wakes.
func TestPausedAgent(t *testing.T) {
	t.Parallel()
	f := newFixture(t, nil, nil)
	before := f.states(agentID(0))[0]
	qt.Assert(t, f.agents[0].Stop(), qt.IsNil)
	f.untilState(agentID(0), rpc.AgentState_SUSPECTED)
	running := f.startLoad()
	running.end()
	qt.Check(t, running.failures, qt.HasLen, 0)
	qt.Assert(t, f.agents[0].Continue(), qt.IsNil)
	f.untilState(agentID(0), rpc.AgentState_SERVING)
	for _, r := range f.states(agentID(0)) {
		qt.Check(t, r.GetIncarnation(), qt.Equals, before.GetIncarnation())
	}
}

// TestKilledAgent guards against a dead agent that stays in the view because
// the list still shows it, and against a successor that is taken for it.
func TestKilledAgent(t *testing.T) {
	t.Parallel()
	f := newFixture(t, nil, nil)
	before := f.states(agentID(0))[0]
	qt.Assert(t, f.agents[0].Kill(), qt.IsNil)
	f.untilState(agentID(0), rpc.AgentState_SUSPECTED)
	f.untilState(agentID(0), rpc.AgentState_GONE)
	_, err := f.cluster.Restart(f.agents[0])
	qt.Assert(t, err, qt.IsNil)
	f.untilState(agentID(0), rpc.AgentState_SERVING)
	for _, r := range f.states(agentID(0)) {
		qt.Check(t, r.GetIncarnation() > before.GetIncarnation(), qt.IsTrue)
	}
}

// TestListDown guards against processes that need the list to go on: agents
// move to other home entries and requests are served without it.
func TestListDown(t *testing.T) {
	t.Parallel()
	f := newFixture(t, nil, nil)
	qt.Assert(t, harness.PostJSON(f.cluster.MembersURL+"/faults", faults.Switches{Down: true}, nil), qt.IsNil)
	qt.Assert(t, f.entries[2].Kill(), qt.IsNil)
	f.until(func() bool { return !f.discovered(f.entries[2].Name) })
	running := f.startLoad()
	for i := range f.agents {
		sequence := f.states(agentID(i))[0].GetSequence()
		f.until(func() bool { return f.states(agentID(i))[0].GetSequence() > sequence })
		f.untilState(agentID(i), rpc.AgentState_SERVING)
	}
	running.end()
	qt.Check(t, running.failures, qt.HasLen, 0)
}

// TestListLags guards against a new agent that is unknown until a lagging list
// shows it, and against a dead one that the list keeps alive.
func TestListLags(t *testing.T) {
	t.Parallel()
	f := newFixture(t, nil, nil)
	qt.Assert(t, harness.PostJSON(f.cluster.MembersURL+"/lag", memberlist.Lag{MS: 3000}, nil), qt.IsNil)
	f.until(func() bool { return f.discovered("entry-0") })
	qt.Assert(t, harness.PostJSON(f.cluster.MembersURL+"/lag", memberlist.Lag{MS: 20_000}, nil), qt.IsNil)
	f.startAgent(3)
	f.untilState(agentID(3), rpc.AgentState_SERVING)
	qt.Assert(t, f.agents[0].Kill(), qt.IsNil)
	f.untilState(agentID(0), rpc.AgentState_GONE)
}
