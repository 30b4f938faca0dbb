package response

import (
	"io"
	"net"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

// scriptedConn is a connection with this input, whose writes wait for their result.
type scriptedConn struct {
	net.Conn
	input  io.Reader
	writes chan error
}

func (c *scriptedConn) Read(p []byte) (int, error)  { return c.input.Read(p) }
func (c *scriptedConn) Write(p []byte) (int, error) { return len(p), <-c.writes }
func (c *scriptedConn) Close() error                { close(c.writes); return nil }

// The end of a connection whose reset the write of the request has met must not look like the
// end of a response, whichever of the two calls returns first.
func TestEndOfInputWaitsForTheRequest(t *testing.T) {
	for name, test := range map[string]struct {
		meanwhile func(c *conn, writes chan error)
		want      error
	}{
		"the write fails": {func(_ *conn, writes chan error) { writes <- io.ErrClosedPipe }, ErrUnsentRequest},
		"a later write fails": {func(c *conn, writes chan error) {
			writes <- nil
			synctest.Wait()
			c.endRequest(io.ErrClosedPipe)
		}, ErrUnsentRequest},
		"the caller closes":    {func(c *conn, _ chan error) { _ = c.Close() }, ErrUnsentRequest},
		"the request was sent": {func(c *conn, writes chan error) { c.endRequest(nil); writes <- nil }, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				writes, result := make(chan error), make(chan error, 1)
				input, send := io.Pipe()
				c := newConn(&scriptedConn{input: input, writes: writes})
				c.beginRequest(true)
				go func() { _, _ = c.Write([]byte("request")) }()
				go func() {
					_, err := io.ReadFull(c, make([]byte, 5))
					result <- err
				}()
				_, _ = send.Write([]byte("part"))
				_ = send.Close()
				synctest.Wait()
				qt.Assert(t, result, qt.HasLen, 0, qt.Commentf("the end was returned before the request was sent"))
				test.meanwhile(c, writes)
				if test.want == io.EOF {
					// io.ReadFull returns this for an end after a part.
					test.want = io.ErrUnexpectedEOF
				}
				qt.Check(t, <-result, qt.Equals, test.want)
			})
		})
	}
}
