package event

import (
	"fmt"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
)

// Story tells what became of a request from the events of all processes in order: one
// sentence for each step, and the result last. It returns nil for an unknown request.
func Story(request string, all []Event) []string {
	s := story{starts: map[int]Stamp{}}
	for _, e := range all {
		if e.Request == request {
			s.take(e)
		}
	}
	if len(s.lines) == 0 {
		return nil
	}
	return append(s.lines, s.end())
}

// story collects the sentences of one request.
type story struct {
	lines  []string
	first  Stamp
	starts map[int]Stamp
	open   map[int]string
	last   *Event
}

func (s *story) take(e Event) {
	if s.first == (Stamp{}) {
		s.first = e.Stamp
	}
	after := time.Duration(e.Stamp.Wall - s.first.Wall).Round(time.Millisecond / 10)
	if text := s.tell(e); text != "" {
		s.lines = append(s.lines, fmt.Sprintf("+%-9s %s", after, text))
	}
}

// tell returns the sentence of an event.
func (s *story) tell(e Event) string {
	switch e.Kind {
	case RequestReceived:
		return fmt.Sprintf("%s took the request of %s for %s", e.Process, e.Organisation, e.Detail)
	case AttemptSent:
		s.sent(e)
		return fmt.Sprintf("attempt %d went from %s to %s", e.Attempt, e.Process, e.Upstream)
	case WorkStarted:
		return fmt.Sprintf("attempt %d started at %s in zone %s", e.Attempt, e.Upstream, e.Zone)
	case WorkRefused:
		return fmt.Sprintf("%s refused attempt %d before it started: %s", e.Upstream, e.Attempt, meaning(e.Code))
	case WorkCancelled:
		return fmt.Sprintf("%s was asked to end attempt %d", e.Upstream, e.Attempt)
	case WorkEnded:
		return fmt.Sprintf("attempt %d ended at %s: %s", e.Attempt, e.Upstream, meaning(e.Code))
	case AttemptEnded:
		delete(s.open, e.Attempt)
		took := time.Duration(e.Stamp.Wall - s.starts[e.Attempt].Wall).Round(time.Millisecond / 10)
		return fmt.Sprintf("%s saw attempt %d end after %s: %s", e.Process, e.Attempt, took, meaning(e.Code))
	case RequestEnded:
		last := e
		s.last = &last
		return ""
	}
	text := fmt.Sprintf("%s at %s", e.Kind, e.Process)
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return text
}

func (s *story) sent(e Event) {
	s.starts[e.Attempt] = e.Stamp
	if s.open == nil {
		s.open = map[int]string{}
	}
	s.open[e.Attempt] = e.Upstream
}

// end returns the last sentence.
func (s *story) end() string {
	if s.last != nil {
		return fmt.Sprintf("result after %d attempts: %s", s.last.Attempt, meaning(s.last.Code))
	}
	if len(s.open) > 0 {
		return fmt.Sprintf("no result is recorded: attempts in progress: %v", s.open)
	}
	return "no result is recorded: the request is in progress, or its entry is gone"
}

// meaning returns the code with its name, outcome and explanation.
func meaning(n int) string {
	c := code.Code(n)
	return fmt.Sprintf("%d %s (%s). %s", n, c, c.Outcome(), c.Info().Text)
}
