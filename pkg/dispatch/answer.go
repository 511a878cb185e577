package dispatch

import (
	"net/http"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/engine"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/resume"
)

// answer tracks what the caller has received, so that an attempt can be repeated, or
// a stream resumed on another upstream, without a gap or a repeat.
type answer struct {
	// transcript is what the caller has.
	transcript resume.Transcript
	// body is that of the next attempt, nil for the body of the request.
	body []byte
	// resumed is set in attempts that follow the first bytes.
	resumed bool
	// events is set while the attempt sends server-sent events.
	events bool
	// held are frames that wait until the answer is known to be whole.
	held      []peer.Frame
	heldBytes int
}

// holdBytes is the size up to which an answer that is not a stream is held until it is whole.
const holdBytes = 1 << 20

// nextAttempt prepares for the frames of another attempt.
func (a *answer) nextAttempt() {
	a.resumed = a.transcript.Sent()
	a.events = false
	a.held = nil
	a.heldBytes = 0
}

// deliver takes a frame. Events of a stream go to the sink at once, but for the last;
// other answers are held until they are whole or exceed holdBytes.
func (a *answer) deliver(f peer.Frame, stream bool, sink Sink) error {
	if f.Offset == 0 {
		a.events = stream && f.Status == http.StatusOK
	}
	if a.resumed && !a.events {
		// An error status cannot follow the beginning of a stream.
		return peer.ErrNotWhole
	}
	if a.events && !engine.IsDone(f.Data) {
		return a.event(f, sink)
	}
	if !a.events && a.transcript.Sent() {
		return a.pass(f, sink)
	}
	a.held = append(a.held, f)
	a.heldBytes += len(f.Data)
	if a.heldBytes > holdBytes {
		return a.finish(sink)
	}
	return nil
}

// event passes on one event of a stream.
func (a *answer) event(f peer.Frame, sink Sink) error {
	if a.resumed && resume.Redundant(f.Data) {
		return nil
	}
	return a.pass(f, sink)
}

// finish passes on the held frames.
func (a *answer) finish(sink Sink) error {
	for _, f := range a.held {
		if err := a.pass(f, sink); err != nil {
			return err
		}
	}
	a.held = nil
	return nil
}

func (a *answer) pass(f peer.Frame, sink Sink) error {
	if a.resumed {
		// The status line and headers went out with the first attempt.
		f.Status = 0
		f.Headers = nil
	}
	if a.events {
		a.transcript.Take(f.Data)
	} else {
		a.transcript.Foreign()
	}
	if err := sink.Frame(f); err != nil {
		return errCallerGone
	}
	return nil
}

// plan decides how the answer goes on after an attempt that may have run.
func (a *answer) plan(r Request) resume.Plan {
	p := a.transcript.Plan(r.Body)
	if p.Way == resume.Resume {
		a.body = p.Body
	}
	return p
}

// next returns the body of the next attempt.
func (a *answer) next(r Request) []byte {
	if a.body != nil {
		return a.body
	}
	return r.Body
}

// complete passes on the closing events of a stream.
func (a *answer) complete(events [][]byte, sink Sink) error {
	a.resumed = true
	for _, e := range events {
		if err := sink.Frame(peer.Frame{Data: e}); err != nil {
			return errCallerGone
		}
	}
	return nil
}
