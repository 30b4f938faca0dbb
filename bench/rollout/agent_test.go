package rollout

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/bench/harness"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/rpc"
)

// testBytes is a version of eight chunks.
const testBytes = 8 * chunkBytes

func startFleet(c *qt.C, n int, hold time.Duration) *fleet {
	f, err := newFleet(Setting{Bytes: testBytes, Hold: hold}, n)
	c.Assert(err, qt.IsNil)
	c.Cleanup(f.close)
	return f
}

// eventually fails the test if the condition does not come to hold.
func eventually(c *qt.C, what string, condition func() bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c.Assert(harness.Until(ctx, condition), qt.IsNil, qt.Commentf("%s", what))
}

// serves reports whether every agent reports that it serves the version.
func (f *fleet) serves(version string) func() bool {
	return func() bool {
		for _, v := range f.vms {
			r := f.report(v.id)
			if r.GetState() != rpc.AgentState_SERVING || r.GetVersion() != version {
				return false
			}
		}
		return true
	}
}

func (f *fleet) report(id string) *rpc.MemberReport {
	f.control.mu.Lock()
	defer f.control.mu.Unlock()
	return f.control.seen[id]
}

// heldChunks counts the chunks that all agents offer.
func (f *fleet) heldChunks(c *qt.C) int {
	held := 0
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, v := range f.vms {
		for i := range testBytes / chunkBytes {
			resp, err := client.Get(fmt.Sprintf("http://%s/weights/v1/%s/v1/chunks/%d", v.address, model, i))
			c.Assert(err, qt.IsNil)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				held++
			}
		}
	}
	return held
}

// TestReplacedVMDrawsNothing guards against memory that is never freed, and
// against a replaced VM that needs the weight store although its region keeps
// two copies of each chunk.
func TestReplacedVMDrawsNothing(t *testing.T) {
	c := qt.New(t)
	const perRegion = 4
	f := startFleet(c, perRegion*len(regionNames), 5*time.Millisecond)
	f.publish(1, "v1")
	eventually(c, "all serve v1", f.serves("v1"))
	eventually(c, "half of the copies are freed", func() bool {
		return f.heldChunks(c) == len(f.vms)*testBytes/chunkBytes/2
	})
	_ = f.servers[0].Close()
	drawn := f.store.Drawn()
	f.kill(f.vms[2])
	c.Assert(f.restart(f.vms[2]), qt.IsNil)
	eventually(c, "the replaced VM has v1", func() bool {
		have, live := f.replicas("v1")
		return have == live
	})
	c.Assert(f.store.Drawn(), qt.Equals, drawn)
}

// TestRefusedManifestKeepsTheOldVersion guards against a bad manifest that
// ends service, and against one that no report names.
func TestRefusedManifestKeepsTheOldVersion(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 3, 0)
	f.publish(1, "v1")
	eventually(c, "all serve v1", f.serves("v1"))
	bad := f.store.AddManifest(model, "v2", []byte(`{"model":"notices","version":"v2","size":1,"chunks":[]}`))
	f.intend(2, "v2", bad)
	eventually(c, "the refusal is reported", func() bool {
		return strings.Contains(f.report(f.vms[0].id).GetProblem(), "empty version")
	})
	c.Assert(f.serves("v1")(), qt.IsTrue)
	// A higher offset ends the refused version.
	f.publish(3, "v3")
	eventually(c, "all serve v3", f.serves("v3"))
}

// TestRestartedEngineIsLoadedAgain guards against an agent that does not see
// that its engine lost the version.
func TestRestartedEngineIsLoadedAgain(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, 3, 0)
	f.publish(1, "v1")
	eventually(c, "all serve v1", f.serves("v1"))
	f.vms[1].engine.Restart()
	eventually(c, "the engine has v1 again", func() bool {
		status := f.vms[1].engine.Status()
		return status.State == wire.EngineReady && status.Version == "v1"
	})
	eventually(c, "all serve v1", f.serves("v1"))
}
