// Package decision writes a structured log line for each decision on a request
// and for each change in what the process knows about servers, engines and
// settings.
//
// Lines pass through two bounded queues to a single writer, so that a slow or
// blocked output delays no request. Refusals, failures and state changes have a
// queue of their own, so that routine lines are dropped first under load. Dropped
// lines are counted, and their number is logged as an event.
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
	// importantCapacity and routineCapacity are the numbers of lines that the
	// queues hold. A line has up to about 500 bytes.
	importantCapacity = 2048
	routineCapacity   = 256
	// summaryInterval is the time between two reports of dropped lines.
	summaryInterval = 5 * time.Second
	// maxLinesPerSecond limits the output of one process. At 400 bytes a line
	// this is 80 KB/s.
	maxLinesPerSecond = 200
)

var droppedTotal = expvar.NewMap("log_lines_dropped_total")

// Config sets up a Log.
type Config struct {
	// Part is the logger name in each line, for example "entry".
	Part   string
	Output io.Writer
	// RoutineShare is the divisor for sampling routine lines: one of every
	// RoutineShare requests is logged. 1 logs all of them, 0 none.
	RoutineShare uint32
}

// Log is a structured log that is safe for concurrent use and never blocks its
// callers.
type Log struct {
	cfg                 Config
	logger              hclog.Logger
	important           chan line
	routine             chan line
	droppedSinceSummary atomic.Int64
}

type line struct {
	event string
	at    time.Time
	args  []any
}

// New returns a log. Its lines are written by Run.
func New(cfg Config) *Log {
	return &Log{
		cfg: cfg,
		logger: hclog.New(&hclog.LoggerOptions{
			Name: cfg.Part, JSONFormat: true, Output: cfg.Output, Level: hclog.Info, DisableTime: true,
		}),
		important: make(chan line, importantCapacity),
		routine:   make(chan line, routineCapacity),
	}
}

// Event logs a state change, a refusal or a failure.
func (l *Log) Event(event string, args ...any) {
	l.enqueue(l.important, "important", line{event, time.Now(), args})
}

// Routine logs a success. Lines are sampled by request id, so that either all or
// none of the lines of a request are kept.
func (l *Log) Routine(event, requestID string, args ...any) {
	if l.cfg.RoutineShare == 0 || xxhash.Sum64String(requestID)%uint64(l.cfg.RoutineShare) != 0 {
		return
	}
	l.enqueue(l.routine, "routine", line{event, time.Now(), append([]any{"request", requestID}, args...)})
}

func (l *Log) enqueue(queue chan line, name string, item line) {
	select {
	case queue <- item:
	default:
		droppedTotal.Add(name, 1)
		l.droppedSinceSummary.Add(1)
	}
}

// Run writes lines until ctx ends, and then the important lines that are still
// queued.
func (l *Log) Run(ctx context.Context) {
	summary := time.NewTicker(summaryInterval)
	defer summary.Stop()
	windowStart, writtenInWindow := time.Now(), 0
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
		if time.Since(windowStart) >= time.Second {
			windowStart, writtenInWindow = time.Now(), 0
		}
		if writtenInWindow++; writtenInWindow > maxLinesPerSecond {
			droppedTotal.Add("rate", 1)
			l.droppedSinceSummary.Add(1)
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
	if n := l.droppedSinceSummary.Swap(0); n > 0 {
		l.write(line{"log_lines_dropped", time.Now(), []any{"lines", n}})
	}
}

func (l *Log) write(item line) {
	l.logger.Info(item.event, append([]any{"at", item.at.UTC().Format("15:04:05.000")}, item.args...)...)
}
