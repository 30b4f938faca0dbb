// Command laburnum-agent runs an agent beside a backend server.
package main

import (
	"context"
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
	DrainTimeout  time.Duration `long:"drain-timeout" env:"LABURNUM_DRAIN_TIMEOUT" default:"10m" description:"limit of a planned stop"`
	StallTimeout  time.Duration `long:"stall-timeout" env:"LABURNUM_STALL_TIMEOUT" default:"15s" description:"how long the backend server may make no progress on an answer"`
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
		MemoryCeiling: opts.MemoryCeiling, DrainTimeout: opts.DrainTimeout, StallTimeout: opts.StallTimeout, Logger: logger,
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
		checkStallTimeout(o.StallTimeout),
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

// minStallTimeout is longer than a request may wait at an agent.
const minStallTimeout = 2 * time.Second

func checkStallTimeout(d time.Duration) error {
	if d < minStallTimeout {
		return &options.Invalid{Name: "stall-timeout", Value: d.String(), Allowed: "at least " + minStallTimeout.String()}
	}
	return nil
}
