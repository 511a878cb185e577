package resume

import (
	"testing"

	"github.com/matryer/is"
	"github.com/tidwall/gjson"
)

const (
	plainBody  = `{"model":"m","messages":[{"role":"user","content":"q"}],"stream":true,"max_tokens":4}`
	roleEvent  = `data: {"id":"x","choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}` + "\n\n"
	textEvent  = `data: {"id":"x","choices":[{"index":0,"delta":{"content":"a "},"logprobs":null,"finish_reason":null}]}` + "\n\n"
	closeEvent = `data: {"id":"x","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}` + "\n\n"
)

func newTranscript(events ...string) *Transcript {
	t := &Transcript{}
	for _, e := range events {
		t.Append([]byte(e))
	}
	return t
}

func TestPlanAction(t *testing.T) {
	countedEvent := `data: {"choices":[{"index":0,"delta":{"content":"a b "}}],"usage":{"completion_tokens":4}}` + "\n\n"
	for _, c := range []struct {
		name   string
		body   string
		events []string
		want   Action
	}{
		{"nothing sent", plainBody, nil, Repeat},
		{"only the role", plainBody, []string{roleEvent}, Resume},
		{"text", plainBody, []string{roleEvent, textEvent}, Resume},
		{"comment", plainBody, []string{": ping\n\n", textEvent}, Resume},
		{"finish event sent", plainBody, []string{textEvent, closeEvent}, Complete},
		{"limit reached", plainBody, []string{textEvent, textEvent, textEvent, textEvent}, Complete},
		{"limit reached with several tokens in an event", plainBody, []string{countedEvent}, Complete},
		{"second choice", plainBody, []string{`data: {"choices":[{"index":1,"delta":{"content":"a"}}]}` + "\n\n"}, NotResumable},
		{"two choices", plainBody, []string{`data: {"choices":[{"index":0,"delta":{}},{"index":1,"delta":{}}]}` + "\n\n"}, NotResumable},
		{"tool call", plainBody, []string{`data: {"choices":[{"index":0,"delta":{"tool_calls":[]}}]}` + "\n\n"}, NotResumable},
		{"usage event", plainBody, []string{textEvent, `data: {"choices":[],"usage":{}}` + "\n\n"}, NotResumable},
		{"content that is no string", plainBody, []string{`data: {"choices":[{"index":0,"delta":{"content":[1]}}]}` + "\n\n"}, NotResumable},
		{"choices that are no list", plainBody, []string{`data: {"choices":{"index":0,"delta":{"content":"a"}}}` + "\n\n"}, NotResumable},
		{"error event", plainBody, []string{`data: {"error":{"message":"x"}}` + "\n\n"}, NotResumable},
		{"named event", plainBody, []string{"event: x\n" + textEvent}, NotResumable},
		{"text after the finish event", plainBody, []string{closeEvent, textEvent}, NotResumable},
		{"several choices requested", `{"messages":[{"role":"user"}],"n":2}`, []string{textEvent}, NotResumable},
		{"tools", `{"messages":[{"role":"user"}],"tools":[]}`, []string{textEvent}, NotResumable},
		{"unknown field", `{"messages":[{"role":"user"}],"beam":2}`, []string{textEvent}, NotResumable},
		{"null field", `{"messages":[{"role":"user"}],"tools":null}`, []string{textEvent}, Resume},
		{"usage requested", `{"messages":[{"role":"user"}],"stream_options":{"include_usage":true}}`, []string{textEvent}, NotResumable},
		{"assistant message of the caller", `{"messages":[{"role":"assistant","content":"a"}]}`, []string{textEvent}, NotResumable},
	} {
		if got := newTranscript(c.events...).Plan([]byte(c.body)).Action; got != c.want {
			t.Errorf("%s: action %d, want %d", c.name, got, c.want)
		}
	}
}

func TestResumeBody(t *testing.T) {
	is := is.New(t)
	body := newTranscript(roleEvent, textEvent).Plan([]byte(plainBody)).Body
	is.Equal(gjson.GetBytes(body, "max_tokens").Int(), int64(3))
	is.True(gjson.GetBytes(body, "continue_final_message").Bool())
	is.Equal(gjson.GetBytes(body, "add_generation_prompt").Raw, "false")
	is.Equal(gjson.GetBytes(body, "messages.1.role").String(), "assistant")
	is.Equal(gjson.GetBytes(body, "messages.1.content").String(), "a ")
}

func TestUnsupportedBytesAreNotResumed(t *testing.T) {
	is := is.New(t)
	tr := &Transcript{}
	tr.MarkUnsupported()
	is.Equal(tr.Plan([]byte(plainBody)).Action, NotResumable)
}

func BenchmarkTake(b *testing.B) {
	tr := &Transcript{}
	b.ReportAllocs()
	for b.Loop() {
		tr.Append([]byte(textEvent))
	}
}

// TestEmptyFinishReasonIsNoFinish guards against a stream that breaks off and is completed with [DONE]
// because its engine writes an empty finish reason into each event, where others write null.
func TestEmptyFinishReasonIsNoFinish(t *testing.T) {
	is := is.New(t)
	const event = `data: {"choices":[{"index":0,"delta":{"content":"a "},"finish_reason":""}]}` + "\n\n"
	is.Equal(newTranscript(event).Plan([]byte(plainBody)).Action, Resume)
	p := newTranscript(event, event).Plan([]byte(plainBody))
	is.Equal(p.Action, Resume)
	is.Equal(gjson.GetBytes(p.Body, "messages.1.content").String(), "a a ")
}
