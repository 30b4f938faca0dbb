package platform

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Departure is how a caller ends its connection.
type Departure string

// Departures.
const (
	Closes Departure = "closes"
	Resets Departure = "resets"
	// EndsSending shuts down only the sending side.
	EndsSending Departure = "ends sending"
)

// Caller is one request over a connection of its own, by a caller that may leave
// before the answer.
type Caller struct {
	// ID, Method, Path and Deadline describe the request. Without a method it is a
	// POST.
	ID, Method, Path string
	Deadline         time.Duration
	// BodyBytes is the size of the body, and HeldBack how many of its bytes are never
	// sent. Chunked sends it without a length.
	BodyBytes, HeldBack int
	Chunked             bool
	// Further is sent behind the request after furtherDelay.
	Further string

	conn net.Conn
}

// furtherDelay separates the further bytes from the request, so that the server reads
// the request alone.
const furtherDelay = 50 * time.Millisecond

// Request returns the bytes of the request, without those held back.
func (c *Caller) Request() string {
	method := c.Method
	if method == "" {
		method = "POST"
	}
	head := fmt.Sprintf("%s %s%s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Credential: key\r\n",
		method, c.Path, c.ID, c.ID, c.Deadline.Milliseconds())
	body := strings.Repeat("b", c.BodyBytes)
	switch {
	case c.Chunked:
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	case c.BodyBytes > 0:
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body[:len(body)-c.HeldBack])
	default:
		return head + "\r\n"
	}
}

// Send connects and sends the request.
func (c *Caller) Send(address string) error {
	var err error
	if c.conn, err = net.DialTimeout("tcp4", address, time.Second); err != nil {
		return err
	}
	if _, err = io.WriteString(c.conn, c.Request()); err != nil || c.Further == "" {
		return err
	}
	<-time.After(furtherDelay)
	_, err = io.WriteString(c.conn, c.Further)
	return err
}

// Conn returns the caller's connection.
func (c *Caller) Conn() net.Conn { return c.conn }

// Leave ends the connection.
func (c *Caller) Leave(how Departure) error {
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok {
		return errors.New("the caller has no connection")
	}
	switch how {
	case EndsSending:
		return tcp.CloseWrite()
	case Resets:
		if err := tcp.SetLinger(0); err != nil {
			return err
		}
	}
	return tcp.Close()
}
