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

// statusInterval is the time between two looks with --wait.
const statusInterval = 500 * time.Millisecond

// statusCommand shows the convergence of the fleet.
type statusCommand struct {
	sources
	Wait bool `long:"wait" description:"show progress until all VMs have converged"`
	// Offset keeps a status from right after a publish from looking converged
	// before the entry has read the change.
	Offset int64 `long:"offset" description:"offset that publish printed; not converged before it is in force"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute(rest []string) error {
	if err := options.FirstError(options.NoArguments(rest), options.URL("entry", c.Entry), c.check()); err != nil {
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
			if now := fmt.Sprint(*status); now != printed {
				printed = now
				c.print(status)
			}
			if !c.Wait || status.Converged {
				return nil
			}
		}
		if !wait(ctx, statusInterval) {
			return &failure{eris.Errorf("not converged within %s", c.Timeout)}
		}
	}
}

func wait(ctx context.Context, d time.Duration) bool {
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
			fetched(r.ChunksHeld, r.ChunksTotal), orDash(problems(r.Problems)))
	}
	// A failed write means that the reader has gone.
	_ = table.Flush()
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func fetched(held, total int) string {
	if total == 0 {
		return "-"
	}
	return fmt.Sprintf("%d%%", 100*held/total)
}

func problems(list []wire.AgentProblem) string {
	texts := make([]string, len(list))
	for i, p := range list {
		texts[i] = p.Agent + ": " + p.Problem
	}
	return strings.Join(texts, "; ")
}
