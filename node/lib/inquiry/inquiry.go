// Package inquiry asks the sources of a record according to core/relay's Inquiry.
package inquiry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/core/relay"
)

// ErrNoAnswer means that no source gave a usable answer in time.
var ErrNoAnswer = eris.New("no source gave a usable answer in time")

// Result is the outcome of an inquiry.
type Result[T any] struct {
	Answer T
	// Source is the source that answered.
	Source int
	// Failed holds the errors of the sources that failed, by source.
	Failed map[int]error
	// Silent lists the sources that had not answered when a less preferred one did, or
	// that were silent for longer than they may be.
	Silent   []int
	Duration time.Duration
}

// Run asks sources until one answers, and cancels the other calls then. It returns
// ErrNoAnswer if none answers in time.
func Run[T any](ctx context.Context, cfg relay.InquiryConfig, ask func(ctx context.Context, source int) (T, error)) (Result[T], error) {
	type outcome struct {
		source int
		answer T
		err    error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The buffer lets calls end that nobody waits for any more.
	outcomes := make(chan outcome, cfg.Sources)
	start := time.Now()
	q := relay.NewInquiry(cfg, start)
	result := Result[T]{Failed: map[int]error{}}
	finish := func(silent []int, err error) (Result[T], error) {
		result.Silent, result.Duration = silent, time.Since(start)
		return result, err
	}
	for {
		sources, again, over := q.Next(time.Now())
		if over {
			return finish(q.Silent(time.Now()), ErrNoAnswer)
		}
		for _, source := range sources {
			go func() {
				answer, err := ask(ctx, source)
				outcomes <- outcome{source, answer, err}
			}()
		}
		timer := time.NewTimer(time.Until(again))
		select {
		case o := <-outcomes:
			timer.Stop()
			if o.err == nil {
				result.Answer, result.Source = o.answer, o.source
				return finish(q.Overtaken(o.source), nil)
			}
			result.Failed[o.source] = o.err
			q.RecordFailure(o.source)
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return finish(nil, ctx.Err())
		}
	}
}
