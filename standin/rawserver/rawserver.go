// Package rawserver plays HTTP/1 servers whose answers are written byte by byte, so that they
// may be malformed, come before the request has been read, or end with a reset.
package rawserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// End is how a server ends a connection.
type End int

// Ends of a connection.
const (
	// Orderly sends the end of the output, reads the rest of the request and closes.
	Orderly End = iota
	// Reset drops what the server has not read and resets the connection.
	Reset
)

// WholeBody as ReadFirst reads the whole body of a request before the answer.
const WholeBody = -1

// Answer is one answer of a server.
type Answer struct {
	// Bytes are sent as they are: head and body.
	Bytes string
	// ReadFirst is the number of bytes of the request's body that are read before the answer.
	ReadFirst int64
	// Pause is the time between the answer and the end of the connection.
	Pause time.Duration
	End   End
}

// Framing is how an answer marks the end of its body.
type Framing string

// Framings.
const (
	ByConnection Framing = "connection"
	ByLength     Framing = "length"
	ByChunks     Framing = "chunks"
)

// Whole returns an answer with this head, whose lines end with CRLF, and body.
func (f Framing) Whole(head, body string) string {
	switch f {
	case ByLength:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	case ByChunks:
		return f.Cut(head, body) + "0\r\n\r\n"
	default:
		return head + "\r\n" + body
	}
}

// Cut returns an answer whose body has no end, except by that of its connection.
func (f Framing) Cut(head, part string) string {
	switch f {
	case ByLength:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(part)+1, part)
	case ByChunks:
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(part), part)
	default:
		return f.Whole(head, part)
	}
}

// UploadBytes are sizes of requests that a connection's sockets hold in part or not at all, so
// that an answer comes while they are being sent.
var UploadBytes = []int{1 << 20, 6 << 20, 12 << 20}

// Resets returns answers that come before the request has been read and end with a reset: while
// they are sent, while the caller reads them and when it waits for more.
func Resets(bytes string) []Answer {
	var answers []Answer
	for _, pause := range []time.Duration{0, 3 * time.Millisecond, 60 * time.Millisecond} {
		answers = append(answers, Answer{Bytes: bytes, Pause: pause, End: Reset})
	}
	return answers
}

// Early returns an answer that comes before the request has been read and ends in order.
func Early(bytes string) Answer { return Answer{Bytes: bytes, Pause: 20 * time.Millisecond} }

// Test is the part of testing.TB that a server needs.
type Test interface {
	Cleanup(stop func())
	Fatal(args ...any)
}

// Server answers each request on a connection of its own.
type Server struct {
	listener net.Listener
	answer   func(*http.Request) Answer
	requests atomic.Int32
}

// Start starts a server on a port of the loopback address for one test. answer is called for
// each request, before its body is read.
func Start(t Test, answer func(*http.Request) Answer) *Server {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &Server{listener: listener, answer: answer}
	go s.accept()
	return s
}

// StartSame starts a server that gives one answer to each request.
func StartSame(t Test, answer Answer) *Server {
	return Start(t, func(*http.Request) Answer { return answer })
}

// Address returns the server's address in the form IP:PORT.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Requests returns the number of requests whose head was read.
func (s *Server) Requests() int32 { return s.requests.Load() }

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn.(*net.TCPConn))
	}
}

// serve answers one request. A failed write means that the caller has left.
func (s *Server) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	s.requests.Add(1)
	a := s.answer(req)
	first := io.Reader(req.Body)
	if a.ReadFirst != WholeBody {
		first = io.LimitReader(req.Body, a.ReadFirst)
	}
	_, _ = io.Copy(io.Discard, first)
	_, _ = io.WriteString(conn, a.Bytes)
	time.Sleep(a.Pause)
	if a.End == Reset {
		_ = conn.SetLinger(0)
		return
	}
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}
