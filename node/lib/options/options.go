// Package options defines and validates the options that the entry and agent
// programs share.
package options

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"

	"github.com/laburnumloft/laburnumloft/node/lib/telemetry"
)

// ExitUsage is the exit code for an invalid option.
const ExitUsage = 2

// Place identifies a process and the region and zone it runs in.
type Place struct {
	ID     string `long:"id" env:"LABURNUM_ID" required:"true" description:"unique name of this process"`
	Region string `long:"region" env:"LABURNUM_REGION" required:"true" description:"region of this VM"`
	Zone   string `long:"zone" env:"LABURNUM_ZONE" required:"true" description:"availability zone of this VM"`
}

// Intake are the options that bound what callers make a process hold.
type Intake struct {
	HeldBodyBytes  int64 `long:"held-body-bytes" env:"LABURNUM_HELD_BODY_BYTES" default:"67108864" description:"largest size of all bodies of requests together in bytes"`
	MaxConnections int   `long:"max-connections" env:"LABURNUM_MAX_CONNECTIONS" default:"8192" description:"largest number of connections of a listener"`
}

// Check returns an error for the first invalid option.
func (i Intake) Check() error {
	return FirstError(Positive("held-body-bytes", i.HeldBodyBytes), Positive("max-connections", i.MaxConnections))
}

// Telemetry are the options for logs and traces.
type Telemetry struct {
	LogLevel      string `long:"log-level" env:"LABURNUM_LOG_LEVEL" default:"info" description:"trace, debug, info, warn or error"`
	LogFormat     string `long:"log-format" env:"LABURNUM_LOG_FORMAT" default:"text" description:"text or json"`
	TraceExporter string `long:"trace-exporter" env:"LABURNUM_TRACE_EXPORTER" default:"off" description:"off, stdout or otlp"`
	OTLPEndpoint  string `long:"otlp-endpoint" env:"LABURNUM_OTLP_ENDPOINT" description:"URL of an OTLP/HTTP collector"`
}

// Invalid is the error for an option with an invalid value.
type Invalid struct {
	Name, Value, Allowed string
}

// Error implements error.
func (e *Invalid) Error() string {
	return fmt.Sprintf("setting --%s has value %q; allowed: %s", e.Name, e.Value, e.Allowed)
}

// Config returns the telemetry configuration of a program.
func (t Telemetry) Config(program, id string) telemetry.Config {
	return telemetry.Config{
		Program: program, ID: id, LogLevel: t.LogLevel, LogFormat: t.LogFormat, LogOutput: os.Stderr,
		TraceExporter: t.TraceExporter, OTLPEndpoint: t.OTLPEndpoint,
	}
}

// Check returns an error for the first invalid option.
func (t Telemetry) Check() error {
	if hclog.LevelFromString(t.LogLevel) == hclog.NoLevel {
		return &Invalid{"log-level", t.LogLevel, "trace, debug, info, warn, error"}
	}
	if err := OneOf("log-format", t.LogFormat, "text", "json"); err != nil {
		return err
	}
	if err := OneOf("trace-exporter", t.TraceExporter, "off", "stdout", "otlp"); err != nil {
		return err
	}
	if t.TraceExporter == "otlp" {
		return URL("otlp-endpoint", t.OTLPEndpoint)
	}
	return nil
}

// OneOf checks that value is one of allowed.
func OneOf(name, value string, allowed ...string) error {
	if slices.Contains(allowed, value) {
		return nil
	}
	return &Invalid{name, value, strings.Join(allowed, ", ")}
}

// Positive checks that a number or a duration is above zero.
func Positive[T ~int | ~int64](name string, value T) error {
	if value > 0 {
		return nil
	}
	return &Invalid{name, fmt.Sprint(value), "values above zero"}
}

// MinStallTimeout is the smallest allowed stall timeout. It is longer than a
// request may wait in an agent's queue, so that a queued request is not treated
// as stalled.
const MinStallTimeout = 2 * time.Second

// AtLeast checks that value is at least least.
func AtLeast[T ~int | ~int64](name string, value, least T) error {
	if value >= least {
		return nil
	}
	return &Invalid{name, fmt.Sprint(value), fmt.Sprintf("at least %v", least)}
}

// NoArguments returns an error if there are arguments that belong to no flag.
func NoArguments(args []string) error {
	if len(args) == 0 {
		return nil
	}
	return &flags.Error{Type: flags.ErrUnknown, Message: fmt.Sprintf("unknown argument %q; allowed: flags only, see --help", args[0])}
}

// FirstError returns the first non-nil error, or nil.
func FirstError(checks ...error) error {
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}

// URL checks that value is an absolute http or https URL.
func URL(name, value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return &Invalid{name, value, "an http or https URL"}
	}
	return nil
}

// Address checks that value is an IP address and a port.
func Address(name, value string) error {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return &Invalid{name, value, "IP:PORT"}
	}
	return nil
}

// Exit prints the error of a flags parser on one line and returns the exit code.
// For --help it prints the help text and returns 0.
func Exit(err error) int {
	if err == nil {
		return 0
	}
	if flagErr, ok := err.(*flags.Error); ok && flagErr.Type == flags.ErrHelp {
		fmt.Println(flagErr.Message)
		return 0
	}
	fmt.Fprintln(os.Stderr, strings.ReplaceAll(err.Error(), "\n", " "))
	return ExitUsage
}
