package logtable

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that are missed or counted in the wrong interval, and against a reader that
// stops at lines of another form.
func TestReadCountsEndsByInterval(t *testing.T) {
	is := is.New(t)
	const log = `  9.1 edge-1 time=2026-07-18T14:28:29.100Z level=info event=request-ended request=a route=r status=503 reason=no-room waited=20ms
time=2026-07-18T14:28:29.900Z level=info event=request-ended request=b route=r status=503 reason=no-room waited=1.2s
time=2026-07-18T14:28:30.100Z level=info event=request-ended request=c route=r status=200 reason=answered waited=0s
time=2026-07-18T14:28:30.100Z level=info event=attempt-failed request=c reason="use of closed connection"
panic: not a log line
time=yesterday level=info event=request-ended request=d
`
	rows, skipped, err := Read(strings.NewReader(log), time.Second)
	is.NoErr(err)
	is.Equal(skipped, 2)
	is.Equal(len(rows), 2)
	is.Equal(rows[0].Reason, "no-room")
	is.Equal(rows[0].Count, 2)
	is.Equal(rows[0].LongestWait, 1200*time.Millisecond)
	is.Equal(rows[1].Start, time.Date(2026, 7, 18, 14, 28, 30, 0, time.UTC))
	is.Equal(rows[1].Status, "200")
}
