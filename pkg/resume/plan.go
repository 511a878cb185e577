package resume

import (
	"encoding/json"
	"strings"

	"github.com/tidwall/gjson"
)

// Way is how a request goes on after its upstream was lost.
type Way int

const (
	// Impossible means that the answer cannot be made whole.
	Impossible Way = iota
	// Repeat means that the request is sent again as it is.
	Repeat
	// Resume means that the request is sent with a body that holds the text so far.
	Resume
	// Complete means that only closing events are missing.
	Complete
)

// Plan is the way on. Body belongs to Resume, Events to Complete.
type Plan struct {
	Way    Way
	Body   []byte
	Events [][]byte
}

const doneEvent = "data: [DONE]\n\n"

// resumableFields are the fields of a request that do not keep its stream from being resumed.
var resumableFields = map[string]bool{
	"model": true, "messages": true, "stream": true, "max_tokens": true, "max_completion_tokens": true,
	"temperature": true, "top_p": true, "top_k": true, "min_p": true, "seed": true, "stop": true, "user": true,
	"presence_penalty": true, "frequency_penalty": true, "repetition_penalty": true, "n": true, "metadata": true,
}

// Plan returns the way on for the request body of a stream.
func (t *Transcript) Plan(body []byte) Plan {
	if !t.sent {
		return Plan{Way: Repeat}
	}
	if t.unsupported || !isResumable(body) {
		return Plan{Way: Impossible}
	}
	if t.finished {
		return Plan{Way: Complete, Events: [][]byte{[]byte(doneEvent)}}
	}
	limitField, limit := tokenLimit(body)
	remaining := limit - t.tokens
	if limit > 0 && remaining <= 0 {
		return Plan{Way: Complete, Events: [][]byte{t.closingChunk(), []byte(doneEvent)}}
	}
	if t.text.Len() == 0 {
		return Plan{Way: Resume, Body: body}
	}
	return Plan{Way: Resume, Body: t.resumeBody(body, limitField, remaining)}
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
	// An answer that continues the caller's own beginning has no place for another.
	return ok && len(messages) > 0 && messages[len(messages)-1].Get("role").String() != "assistant"
}

// tokenLimit returns the field that bounds the new tokens and its value, 0 for none.
func tokenLimit(body []byte) (string, int64) {
	for _, field := range []string{"max_completion_tokens", "max_tokens"} {
		if n := gjson.GetBytes(body, field).Int(); n > 0 {
			return field, n
		}
	}
	return "", 0
}

// assistantMessage is the text so far as a assistantMessage of the request.
type assistantMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// resumeBody returns the request with the text so far. Encoding strings, integers and raw JSON
// cannot fail.
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
