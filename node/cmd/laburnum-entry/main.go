// Command laburnum-entry runs an entry and the operators' commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/laburnumloft/laburnumloft/node/entry"
	"github.com/laburnumloft/laburnumloft/node/lib/options"
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
	return options.Exit(err)
}

// serveCommand runs an entry.
type serveCommand struct {
	options.Place
	options.Telemetry
	Listen        string        `long:"listen" env:"LABURNUM_LISTEN" required:"true" description:"IP:PORT for callers and operators"`
	PeerListen    string        `long:"peer-listen" env:"LABURNUM_PEER_LISTEN" required:"true" description:"IP:PORT for own processes"`
	LogURL        string        `long:"log-url" env:"LABURNUM_LOG_URL" required:"true" description:"URL of the log service"`
	MembershipURL string        `long:"membership-url" env:"LABURNUM_MEMBERSHIP_URL" required:"true" description:"URL of the membership list"`
	MaxBody       int64         `long:"max-body-bytes" env:"LABURNUM_MAX_BODY_BYTES" default:"1048576" description:"largest request body in bytes"`
	DrainTimeout  time.Duration `long:"drain-timeout" env:"LABURNUM_DRAIN_TIMEOUT" default:"10m" description:"limit of a planned stop"`
	StallTimeout  time.Duration `long:"stall-timeout" env:"LABURNUM_STALL_TIMEOUT" default:"20s" description:"how long an agent may be silent on an answer"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	if err := c.check(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	tcfg := c.Telemetry.Config("entry", c.ID)
	shutdown, err := telemetry.StartTracing(ctx, tcfg)
	if err != nil {
		return err
	}
	defer func() { _ = shutdown(context.Background()) }()
	return entry.New(entry.Config{
		ID: c.ID, Region: c.Region, Zone: c.Zone, Listen: c.Listen, PeerListen: c.PeerListen,
		LogURL: c.LogURL, MembershipURL: c.MembershipURL, MaxBodyBytes: c.MaxBody,
		DrainTimeout: c.DrainTimeout, StallTimeout: c.StallTimeout, Logger: telemetry.NewLogger(tcfg),
	}).Run(ctx)
}

func (c *serveCommand) check() error {
	checks := []error{
		c.Telemetry.Check(),
		options.Address("listen", c.Listen),
		options.Address("peer-listen", c.PeerListen),
		options.URL("log-url", c.LogURL),
		options.URL("membership-url", c.MembershipURL),
		checkStallTimeout(c.StallTimeout),
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
