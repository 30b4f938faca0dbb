package response

import (
	"errors"
	"io"
	"net/http"
	"net/textproto"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// ErrFieldName means that a field of a response has a name that is no token (RFC 9110, 5.1).
// net/http rejects most of them, but keeps names with a blank, so that a field that delimits
// the body may go unnoticed.
var ErrFieldName = eris.New("the name of a field of the response is no token")

// ErrVersion means that a response on an HTTP/1 connection names another version, whose
// responses look otherwise.
var ErrVersion = eris.New("the response on an HTTP/1 connection is of another version")

// errInterimHeads means that the heads of interim responses exceed the limit of a head.
var errInterimHeads = eris.New("the interim responses are longer than any valid ones")

// interimHeadBytes is the least that the head of an interim response counts.
const interimHeadBytes = 64

// checkHead returns an error if the head of a response is malformed. c is nil with HTTP/2.
func checkHead(resp *http.Response, c *conn) error {
	if err := checkNames(resp.Header); err != nil || c == nil {
		return err
	}
	head := c.takeHead()
	switch {
	case resp.ProtoMajor != 1:
		return ErrVersion
	case head.folded:
		return ErrFoldedLine
	case resp.ProtoMinor == 0 && len(head.raw) > 0:
		return head.checkTransferEncoding()
	default:
		return nil
	}
}

// checkNames returns an error if the name of a field is malformed.
func checkNames(fields map[string][]string) error {
	for name, values := range fields {
		// net/http lists the trailers that a head announces without values.
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return ErrFieldName
		}
	}
	return nil
}

// interimHeads checks the heads of interim responses. net/http does not limit their number if
// it passes them on.
type interimHeads struct {
	remaining int64
}

// check returns an error if a head is malformed or exceeds what remains of the limit.
func (i *interimHeads) check(_ int, fields textproto.MIMEHeader) error {
	i.remaining -= interimHeadBytes
	for name, values := range fields {
		for _, value := range values {
			i.remaining -= int64(len(name) + len(value))
		}
	}
	if i.remaining < 0 {
		return errInterimHeads
	}
	return checkNames(fields)
}

// trailerChecker is a body that fails at its end if a field of the trailer is malformed.
type trailerChecker struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (t *trailerChecker) Read(p []byte) (int, error) {
	n, err := t.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := checkNames(t.resp.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}
