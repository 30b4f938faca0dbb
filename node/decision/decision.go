// Package decision writes one structured line for each decision that touches
// a request or changes what the process believes.
//
// Lines go through two bounded rings to one writer, so that a slow or blocked
// output delays no request. Refusals, failures and changes of belief have a
// ring of their own; under load routine lines are dropped first. What was
// dropped is counted and summed up in a line of its own.
package decision

import (
	"context"
	"expvar"
	"io"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
)

const (
	// importantLines and routineLines bound the rings, in lines of up to
	// about 500 bytes.
	importantLines = 2048
	routineLines   = 256
	// summaryEvery is the time between two lines on dropped lines.
	summaryEvery = 5 * time.Second
	// linesPerSecond bounds the output of one process. At 400 bytes a line it
	// is 80 KB a second.
	linesPerSecond = 200
)

var dropped = expvar.NewMap("log_lines_dropped_total")

// Config sets up a Log.
type Config struct {
	// Part is the fixed prefix of the lines.
	Part   string
	Output io.Writer
	// RoutineShare keeps one of so many routine lines; 1 keeps all, 0 none.
	RoutineShare uint32
}

// Log takes lines from all goroutines.
type Log struct {
	cfg       Config
	logger    hclog.Logger
	important chan line
	routine   chan line
	lost      atomic.Int64
}

type line struct {
	event string
	at    time.Time
	args  []any
}

// New returns a log; Run writes it.
func New(cfg Config) *Log {
	return &Log{
		cfg: cfg,
		logger: hclog.New(&hclog.LoggerOptions{
			Name: cfg.Part, JSONFormat: true, Output: cfg.Output, Level: hclog.Info, DisableTime: true,
		}),
		important: make(chan line, importantLines),
		routine:   make(chan line, routineLines),
	}
}

// Event records a change of belief, a refusal or a failure.
func (l *Log) Event(event string, args ...any) {
	l.push(l.important, "important", line{event, time.Now(), args})
}

// Routine records a success. Lines are sampled by request id, so that all
// lines of one request are kept or none.
func (l *Log) Routine(event, requestID string, args ...any) {
	if l.cfg.RoutineShare == 0 || xxhash.Sum64String(requestID)%uint64(l.cfg.RoutineShare) != 0 {
		return
	}
	l.push(l.routine, "routine", line{event, time.Now(), append([]any{"request", requestID}, args...)})
}

func (l *Log) push(ring chan line, name string, item line) {
	select {
	case ring <- item:
	default:
		dropped.Add(name, 1)
		l.lost.Add(1)
	}
}

// Run writes lines until ctx ends, and then what still waits.
func (l *Log) Run(ctx context.Context) {
	summary := time.NewTicker(summaryEvery)
	defer summary.Stop()
	window, written := time.Now(), 0
	for {
		var item line
		select {
		case item = <-l.important:
		default:
			select {
			case item = <-l.important:
			case item = <-l.routine:
			case <-summary.C:
				l.summarize()
				continue
			case <-ctx.Done():
				l.flush()
				return
			}
		}
		if time.Since(window) >= time.Second {
			window, written = time.Now(), 0
		}
		if written++; written > linesPerSecond {
			dropped.Add("rate", 1)
			l.lost.Add(1)
			continue
		}
		l.write(item)
	}
}

func (l *Log) flush() {
	for {
		select {
		case item := <-l.important:
			l.write(item)
		default:
			l.summarize()
			return
		}
	}
}

func (l *Log) summarize() {
	if n := l.lost.Swap(0); n > 0 {
		l.write(line{"log_lines_dropped", time.Now(), []any{"lines", n}})
	}
}

func (l *Log) write(item line) {
	l.logger.Info(item.event, append([]any{"at", item.at.UTC().Format("15:04:05.000")}, item.args...)...)
}
