package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/laburnumloft/laburnumloft/core/settings"
	"github.com/laburnumloft/laburnumloft/node/lib/options"
	"github.com/laburnumloft/laburnumloft/node/operator"
)

// sourceOptions are the options that the operators' commands share: where they
// read the settings from, and how they run and print.
type sourceOptions struct {
	Entry   string        `long:"entry" env:"LABURNUM_ENTRY_URL" description:"URL of an entry"`
	LogURL  string        `long:"log-url" env:"LABURNUM_LOG_URL" description:"URL of the log service"`
	Timeout time.Duration `long:"timeout" env:"LABURNUM_TIMEOUT" default:"30s" description:"limit of the whole command"`
	JSON    bool          `long:"json" description:"print JSON"`
}

func (s *sourceOptions) check() error {
	checks := []error{options.Positive("timeout", s.Timeout)}
	if s.Entry != "" {
		checks = append(checks, options.URL("entry", s.Entry))
	}
	if s.LogURL != "" {
		checks = append(checks, options.URL("log-url", s.LogURL))
	}
	return options.FirstError(checks...)
}

// checkLog checks the options of a command that needs the log.
func (s *sourceOptions) checkLog() error {
	return options.FirstError(options.URL("log-url", s.LogURL), s.check())
}

// checkLogOrEntry checks the options of a command that needs the log or an entry.
func (s *sourceOptions) checkLogOrEntry() error {
	if s.Entry == "" && s.LogURL == "" {
		return &options.Invalid{Name: "log-url", Value: "", Allowed: "a URL for --log-url or --entry"}
	}
	return s.check()
}

func (s *sourceOptions) client() *operator.Client {
	return operator.New(s.LogURL, s.Entry)
}

// context returns a context that ends at the timeout or at SIGTERM or SIGINT.
func (s *sourceOptions) context() (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	return ctx, func() {
		cancel()
		stop()
	}
}

// checkKey checks the form of a KEY argument.
func checkKey(key string) error {
	kind, name := settings.SplitKey(key)
	if (kind == settings.RecordTemplate || kind == settings.RecordParameters) && name != "" {
		return nil
	}
	return fmt.Errorf("argument KEY has value %q; allowed: template/NAME or parameters/WORKSPACE", key)
}

// inputDocument is a parsed document with the path of its file.
type inputDocument struct {
	path string
	doc  *settings.Document
}

// readDocuments parses all documents of the files. It returns a usage error if a
// file can't be read. Files that can't be parsed are added to out as refused.
func readDocuments(paths []string, out *verdictPrinter) ([]inputDocument, error) {
	var documents []inputDocument
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("argument FILE has value %q; allowed: a readable file: %w", path, err)
		}
		docs, err := settings.ParseFile(data)
		if err != nil {
			out.addRefused(path, "", err)
		}
		for _, doc := range docs {
			documents = append(documents, inputDocument{path, doc})
		}
	}
	return documents, nil
}

func printJSON(value any) {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	// A write error is ignored: it means that standard output was closed.
	_ = encoder.Encode(value)
}
