package gateway

import (
	"errors"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// An answer that breaks off while it is held back must give nothing, so that the attempt
// beside it goes on; any other must give all its bytes in order.
func TestHeldBody(t *testing.T) {
	broken := errors.New("connection reset")
	for _, test := range []struct {
		name     string
		breaks   time.Duration
		end      error
		fallBack bool
		want     string
	}{
		{"breaks early", 0, broken, true, ""},
		{"breaks early, alone", 0, broken, false, "first second"},
		{"ends early", 0, io.EOF, true, "first second"},
		{"breaks late", 3 * holdBackTime, broken, true, "first second"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			reader, writer := io.Pipe()
			go func() {
				_, _ = io.WriteString(writer, "first ")
				<-time.After(test.breaks)
				_, _ = io.WriteString(writer, "second")
				_ = writer.CloseWithError(test.end)
			}()
			got, err := io.ReadAll(&heldBody{ReadCloser: reader, canFallBack: func() bool { return test.fallBack }})
			c.Check(string(got), qt.Equals, test.want)
			if !errors.Is(test.end, io.EOF) {
				c.Check(err, qt.Equals, test.end)
			}
		})
	}
}
