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

// sources are the settings that the operators' commands share.
type sources struct {
	Entry   string        `long:"entry" env:"LABURNUM_ENTRY_URL" description:"URL of an entry"`
	LogURL  string        `long:"log-url" env:"LABURNUM_LOG_URL" description:"URL of the log service"`
	Timeout time.Duration `long:"timeout" env:"LABURNUM_TIMEOUT" default:"30s" description:"limit of the whole command"`
	JSON    bool          `long:"json" description:"print JSON"`
}

func (s *sources) check() error {
	checks := []error{options.Positive("timeout", s.Timeout)}
	if s.Entry != "" {
		checks = append(checks, options.URL("entry", s.Entry))
	}
	if s.LogURL != "" {
		checks = append(checks, options.URL("log-url", s.LogURL))
	}
	return options.FirstError(checks...)
}

// checkLog checks the settings of a command that needs the log.
func (s *sources) checkLog() error {
	return options.FirstError(options.URL("log-url", s.LogURL), s.check())
}

// checkEither checks the settings of a command that needs one source.
func (s *sources) checkEither() error {
	if s.Entry == "" && s.LogURL == "" {
		return &options.Invalid{Name: "log-url", Value: "", Allowed: "a URL for --log-url or --entry"}
	}
	return s.check()
}

func (s *sources) client() *operator.Client {
	return operator.New(s.LogURL, s.Entry)
}

func (s *sources) context() (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	return ctx, func() {
		cancel()
		stop()
	}
}

// checkKey checks a KEY argument.
func checkKey(key string) error {
	kind, name := settings.SplitKey(key)
	if (kind == settings.RecordTemplate || kind == settings.RecordParameters) && name != "" {
		return nil
	}
	return fmt.Errorf("argument KEY has value %q; allowed: template/NAME or parameters/WORKSPACE", key)
}

// file is one parsed document and where it comes from.
type file struct {
	path string
	doc  *settings.Document
}

// readFiles parses all documents. The error of a file that can't be read is
// one of usage; the problems of a document are printed.
func readFiles(paths []string, out *printer) ([]file, error) {
	var files []file
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("argument FILE has value %q; allowed: a readable file: %w", path, err)
		}
		docs, err := settings.ParseFile(data)
		if err != nil {
			out.refused(path, "", err)
		}
		for _, doc := range docs {
			files = append(files, file{path, doc})
		}
	}
	return files, nil
}

func printJSON(value any) {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	// A failed write means that the reader has gone.
	_ = encoder.Encode(value)
}
