package main

import (
	"fmt"

	"github.com/laburnumloft/laburnumloft/node/lib/options"
)

const recoverHelp = "Closes a gap in the log: records have expired that no process has read, so all entries keep their older settings and wait. " +
	"Appends a snapshot of the settings in force at --entry to the log; without --entry, a snapshot of empty settings. " +
	"Changes in the expired records are lost. Refuses if the log has no gap." + exitCodes

// recoverCommand closes a gap in the log by appending a snapshot of the settings.
type recoverCommand struct {
	sourceOptions
}

// Execute implements flags.Commander.
func (c *recoverCommand) Execute(args []string) error {
	if err := options.FirstError(options.NoArguments(args), c.checkLog()); err != nil {
		return err
	}
	ctx, cancel := c.context()
	defer cancel()
	offset, err := c.client().Recover(ctx)
	if err != nil {
		return &failure{err}
	}
	if c.JSON {
		printJSON(map[string]int64{"offset": offset})
		return nil
	}
	fmt.Printf("settings are recovered; records from offset %d on take effect again\n", offset)
	return nil
}
