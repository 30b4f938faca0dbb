package main

import (
	"errors"
	"os"

	"github.com/laburnumloft/laburnumloft/node/lib/lifecycle"
	"github.com/laburnumloft/laburnumloft/node/lib/options"
	"github.com/laburnumloft/laburnumloft/node/lib/startsignal"
	"github.com/laburnumloft/laburnumloft/platform"
)

const platformHelp = "Runs an entry with the settings file that " + platform.SettingsVariable + " names, until SIGTERM." + exitCodes

// platformCommand runs an entry on the users' platform.
type platformCommand struct {
	platform.EntryFlags
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute(args []string) error {
	if err := options.NoArguments(args); err != nil {
		return err
	}
	path := os.Getenv(platform.SettingsVariable)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	ctx, _, release := lifecycle.Signals(startsignal.Stops())
	defer release()
	if ctx.Err() != nil {
		return nil
	}
	o := c.Options("entry", path, os.Stdout)
	o.Reloads = startsignal.Reloads()
	err = platform.RunEntry(ctx, settings, o)
	if err != nil && !errors.Is(err, platform.ErrSettings) {
		return &failure{err}
	}
	return err
}
