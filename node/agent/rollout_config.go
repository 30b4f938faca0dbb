package agent

import (
	"expvar"
	"slices"
	"time"

	"github.com/laburnumloft/laburnumloft/core/rollout"
)

// rolloutOutcomes counts attempts for chunks that failed, by outcome.
var rolloutOutcomes = expvar.NewMap("rollout_failed_attempts_total")

// RolloutConfig sets how an agent fetches and shares weights. Zero values
// stand for the defaults.
type RolloutConfig struct {
	// ChunkWindow is how many chunks are in flight at once.
	ChunkWindow int
	// UploadSlots is how many chunks are sent at once. Few slots let each
	// chunk arrive early instead of all of them late.
	UploadSlots int
	// UploadRate and DownloadRate are budgets in bytes per second; 0 means
	// no limit.
	UploadRate, DownloadRate int64
	// ChunkDeadline is how long a source may make no progress.
	ChunkDeadline time.Duration
	// WeightsHold is how long after the last request of a peer the chunks
	// that other agents keep as well are freed.
	WeightsHold time.Duration
	// Strategy is StrategyTree but for measurements.
	Strategy rollout.Strategy
}

// Defaults of a RolloutConfig.
const (
	DefaultChunkWindow   = 32
	DefaultUploadSlots   = 2
	DefaultChunkDeadline = 10 * time.Second
	DefaultWeightsHold   = time.Minute
)

func (c RolloutConfig) withDefaults() RolloutConfig {
	if c.ChunkWindow == 0 {
		c.ChunkWindow = DefaultChunkWindow
	}
	if c.UploadSlots == 0 {
		c.UploadSlots = DefaultUploadSlots
	}
	if c.ChunkDeadline == 0 {
		c.ChunkDeadline = DefaultChunkDeadline
	}
	if c.WeightsHold == 0 {
		c.WeightsHold = DefaultWeightsHold
	}
	return c
}

// peerView is what the tree is built from.
type peerView struct {
	peers        []rollout.Peer
	originRegion string
	directRoots  bool
}

func (v peerView) changed(old peerView) bool {
	return v.originRegion != old.originRegion || v.directRoots != old.directRoots || !slices.Equal(v.peers, old.peers)
}
