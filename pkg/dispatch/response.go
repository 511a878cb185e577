package dispatch

import (
	"net/http"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/engine"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/resume"
)

// response tracks what the caller has received, so that an attempt can be repeated, or a
// stream resumed on another upstream, without lost or duplicate data.
type response struct {
	// transcript records what was sent to the caller.
	transcript resume.Transcript
	// continuationBody is the request body that resumes the stream in the next attempt; nil
	// means that the body of the request is sent.
	continuationBody []byte
	// resumed is set in attempts that start after the caller has received data.
	resumed bool
	// hasHeader is set once the attempt has delivered a status.
	hasHeader bool
	// isEventStream is set while the attempt sends server-sent events.
	isEventStream bool
	// buffered holds the frames that are sent once the response is known to be complete.
	buffered      []peer.Frame
	bufferedBytes int
}

// maxBufferedBytes is the size up to which a response that is not a stream is buffered until
// it is complete.
const maxBufferedBytes = 1 << 20

// nextAttempt resets the state for the frames of another attempt.
func (resp *response) nextAttempt() {
	resp.resumed = resp.transcript.HasEvents()
	resp.hasHeader = false
	resp.isEventStream = false
	resp.buffered = nil
	resp.bufferedBytes = 0
}

// deliver handles a frame of the current attempt. Events of a stream are forwarded at once,
// except for the last; other responses are buffered until they are complete or exceed
// maxBufferedBytes.
func (resp *response) deliver(f peer.Frame, stream bool, sink Sink) error {
	resp.hasHeader = resp.hasHeader || f.Status != 0
	if f.Offset == 0 {
		resp.isEventStream = stream && f.Status == http.StatusOK
	}
	if resp.resumed && !resp.isEventStream {
		// An error status cannot follow events that were already sent.
		return peer.ErrIncomplete
	}
	if resp.isEventStream && !engine.IsDone(f.Data) {
		return resp.forwardEvent(f, sink)
	}
	if !resp.isEventStream && resp.transcript.HasEvents() {
		return resp.forward(f, sink)
	}
	resp.buffered = append(resp.buffered, f)
	resp.bufferedBytes += len(f.Data)
	if resp.bufferedBytes > maxBufferedBytes {
		return resp.flush(sink)
	}
	return nil
}

// finish forwards the rest of the response of an attempt that ended with OK. It returns
// peer.ErrIncomplete if the attempt delivered no status, or a stream without its closing event, which
// would be buffered.
func (resp *response) finish(sink Sink) error {
	if !resp.hasHeader || resp.isEventStream && len(resp.buffered) == 0 {
		return peer.ErrIncomplete
	}
	return resp.flush(sink)
}

// forwardEvent forwards one event of a stream. It drops the opening event of a resumed stream,
// which the caller already has.
func (resp *response) forwardEvent(f peer.Frame, sink Sink) error {
	if resp.resumed && resume.IsRoleOnly(f.Data) {
		return nil
	}
	return resp.forward(f, sink)
}

// flush forwards the buffered frames.
func (resp *response) flush(sink Sink) error {
	for _, f := range resp.buffered {
		if err := resp.forward(f, sink); err != nil {
			return err
		}
	}
	resp.buffered = nil
	return nil
}

// forward writes a frame to the sink and records it in the transcript.
func (resp *response) forward(f peer.Frame, sink Sink) error {
	if resp.resumed {
		// The status line and headers were sent by an earlier attempt.
		f.Status = 0
		f.Headers = nil
	}
	if resp.isEventStream {
		resp.transcript.Append(f.Data)
	} else {
		resp.transcript.MarkUnsupported()
	}
	if err := sink.WriteFrame(f); err != nil {
		return errCallerGone
	}
	return nil
}

// planRecovery decides how to continue the response after an attempt that may have run. It
// sets the body of the next attempt when the stream is to be resumed.
func (resp *response) planRecovery(r Request) resume.Plan {
	p := resp.transcript.Plan(r.Body)
	if p.Action == resume.Resume {
		resp.continuationBody = p.Body
	}
	return p
}

// nextBody returns the request body of the next attempt.
func (resp *response) nextBody(r Request) []byte {
	if resp.continuationBody != nil {
		return resp.continuationBody
	}
	return r.Body
}

// sendClosingEvents writes the closing events of a stream to the sink.
func (resp *response) sendClosingEvents(events [][]byte, sink Sink) error {
	resp.resumed = true
	for _, e := range events {
		if err := sink.WriteFrame(peer.Frame{Data: e}); err != nil {
			return errCallerGone
		}
	}
	return nil
}
