package stager

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/rollout"
	"github.com/laburnumloft/laburnumloft/standin/rawserver"
)

// An agent whose answer has a malformed field name has not said that it has the version.
func TestAnswerOfAPeerWithAMalformedFieldName(t *testing.T) {
	c := qt.New(t)
	for _, answer := range rawserver.WithFields("200 OK", `{"version":2}`) {
		peer := rollout.Peer{ID: "p", Address: rawserver.StartSame(c, answer.Answer).Address()}
		done := newPeerClient().state(c.Context(), peer, 2) == rollout.PredecessorDone
		c.Check(done, qt.Equals, answer.Valid, qt.Commentf("%s", answer.Name))
	}
}
