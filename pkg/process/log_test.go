package process

import (
	"bytes"
	"log"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// countingBuffer counts the writes to it.
type countingBuffer struct {
	bytes.Buffer
	writeCount int
}

func (w *countingBuffer) Write(p []byte) (int, error) {
	w.writeCount++
	return w.Buffer.Write(p)
}

func TestLogWritesOneLinePerEvent(t *testing.T) {
	is := is.New(t)
	var out countingBuffer
	l := NewLog("entry-1", "info", &out)
	l.Info("request-ended", "request", "r 1", "code", 1000)
	l.Debug("not-shown")
	CaptureStandardLog(l)
	defer log.SetOutput(os.Stderr)
	log.Print("from a library\nwith two lines")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	is.Equal(out.writeCount, 2) // each line in one write
	is.True(strings.HasSuffix(lines[0], `level=info process=entry-1 event=request-ended request="r 1" code=1000`))
	is.True(strings.HasSuffix(lines[1], `level=warn process=entry-1 event=library-message text="from a library\nwith two lines"`))
}
