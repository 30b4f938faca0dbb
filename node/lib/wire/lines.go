package wire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// MaxFrameBytes limits the length of one line of a streamed answer.
const MaxFrameBytes = 16 << 10

// Errors of a LineReader.
var (
	ErrFrameTooLarge   = errors.New("frame exceeds 16 KiB")
	ErrFrameMalformed  = errors.New("frame is not valid JSON")
	ErrStreamTruncated = errors.New("stream ended before the end of the answer")
)

// LineReader reads newline-delimited JSON with a limit on the line length.
type LineReader struct {
	reader *bufio.Reader
}

// NewLineReader returns a LineReader of r. It buffers at most MaxFrameBytes.
func NewLineReader(r io.Reader) *LineReader {
	return &LineReader{reader: bufio.NewReaderSize(r, MaxFrameBytes)}
}

// Next decodes the next line. It refuses a last line without a newline, because
// it may be truncated.
func (l *LineReader) Next(into any) error {
	line, err := l.reader.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return ErrFrameTooLarge
	case errors.Is(err, io.EOF):
		return ErrStreamTruncated
	case err != nil:
		return errors.Join(ErrStreamTruncated, err)
	}
	if err := json.Unmarshal(bytes.TrimSpace(line), into); err != nil {
		return errors.Join(ErrFrameMalformed, err)
	}
	return nil
}

// More reports whether a complete line is already buffered, so that a reader can
// forward it together with the line decoded before.
func (l *LineReader) More() bool {
	buffered, _ := l.reader.Peek(l.reader.Buffered())
	return bytes.IndexByte(buffered, '\n') >= 0
}
