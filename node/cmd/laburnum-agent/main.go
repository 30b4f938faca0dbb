// Command laburnum-agent runs an agent beside a backend server.
package main

import (
	"context"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/agent"
	"github.com/laburnumloft/laburnumloft/node/lib/lifecycle"
	"github.com/laburnumloft/laburnumloft/node/lib/options"
	"github.com/laburnumloft/laburnumloft/node/lib/secure"
	"github.com/laburnumloft/laburnumloft/node/lib/startsignal"
	"github.com/laburnumloft/laburnumloft/node/lib/telemetry"
)

// agentOptions are the command-line options of an agent.
type agentOptions struct {
	options.Place
	options.Telemetry
	options.Intake
	Security      secure.Options      `group:"traffic between own processes"`
	Rollout       agent.RolloutConfig `group:"weights"`
	Listen        string              `long:"listen" env:"LABURNUM_LISTEN" required:"true" description:"IP:PORT for own processes"`
	Service       string              `long:"service" env:"LABURNUM_SERVICE" required:"true" description:"service of the backend server"`
	Kind          string              `long:"kind" env:"LABURNUM_KIND" default:"engine" description:"engine or plain"`
	BackendURL    string              `long:"backend-url" env:"LABURNUM_BACKEND_URL" required:"true" description:"URL of the backend server"`
	WeightsURL    string              `long:"weights-url" env:"LABURNUM_WEIGHTS_URL" description:"URL of the weight store; engines only"`
	MembershipURL string              `long:"membership-url" env:"LABURNUM_MEMBERSHIP_URL" required:"true" description:"URL of the membership list"`
	MemoryCeiling int64               `long:"memory-ceiling-bytes" env:"LABURNUM_MEMORY_CEILING_BYTES" default:"17179869184" description:"largest size of held weights in bytes"`
	DrainTimeout  time.Duration       `long:"drain-timeout" env:"LABURNUM_DRAIN_TIMEOUT" default:"10m" description:"limit of a planned stop"`
	StallTimeout  time.Duration       `long:"stall-timeout" env:"LABURNUM_STALL_TIMEOUT" default:"15s" description:"how long the backend server may make no progress on an answer until the agent looks whether it still runs the version"`
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == platformSubcommand {
		os.Exit(runPlatform(os.Args[2:]))
	}
	os.Exit(run())
}

func run() int {
	var opts agentOptions
	rest, err := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash).Parse()
	if err != nil {
		return options.Exit(err)
	}
	if err := options.FirstError(options.NoArguments(rest), opts.check()); err != nil {
		return options.Exit(err)
	}
	ctx, force, release := lifecycle.Signals(startsignal.Stops())
	defer release()
	if ctx.Err() != nil {
		return 0
	}
	tcfg := opts.Telemetry.Config("agent", opts.ID)
	logger := telemetry.NewLogger(tcfg)
	shutdown, err := telemetry.StartTracing(ctx, tcfg)
	if err != nil {
		logger.Error("tracing can't start", "error", err)
		return 1
	}
	defer func() { _ = shutdown(context.Background()) }()
	channel, err := secure.Open(opts.Security)
	if err != nil {
		logger.Error("TLS files can't be read", "error", err)
		return 1
	}
	err = agent.New(agent.Config{
		ID: opts.ID, Region: opts.Region, Zone: opts.Zone, Service: opts.Service,
		Kind: settings.Kind(opts.Kind), Listen: opts.Listen, BackendURL: opts.BackendURL,
		WeightsURL: opts.WeightsURL, MembershipURL: opts.MembershipURL,
		MemoryCeiling: opts.MemoryCeiling, DrainTimeout: opts.DrainTimeout, Logger: logger, Channel: channel, Force: force,
		Rollout: opts.Rollout, StallTimeout: opts.StallTimeout, HeldBodyBytes: opts.HeldBodyBytes, MaxConnections: opts.MaxConnections,
	}).Run(ctx)
	if err != nil {
		logger.Error("agent stopped", "error", err)
		return 1
	}
	return 0
}

func (o *agentOptions) check() error {
	if o.Kind == string(settings.KindEngine) {
		if err := options.URL("weights-url", o.WeightsURL); err != nil {
			return err
		}
	}
	return options.FirstError(
		o.Telemetry.Check(),
		options.Address("listen", o.Listen),
		o.Security.Check(o.Listen),
		options.OneOf("kind", o.Kind, string(settings.KindEngine), string(settings.KindPlain)),
		options.URL("backend-url", o.BackendURL),
		options.URL("membership-url", o.MembershipURL),
		options.Positive("memory-ceiling-bytes", o.MemoryCeiling),
		o.Intake.Check(),
		options.Positive("drain-timeout", o.DrainTimeout),
		options.AtLeast("stall-timeout", o.StallTimeout, options.MinStallTimeout),
		o.Rollout.Check(),
	)
}
