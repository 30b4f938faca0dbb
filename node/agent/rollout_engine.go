package agent

import (
	"context"
	"time"

	"github.com/laburnumloft/laburnumloft/core/rollout"
	"github.com/laburnumloft/laburnumloft/node/lib/ring"
	"github.com/laburnumloft/laburnumloft/node/lib/wire"
)

// order gives a load order to the engine. Without an answer nothing is
// assumed: the engine's later status decides.
func (l *rolloutLoop) order(ctx context.Context, action rollout.Action) {
	intent := action.Intent
	if _, _, ok := l.store.pieces(versionKey{intent.Model, intent.Version}); !ok {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.machine.RecordOrderAnswer()
		l.machine.RecordFreed(intent)
		return
	}
	l.publish()
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	answered, err := l.agent.engine.load(ctx, wire.LoadOrder{
		Model: intent.Model, Version: intent.Version, Digest: action.Order.Digest,
		Fence:  wire.Fence{Offset: action.Order.Fence.Offset, StartMS: action.Order.Fence.StartMS},
		Source: "http://" + l.dataAddress + "/weights/v1/" + intent.Model + "/" + intent.Version + "/data",
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	if answered {
		l.machine.RecordOrderAnswer()
	}
	if err != nil {
		l.machine.RecordProblem(intent, "load order: "+err.Error())
		l.logger.Warn("load order failed; asking the engine", "version", intent.Version, "answered", answered, "error", err)
	}
}

// watchEngine asks the engine for its status for as long as ctx lasts.
func (d *rolloutDuty) watchEngine(ctx context.Context, answers *ring.Ring[engineAnswer]) {
	ticker := time.NewTicker(engineStatusEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.mu.Lock()
		orders := d.orders
		d.mu.Unlock()
		if orders == 0 {
			continue
		}
		checkCtx, cancel := context.WithTimeout(ctx, engineTimeout)
		status, err := d.agent.engine.status(checkCtx)
		cancel()
		answers.Push(ctx, engineAnswer{status: status, err: err, orders: orders})
	}
}

// engineSaid passes the engine's report to the machine.
func (l *rolloutLoop) engineSaid(answer engineAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer.orders != l.orders {
		return
	}
	before := l.machine.Status()
	if answer.err != nil {
		l.machine.RecordMissedCheck(time.Now())
	} else {
		l.machine.HandleEngineReport(rollout.EngineReport{
			Model: answer.status.Model, Version: answer.status.Version, Digest: answer.status.Digest,
			Fence:   rollout.Fence{Offset: answer.status.Fence.Offset, StartMS: answer.status.Fence.StartMS},
			Ready:   answer.status.State == wire.EngineReady,
			Loading: answer.status.State == wire.EngineLoading,
		}, time.Now())
	}
	if after := l.machine.Status(); after.Serving != before.Serving {
		l.logger.Info("served version changed", "version", after.Serving, "was", before.Serving)
	}
}
