package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/laburnumloft/laburnumloft/node/lib/lifecycle"
	"github.com/laburnumloft/laburnumloft/node/lib/options"
	"github.com/laburnumloft/laburnumloft/node/lib/startsignal"
	"github.com/laburnumloft/laburnumloft/platform"
)

// platformSubcommand as the first argument runs the agent on the users' platform.
const platformSubcommand = "platform"

// runPlatform runs an agent with the platform's settings file.
func runPlatform(args []string) int {
	var opts platform.Flags
	rest, err := flags.NewParser(&opts, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args)
	if err != nil {
		return options.Exit(err)
	}
	if err := options.NoArguments(rest); err != nil {
		return options.Exit(err)
	}
	path := os.Getenv(platform.SettingsVariable)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return options.Exit(err)
	}
	ctx, _, release := lifecycle.Signals(startsignal.Stops())
	defer release()
	if ctx.Err() != nil {
		return 0
	}
	o := opts.Options("agent", path, os.Stdout)
	o.Reloads = startsignal.Reloads()
	err = platform.RunAgent(ctx, settings, o)
	if errors.Is(err, platform.ErrSettings) {
		return options.Exit(err)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}
