package node

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// writerLines is the number of lines that wait for a slow reader of the log.
	writerLines = 512
	// writerFlush is how long the end of the process waits for the last lines.
	writerFlush = 200 * time.Millisecond
	// lineRate bounds the lines a second, and lineBurst those at once: at 10 requests a
	// second and entry this is above ten lines for each.
	lineRate  = 150
	lineBurst = 300
)

// Writer passes lines on without ever blocking the one who writes. Lines beyond its rate
// or its buffer are dropped and counted, and the count is written when there is room.
type Writer struct {
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	tokens  float64
	filled  time.Time
	dropped int
	closed  bool
}

// NewWriter returns a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		lines: make(chan []byte, writerLines), done: make(chan struct{}),
		tokens: lineBurst, filled: time.Now(),
	}
	go w.run(out)
	return w
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		if _, err := out.Write(line); err != nil {
			// There is nowhere to report that the log itself cannot be written.
			continue
		}
	}
}

// Write implements io.Writer for one line.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.take(time.Now()) {
		w.dropped++
		return len(p), nil
	}
	if w.dropped > 0 {
		w.send(fmt.Appendf(nil, "msg=log-lines-dropped count=%d\n", w.dropped))
		w.dropped = 0
	}
	w.send(append([]byte(nil), p...))
	return len(p), nil
}

func (w *Writer) take(now time.Time) bool {
	w.tokens = min(lineBurst, w.tokens+lineRate*now.Sub(w.filled).Seconds())
	w.filled = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

func (w *Writer) send(line []byte) {
	select {
	case w.lines <- line:
	default:
		w.dropped++
	}
}

// Close writes what waits, for a short while.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	close(w.lines)
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(writerFlush):
	}
}
