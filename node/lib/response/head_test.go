package response

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/standin/rawserver"
)

// fetch returns the body of a server's answer, or the error of any of its parts.
func fetch(c *qt.C, answer string) (string, error) {
	s := rawserver.StartSame(c, rawserver.Answer{Bytes: answer, ReadFirst: rawserver.WholeBody})
	client := &http.Client{Transport: NewTransport(&http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: 1 << 10})}
	resp, err := client.Get("http://" + s.Address())
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// A malformed line in an interim response or in a trailer must not go unnoticed, and endless
// interim responses must end the call; sound ones must not.
func TestInterimResponsesAndTrailers(t *testing.T) {
	const hints, end = "HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\n", "0\r\nX-Sum: 1\r\n\r\n"
	head := "HTTP/1.1 200 OK\r\nTrailer: X-Sum, X Other\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
	c := qt.New(t)
	body, err := fetch(c, strings.Repeat(hints, 8)+head+end)
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, "body")
	for _, line := range rawserver.MalformedFields() {
		_, err := fetch(c, "HTTP/1.1 103 Hints\r\n"+line+"\r\n\r\n"+head+end)
		c.Check(err, qt.IsNotNil, qt.Commentf("interim, %q", line))
		_, err = fetch(c, head+"0\r\n"+line+"\r\n\r\n")
		c.Check(err, qt.IsNotNil, qt.Commentf("trailer, %q", line))
	}
	_, err = fetch(c, strings.Repeat(hints, 1<<10)+head+end)
	c.Check(err, qt.ErrorIs, errInterimHeads)
}

// net/http drops the transfer encoding of a response of HTTP/1.0 and passes on the encoded body.
func TestTransferEncodingOfHTTP10(t *testing.T) {
	c := qt.New(t)
	for _, before := range []string{"", "HTTP/1.1 103 Hints\r\n\r\n", "HTTP/1.0 103 Hints\nLink: </a>\n\n"} {
		_, err := fetch(c, before+rawserver.ByChunks.Whole("HTTP/1.0 200 OK\r\n", "body"))
		c.Check(err, qt.ErrorIs, ErrTransferEncoding, qt.Commentf("%q", before))
		for _, framing := range []rawserver.Framing{rawserver.ByLength, rawserver.ByConnection} {
			body, err := fetch(c, before+framing.Whole("HTTP/1.0 200 OK\r\n", "body"))
			c.Check(err, qt.IsNil)
			c.Check(body, qt.Equals, "body")
		}
	}
}

// A name that begins with a blank makes its line a part of the value before, which was passed on.
func TestFoldedLines(t *testing.T) {
	c := qt.New(t)
	for _, line := range []string{" X-Field: v", "\tX-Field: v", " Content-Length: 2", "  "} {
		for _, head := range []string{"HTTP/1.1 200 OK\r\nX-Sum: s\r\n%s\r\n", "HTTP/1.1 103 Hints\r\nX-Sum: s\r\n%s\r\n\r\nHTTP/1.1 200 OK\r\n"} {
			_, err := fetch(c, rawserver.ByConnection.Whole(fmt.Sprintf(head, line), "a\n body"))
			c.Check(err, qt.ErrorIs, ErrFoldedLine, qt.Commentf("%q in %q", line, head))
		}
	}
}

// What looks like a response of another version can't be read as one of HTTP/1.
func TestStatusLines(t *testing.T) {
	c := qt.New(t)
	for version, want := range map[string]error{"1.0": nil, "1.1": nil, "0.9": ErrVersion, "2.0": ErrVersion, "3.0": ErrVersion} {
		_, err := fetch(c, "HTTP/"+version+" 200 OK\r\n\r\na\n body")
		c.Check(errors.Is(err, want), qt.IsTrue, qt.Commentf("%s: %v", version, err))
	}
}
