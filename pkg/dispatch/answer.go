package dispatch

import (
	"encoding/json"
	"strings"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/engine"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

// answer tracks what the caller has received, so that an attempt can be repeated, or
// a stream resumed on another upstream, without a gap or a repeat.
type answer struct {
	// sent is set once bytes went to the caller.
	sent bool
	// text is the generated text that the caller has.
	text strings.Builder
	// resumed is set in attempts that follow the first bytes.
	resumed bool
	// held are frames that wait until the answer is known to be whole.
	held      []peer.Frame
	heldBytes int
}

// holdBytes is the size up to which an answer that is not a stream is held until it is whole.
const holdBytes = 1 << 20

// nextAttempt prepares for the frames of another attempt.
func (a *answer) nextAttempt() {
	a.resumed = a.sent
	a.held = nil
	a.heldBytes = 0
}

// deliver takes a frame. Frames of a stream go to the sink at once, but for its last
// event; other answers are held until they are whole or exceed holdBytes.
func (a *answer) deliver(f peer.Frame, stream bool, sink Sink) error {
	hold := !stream && !a.sent || string(f.Data) == engine.EventDone
	if !hold {
		return a.pass(f, stream, sink)
	}
	a.held = append(a.held, f)
	a.heldBytes += len(f.Data)
	if a.heldBytes > holdBytes {
		return a.finish(stream, sink)
	}
	return nil
}

// finish passes on the held frames.
func (a *answer) finish(stream bool, sink Sink) error {
	for _, f := range a.held {
		if err := a.pass(f, stream, sink); err != nil {
			return err
		}
	}
	a.held = nil
	return nil
}

func (a *answer) pass(f peer.Frame, stream bool, sink Sink) error {
	if a.resumed {
		// The status line and headers went out with the first attempt.
		f.Status = 0
		f.Headers = nil
	}
	if err := sink.Frame(f); err != nil {
		return errCallerGone
	}
	a.sent = true
	if stream {
		a.text.WriteString(engine.Text(f.Data))
	}
	return nil
}

// resumable reports whether a further attempt can continue the answer.
func (a *answer) resumable(r Request) bool {
	return !a.sent || r.Stream
}

// message is one message of a chat-completions body.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// resumeBody returns the body of the next attempt. When the caller has a part of the
// stream, that part is given to the engine as the beginning of its answer.
func (a *answer) resumeBody(r Request) []byte {
	if !a.sent || a.text.Len() == 0 {
		return r.Body
	}
	var body map[string]json.RawMessage
	var messages []json.RawMessage
	if json.Unmarshal(r.Body, &body) != nil || json.Unmarshal(body["messages"], &messages) != nil {
		return r.Body
	}
	// Encoding strings and raw JSON cannot fail.
	part, _ := json.Marshal(message{Role: "assistant", Content: a.text.String()})
	body["messages"], _ = json.Marshal(append(messages, part))
	body["continue_final_message"] = json.RawMessage("true")
	out, _ := json.Marshal(body)
	return out
}
