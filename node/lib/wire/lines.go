package wire

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// MaxFrameBytes bounds one line of a streamed answer.
const MaxFrameBytes = 16 << 10

// Errors of a LineReader.
var (
	ErrFrameTooLarge  = errors.New("frame exceeds 16 KiB")
	ErrFrameMalformed = errors.New("frame is not valid JSON")
	ErrFrameCut       = errors.New("stream ended inside an answer")
)

// LineReader reads newline-delimited JSON with a bound on each line.
type LineReader struct {
	reader *bufio.Reader
}

// NewLineReader returns a reader of r. It holds one line at a time.
func NewLineReader(r io.Reader) *LineReader {
	return &LineReader{reader: bufio.NewReaderSize(r, MaxFrameBytes)}
}

// Next decodes the next line. A last line without a newline is refused,
// because its writer may have stopped in the middle of it.
func (l *LineReader) Next(into any) error {
	line, err := l.reader.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return ErrFrameTooLarge
	case errors.Is(err, io.EOF):
		return ErrFrameCut
	case err != nil:
		return errors.Join(ErrFrameCut, err)
	}
	if err := json.Unmarshal(bytes.TrimSpace(line), into); err != nil {
		return errors.Join(ErrFrameMalformed, err)
	}
	return nil
}

// More reports whether a whole line is there already, so that what was
// decoded can be passed on together with the next one.
func (l *LineReader) More() bool {
	buffered, _ := l.reader.Peek(l.reader.Buffered())
	return bytes.IndexByte(buffered, '\n') >= 0
}
