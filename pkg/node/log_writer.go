package node

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedLines is the number of lines buffered for a slow reader of the log.
	maxQueuedLines = 512
	// closeFlushTimeout is how long Close waits until the queued lines are written.
	closeFlushTimeout = 200 * time.Millisecond
	// linesPerSecond limits the sustained rate of lines and maxLineBurst the lines at once. At 10
	// requests per second and entry, more than 10 lines remain for each request.
	linesPerSecond = 150
	maxLineBurst   = 300
	// maxLineBytes is the length of a line; a caller's header may make one longer.
	maxLineBytes = 4 << 10
	// lineCut stands in place of the rest of a longer line.
	lineCut = "...\n"
)

// LogWriter forwards lines without blocking the goroutine that writes them. Lines beyond its rate or
// its queue are dropped and counted, and the rest of a line that is too long is cut; the count is written before the next line that is accepted. It
// is safe for concurrent use.
type LogWriter struct {
	queue chan []byte
	done  chan struct{}

	mu sync.Mutex
	// allowance is the number of lines that may be written now.
	allowance  float64
	refilledAt time.Time
	dropped    int
	closed     bool
}

// NewLogWriter returns a writer that forwards lines to out in the background until it is closed.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{
		queue: make(chan []byte, maxQueuedLines), done: make(chan struct{}),
		allowance: maxLineBurst, refilledAt: time.Now(),
	}
	go w.writeQueued(out)
	return w
}

func (w *LogWriter) writeQueued(out io.Writer) {
	defer close(w.done)
	for line := range w.queue {
		if _, err := out.Write(line); err != nil {
			// A failure to write the log cannot be logged.
			continue
		}
	}
}

// Write implements io.Writer; each call writes one line. It never fails.
func (w *LogWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.allowLine(time.Now()) {
		w.dropped++
		return len(p), nil
	}
	if w.dropped > 0 {
		w.enqueue(fmt.Appendf(nil, "msg=log-lines-dropped count=%d\n", w.dropped))
		w.dropped = 0
	}
	if len(p) > maxLineBytes {
		w.enqueue(append(append(make([]byte, 0, maxLineBytes), p[:maxLineBytes-len(lineCut)]...), lineCut...))
		return len(p), nil
	}
	w.enqueue(append([]byte(nil), p...))
	return len(p), nil
}

// allowLine takes one line from the allowance and reports whether there was one.
func (w *LogWriter) allowLine(now time.Time) bool {
	w.allowance = min(maxLineBurst, w.allowance+linesPerSecond*now.Sub(w.refilledAt).Seconds())
	w.refilledAt = now
	if w.allowance < 1 {
		return false
	}
	w.allowance--
	return true
}

// enqueue queues a line, or drops it when the queue is full.
func (w *LogWriter) enqueue(line []byte) {
	select {
	case w.queue <- line:
	default:
		w.dropped++
	}
}

// Close stops accepting lines and waits up to closeFlushTimeout until the queued ones are written.
func (w *LogWriter) Close() {
	w.mu.Lock()
	w.closed = true
	close(w.queue)
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(closeFlushTimeout):
	}
}
