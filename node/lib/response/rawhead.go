package response

import (
	"bufio"
	"bytes"
	"net/textproto"
	"regexp"

	"github.com/rotisserie/eris"
)

// Errors of heads of which net/http leaves no trace.
var (
	// ErrTransferEncoding means that a response of HTTP/1.0 has a transfer encoding. net/http
	// drops the field, so that the encoding stays in the body (RFC 9112, 6.1).
	ErrTransferEncoding = eris.New("a response of HTTP/1.0 has a transfer encoding")
	// ErrFoldedLine means that a line of a head begins with a blank. net/http adds such a line
	// to the value before it, even if it is a field whose name begins with the blank. No server
	// may send one, and a gateway may reject it (RFC 9112, 5.2).
	ErrFoldedLine = eris.New("a line of the response's head begins with a blank")
)

var (
	// emptyLine is the end of a head.
	emptyLine = regexp.MustCompile(`\n\r?\n`)
	// foldedLine begins a line that continues the one before.
	foldedLine = regexp.MustCompile(`\n[ \t]`)
	// interimStatusLine begins the head of an interim response, which another head follows.
	interimStatusLine = regexp.MustCompile(`^HTTP/\S+ +1(0[02-9]|[1-9])`)
)

// headRecorder keeps the head of a response as it came. net/http limits its size.
type headRecorder struct {
	raw   []byte
	ended bool
	// folded means that there is a folded line, in an interim response, too.
	folded bool
}

// record adds bytes of the connection, up to the end of the head.
func (h *headRecorder) record(p []byte) {
	for !h.ended && len(p) > 0 {
		// The end may have come in parts.
		from := max(len(h.raw)-len("\n\r"), 0)
		h.raw = append(h.raw, p...)
		found := emptyLine.FindIndex(h.raw[from:])
		if found == nil {
			return
		}
		end := from + found[1]
		h.raw, p = h.raw[:end], h.raw[end:]
		h.folded = h.folded || foldedLine.Match(h.raw)
		if h.ended = !interimStatusLine.Match(h.raw); !h.ended {
			h.raw = nil
		}
	}
}

// checkTransferEncoding returns an error if the head, of a response of HTTP/1.0, has a transfer
// encoding.
func (h *headRecorder) checkTransferEncoding() error {
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(h.raw)))
	if _, err := reader.ReadLine(); err != nil {
		return err
	}
	fields, err := reader.ReadMIMEHeader()
	if err != nil {
		return err
	}
	if len(fields["Transfer-Encoding"]) > 0 {
		return ErrTransferEncoding
	}
	return nil
}
