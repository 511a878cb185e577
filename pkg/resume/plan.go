package resume

import (
	"encoding/json"
	"strings"

	"github.com/tidwall/gjson"
)

// Action is how a request continues after its upstream was lost.
type Action int

const (
	// NotResumable means that the response cannot be completed.
	NotResumable Action = iota
	// Repeat means that the request is sent again unchanged.
	Repeat
	// Resume means that the request is sent with a body that includes the text so far.
	Resume
	// Complete means that only the closing events are missing.
	Complete
)

// Plan states how a request continues.
type Plan struct {
	Action Action
	// Body is the request body to send. It is set for Resume only.
	Body []byte
	// Events are the closing events to send to the caller. They are set for Complete only.
	Events [][]byte
}

// doneEvent ends each stream of chat completions.
const doneEvent = "data: [DONE]\n\n"

// resumableFields are the request fields that do not prevent a stream from being resumed.
var resumableFields = map[string]bool{
	"model": true, "messages": true, "stream": true, "max_tokens": true, "max_completion_tokens": true,
	"temperature": true, "top_p": true, "top_k": true, "min_p": true, "seed": true, "stop": true, "user": true,
	"presence_penalty": true, "frequency_penalty": true, "repetition_penalty": true, "n": true, "metadata": true,
}

// Plan returns how the stream with the given request body continues.
func (t *Transcript) Plan(body []byte) Plan {
	if !t.sent {
		return Plan{Action: Repeat}
	}
	if t.unsupported || !isResumable(body) {
		return Plan{Action: NotResumable}
	}
	if t.finished {
		return Plan{Action: Complete, Events: [][]byte{[]byte(doneEvent)}}
	}
	limitField, limit := tokenLimit(body)
	remaining := limit - t.tokens
	if limit > 0 && remaining <= 0 {
		return Plan{Action: Complete, Events: [][]byte{t.closingChunk(), []byte(doneEvent)}}
	}
	if t.text.Len() == 0 {
		return Plan{Action: Resume, Body: body}
	}
	return Plan{Action: Resume, Body: t.resumeBody(body, limitField, remaining)}
}

// isResumable reports whether the stream of a request may be resumed.
func isResumable(body []byte) bool {
	if !gjson.ValidBytes(body) {
		return false
	}
	ok := true
	gjson.ParseBytes(body).ForEach(func(k, v gjson.Result) bool {
		ok = v.Type == gjson.Null || resumableFields[k.String()]
		return ok
	})
	if n := gjson.GetBytes(body, "n"); n.Exists() && n.Int() != 1 {
		return false
	}
	messages := gjson.GetBytes(body, "messages").Array()
	// If the caller supplied the beginning of the response as the last message, the text so far
	// cannot be added as a further message.
	return ok && len(messages) > 0 && messages[len(messages)-1].Get("role").String() != "assistant"
}

// tokenLimit returns the field that limits the number of generated tokens and its value, or 0
// if there is none.
func tokenLimit(body []byte) (string, int64) {
	for _, field := range []string{"max_completion_tokens", "max_tokens"} {
		if n := gjson.GetBytes(body, field).Int(); n > 0 {
			return field, n
		}
	}
	return "", 0
}

// assistantMessage is the request message that holds the text so far.
type assistantMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// resumeBody returns the request body with the text so far as the last message and with
// limitField set to the remaining number of tokens. Errors of Marshal are ignored because
// encoding strings, integers and raw JSON cannot fail.
func (t *Transcript) resumeBody(body []byte, limitField string, remaining int64) []byte {
	var fields map[string]json.RawMessage
	var messages []json.RawMessage
	if json.Unmarshal(body, &fields) != nil || json.Unmarshal(fields["messages"], &messages) != nil {
		return body
	}
	prefix, _ := json.Marshal(assistantMessage{Role: "assistant", Content: t.text.String()})
	fields["messages"], _ = json.Marshal(append(messages, prefix))
	fields["continue_final_message"] = json.RawMessage("true")
	fields["add_generation_prompt"] = json.RawMessage("false")
	if limitField != "" {
		delete(fields, "max_tokens")
		fields[limitField], _ = json.Marshal(remaining)
	}
	out, _ := json.Marshal(fields)
	return out
}

// closingChunk returns the closing chunk of a stream that reached its token limit.
func (t *Transcript) closingChunk() []byte {
	var b strings.Builder
	b.WriteString(`data: {"object":"chat.completion.chunk"`)
	for _, f := range [][2]string{{"id", t.id}, {"created", t.created}, {"model", t.model}} {
		if f[1] != "" {
			b.WriteString(`,"` + f[0] + `":` + f[1])
		}
	}
	b.WriteString(`,"choices":[{"index":0,"delta":{},"finish_reason":"length"}]}` + "\n\n")
	return []byte(b.String())
}
