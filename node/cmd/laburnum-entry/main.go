// Command laburnum-entry runs an entry and the operators' commands.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/laburnumloft/laburnumloft/node/entry"
	"github.com/laburnumloft/laburnumloft/node/lib/lifecycle"
	"github.com/laburnumloft/laburnumloft/node/lib/options"
	"github.com/laburnumloft/laburnumloft/node/lib/secure"
	"github.com/laburnumloft/laburnumloft/node/lib/startsignal"
	"github.com/laburnumloft/laburnumloft/node/lib/telemetry"
)

// exitFailed is the exit code of a command that was refused or failed. Wrong usage
// exits with options.ExitUsage.
const exitFailed = 1

// exitCodes ends the help text of each operators' command.
const exitCodes = " Exit codes: 0 done, 1 refused or failed, 2 wrong usage."

// failure wraps an error that occurred after the options of a command were
// accepted, so that the process exits with exitFailed.
type failure struct {
	err error
}

// Error implements error.
func (f *failure) Error() string { return f.err.Error() }

// errAlreadyPrinted is the failure of a command that has already printed the
// reason, so that run prints nothing more.
var errAlreadyPrinted = errors.New("reported")

func main() {
	os.Exit(run())
}

func run() int {
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range []struct {
		name, short, long string
		command           flags.Commander
	}{
		{"serve", "run an entry", "Runs an entry until SIGTERM.", &serveCommand{}},
		{"platform", "run an entry on the users' platform", platformHelp, &platformCommand{}},
		{"explain", "tell why a request ended as it did", explainHelp, &explainCommand{}},
		{"check", "check documents before publishing", checkHelp, &checkCommand{}},
		{"publish", "publish documents", publishHelp, &publishCommand{}},
		{"get", "print the document in force", getHelp, &getCommand{}},
		{"history", "list the records of a document", historyHelp, &historyCommand{}},
		{"recover", "close a gap in the log", recoverHelp, &recoverCommand{}},
		{"status", "show how far the fleet has converged", statusHelp, &statusCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.command); err != nil {
			return options.Exit(err)
		}
	}
	parser.CommandHandler = execute
	_, err := parser.Parse()
	var failed *failure
	if !errors.As(err, &failed) {
		return options.Exit(err)
	}
	if !errors.Is(failed.err, errAlreadyPrinted) {
		fmt.Fprintln(os.Stderr, strings.ReplaceAll(failed.Error(), "\n", ": "))
	}
	return exitFailed
}

// execute runs a command. Those that don't run an entry are ended by the usual signals.
func execute(command flags.Commander, args []string) error {
	switch command.(type) {
	case *serveCommand, *platformCommand:
	default:
		startsignal.Release()
	}
	if command == nil {
		return nil
	}
	return command.Execute(args)
}

// serveCommand runs an entry.
type serveCommand struct {
	options.Place
	options.Telemetry
	options.Intake
	Security      secure.Options `group:"traffic between own processes"`
	Listen        string         `long:"listen" env:"LABURNUM_LISTEN" required:"true" description:"IP:PORT for callers and operators"`
	PeerListen    string         `long:"peer-listen" env:"LABURNUM_PEER_LISTEN" required:"true" description:"IP:PORT for own processes"`
	LogURL        string         `long:"log-url" env:"LABURNUM_LOG_URL" required:"true" description:"URL of the log service"`
	LogRetention  time.Duration  `long:"log-retention" env:"LABURNUM_LOG_RETENTION" default:"168h" description:"time for which the log keeps settings records"`
	SnapshotEvery int64          `long:"snapshot-every" env:"LABURNUM_SNAPSHOT_EVERY" default:"1000" description:"largest number of settings records between two snapshots; at most a quarter of what the log keeps"`
	MembershipURL string         `long:"membership-url" env:"LABURNUM_MEMBERSHIP_URL" required:"true" description:"URL of the membership list"`
	MaxBody       int64          `long:"max-body-bytes" env:"LABURNUM_MAX_BODY_BYTES" default:"1048576" description:"largest request body in bytes"`
	DrainTimeout  time.Duration  `long:"drain-timeout" env:"LABURNUM_DRAIN_TIMEOUT" default:"10m" description:"limit of a planned stop"`
	StallTimeout  time.Duration  `long:"stall-timeout" env:"LABURNUM_STALL_TIMEOUT" default:"20s" description:"how long an agent may be silent on an answer until the entry looks whether it is gone"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute(args []string) error {
	if err := options.FirstError(options.NoArguments(args), c.check()); err != nil {
		return err
	}
	ctx, force, release := lifecycle.Signals(startsignal.Stops())
	defer release()
	if ctx.Err() != nil {
		return nil
	}
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
	err = entry.New(entry.Config{
		ID: c.ID, Region: c.Region, Zone: c.Zone, Listen: c.Listen, PeerListen: c.PeerListen,
		LogURL: c.LogURL, LogRetention: c.LogRetention, SnapshotEvery: c.SnapshotEvery, MembershipURL: c.MembershipURL, MaxBodyBytes: c.MaxBody,
		HeldBodyBytes: c.HeldBodyBytes, MaxConnections: c.MaxConnections,
		DrainTimeout: c.DrainTimeout, StallTimeout: c.StallTimeout, Logger: telemetry.NewLogger(tcfg), Channel: channel, Force: force,
	}).Run(ctx)
	if err != nil {
		return &failure{err}
	}
	return nil
}

func (c *serveCommand) check() error {
	return options.FirstError(
		c.Telemetry.Check(),
		options.Address("listen", c.Listen),
		options.Address("peer-listen", c.PeerListen),
		c.Security.Check(c.PeerListen),
		options.URL("log-url", c.LogURL),
		options.URL("membership-url", c.MembershipURL),
		options.Positive("max-body-bytes", c.MaxBody),
		c.Intake.Check(),
		options.Positive("log-retention", c.LogRetention),
		options.Positive("snapshot-every", c.SnapshotEvery),
		options.Positive("drain-timeout", c.DrainTimeout),
		options.AtLeast("stall-timeout", c.StallTimeout, options.MinStallTimeout),
	)
}
