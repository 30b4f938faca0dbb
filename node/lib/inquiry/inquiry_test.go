package inquiry

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/core/relay"
)

// A source that hangs must not hold up the answer of the next one, must be reported as
// silent, and its call must end with the inquiry.
func TestRunPassesSilentSources(t *testing.T) {
	c := qt.New(t)
	cfg := relay.InquiryConfig{Sources: 3, FirstPatience: 30 * time.Millisecond, Patience: 30 * time.Millisecond, Timeout: 5 * time.Second}
	broken := errors.New("broken")
	ended := make(chan struct{})
	result, err := Run(t.Context(), cfg, func(ctx context.Context, source int) (string, error) {
		switch source {
		case 0:
			<-ctx.Done()
			close(ended)
			return "", ctx.Err()
		case 1:
			return "", broken
		default:
			return "answer", nil
		}
	})
	c.Assert(err, qt.IsNil)
	c.Check(result.Answer, qt.Equals, "answer")
	c.Check(result.Source, qt.Equals, 2)
	c.Check(result.Silent, qt.DeepEquals, []int{0})
	c.Check(result.Failed[1], qt.Equals, broken)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		c.Fatal("the call to the silent source did not end")
	}
}

// An inquiry without a live source must end in time.
func TestRunEndsWithoutAnswer(t *testing.T) {
	c := qt.New(t)
	cfg := relay.InquiryConfig{Sources: 8, FirstPatience: 100 * time.Millisecond, Patience: 50 * time.Millisecond, Timeout: 200 * time.Millisecond}
	start := time.Now()
	result, err := Run(t.Context(), cfg, func(ctx context.Context, _ int) (int, error) {
		<-ctx.Done()
		return 0, ctx.Err()
	})
	c.Assert(err, qt.ErrorIs, ErrNoAnswer)
	c.Check(time.Since(start) < 2*time.Second, qt.IsTrue)
	c.Check(len(result.Silent) >= 2, qt.IsTrue)
}
