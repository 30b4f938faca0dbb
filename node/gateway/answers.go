package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

const (
	// maxAnswerBytes limits the size of one buffered answer.
	maxAnswerBytes = 16 << 20
	// defaultAnswerBytes limits the total size of all buffered answers if the
	// configuration sets no limit.
	defaultAnswerBytes = 32 << 20
	// firstBlockBytes and nextBlockBytes are the block sizes in which answers are
	// reserved and read; most answers fit the first block.
	firstBlockBytes = 2 << 10
	nextBlockBytes  = 32 << 10
)

// answerMemory limits the total size of all buffered answers. Faulty servers
// may send endless answers, and dozens of answers, each within its own limit,
// would exceed the memory of a small machine.
type answerMemory struct {
	limit int64
	used  atomic.Int64
}

// reserve reserves n bytes if the limit allows it.
func (m *answerMemory) reserve(n int64) bool {
	if m.used.Add(n) > m.limit {
		m.used.Add(-n)
		return false
	}
	return true
}

func (m *answerMemory) release(n int64) { m.used.Add(-n) }

// blocks is a body in the blocks in which it was read. A single
// growing buffer would be copied and briefly need twice the memory.
type blocks [][]byte

func (b blocks) size() int {
	size := 0
	for _, block := range b {
		size += len(block)
	}
	return size
}

// reader returns a reader of the body.
func (b blocks) reader() io.Reader {
	readers := make([]io.Reader, len(b))
	for i, block := range b {
		readers[i] = bytes.NewReader(block)
	}
	return io.MultiReader(readers...)
}

// readBlocks reads a body to its end. size is its size, or negative if it is not known.
func readBlocks(body io.Reader, size int64) (out blocks, err error) {
	for next := int64(firstBlockBytes); ; next = nextBlockBytes {
		if size >= 0 {
			// One byte more than the rest finds the end without another block.
			next = min(nextBlockBytes, size+1)
		}
		block := make([]byte, next)
		n, err := fill(block, body)
		out, size = append(out, block[:n]), max(size-int64(n), -1)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// writeTo writes the body.
func (b blocks) writeTo(w io.Writer) error {
	for _, block := range b {
		if _, err := w.Write(block); err != nil {
			return err
		}
	}
	return nil
}

// read reads a body to its end and returns the number of bytes it reserved,
// which the caller must release after it has written the body.
func (m *answerMemory) read(body io.Reader) (out blocks, reserved int64, err error) {
	for next := firstBlockBytes; ; next = nextBlockBytes {
		if reserved > maxAnswerBytes || !m.reserve(int64(next)) {
			return nil, reserved, errAnswerTooLarge
		}
		reserved += int64(next)
		block := make([]byte, next)
		n, err := fill(block, body)
		out = append(out, block[:n])
		if errors.Is(err, io.EOF) {
			return out, reserved, nil
		}
		if err != nil {
			return nil, reserved, err
		}
	}
}

// fill reads until the block is full or a read fails. Unlike io.ReadFull it
// returns io.EOF for a complete body, so that callers can distinguish it from a
// truncated one.
func fill(block []byte, body io.Reader) (n int, err error) {
	for n < len(block) && err == nil {
		var read int
		read, err = body.Read(block[n:])
		n += read
	}
	return n, err
}

// readAnswer reads the body of a server's answer. The caller must call release
// when it no longer needs the body.
func (g *Gateway) readAnswer(resp *http.Response) (body blocks, release func(), err error) {
	defer func() { _ = resp.Body.Close() }()
	body, reserved, err := g.answers.read(resp.Body)
	return body, func() { g.answers.release(reserved) }, err
}
