package response

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/laburnumloft/laburnumloft/standin/rawserver"
)

// fetch reads a server's answer and returns the error of any of its parts.
func fetch(c *qt.C, answer string) error {
	s := rawserver.StartSame(c, rawserver.Answer{Bytes: answer, ReadFirst: rawserver.WholeBody})
	client := &http.Client{Transport: NewTransport(&http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: 1 << 10})}
	resp, err := client.Get("http://" + s.Address())
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil {
		c.Check(string(body), qt.Equals, "a\n body")
	}
	return err
}

// A response with a head or a trailer that net/http misreads must fail, and sound ones must not.
func TestHeadsAndTrailers(t *testing.T) {
	const hints, end, body = "HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\n", "0\r\nX-Sum: 1\r\n\r\n", "a\n body"
	const head, http10 = "HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n"
	chunked := head + "Trailer: X-Sum, X Other\r\nTransfer-Encoding: chunked\r\n\r\n7\r\n" + body + "\r\n"
	errAny := errors.New("any error")
	answers := map[error][]string{
		nil:        {strings.Repeat(hints, 8) + chunked + end, head + "\r\n" + body, hints + http10 + "\r\n" + body, rawserver.ByLength.Whole(http10, body)},
		ErrVersion: {"HTTP/0.9 200 OK\r\n\r\n" + body, "HTTP/2.0 200 OK\r\n\r\n" + body, "HTTP/3.0 200 OK\r\n\r\n" + body},
		// The sizes of the chunks were passed on as a part of the body.
		ErrTransferEncoding: {rawserver.ByChunks.Whole(http10, body), hints + rawserver.ByChunks.Whole(http10, body), "HTTP/1.0 103 Hints\n\n" + rawserver.ByChunks.Whole(http10, body)},
		// Endless interim responses must end the call.
		errInterimHeads: {strings.Repeat(hints, 1<<10) + chunked + end},
	}
	for _, line := range []string{" X-Field: v", "\tX-Field: v", " Content-Length: 2", "  "} {
		fields := "X-Sum: s\r\n" + line + "\r\n\r\n"
		answers[ErrFoldedLine] = append(answers[ErrFoldedLine], head+fields+body, "HTTP/1.1 103 Hints\r\n"+fields+head+"\r\n"+body)
	}
	for _, line := range rawserver.MalformedFields() {
		answers[errAny] = append(answers[errAny], "HTTP/1.1 103 Hints\r\n"+line+"\r\n\r\n"+chunked+end, chunked+"0\r\n"+line+"\r\n\r\n")
	}
	c := qt.New(t)
	for want, answers := range answers {
		for _, answer := range answers {
			err := fetch(c, answer)
			c.Check(errors.Is(err, want) || err != nil && want == errAny, qt.IsTrue, qt.Commentf("%.99q: %v", answer, err))
		}
	}
}
