package agent

import (
	"expvar"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/laburnumloft/laburnumloft/core/rollout"
	"github.com/laburnumloft/laburnumloft/node/lib/options"
)

// rolloutOutcomes counts attempts for chunks that failed, by outcome.
var rolloutOutcomes = expvar.NewMap("rollout_failed_attempts_total")

// RolloutConfig sets how an agent fetches and shares weights. Zero values
// stand for the defaults.
type RolloutConfig struct {
	// ChunkWindow is how many chunks are in flight at once.
	ChunkWindow int `long:"chunk-window" env:"LABURNUM_CHUNK_WINDOW" default:"32" description:"chunks in flight at once"`
	// UploadSlots is how many chunks are sent at once. Few slots let each
	// chunk arrive early instead of all of them late.
	UploadSlots int `long:"upload-slots" env:"LABURNUM_UPLOAD_SLOTS" default:"2" description:"chunks sent at once"`
	// UploadRate and DownloadRate are budgets in bytes per second; 0 means
	// no limit.
	UploadRate   int64 `long:"upload-bytes-per-second" env:"LABURNUM_UPLOAD_BYTES_PER_SECOND" description:"budget for sharing chunks; 0 means no limit"`
	DownloadRate int64 `long:"download-bytes-per-second" env:"LABURNUM_DOWNLOAD_BYTES_PER_SECOND" description:"budget for fetching chunks; 0 means no limit"`
	// ChunkDeadline is how long a source may make no progress.
	ChunkDeadline time.Duration `long:"chunk-deadline" env:"LABURNUM_CHUNK_DEADLINE" default:"10s" description:"how long a source of chunks may make no progress"`
	// WeightsHold is how long after the last request of a peer the chunks
	// that other agents keep as well are freed.
	WeightsHold time.Duration `long:"weights-hold" env:"LABURNUM_WEIGHTS_HOLD" default:"1m" description:"how long after a peer's last request all chunks stay in memory"`
	// Strategy is StrategyTree but for measurements.
	Strategy rollout.Strategy `no-flag:"true"`
}

// Ranges of the settings.
const (
	maxChunkWindow   = 1024
	maxUploadSlots   = 64
	minChunkDeadline = 100 * time.Millisecond
	maxChunkDeadline = 5 * time.Minute
	minWeightsHold   = time.Second
	maxWeightsHold   = 24 * time.Hour
)

// Check reports the first setting that is out of range.
func (c RolloutConfig) Check() error {
	return options.First(
		between("chunk-window", c.ChunkWindow, 1, maxChunkWindow),
		between("upload-slots", c.UploadSlots, 1, maxUploadSlots),
		between("upload-bytes-per-second", c.UploadRate, 0, math.MaxInt64),
		between("download-bytes-per-second", c.DownloadRate, 0, math.MaxInt64),
		between("chunk-deadline", c.ChunkDeadline, minChunkDeadline, maxChunkDeadline),
		between("weights-hold", c.WeightsHold, minWeightsHold, maxWeightsHold),
	)
}

// between checks that value is in the range from low to high.
func between[T int | int64 | time.Duration](name string, value, low, high T) error {
	if value >= low && value <= high {
		return nil
	}
	return &options.Invalid{Name: name, Value: fmt.Sprint(value), Allowed: fmt.Sprintf("%v to %v", low, high)}
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
