package resume

import (
	"bytes"
	"strings"

	"github.com/tidwall/gjson"
)

// Transcript is what the caller has of a stream. The zero value is that of a stream of
// which nothing was sent.
type Transcript struct {
	text   strings.Builder
	tokens int64
	sent   bool
	// odd is set once an event was more than text of one choice.
	odd      bool
	finished bool
	// id, created and model are the raw JSON values of the first chunk.
	id, created, model string
}

// Sent reports whether the caller has any event.
func (t *Transcript) Sent() bool { return t.sent }

// Foreign notes that the caller has bytes that are not events of a stream.
func (t *Transcript) Foreign() {
	t.sent = true
	t.odd = true
}

// Take takes in one whole event, with its closing blank line, that went to the caller.
func (t *Transcript) Take(event []byte) {
	t.sent = true
	if comment(event) {
		return
	}
	c, ok := readChunk(event)
	if !ok || t.finished {
		t.odd = true
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

// Redundant reports whether an event of a resumed stream repeats the opening of the
// stream: the role without content.
func Redundant(event []byte) bool {
	c, ok := readChunk(event)
	return ok && c.role && c.text == "" && !c.finished
}

// chunk is what an event says of one choice.
type chunk struct {
	id, created, model string
	text               string
	tokens             int64
	role               bool
	finished           bool
}

// comment reports whether an event consists of comments only.
func comment(event []byte) bool {
	for line := range bytes.Lines(bytes.TrimSpace(event)) {
		if line[0] != ':' {
			return false
		}
	}
	return true
}

// readChunk reads an event that carries text of one choice and nothing else.
func readChunk(event []byte) (chunk, bool) {
	body, ok := bytes.CutPrefix(bytes.TrimSpace(event), []byte("data:"))
	if !ok || bytes.ContainsAny(body, "\r\n") || !gjson.ValidBytes(body) {
		return chunk{}, false
	}
	root := gjson.ParseBytes(body)
	choices := root.Get("choices").Array()
	if len(choices) != 1 || root.Get("error").Exists() {
		return chunk{}, false
	}
	choice := choices[0]
	if choice.Get("index").Int() != 0 || !plain(choice, "index", "delta", "finish_reason") {
		return chunk{}, false
	}
	delta := choice.Get("delta")
	if !plain(delta, "role", "content") {
		return chunk{}, false
	}
	return chunk{
		id:       root.Get("id").Raw,
		created:  root.Get("created").Raw,
		model:    root.Get("model").Raw,
		text:     delta.Get("content").String(),
		tokens:   root.Get("usage.completion_tokens").Int(),
		role:     delta.Get("role").Exists(),
		finished: choice.Get("finish_reason").Type == gjson.String,
	}, true
}

// plain reports whether all fields of an object but the named ones are null.
func plain(object gjson.Result, names ...string) bool {
	ok := true
	object.ForEach(func(k, v gjson.Result) bool {
		known := v.Type == gjson.Null
		for _, n := range names {
			known = known || k.String() == n
		}
		ok = known
		return ok
	})
	return ok
}
