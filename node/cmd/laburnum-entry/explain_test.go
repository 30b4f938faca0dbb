package main

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Sizes must reach the entry as they are given, also equal ones, and others must be refused
// before it is asked.
func TestTokensOfAQuestion(t *testing.T) {
	c := qt.New(t)
	for text, want := range map[string][]int{"": {0, 0, 0}, "100,100": {100, 100, 0}, "1290, 80,60": {1290, 80, 60}, "1": nil, "1,2,3,4": nil, "1,-2": nil, "a,b": nil} {
		command := explainCommand{Entry: "127.0.0.1:1", Host: "h", Path: "/p", Output: "text", Tokens: text}
		q, err := command.question()
		if want == nil {
			c.Check(err, qt.ErrorMatches, ".*tokens.*", qt.Commentf("%q", text))
			continue
		}
		c.Check(err, qt.IsNil)
		c.Check([]int{q.PromptTokens, q.OutputTokens, q.LengthHint}, qt.DeepEquals, want, qt.Commentf("%q", text))
	}
}
