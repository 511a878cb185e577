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

// callerStub is a caller that keeps what it gets. It implements Sink.
type callerStub struct {
	bytes.Buffer
	statuses int
}

func (r *callerStub) Frame(f peer.Frame) error {
	if f.Status != 0 {
		r.statuses++
	}
	_, err := r.Write(f.Data)
	return err
}

// streamStyle is how an engine words its stream.
type streamStyle struct {
	role, comments, usage, crlf bool
	// toolCallAfter adds an event that is more than text, after this number of tokens; 0 for none.
	toolCallAfter int
}

// engineStream returns what an engine answers to a request body.
func engineStream(body []byte, y streamStyle) []byte {
	messages := gjson.GetBytes(body, "messages").Array()
	received := ""
	if gjson.GetBytes(body, "continue_final_message").Bool() {
		received = messages[len(messages)-1].Get("content").String()
		messages = messages[:len(messages)-1]
	}
	prompt := messages[0].Get("content").String()
	offset := strings.Count(received, " ")
	if model.Text(prompt, offset) != received {
		return []byte("wrong beginning")
	}
	var b bytes.Buffer
	event := func(text string) {
		b.WriteString(text + "\n\n")
	}
	chunk := func(delta, finish, more string) {
		event(`data: {"id":"c","choices":[{"index":0,"delta":` + delta + `,"finish_reason":` + finish + `}]` + more + `}`)
	}
	if y.role {
		chunk(`{"role":"assistant","content":""}`, "null", "")
	}
	n := int(gjson.GetBytes(body, "max_tokens").Int())
	for i := range n {
		if y.comments {
			event(": ping")
		}
		if y.toolCallAfter > 0 && i == y.toolCallAfter {
			chunk(`{"tool_calls":[{"index":0}]}`, "null", "")
		}
		text, _ := json.Marshal(model.Token(prompt, offset+i))
		more := ""
		if y.usage {
			more = fmt.Sprintf(`,"usage":{"completion_tokens":%d}`, i+1)
		}
		chunk(`{"content":`+string(text)+`}`, "null", more)
	}
	chunk(`{"content":""}`, `"length"`, "")
	event("data: [DONE]")
	if y.crlf {
		return bytes.ReplaceAll(b.Bytes(), []byte("\n"), []byte("\r\n"))
	}
	return b.Bytes()
}

// deliverStream hands the first bytes of a stream to an answer and reports whether it was whole.
func deliverStream(a *response, stream []byte, sink Sink) bool {
	a.nextAttempt()
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
		if a.deliver(f, true, sink) != nil {
			return false
		}
		if engine.IsDone(ev) {
			return true
		}
	}
}

func TestStreamIsExactWhenUpstreamsFailAtAnyByte(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.IntRange(1, 12).Draw(t, "tokens")
		y := streamStyle{
			role: rapid.Bool().Draw(t, "role"), comments: rapid.Bool().Draw(t, "comments"),
			crlf: rapid.Bool().Draw(t, "crlf"),
		}
		if rapid.IntRange(0, 4).Draw(t, "odd?") == 0 {
			y.toolCallAfter = rapid.IntRange(1, 12).Draw(t, "odd")
		}
		request := Request{Stream: true, Idempotent: true, Body: fmt.Appendf(nil, `{"model":"m","messages":[{"role":"user","content":"p"}],"stream":true,"max_tokens":%d}`, tokens)}
		a := &response{}
		sink := &callerStub{}
		want := model.Text("p", tokens)
		for range 6 {
			stream := engineStream(a.nextBody(request), y)
			cut := rapid.IntRange(0, len(stream)).Draw(t, "cut")
			if deliverStream(a, stream[:cut], sink) && a.flush(sink) == nil {
				checkComplete(t, sink, want)
				return
			}
			p := a.planRecovery(request)
			switch p.Way {
			case resume.Impossible:
				if y.toolCallAfter == 0 {
					t.Fatalf("a stream of plain text was given up after %q", sink)
				}
				checkPrefix(t, sink, want)
				return
			case resume.Complete:
				_ = a.sendClosingEvents(p.Events, sink)
				checkComplete(t, sink, want)
				return
			}
		}
		checkPrefix(t, sink, want)
	})
}

// parseStream returns the text of a stream and the number of its closing events.
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

func checkComplete(t *rapid.T, s *callerStub, want string) {
	text, finished, done, roles := parseStream(s)
	if text != want || finished != 1 || done != 1 || roles > 1 || s.statuses != 1 {
		t.Fatalf("%d finish, %d done, %d roles, %d statuses, text %q, want %q", finished, done, roles, s.statuses, text, want)
	}
}

func checkPrefix(t *rapid.T, s *callerStub, want string) {
	text, finished, done, roles := parseStream(s)
	if !strings.HasPrefix(want, text) || finished > 1 || done != 0 || roles > 1 || s.statuses > 1 {
		t.Fatalf("%d finish, %d done, %d roles, text %q is not the beginning of %q", finished, done, roles, text, want)
	}
}
