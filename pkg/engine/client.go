package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/upstream"
)

// Client calls one model engine. It implements upstream.Client.
type Client struct {
	http *upstream.HTTP
}

// New returns a client of the engine at the base URL.
func New(base string) *Client {
	return &Client{http: upstream.NewHTTP(base)}
}

// Health implements upstream.Client.
func (c *Client) Health(ctx context.Context) (upstream.Health, error) {
	return c.http.Health(ctx)
}

// Run implements upstream.Client. Each part of a streamed answer is one whole
// server-sent event.
func (c *Client) Run(ctx context.Context, r peer.RunRequest, emit func(upstream.Part) error) (upstream.Answer, error) {
	resp, err := c.http.Send(ctx, r)
	if err != nil {
		return upstream.Answer{}, err
	}
	defer resp.Body.Close()
	a := upstream.Answer{Status: resp.StatusCode}
	if !r.Stream || resp.StatusCode != http.StatusOK {
		return a, upstream.Copy(resp, emit)
	}
	a.Tokens, err = copyEvents(resp, emit)
	return a, err
}

// EventDone is the last event of a whole stream.
const EventDone = "data: [DONE]\n\n"

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

// copyEvents hands each event to emit and returns the number of tokens. The stream is
// whole only when it ends with EventDone.
func copyEvents(resp *http.Response, emit func(upstream.Part) error) (int64, error) {
	part := upstream.Part{
		Status:  resp.StatusCode,
		Headers: []peer.Header{{Name: "Content-Type", Value: "text/event-stream"}},
	}
	lines := bufio.NewReader(resp.Body)
	tokens := int64(0)
	for {
		ev, err := readEvent(lines)
		if err != nil {
			return tokens, errors.Join(upstream.ErrLost, err)
		}
		part.Data = ev
		if err := emit(part); err != nil {
			return tokens, err
		}
		part = upstream.Part{}
		if string(ev) == EventDone {
			return tokens, nil
		}
		tokens += int64(len(Texts(ev)))
	}
}

// readEvent reads one event with its closing blank line.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var ev []byte
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			return nil, io.ErrUnexpectedEOF
		}
		ev = append(ev, line...)
		if len(ev) > maxEventBytes {
			return nil, errors.New("engine: event too long")
		}
		if len(bytes.TrimSpace(line)) == 0 && len(bytes.TrimSpace(ev)) > 0 {
			return ev, nil
		}
	}
}

// Chunk is the part of a chat-completions chunk that the system reads.
type Chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// Texts returns the non-empty content pieces of one event.
func Texts(ev []byte) []string {
	body, ok := bytes.CutPrefix(bytes.TrimSpace(ev), []byte("data:"))
	if !ok {
		return nil
	}
	var c Chunk
	if json.Unmarshal(body, &c) != nil {
		return nil
	}
	var out []string
	for _, ch := range c.Choices {
		if ch.Delta.Content != "" {
			out = append(out, ch.Delta.Content)
		}
	}
	return out
}
