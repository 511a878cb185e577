package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/caller"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/directory"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/engine"
)

// Client sends the requests of one organisation. It is safe for concurrent use.
type Client struct {
	token string
	seeds []string
	http  *http.Client

	mu sync.Mutex
	// addresses is the cached directory, which is valid until expiresAt.
	addresses []string
	expiresAt time.Time
	// roundRobin is the number of requests sent by Do; it selects the next address.
	roundRobin int
}

// New returns a client with the bearer token of an organisation. The seeds are the entry
// addresses (host:port) for the first request of the directory.
func New(token string, seeds []string) *Client {
	return &Client{token: token, seeds: seeds, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// Response is the response to a Request.
type Response struct {
	// Status is the HTTP status.
	Status int
	// ResultCode is the result code of the system, 0 when there is none.
	ResultCode int
	// Text is the generated text of a streamed model request, or else the body.
	Text string
	// Complete is set when the response ended regularly and its status is 200.
	Complete bool
	// RequestID is the ID that the system gave to the request.
	RequestID string
	// Upstream is the upstream that the response names.
	Upstream string
}

// Request describes a request; Stream is set when the response is a stream of events.
type Request struct {
	Method  string
	Path    string
	Body    []byte
	Stream  bool
	Headers map[string]string
}

// NewChatRequest returns a chat-completions request for at most the given number of tokens.
func NewChatRequest(model, prompt string, tokens int, stream bool) Request {
	// Encoding this struct cannot fail.
	body, _ := json.Marshal(chatRequest{
		Model: model, Stream: stream, MaxTokens: tokens,
		Messages: []message{{Role: "user", Content: prompt}},
	})
	return Request{Method: http.MethodPost, Path: "/v1/chat/completions", Body: body, Stream: stream}
}

// chatRequest is the body of a chat-completions request.
type chatRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Addresses returns the entry addresses to use. It requests the directory again when the cached
// one has expired, first from the addresses in it and then from the seeds.
func (c *Client) Addresses(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expiresAt) {
		return c.addresses, nil
	}
	err := errors.New("client: no entry address to request the directory from")
	for _, a := range append(append([]string(nil), c.addresses...), c.seeds...) {
		var d directory.Response
		if d, err = c.fetchAddresses(ctx, a); err == nil {
			c.addresses = d.Addresses
			c.expiresAt = time.Now().Add(time.Duration(d.TTLSeconds) * time.Second)
			return c.addresses, nil
		}
	}
	return nil, err
}

// fetchAddresses requests the directory from an entry.
func (c *Client) fetchAddresses(ctx context.Context, address string) (directory.Response, error) {
	var d directory.Response
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/addresses", nil)
	if err != nil {
		return d, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return d, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return d, errors.New("client: request of the directory failed with status " + resp.Status)
	}
	err = json.NewDecoder(resp.Body).Decode(&d)
	return d, err
}

// Do sends a request to the next address of the directory in round-robin order.
func (c *Client) Do(ctx context.Context, call Request) (Response, error) {
	addresses, err := c.Addresses(ctx)
	if err != nil {
		return Response{}, err
	}
	c.mu.Lock()
	c.roundRobin++
	address := addresses[c.roundRobin%len(addresses)]
	c.mu.Unlock()
	return c.DoAt(ctx, address, call)
}

// DoAt sends a request to an entry address.
func (c *Client) DoAt(ctx context.Context, address string, call Request) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Response{}, err
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	for k, v := range call.Headers {
		req.Header.Set(k, v)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	a := Response{
		Status:    resp.StatusCode,
		RequestID: resp.Header.Get(caller.HeaderRequestID),
		Upstream:  resp.Header.Get(caller.HeaderUpstream),
	}
	a.ResultCode, _ = strconv.Atoi(resp.Header.Get(caller.HeaderResultCode))
	if call.Stream && resp.StatusCode == http.StatusOK {
		return a, readStream(resp.Body, &a)
	}
	body, err := io.ReadAll(resp.Body)
	a.Text = string(body)
	a.Complete = err == nil && resp.StatusCode == http.StatusOK
	return a, err
}

// readStream reads server-sent events until the end of the body or the first read error.
func readStream(r io.Reader, a *Response) error {
	lines := bufio.NewReader(r)
	isErrorEvent := false
	for {
		line, err := lines.ReadString('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch {
		case strings.HasPrefix(line, "event: error"):
			isErrorEvent = true
		case isErrorEvent && strings.HasPrefix(line, "data:"):
			a.ResultCode = errorCode(line)
			isErrorEvent = false
		case line+"\n" == engine.DoneEvent:
			a.Complete = true
		default:
			a.Text += engine.DeltaText([]byte(line))
		}
	}
}

// errorCode returns the result code in the data line of an error event, or 0.
func errorCode(line string) int {
	var f caller.ErrorResponse
	if json.Unmarshal([]byte(strings.TrimPrefix(line, "data:")), &f) != nil {
		return 0
	}
	return f.Error.Code
}

// CompletionText returns the generated text in the body of a model response that is not a
// stream, or an empty text when it has none.
func CompletionText(body string) string {
	var out struct {
		Choices []struct {
			Message message `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(body), &out) != nil || len(out.Choices) == 0 {
		return ""
	}
	return out.Choices[0].Message.Content
}
