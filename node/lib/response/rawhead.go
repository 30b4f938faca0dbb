package response

import (
	"bufio"
	"bytes"
	"net/textproto"
	"regexp"

	"github.com/rotisserie/eris"
)

// ErrTransferEncoding means that a response of HTTP/1.0 has a transfer encoding. net/http drops
// the field, so that the encoding stays in the body (RFC 9112, 6.1).
var ErrTransferEncoding = eris.New("a response of HTTP/1.0 has a transfer encoding")

// emptyLine is the end of a head.
var emptyLine = regexp.MustCompile(`\n\r?\n`)

// interimStatusLine begins the head of an interim response, which another head follows.
var interimStatusLine = regexp.MustCompile(`^HTTP/\S+ +1(0[02-9]|[1-9])`)

// headRecorder keeps the head of a response as it came. net/http limits its size.
type headRecorder struct {
	raw   []byte
	ended bool
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
		if h.ended = !interimStatusLine.Match(h.raw); !h.ended {
			h.raw = nil
		}
	}
}

// checkTransferEncoding returns an error if the head of a response of HTTP/1.0 has a transfer encoding.
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
