package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

const (
	// maxWholeAnswer bounds an answer that is kept until it is whole.
	maxWholeAnswer = 16 << 20
	// defaultAnswerBytes bounds all answers together where the machine's memory
	// isn't known.
	defaultAnswerBytes = 32 << 20
	// firstBlock and nextBlock are how much of an answer is reserved and read at
	// once, in bytes; most answers fit the first block.
	firstBlock = 2 << 10
	nextBlock  = 32 << 10
)

// answerMemory bounds the bytes of all answers that are kept until they are
// whole. Servers in trouble may send bytes without end: dozens of answers, each
// within its own bound, would take more memory than a small machine has.
type answerMemory struct {
	limit int64
	used  atomic.Int64
}

// reserve takes bytes if they are there.
func (m *answerMemory) reserve(n int64) bool {
	if m.used.Add(n) > m.limit {
		m.used.Add(-n)
		return false
	}
	return true
}

func (m *answerMemory) release(n int64) { m.used.Add(-n) }

// answerBody is an answer in the blocks in which it was read: one buffer that
// grows would be copied, and take twice the memory for a moment.
type answerBody [][]byte

func (b answerBody) size() int {
	size := 0
	for _, block := range b {
		size += len(block)
	}
	return size
}

// writeTo writes the answer to a caller. The caller may be gone; the server's
// work is done.
func (b answerBody) writeTo(w io.Writer) {
	for _, block := range b {
		if _, err := w.Write(block); err != nil {
			return
		}
	}
}

// read reads a body to its end and returns it with the bytes that it reserved,
// which the caller releases when the body was passed on.
func (m *answerMemory) read(body io.Reader) (out answerBody, reserved int64, err error) {
	for next := firstBlock; ; next = nextBlock {
		if reserved > maxWholeAnswer || !m.reserve(int64(next)) {
			return nil, reserved, errTooLong
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

// fill reads until a block is full or the body fails. Unlike io.ReadFull it
// tells a body that ended, io.EOF, from one that was cut off.
func fill(block []byte, body io.Reader) (n int, err error) {
	for n < len(block) && err == nil {
		var read int
		read, err = body.Read(block[n:])
		n += read
	}
	return n, err
}

// readWhole reads a server's answer. Its memory is released by the returned
// function.
func (g *Gateway) readWhole(resp *http.Response) (body answerBody, release func(), err error) {
	defer func() { _ = resp.Body.Close() }()
	body, reserved, err := g.answers.read(resp.Body)
	return body, func() { g.answers.release(reserved) }, err
}
