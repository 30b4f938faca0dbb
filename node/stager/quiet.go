package stager

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/laburnumloft/laburnumloft/node/decision"
	"github.com/laburnumloft/laburnumloft/node/lib/bootclock"
)

// ErrQuiet means that a call was not sent, because the engine or the origin refused an
// earlier one and wants no calls from this agent for a while.
var ErrQuiet = eris.New("the server wants no calls for a while")

// RefusedError is returned for a call that was refused with a time to return.
type RefusedError struct {
	RetryAfter time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "the server refused the call and wants none for " + e.RetryAfter.String()
}

// quietTime keeps calls away from a server that refused one.
type quietTime struct {
	log    *decision.Log
	server string

	mu    sync.Mutex
	until time.Time
}

// begin returns ErrQuiet while no call may be sent.
func (q *quietTime) begin() error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if bootclock.Now().Before(q.until) {
		return ErrQuiet
	}
	return nil
}

// end records the result of a call and returns its error.
func (q *quietTime) end(err error) error {
	var refused *RefusedError
	if !errors.As(err, &refused) {
		return err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if until := bootclock.Now().Add(refused.RetryAfter); until.After(q.until) {
		q.until = until
		q.log.Event("server_quiet", "server", q.server, "quiet_ms", refused.RetryAfter.Milliseconds(), "source", "agent_call")
	}
	return err
}

// quietCall makes a call unless the server wants none.
func quietCall[T any](q *quietTime, call func() (T, error)) (T, error) {
	if err := q.begin(); err != nil {
		var none T
		return none, err
	}
	result, err := call()
	return result, q.end(err)
}

// quietEngine is an Engine to which no calls are sent in its quiet times.
type quietEngine struct {
	Engine
	quiet *quietTime
}

// State implements Engine.
func (e quietEngine) State(ctx context.Context) (EngineState, error) {
	return quietCall(e.quiet, func() (EngineState, error) { return e.Engine.State(ctx) })
}

// StagedPieces implements Engine.
func (e quietEngine) StagedPieces(ctx context.Context, model string) ([]int, error) {
	return quietCall(e.quiet, func() ([]int, error) { return e.Engine.StagedPieces(ctx, model) })
}

// Put implements Engine.
func (e quietEngine) Put(ctx context.Context, model string, number int, data []byte) error {
	if err := e.quiet.begin(); err != nil {
		return err
	}
	return e.quiet.end(e.Engine.Put(ctx, model, number, data))
}

// Get implements Engine.
func (e quietEngine) Get(ctx context.Context, model string, number int) ([]byte, error) {
	return quietCall(e.quiet, func() ([]byte, error) { return e.Engine.Get(ctx, model, number) })
}

// Load implements Engine.
func (e quietEngine) Load(ctx context.Context, model string, version int64, before time.Time) error {
	if err := e.quiet.begin(); err != nil {
		return err
	}
	return e.quiet.end(e.Engine.Load(ctx, model, version, before))
}

// quietOrigin is an Origin to which no calls are sent in its quiet times.
type quietOrigin struct {
	Origin
	quiet *quietTime
}

// Manifest implements Origin.
func (o quietOrigin) Manifest(ctx context.Context, model string, version int64) (*Manifest, error) {
	return quietCall(o.quiet, func() (*Manifest, error) { return o.Origin.Manifest(ctx, model, version) })
}

// Piece implements Origin.
func (o quietOrigin) Piece(ctx context.Context, model string, version int64, number int) ([]byte, error) {
	return quietCall(o.quiet, func() ([]byte, error) { return o.Origin.Piece(ctx, model, version, number) })
}
