package engine

import (
	"bytes"
	"context"
	"errors"
	"net/http"

	"github.com/tidwall/gjson"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/sse"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/upstream"
)

// Client calls one model engine. It implements upstream.Client.
type Client struct {
	*upstream.HTTPClient
}

// New returns a client of the engine at the base URL.
func New(baseURL string) *Client {
	return &Client{HTTPClient: upstream.NewHTTPClient(baseURL)}
}

// Run implements upstream.Client. Each part of a streamed response is one complete
// server-sent event.
func (c *Client) Run(ctx context.Context, r peer.RunRequest, emit func(upstream.Part) error) (upstream.ResponseSummary, error) {
	resp, err := c.Send(ctx, r)
	if err != nil {
		return upstream.ResponseSummary{}, err
	}
	defer resp.Body.Close()
	a := upstream.ResponseSummary{Status: resp.StatusCode}
	if !r.Stream || resp.StatusCode != http.StatusOK {
		return a, upstream.CopyBody(resp, emit)
	}
	a.Tokens, err = copyEvents(resp, emit)
	return a, err
}

// DoneEvent is the event that ends a complete stream.
const DoneEvent = "data: [DONE]\n\n"

// IsDone reports whether an event ends a complete stream.
func IsDone(ev []byte) bool {
	body, ok := bytes.CutPrefix(bytes.TrimSpace(ev), []byte("data:"))
	return ok && string(bytes.TrimSpace(body)) == "[DONE]"
}

// copyEvents passes each event to emit and returns the number of tokens. A stream that does not
// end with the event [DONE] is incomplete and yields upstream.ErrLost.
func copyEvents(resp *http.Response, emit func(upstream.Part) error) (int64, error) {
	part := upstream.Part{
		Status:  resp.StatusCode,
		Headers: []peer.Header{{Name: "Content-Type", Value: "text/event-stream"}},
	}
	events := sse.NewReader(resp.Body)
	tokens := int64(0)
	for {
		ev, err := events.Next()
		if err != nil {
			return tokens, errors.Join(upstream.ErrLost, err)
		}
		part.Data = ev
		part.HasMore = events.HasBuffered()
		if err := emit(part); err != nil {
			return tokens, err
		}
		part = upstream.Part{}
		if IsDone(ev) {
			return tokens, nil
		}
		if DeltaText(ev) != "" {
			tokens++
		}
	}
}

// DeltaText returns the text that one event of a stream adds to the first choice, or "" if none.
func DeltaText(ev []byte) string {
	body, ok := bytes.CutPrefix(ev, []byte("data:"))
	if !ok {
		return ""
	}
	return gjson.GetBytes(body, "choices.0.delta.content").String()
}
