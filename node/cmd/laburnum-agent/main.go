// Command laburnum-agent runs an agent beside a backend server.
package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/agent"
	"github.com/laburnumloft/laburnumloft/node/lib/options"
	"github.com/laburnumloft/laburnumloft/node/lib/telemetry"
)

// agentOptions are the settings of an agent.
type agentOptions struct {
	options.Place
	options.Telemetry
	Listen        string        `long:"listen" env:"LABURNUM_LISTEN" required:"true" description:"IP:PORT for own processes"`
	Service       string        `long:"service" env:"LABURNUM_SERVICE" required:"true" description:"service of the backend server"`
	Kind          string        `long:"kind" env:"LABURNUM_KIND" default:"engine" description:"engine or plain"`
	BackendURL    string        `long:"backend-url" env:"LABURNUM_BACKEND_URL" required:"true" description:"URL of the backend server"`
	WeightsURL    string        `long:"weights-url" env:"LABURNUM_WEIGHTS_URL" description:"URL of the weight store; engines only"`
	MembershipURL string        `long:"membership-url" env:"LABURNUM_MEMBERSHIP_URL" required:"true" description:"URL of the membership list"`
	MemoryCeiling int64         `long:"memory-ceiling-bytes" env:"LABURNUM_MEMORY_CEILING_BYTES" default:"17179869184" description:"largest size of held weights in bytes"`
	ChunkWindow   int           `long:"chunk-window" env:"LABURNUM_CHUNK_WINDOW" default:"32" description:"chunks in flight at once, 1 to 1024"`
	UploadSlots   int           `long:"upload-slots" env:"LABURNUM_UPLOAD_SLOTS" default:"2" description:"chunks sent at once, 1 to 64"`
	UploadRate    int64         `long:"upload-bytes-per-second" env:"LABURNUM_UPLOAD_BYTES_PER_SECOND" default:"0" description:"budget for sharing chunks; 0 means no limit"`
	DownloadRate  int64         `long:"download-bytes-per-second" env:"LABURNUM_DOWNLOAD_BYTES_PER_SECOND" default:"0" description:"budget for fetching chunks; 0 means no limit"`
	ChunkDeadline time.Duration `long:"chunk-deadline" env:"LABURNUM_CHUNK_DEADLINE" default:"10s" description:"how long a source of chunks may make no progress, 100ms to 5m"`
	WeightsHold   time.Duration `long:"weights-hold" env:"LABURNUM_WEIGHTS_HOLD" default:"1m" description:"how long after the last request of a peer all chunks stay in memory, at least 1s"`
	DrainTimeout  time.Duration `long:"drain-timeout" env:"LABURNUM_DRAIN_TIMEOUT" default:"10m" description:"limit of a planned stop"`
}

// Ranges of settings.
const (
	maxChunkWindow   = 1024
	maxUploadSlots   = 64
	minChunkDeadline = 100 * time.Millisecond
	maxChunkDeadline = 5 * time.Minute
	minWeightsHold   = time.Second
	maxWeightsHold   = 24 * time.Hour
)

// between checks that value is in the range from low to high.
func between[T int | int64 | time.Duration](name string, value, low, high T) error {
	if value >= low && value <= high {
		return nil
	}
	return &options.Invalid{Name: name, Value: fmt.Sprint(value), Allowed: fmt.Sprintf("%v to %v", low, high)}
}

func main() {
	os.Exit(run())
}

func run() int {
	var opts agentOptions
	if _, err := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash).Parse(); err != nil {
		return options.Exit(err)
	}
	if err := opts.check(); err != nil {
		return options.Exit(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	tcfg := opts.Telemetry.Config("agent", opts.ID)
	logger := telemetry.NewLogger(tcfg)
	shutdown, err := telemetry.StartTracing(ctx, tcfg)
	if err != nil {
		logger.Error("tracing can't start", "error", err)
		return 1
	}
	defer func() { _ = shutdown(context.Background()) }()
	err = agent.New(agent.Config{
		ID: opts.ID, Region: opts.Region, Zone: opts.Zone, Service: opts.Service,
		Kind: settings.Kind(opts.Kind), Listen: opts.Listen, BackendURL: opts.BackendURL,
		WeightsURL: opts.WeightsURL, MembershipURL: opts.MembershipURL,
		MemoryCeiling: opts.MemoryCeiling, DrainTimeout: opts.DrainTimeout, Logger: logger,
		Rollout: agent.RolloutConfig{
			ChunkWindow: opts.ChunkWindow, UploadSlots: opts.UploadSlots, UploadRate: opts.UploadRate,
			DownloadRate: opts.DownloadRate, ChunkDeadline: opts.ChunkDeadline, WeightsHold: opts.WeightsHold,
		},
	}).Run(ctx)
	if err != nil {
		logger.Error("agent stopped", "error", err)
		return 1
	}
	return 0
}

func (o *agentOptions) check() error {
	checks := []error{
		o.Telemetry.Check(),
		options.Address("listen", o.Listen),
		options.OneOf("kind", o.Kind, string(settings.KindEngine), string(settings.KindPlain)),
		options.URL("backend-url", o.BackendURL),
		options.URL("membership-url", o.MembershipURL),
		between("chunk-window", o.ChunkWindow, 1, maxChunkWindow),
		between("upload-slots", o.UploadSlots, 1, maxUploadSlots),
		between("upload-bytes-per-second", o.UploadRate, 0, math.MaxInt64),
		between("download-bytes-per-second", o.DownloadRate, 0, math.MaxInt64),
		between("chunk-deadline", o.ChunkDeadline, minChunkDeadline, maxChunkDeadline),
		between("weights-hold", o.WeightsHold, minWeightsHold, maxWeightsHold),
	}
	if o.Kind == string(settings.KindEngine) {
		checks = append(checks, options.URL("weights-url", o.WeightsURL))
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}
