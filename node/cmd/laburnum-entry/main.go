// Command laburnum-entry runs an entry and the operators' commands.
package main

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/laburnumloft/laburnumloft/node/entry"
	"github.com/laburnumloft/laburnumloft/node/lib/lifecycle"
	"github.com/laburnumloft/laburnumloft/node/lib/options"
	"github.com/laburnumloft/laburnumloft/node/lib/secure"
	"github.com/laburnumloft/laburnumloft/node/lib/telemetry"
)

func main() {
	os.Exit(run())
}

func run() int {
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddCommand("serve", "run an entry", "Runs an entry until SIGTERM.", &serveCommand{}); err != nil {
		return options.Exit(err)
	}
	_, err := parser.Parse()
	if errors.Is(err, entry.ErrStart) || errors.Is(err, entry.ErrCut) {
		return 1
	}
	return options.Exit(err)
}

// serveCommand runs an entry.
type serveCommand struct {
	options.Place
	options.Telemetry
	Security      secure.Options `group:"traffic between own processes"`
	Listen        string         `long:"listen" env:"LABURNUM_LISTEN" required:"true" description:"IP:PORT for callers and operators"`
	PeerListen    string         `long:"peer-listen" env:"LABURNUM_PEER_LISTEN" required:"true" description:"IP:PORT for own processes"`
	LogURL        string         `long:"log-url" env:"LABURNUM_LOG_URL" required:"true" description:"URL of the log service"`
	MembershipURL string         `long:"membership-url" env:"LABURNUM_MEMBERSHIP_URL" required:"true" description:"URL of the membership list"`
	MaxBody       int64          `long:"max-body-bytes" env:"LABURNUM_MAX_BODY_BYTES" default:"1048576" description:"largest request body in bytes"`
	DrainTimeout  time.Duration  `long:"drain-timeout" env:"LABURNUM_DRAIN_TIMEOUT" default:"10m" description:"limit of a planned stop"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute(rest []string) error {
	if err := options.First(options.NoArguments(rest), c.check()); err != nil {
		return err
	}
	ctx, force, release := lifecycle.Signals()
	defer release()
	tcfg := c.Telemetry.Config("entry", c.ID)
	shutdown, err := telemetry.StartTracing(ctx, tcfg)
	if err != nil {
		return err
	}
	defer func() { _ = shutdown(context.Background()) }()
	channel, err := secure.Open(c.Security)
	if err != nil {
		return err
	}
	logger := telemetry.NewLogger(tcfg)
	err = entry.New(entry.Config{
		ID: c.ID, Region: c.Region, Zone: c.Zone, Listen: c.Listen, PeerListen: c.PeerListen,
		LogURL: c.LogURL, MembershipURL: c.MembershipURL, MaxBodyBytes: c.MaxBody,
		DrainTimeout: c.DrainTimeout, Logger: logger, Channel: channel, Force: force,
	}).Run(ctx)
	if err != nil {
		logger.Error("entry stopped", "error", err)
	}
	return err
}

func (c *serveCommand) check() error {
	return options.First(
		c.Telemetry.Check(),
		options.Address("listen", c.Listen),
		options.Address("peer-listen", c.PeerListen),
		c.Security.Check(c.PeerListen),
		options.URL("log-url", c.LogURL),
		options.URL("membership-url", c.MembershipURL),
		options.Positive("max-body-bytes", c.MaxBody),
		options.Positive("drain-timeout", c.DrainTimeout),
	)
}
