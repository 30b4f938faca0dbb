package agent

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/laburnumloft/laburnumloft/core/rollout"
)

// Times and limits of asking a predecessor.
const (
	turnPollInterval = 500 * time.Millisecond
	turnPollTimeout  = time.Second
	// predecessorMisses is how many unanswered questions in a row make a
	// predecessor count as gone.
	predecessorMisses = 3
	maxHealthBytes    = 16 << 10
)

// turnWait is the wait of one agent for its turn to load a version.
type turnWait struct {
	intent rollout.Intent
	turn   *rollout.Turn
	misses int
}

// takeTurns lets the machine load a new version when its turn has come, so
// that only a share of a region's agents is out of service at once.
func (d *rolloutDuty) takeTurns(ctx context.Context) {
	ticker := time.NewTicker(turnPollInterval)
	defer ticker.Stop()
	var wait turnWait
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.pollTurn(ctx, &wait)
		}
	}
}

func (d *rolloutDuty) pollTurn(ctx context.Context, wait *turnWait) {
	d.mu.Lock()
	intent, waits := d.machine.AwaitsTurn(time.Now())
	d.mu.Unlock()
	if !waits {
		wait.turn = nil
		return
	}
	if wait.turn == nil || wait.intent != intent {
		*wait = turnWait{intent: intent, turn: d.newTurn(intent)}
	}
	if peer, ok := wait.turn.Predecessor(); ok {
		wait.turn.RecordPredecessorState(d.askPredecessor(ctx, wait, peer), time.Now())
	}
	if !wait.turn.Open() {
		return
	}
	d.mu.Lock()
	d.machine.GrantTurn(intent)
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *rolloutDuty) newTurn(intent rollout.Intent) *rollout.Turn {
	cfg := d.agent.cfg
	self := rollout.Peer{ID: cfg.ID, Address: cfg.Listen, Region: cfg.Region}
	return rollout.NewTurn(rollout.TurnConfig{
		MaxUnavailablePercent: cfg.Rollout.MaxUnavailablePercent, Timeout: cfg.Rollout.TurnTimeout,
	}, self, d.peers().peers, intent.Version, time.Now())
}

// askPredecessor asks an agent for the version that it serves.
func (d *rolloutDuty) askPredecessor(ctx context.Context, wait *turnWait, peer rollout.Peer) rollout.PredecessorState {
	h, err := d.peerHealth(ctx, peer.Address)
	if err != nil {
		wait.misses++
		if wait.misses < predecessorMisses {
			return rollout.PredecessorPending
		}
		wait.misses = 0
		return rollout.PredecessorUnavailable
	}
	wait.misses = 0
	switch {
	case h.Version == wait.intent.Version:
		return rollout.PredecessorDone
	case h.Leaving, h.Problem != "":
		return rollout.PredecessorUnavailable
	default:
		return rollout.PredecessorPending
	}
}

func (d *rolloutDuty) peerHealth(ctx context.Context, address string) (*health, error) {
	ctx, cancel := context.WithTimeout(ctx, turnPollTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/health", nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.agent.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var h health
	return &h, json.NewDecoder(io.LimitReader(resp.Body, maxHealthBytes)).Decode(&h)
}
