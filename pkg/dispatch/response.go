package dispatch

import (
	"net/http"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/engine"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/resume"
)

// response tracks what the caller has received, so that an attempt can be repeated, or
// a stream resumed on another upstream, without a gap or a repeat.
type response struct {
	// transcript is what the caller has.
	transcript resume.Transcript
	// continuationBody is that of the next attempt, nil for the continuationBody of the request.
	continuationBody []byte
	// resumed is set in attempts that follow the first bytes.
	resumed bool
	// isEventStream is set while the attempt sends server-sent isEventStream.
	isEventStream bool
	// buffered are frames that wait until the answer is known to be whole.
	buffered      []peer.Frame
	bufferedBytes int
}

// maxBufferedBytes is the size up to which an answer that is not a stream is held until it is whole.
const maxBufferedBytes = 1 << 20

// nextAttempt prepares for the frames of another attempt.
func (a *response) nextAttempt() {
	a.resumed = a.transcript.Sent()
	a.isEventStream = false
	a.buffered = nil
	a.bufferedBytes = 0
}

// deliver takes a frame. Events of a stream go to the sink at once, but for the last;
// other answers are held until they are whole or exceed holdBytes.
func (a *response) deliver(f peer.Frame, stream bool, sink Sink) error {
	if f.Offset == 0 {
		a.isEventStream = stream && f.Status == http.StatusOK
	}
	if a.resumed && !a.isEventStream {
		// An error status cannot follow the beginning of a stream.
		return peer.ErrNotWhole
	}
	if a.isEventStream && !engine.IsDone(f.Data) {
		return a.forwardEvent(f, sink)
	}
	if !a.isEventStream && a.transcript.Sent() {
		return a.forward(f, sink)
	}
	a.buffered = append(a.buffered, f)
	a.bufferedBytes += len(f.Data)
	if a.bufferedBytes > maxBufferedBytes {
		return a.flush(sink)
	}
	return nil
}

// forwardEvent passes on one forwardEvent of a stream.
func (a *response) forwardEvent(f peer.Frame, sink Sink) error {
	if a.resumed && resume.Redundant(f.Data) {
		return nil
	}
	return a.forward(f, sink)
}

// flush passes on the held frames.
func (a *response) flush(sink Sink) error {
	for _, f := range a.buffered {
		if err := a.forward(f, sink); err != nil {
			return err
		}
	}
	a.buffered = nil
	return nil
}

func (a *response) forward(f peer.Frame, sink Sink) error {
	if a.resumed {
		// The status line and headers went out with the first attempt.
		f.Status = 0
		f.Headers = nil
	}
	if a.isEventStream {
		a.transcript.Take(f.Data)
	} else {
		a.transcript.Foreign()
	}
	if err := sink.Frame(f); err != nil {
		return errCallerGone
	}
	return nil
}

// planRecovery decides how the answer goes on after an attempt that may have run.
func (a *response) planRecovery(r Request) resume.Plan {
	p := a.transcript.Plan(r.Body)
	if p.Way == resume.Resume {
		a.continuationBody = p.Body
	}
	return p
}

// nextBody returns the body of the nextBody attempt.
func (a *response) nextBody(r Request) []byte {
	if a.continuationBody != nil {
		return a.continuationBody
	}
	return r.Body
}

// sendClosingEvents passes on the closing events of a stream.
func (a *response) sendClosingEvents(events [][]byte, sink Sink) error {
	a.resumed = true
	for _, e := range events {
		if err := sink.Frame(peer.Frame{Data: e}); err != nil {
			return errCallerGone
		}
	}
	return nil
}
