package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/route"
)

// The caller's hint must count only where engines' memory does, and only once answers of
// the route have shown how far off it is. What a request may hold at most stays known.
func TestHintsCountTowardsMemory(t *testing.T) {
	c := qt.New(t)
	for _, checked := range []bool{false, true} {
		r := newTestGateway(c)
		r.cfg.CheckEngineMemory = checked
		cfg := configuration(2)
		cfg.Services[0].Engine = &route.Engine{UsualAnswer: 100}
		c.Assert(r.Configure(cfg, "test"), qt.IsTrue)
		estimate := func() (tokens, most float64) {
			req := &request{call: Call{PromptTokens: 1000, OutputTokens: 400, LengthHint: 100}, route: &cfg.Routes[2]}
			c.Assert(r.assign(req, r.Table(), nil), qt.Equals, Reason(""))
			r.recordLength(req, 20)
			return req.tokens, req.maxTokens
		}
		first, _ := estimate()
		c.Check(first, qt.Equals, 1400.0)
		for range 100 {
			_, _ = estimate()
		}
		tokens, most := estimate()
		c.Check(most, qt.Equals, 1400.0)
		c.Check(tokens < 1200, qt.Equals, checked, qt.Commentf("%v", tokens))
		c.Check(tokens >= 1090, qt.IsTrue, qt.Commentf("%v", tokens))
	}
}
