package dispatch

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/tidwall/gjson"
	"pgregory.net/rapid"

	_ "github.com/coltsfootpitch/coltsfootpitch/internal/fixedseed"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/engine"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/resume"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/sse"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standin/model"
)

// callerStub records the response and counts the frames with a status. It implements Sink.
type callerStub struct {
	bytes.Buffer
	statuses int
}

func (c *callerStub) WriteFrame(f peer.Frame) error {
	if f.Status != 0 {
		c.statuses++
	}
	_, err := c.Write(f.Data)
	return err
}

// streamStyle selects optional elements of the stream of an engine: an opening event with the
// role, comment lines, token usage in each event, and CRLF line ends.
type streamStyle struct {
	role, comments, usage, crlf bool
	// toolCallAfter adds an event with a tool call after this number of tokens; 0 for none.
	toolCallAfter int
}

// engineStream returns the response stream of an engine for a request body. It continues a last
// message with continue_final_message.
func engineStream(body []byte, style streamStyle) []byte {
	messages := gjson.GetBytes(body, "messages").Array()
	received := ""
	if gjson.GetBytes(body, "continue_final_message").Bool() {
		received = messages[len(messages)-1].Get("content").String()
		messages = messages[:len(messages)-1]
	}
	prompt := messages[0].Get("content").String()
	offset := strings.Count(received, " ")
	if model.ResponseText(prompt, offset) != received {
		return []byte("wrong beginning")
	}
	var b bytes.Buffer
	event := func(text string) {
		b.WriteString(text + "\n\n")
	}
	chunk := func(delta, finish, extra string) {
		event(`data: {"id":"c","choices":[{"index":0,"delta":` + delta + `,"finish_reason":` + finish + `}]` + extra + `}`)
	}
	if style.role {
		chunk(`{"role":"assistant","content":""}`, "null", "")
	}
	n := int(gjson.GetBytes(body, "max_tokens").Int())
	for i := range n {
		if style.comments {
			event(": ping")
		}
		if style.toolCallAfter > 0 && i == style.toolCallAfter {
			chunk(`{"tool_calls":[{"index":0}]}`, "null", "")
		}
		text, _ := json.Marshal(model.ResponseToken(prompt, offset+i))
		extra := ""
		if style.usage {
			extra = fmt.Sprintf(`,"usage":{"completion_tokens":%d}`, i+1)
		}
		chunk(`{"content":`+string(text)+`}`, "null", extra)
	}
	chunk(`{"content":""}`, `"length"`, "")
	event("data: [DONE]")
	if style.crlf {
		return bytes.ReplaceAll(b.Bytes(), []byte("\n"), []byte("\r\n"))
	}
	return b.Bytes()
}

// deliverStream delivers a stream, which may be cut off, as one attempt of a response. It reports
// whether the stream was complete.
func deliverStream(resp *response, stream []byte, sink Sink) bool {
	resp.nextAttempt()
	events := sse.NewReader(bytes.NewReader(stream))
	offset := int64(0)
	for {
		ev, err := events.Next()
		if errors.Is(err, io.EOF) || err != nil {
			return false
		}
		f := peer.Frame{Offset: offset, Data: ev}
		if offset == 0 {
			f.Status = http.StatusOK
		}
		offset += int64(len(ev))
		if resp.deliver(f, true, sink) != nil {
			return false
		}
		if engine.IsDone(ev) {
			return true
		}
	}
}

// A stream is resumed without lost or duplicate text, wherever its upstreams fail. A stream that
// cannot be resumed ends after an exact prefix of the text.
func TestStreamIsExactWhenUpstreamsFailAtAnyByte(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.IntRange(1, 12).Draw(t, "tokens")
		style := streamStyle{
			role: rapid.Bool().Draw(t, "role"), comments: rapid.Bool().Draw(t, "comments"),
			crlf: rapid.Bool().Draw(t, "crlf"),
		}
		if rapid.IntRange(0, 4).Draw(t, "odd?") == 0 {
			style.toolCallAfter = rapid.IntRange(1, 12).Draw(t, "odd")
		}
		request := Request{Stream: true, Idempotent: true, Body: fmt.Appendf(nil, `{"model":"m","messages":[{"role":"user","content":"p"}],"stream":true,"max_tokens":%d}`, tokens)}
		resp := &response{}
		sink := &callerStub{}
		want := model.ResponseText("p", tokens)
		for range 6 {
			stream := engineStream(resp.nextBody(request), style)
			cut := rapid.IntRange(0, len(stream)).Draw(t, "cut")
			if deliverStream(resp, stream[:cut], sink) && resp.flush(sink) == nil {
				checkComplete(t, sink, want)
				return
			}
			p := resp.planRecovery(request)
			switch p.Action {
			case resume.NotResumable:
				if style.toolCallAfter == 0 {
					t.Fatalf("a stream of plain text was abandoned after %q", sink)
				}
				checkPrefix(t, sink, want)
				return
			case resume.Complete:
				_ = resp.sendClosingEvents(p.Events, sink)
				checkComplete(t, sink, want)
				return
			}
		}
		checkPrefix(t, sink, want)
	})
}

// parseStream returns the text of a stream and the numbers of its events with a finish reason, of
// its end marks and of its events with a role.
func parseStream(s *callerStub) (string, int, int, int) {
	var text strings.Builder
	events := sse.NewReader(bytes.NewReader(s.Bytes()))
	finished, done, roles := 0, 0, 0
	for {
		ev, err := events.Next()
		if err != nil {
			return text.String(), finished, done, roles
		}
		text.WriteString(engine.DeltaText(ev))
		if bytes.Contains(ev, []byte(`"length"`)) {
			finished++
		}
		if bytes.Contains(ev, []byte(`"role"`)) {
			roles++
		}
		if engine.IsDone(ev) {
			done++
		}
	}
}

// checkComplete fails the test unless the caller received exactly one complete stream.
func checkComplete(t *rapid.T, s *callerStub, want string) {
	text, finished, done, roles := parseStream(s)
	if text != want || finished != 1 || done != 1 || roles > 1 || s.statuses != 1 {
		t.Fatalf("%d finish, %d done, %d roles, %d statuses, text %q, want %q", finished, done, roles, s.statuses, text, want)
	}
}

// checkPrefix fails the test unless the caller received the beginning of one stream.
func checkPrefix(t *rapid.T, s *callerStub, want string) {
	text, finished, done, roles := parseStream(s)
	if !strings.HasPrefix(want, text) || finished > 1 || done != 0 || roles > 1 || s.statuses > 1 {
		t.Fatalf("%d finish, %d done, %d roles, text %q is not the beginning of %q", finished, done, roles, text, want)
	}
}
