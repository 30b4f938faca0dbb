package gateway

import (
	"github.com/laburnumloft/laburnumloft/core/answerlength"
)

// estimateTokens estimates what a request will hold of an engine's memory.
func (g *Gateway) estimateTokens(req *request) float64 {
	if !g.cfg.CheckEngineMemory || req.call.LengthHint <= 0 {
		return req.maxTokens
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(max(req.call.PromptTokens, 0)) + g.lengths.Estimate(req.route.Name, req.call.LengthHint, req.call.OutputTokens)
}

// recordLength corrects the hints of the route's callers by a complete answer. An answer
// that the caller resumed has only a part of its events.
func (g *Gateway) recordLength(req *request, events int64) {
	if !g.cfg.CheckEngineMemory || req.call.Resumes {
		return
	}
	service := g.table.Load().Service(req.service)
	if service == nil || service.Engine == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lengths.Record(answerlength.Answer{
		Service: req.service, Kind: req.route.Name, Hint: req.call.LengthHint, Events: events, MeanTokens: service.Engine.UsualAnswer,
	})
}
