package process

import (
	"bytes"
	"fmt"
	"io"
	"log"
	"strings"
	"sync"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/hashicorp/go-hclog"
)

// NewLog returns a logger that writes each event to out as one line of key=value pairs.
func NewLog(name, level string, out io.Writer) hclog.Logger {
	l := hclog.NewInterceptLogger(&hclog.LoggerOptions{
		Name:   name,
		Level:  hclog.Off,
		Output: io.Discard,
	})
	l.RegisterSink(&lineSink{out: out, level: hclog.LevelFromString(level)})
	return l
}

// CaptureStandardLog redirects the standard logger, which libraries use, to l, so that its messages
// have the same format.
func CaptureStandardLog(l hclog.Logger) {
	log.SetFlags(0)
	log.SetOutput(libraryWriter{l})
}

// libraryWriter logs each write as a message of a library.
type libraryWriter struct {
	log hclog.Logger
}

// Write implements io.Writer.
func (w libraryWriter) Write(p []byte) (int, error) {
	w.log.Warn("library-message", "text", strings.TrimSpace(string(p)))
	return len(p), nil
}

// lineSink formats log entries as key=value lines.
type lineSink struct {
	level hclog.Level

	mu  sync.Mutex
	out io.Writer
	// line buffers the entry being formatted: the encoder writes each pair separately, but a line
	// must reach out in one write.
	line bytes.Buffer
}

// Accept implements hclog.SinkAdapter.
func (s *lineSink) Accept(name string, level hclog.Level, msg string, args ...any) {
	if level < s.level || s.level == hclog.Off {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.line.Reset()
	e := logfmt.NewEncoder(&s.line)
	pairs := append([]any{
		"time", time.Now().UTC().Format(time.RFC3339Nano),
		"level", strings.ToLower(level.String()),
		"process", name,
		"event", msg,
	}, args...)
	for i := 0; i+1 < len(pairs); i += 2 {
		// A value of an unsupported type is written in its default format.
		if e.EncodeKeyval(pairs[i], pairs[i+1]) != nil {
			_ = e.EncodeKeyval(pairs[i], fmt.Sprint(pairs[i+1]))
		}
	}
	_ = e.EndRecord()
	// A failure to write the log cannot be logged.
	_, _ = s.out.Write(s.line.Bytes())
}
