package response

import (
	"errors"
	"io"
	"net"
	"sync"
)

// conn is a connection of which a read returns io.EOF only if the request was sent without an
// error. Linux reports a reset once for a socket: if the write of the request takes the error,
// the next read finds the end of the input, as after an orderly end.
type conn struct {
	net.Conn

	mu      sync.Mutex
	changed *sync.Cond
	// sending means that net/http is writing a request, writing that a call of Write has not
	// returned. The last bytes of a request, from net/http's buffer, are written after sending
	// has ended.
	sending, writing bool
	// responded means that bytes have arrived since the request was begun.
	responded bool
	// failed means that a write has failed, closed that Close was called.
	failed, closed bool
	// head is the head of the response to the current request; none with TLS.
	head headRecorder
}

func newConn(inner net.Conn) *conn {
	c := &conn{Conn: inner, head: headRecorder{ended: true}}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// beginRequest records that a request is begun; plain means that it is not encrypted.
func (c *conn) beginRequest(plain bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sending, c.responded = true, false
	c.head = headRecorder{ended: !plain}
}

// takeHead returns the head of the response and ends its recording.
func (c *conn) takeHead() headRecorder {
	c.mu.Lock()
	defer c.mu.Unlock()
	head := c.head
	c.head = headRecorder{ended: true}
	return head
}

// endRequest records that net/http has written the request to its buffer, or why it could not.
func (c *conn) endRequest(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sending = false
	c.failed = c.failed || err != nil
	c.changed.Broadcast()
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writing = true
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.failed = c.failed || err != nil
	c.changed.Broadcast()
	return n, err
}

// Read implements net.Conn. The end of a response is returned once it is known whether the
// request was sent; without a response there is nothing to wait for.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responded = c.responded || n > 0
	c.head.record(p[:n])
	if !errors.Is(err, io.EOF) || !c.responded {
		return n, err
	}
	for (c.sending || c.writing) && !c.failed && !c.closed {
		c.changed.Wait()
	}
	if c.failed || c.closed {
		return n, ErrUnsentRequest
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}
