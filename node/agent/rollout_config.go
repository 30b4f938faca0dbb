package agent

import (
	"expvar"
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/laburnumloft/laburnumloft/core/rollout"
	"github.com/laburnumloft/laburnumloft/node/lib/lifecycle"
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
	// MaxUnavailablePercent bounds the share of a region's agents, rounded up,
	// that load a new version at once, so that the others go on serving.
	MaxUnavailablePercent int `long:"max-unavailable-percent" env:"LABURNUM_MAX_UNAVAILABLE_PERCENT" default:"25" description:"share of a region's agents that load a new version at once"`
	// TurnTimeout is how long one agent that does not get on holds up others.
	TurnTimeout time.Duration `long:"turn-timeout" env:"LABURNUM_TURN_TIMEOUT" default:"2m" description:"how long an agent that fails to load holds up the next one"`
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
	maxTurnTimeout   = time.Hour
)

// Check reports the first setting that is out of range.
func (c RolloutConfig) Check() error {
	return options.FirstError(
		between("chunk-window", c.ChunkWindow, 1, maxChunkWindow),
		between("upload-slots", c.UploadSlots, 1, maxUploadSlots),
		between("upload-bytes-per-second", c.UploadRate, 0, math.MaxInt64),
		between("download-bytes-per-second", c.DownloadRate, 0, math.MaxInt64),
		between("chunk-deadline", c.ChunkDeadline, minChunkDeadline, maxChunkDeadline),
		between("weights-hold", c.WeightsHold, minWeightsHold, maxWeightsHold),
		between("max-unavailable-percent", c.MaxUnavailablePercent, 1, 100),
		between("turn-timeout", c.TurnTimeout, time.Second, maxTurnTimeout),
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

	DefaultMaxUnavailablePercent = 25
	DefaultTurnTimeout           = 2 * time.Minute
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
	if c.MaxUnavailablePercent == 0 {
		c.MaxUnavailablePercent = DefaultMaxUnavailablePercent
	}
	if c.TurnTimeout == 0 {
		c.TurnTimeout = DefaultTurnTimeout
	}
	return c
}

// serverProtocols lets peers multiplex waiting GETs over one connection.
func serverProtocols() *http.Protocols {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return &p
}

// peerTransport returns the transport towards other agents. Without TLS it
// speaks HTTP/2, so that a window of waiting GETs needs one connection per
// parent instead of one per chunk.
func peerTransport(cfg Config) http.RoundTripper {
	if cfg.PeerTransport != nil {
		return cfg.PeerTransport
	}
	if cfg.Transport != nil {
		return cfg.Transport
	}
	base := lifecycle.DataTransport(idlePerHost)
	if !cfg.Channel.TLS() {
		base.Protocols = PeerProtocols()
	}
	return cfg.Channel.Transport(base)
}

// PeerProtocols selects HTTP/2 without TLS for a transport between agents.
func PeerProtocols() *http.Protocols {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	return &p
}

// peerView is what the tree is built from.
type peerView struct {
	peers        []rollout.Peer
	originRegion string
	hedgeRoots   bool
}

func (v peerView) changed(old peerView) bool {
	return v.originRegion != old.originRegion || v.hedgeRoots != old.hedgeRoots || !slices.Equal(v.peers, old.peers)
}
