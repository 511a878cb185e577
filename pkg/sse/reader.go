package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// ErrTooLong means that an event exceeds MaxEventBytes.
var ErrTooLong = errors.New("sse: event too long")

// MaxEventBytes is the maximum size of an event.
const MaxEventBytes = 1 << 20

const readBufferBytes = 16 << 10

// Reader splits a stream into events. It is not safe for concurrent use.
type Reader struct {
	buf *bufio.Reader
}

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader {
	return &Reader{buf: bufio.NewReaderSize(r, readBufferBytes)}
}

// Next returns the next event with its closing blank line. It returns io.EOF if the stream
// ends after a complete event, whatever white space follows it, io.ErrUnexpectedEOF if it ends
// within an event, and ErrTooLong if the event is too long.
func (r *Reader) Next() ([]byte, error) {
	var ev []byte
	for lineStart := true; ; {
		text, err := r.buf.ReadSlice('\n')
		ev = append(ev, text...)
		if len(ev) > MaxEventBytes {
			return nil, ErrTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			// The rest of the line may be its line break alone.
			lineStart = false
			continue
		}
		if errors.Is(err, io.EOF) && !isWhiteSpace(ev) {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if lineStart && isBlankLine(text) && !isWhiteSpace(ev) {
			return ev, nil
		}
		lineStart = true
	}
}

// isBlankLine reports whether a line consists of its line break only.
func isBlankLine(line []byte) bool { return string(line) == "\n" || string(line) == "\r\n" }

func isWhiteSpace(text []byte) bool { return len(bytes.TrimSpace(text)) == 0 }

// HasBuffered reports whether bytes after the last returned event were already read.
func (r *Reader) HasBuffered() bool { return r.buf.Buffered() > 0 }
