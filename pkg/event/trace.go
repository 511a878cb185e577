package event

import (
	"fmt"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
)

// DescribeRequest describes the processing of a request: one line for each of its events, with the
// time since the first, and a last line with the result. The argument events must contain the events
// of all processes in order. It returns nil if none of them belongs to the request.
func DescribeRequest(request string, events []Event) []string {
	t := requestTrace{sentAt: map[int]Stamp{}}
	for _, e := range events {
		if e.Request == request {
			t.add(e)
		}
	}
	if len(t.lines) == 0 {
		return nil
	}
	return append(t.lines, t.describeResult())
}

// requestTrace collects the lines about one request.
type requestTrace struct {
	lines      []string
	firstStamp Stamp
	// sentAt is when each attempt was sent, by the number of the attempt.
	sentAt map[int]Stamp
	// inProgress is the upstream of each attempt that was sent and has not ended.
	inProgress map[int]string
	// requestEnd is the event that ended the request, or nil.
	requestEnd *Event
}

// add appends the line of an event.
func (t *requestTrace) add(e Event) {
	if t.firstStamp == (Stamp{}) {
		t.firstStamp = e.Stamp
	}
	elapsed := time.Duration(e.Stamp.Wall - t.firstStamp.Wall).Round(time.Millisecond / 10)
	if text := t.describe(e); text != "" {
		t.lines = append(t.lines, fmt.Sprintf("+%-9s %s", elapsed, text))
	}
}

// describe returns the text for an event. It is empty for the end of the request, which
// describeResult describes.
func (t *requestTrace) describe(e Event) string {
	switch e.Kind {
	case RequestReceived:
		return fmt.Sprintf("%s took the request of %s for %s", e.Process, e.Organisation, e.Detail)
	case AttemptSent:
		t.recordSend(e)
		return fmt.Sprintf("attempt %d went from %s to %s", e.Attempt, e.Process, e.Upstream)
	case WorkStarted:
		return fmt.Sprintf("attempt %d started at %s in zone %s", e.Attempt, e.Upstream, e.Zone)
	case WorkRefused:
		return fmt.Sprintf("%s refused attempt %d before it started: %s", e.Upstream, e.Attempt, describeCode(e.Code))
	case WorkCancelled:
		return fmt.Sprintf("%s was asked to end attempt %d", e.Upstream, e.Attempt)
	case WorkEnded:
		return fmt.Sprintf("attempt %d ended at %s: %s", e.Attempt, e.Upstream, describeCode(e.Code))
	case AttemptEnded:
		delete(t.inProgress, e.Attempt)
		duration := time.Duration(e.Stamp.Wall - t.sentAt[e.Attempt].Wall).Round(time.Millisecond / 10)
		return fmt.Sprintf("%s saw attempt %d end after %s: %s", e.Process, e.Attempt, duration, describeCode(e.Code))
	case RequestEnded:
		last := e
		t.requestEnd = &last
		return ""
	}
	text := fmt.Sprintf("%s at %s", e.Kind, e.Process)
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return text
}

// recordSend stores that an attempt was sent.
func (t *requestTrace) recordSend(e Event) {
	t.sentAt[e.Attempt] = e.Stamp
	if t.inProgress == nil {
		t.inProgress = map[int]string{}
	}
	t.inProgress[e.Attempt] = e.Upstream
}

// describeResult returns the last line: the result, or what is known when none is recorded.
func (t *requestTrace) describeResult() string {
	if t.requestEnd != nil {
		return fmt.Sprintf("result after %d attempts: %s", t.requestEnd.Attempt, describeCode(t.requestEnd.Code))
	}
	if len(t.inProgress) > 0 {
		return fmt.Sprintf("no result is recorded: attempts in progress: %v", t.inProgress)
	}
	return "no result is recorded: the request is in progress, or its entry is gone"
}

// describeCode formats a result code with its name, outcome and text.
func describeCode(n int) string {
	c := code.Code(n)
	return fmt.Sprintf("%d %s (%s). %s", n, c, c.Outcome(), c.Info().Text)
}
