package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/node/lib/options"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
	"github.com/laburnumloft/laburnumloft/node/operator"
)

const statusHelp = "Shows the settings in force at --entry and, for each service and region, how many VMs serve the intended version. " +
	"With --wait the table is printed at each change until all VMs have converged, or until --timeout, which exits with 1." + exitCodes

// statusInterval is the polling interval with --wait.
const statusInterval = 500 * time.Millisecond

// statusCommand shows how many VMs of the fleet serve the intended versions.
type statusCommand struct {
	sourceOptions
	Wait bool `long:"wait" description:"show progress until all VMs have converged"`
	// Offset prevents a false report of convergence right after a publish, when
	// the entry has not yet read the change from the log.
	Offset int64 `long:"offset" description:"offset that publish printed; not converged before it is in force"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute(args []string) error {
	if err := options.FirstError(options.NoArguments(args), options.URL("entry", c.Entry), c.check()); err != nil {
		return err
	}
	ctx, cancel := c.context()
	defer cancel()
	client := c.client()
	printed := ""
	for {
		status, err := client.Status(ctx)
		switch {
		case err != nil && !c.Wait:
			return &failure{err}
		case err == nil:
			status.Converged = status.Converged && status.SettingsOffset >= c.Offset
			if text := fmt.Sprint(*status); text != printed {
				printed = text
				c.print(status)
			}
			if !c.Wait || status.Converged {
				return nil
			}
		}
		if !sleep(ctx, statusInterval) {
			return &failure{eris.Errorf("not converged within %s", c.Timeout)}
		}
	}
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (c *statusCommand) print(s *operator.Status) {
	if c.JSON {
		printJSON(s)
		return
	}
	fmt.Printf("entry %s: settings offset %d, digest %.16s, converged: %t\n", s.Entry, s.SettingsOffset, s.SettingsDigest, s.Converged)
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tREGION\tVERSION\tSERVING\tOLD SETTINGS\tFETCHED\tPROBLEMS")
	for _, r := range s.Services {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d of %d\t%d\t%s\t%s\n",
			r.Service, orDash(r.Region), orDash(r.Version), r.Serving, r.Agents, r.Behind,
			formatFetched(r.ChunksHeld, r.ChunksTotal), orDash(formatProblems(r.Problems)))
	}
	// A write error is ignored: it means that standard output was closed.
	_ = table.Flush()
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func formatFetched(held, total int) string {
	if total == 0 {
		return "-"
	}
	return fmt.Sprintf("%d%%", 100*held/total)
}

func formatProblems(list []wire.AgentProblem) string {
	texts := make([]string, len(list))
	for i, p := range list {
		texts[i] = p.Agent + ": " + p.Problem
	}
	return strings.Join(texts, "; ")
}
