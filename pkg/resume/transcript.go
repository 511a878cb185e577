package resume

import (
	"bytes"
	"strings"

	"github.com/tidwall/gjson"
)

// Transcript records the part of a stream that was sent to the caller. The zero value is the
// transcript of a stream of which nothing was sent. It is not safe for concurrent use.
type Transcript struct {
	// text is the generated text so far and tokens the number of its tokens.
	text   strings.Builder
	tokens int64
	// sent is set once any event was sent.
	sent bool
	// unsupported is set once an event was sent that is not text of a single choice.
	unsupported bool
	// finished is set once an event with a finish reason was sent.
	finished bool
	// id, created and model are the raw JSON values of the first chunk.
	id, created, model string
}

// HasEvents reports whether any event was sent to the caller.
func (t *Transcript) HasEvents() bool { return t.sent }

// MarkUnsupported records that bytes were sent to the caller that are not events of a stream.
func (t *Transcript) MarkUnsupported() {
	t.sent = true
	t.unsupported = true
}

// Append records one complete event, with its closing blank line, that was sent to the caller.
func (t *Transcript) Append(event []byte) {
	t.sent = true
	if isComment(event) {
		return
	}
	c, ok := readChunk(event)
	if !ok || t.finished {
		t.unsupported = true
		return
	}
	if t.id == "" {
		t.id, t.created, t.model = c.id, c.created, c.model
	}
	t.finished = c.finished
	t.text.WriteString(c.text)
	switch {
	case c.tokens > 0:
		t.tokens = c.tokens
	case c.text != "":
		t.tokens++
	}
}

// IsRoleOnly reports whether an event of a resumed stream only repeats the opening event of the
// stream, which states the role and has no content.
func IsRoleOnly(event []byte) bool {
	c, ok := readChunk(event)
	return ok && c.hasRole && c.text == "" && !c.finished
}

// chunk is the decoded content of an event with one choice.
type chunk struct {
	// id, created and model are raw JSON values.
	id, created, model string
	text               string
	// tokens is the number of tokens generated so far, 0 if the event does not state it.
	tokens   int64
	hasRole  bool
	finished bool
}

// isComment reports whether an event consists of comment lines only.
func isComment(event []byte) bool {
	for line := range bytes.Lines(bytes.TrimSpace(event)) {
		if line[0] != ':' {
			return false
		}
	}
	return true
}

// readChunk decodes an event. It reports false if the event is not text of a single choice.
func readChunk(event []byte) (chunk, bool) {
	body, ok := bytes.CutPrefix(bytes.TrimSpace(event), []byte("data:"))
	if !ok || bytes.ContainsAny(body, "\r\n") || !gjson.ValidBytes(body) {
		return chunk{}, false
	}
	c := chunk{}
	choices := 0
	gjson.ParseBytes(body).ForEach(func(k, v gjson.Result) bool {
		switch k.Str {
		case "id":
			c.id = v.Raw
		case "created":
			c.created = v.Raw
		case "model":
			c.model = v.Raw
		case "usage":
			c.tokens = v.Get("completion_tokens").Int()
		case "error":
			ok = false
		case "choices":
			v.ForEach(func(_, choice gjson.Result) bool {
				choices++
				ok = ok && c.readChoice(choice)
				return ok
			})
		}
		return ok
	})
	return c, ok && choices == 1
}

// readChoice decodes the choice of a chunk. It reports false if the choice holds more than text.
func (c *chunk) readChoice(choice gjson.Result) bool {
	ok := choice.IsObject()
	choice.ForEach(func(k, v gjson.Result) bool {
		switch {
		case k.Str == "index":
			ok = v.Num == 0
		case k.Str == "delta":
			ok = c.readDelta(v)
		case k.Str == "finish_reason":
			c.finished = v.Type == gjson.String && v.Str != ""
		default:
			ok = v.Type == gjson.Null
		}
		return ok
	})
	return ok
}

// readDelta decodes the text of a choice. It reports false if the delta holds more than text.
func (c *chunk) readDelta(delta gjson.Result) bool {
	ok := true
	delta.ForEach(func(k, v gjson.Result) bool {
		switch {
		case k.Str == "role":
			c.hasRole = true
		case k.Str == "content":
			c.text = v.Str
			ok = v.Type == gjson.String || v.Type == gjson.Null
		default:
			ok = v.Type == gjson.Null
		}
		return ok
	})
	return ok
}
