package rollout

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestTurnsBoundUnavailability guards against a rollout that takes more than
// the allowed share of a region out of service at once, and against agents
// that never get their turn because a predecessor is dead or hangs.
func TestTurnsBoundUnavailability(t *testing.T) {
	cfg := TurnConfig{MaxUnavailablePercent: 25, Timeout: time.Minute}
	for _, n := range []int{1, 2, 5, 7, 113} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(0, 0)
			peers := make([]Peer, n)
			for i := range peers {
				peers[i] = Peer{ID: fmt.Sprintf("agent-%d", i), Region: "norte"}
			}
			other := Peer{ID: "elsewhere", Region: "sul"}
			turns := map[string]*Turn{}
			for _, p := range peers {
				turns[p.ID] = NewTurn(cfg, p, append(peers, other), "v2", now)
			}
			dead, hung := map[string]bool{}, map[string]bool{}
			if n > 5 {
				dead["agent-1"], hung["agent-2"] = true, true
			}
			done := map[string]bool{}
			limit := max(1, (n*25+99)/100)
			for round := 0; len(done)+len(dead)+len(hung) < n; round++ {
				c.Assert(round < 200, qt.IsTrue, qt.Commentf("%d of %d agents done after 200 rounds", len(done), n))
				loading := []string{}
				for id, turn := range turns {
					if turn.Open() && !done[id] && !dead[id] {
						loading = append(loading, id)
					}
				}
				// A hung agent adds to the limit, because its successors load
				// after their timeout while it still loads.
				c.Assert(len(loading) <= limit+len(hung), qt.IsTrue, qt.Commentf("agents that load at once: %v", loading))
				for _, id := range loading {
					if !hung[id] {
						done[id] = true
					}
				}
				now = now.Add(10 * time.Second)
				for _, turn := range turns {
					p, ok := turn.Predecessor()
					switch {
					case !ok:
					case done[p.ID]:
						turn.RecordPredecessorState(PredecessorDone, now)
					case dead[p.ID]:
						turn.RecordPredecessorState(PredecessorUnavailable, now)
					default:
						turn.RecordPredecessorState(PredecessorPending, now)
					}
				}
			}
		})
	}
}
