// Package rawserver plays HTTP/1 servers whose answers are written byte by byte, so that they
// may be malformed, come before the request has been read, or end with a reset.
package rawserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
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

// ResetPauses are times between an answer and a reset.
var ResetPauses = []time.Duration{0, 3 * time.Millisecond, 60 * time.Millisecond}

// orderlyPause is the time between an answer and the end of the output.
const orderlyPause = 20 * time.Millisecond

// SoundField is a line of a head that is well formed.
const SoundField = "X-Field: v"

// MalformedFields returns lines of a head in which the name of a field has a blank or a control
// byte. A blank at the begin of a line is left out: it continues the line before.
func MalformedFields() []string {
	lines := []string{"X Field: v", "X-Field : v", "Transfer-Encoding : chunked", "Content-Length : 2", "Transfer Encoding: chunked", "X\tField: v", "X-Field\t: v"}
	for _, b := range "\x00\x01\x08\x0b\x0c\x0e\x1b\x1f\x7f" {
		lines = append(lines, fmt.Sprintf("%cX-Field: v", b), fmt.Sprintf("X-%cField: v", b), fmt.Sprintf("X-Field%c: v", b))
	}
	return lines
}

// Judged is an answer with what a caller must make of it.
type Judged struct {
	Answer
	// Name tells the answer from others.
	Name string
	// Valid means that a caller may take it for an answer.
	Valid bool
}

// WithFields returns an answer with a sound field, and the same with each malformed one.
func WithFields(status, body string) []Judged {
	var answers []Judged
	for _, line := range append([]string{SoundField}, MalformedFields()...) {
		bytes := ByConnection.Whole("HTTP/1.1 "+status+"\r\n"+line+"\r\n", body)
		answers = append(answers, Judged{Answer{Bytes: bytes, ReadFirst: WholeBody}, fmt.Sprintf("%q", line), line == SoundField})
	}
	return answers
}

// BeforeUpload returns an answer that comes before the request has been read: once it ends in
// order, and then with a reset while it is sent, while the caller reads it and when the caller
// waits for more.
func BeforeUpload(status, body string) []Judged {
	bytes := ByConnection.Cut("HTTP/1.1 "+status+"\r\n", body)
	answers := []Judged{{Answer{Bytes: bytes, Pause: orderlyPause}, "ends in order", true}}
	for _, pause := range ResetPauses {
		answers = append(answers, Judged{Answer{Bytes: bytes, Pause: pause, End: Reset}, fmt.Sprintf("reset after %v", pause), false})
	}
	return answers
}

// Test is the part of testing.TB that a server needs.
type Test interface {
	Cleanup(stop func())
	Fatal(args ...any)
}

// Server answers each request on a connection of its own.
type Server struct {
	listener net.Listener
	answer   func(*http.Request) Answer
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
