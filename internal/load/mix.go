package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/internal/client"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standin/model"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standin/plain"
)

// Workload describes a load of model requests and service calls.
type Workload struct {
	// Clients are the callers, one for each organisation.
	Clients []*client.Client
	// Model and Service are the names of the model and of the service to request.
	Model   string
	Service string
	// RequestCount is the number of requests and Concurrency the number of concurrent senders.
	RequestCount int
	Concurrency  int
	// ResponseTokens is the length of the responses to model requests.
	ResponseTokens int
	// Prefix distinguishes the prompts and bodies of this load from those of others.
	Prefix string
	// Pause is the pause of each sender between two requests.
	Pause time.Duration
}

// Outcome is the result of one request.
type Outcome struct {
	// Number is the index of the request in its load.
	Number   int
	Response client.Response
	Err      error
	// Correct is set when the response is complete and the expected one.
	Correct bool
	// Latency is the time from the start of the request to the end of the response.
	Latency time.Duration
}

// Run sends the requests and returns their outcomes in the order of their numbers.
func Run(ctx context.Context, m Workload) []Outcome {
	out := make([]Outcome, m.RequestCount)
	numbers := make(chan int)
	var senders sync.WaitGroup
	for range m.Concurrency {
		senders.Go(func() {
			for n := range numbers {
				startedAt := time.Now()
				out[n] = m.send(ctx, n)
				out[n].Latency = time.Since(startedAt)
				time.Sleep(m.Pause)
			}
		})
	}
	for n := range m.RequestCount {
		numbers <- n
	}
	close(numbers)
	senders.Wait()
	return out
}

// Incorrect returns the outcomes whose responses are not the expected ones.
func Incorrect(all []Outcome) []Outcome {
	var out []Outcome
	for _, o := range all {
		if !o.Correct {
			out = append(out, o)
		}
	}
	return out
}

// send sends request n, which is in turn a streamed model request, a model request that is not
// streamed, an idempotent service call and one that is not idempotent.
func (m Workload) send(ctx context.Context, n int) Outcome {
	c := m.Clients[n%len(m.Clients)]
	text := fmt.Sprintf("%s request %d", m.Prefix, n)
	switch n % 4 {
	case 0, 1:
		return m.sendChat(ctx, c, n, text, n%4 == 0)
	case 2:
		return m.sendServiceCall(ctx, c, n, http.MethodGet, text)
	}
	return m.sendServiceCall(ctx, c, n, http.MethodPost, text)
}

// sendChat sends a model request and compares the generated text with the expected one.
func (m Workload) sendChat(ctx context.Context, c *client.Client, n int, prompt string, stream bool) Outcome {
	a, err := c.Do(ctx, client.NewChatRequest(m.Model, prompt, m.ResponseTokens, stream))
	if !stream {
		a.Text = client.CompletionText(a.Text)
	}
	want := model.ResponseText("user:"+prompt+"\n", m.ResponseTokens)
	return Outcome{Number: n, Response: a, Err: err, Correct: err == nil && a.Complete && a.Text == want}
}

// sendServiceCall sends a service call and compares the fields echoed by the stand-in.
func (m Workload) sendServiceCall(ctx context.Context, c *client.Client, n int, method, text string) Outcome {
	path := fmt.Sprintf("/slips/%s/%d", method, n)
	a, err := c.Do(ctx, client.Request{Method: method, Path: "/services/" + m.Service + path, Body: []byte(text)})
	var got plain.Response
	decoded := json.Unmarshal([]byte(a.Text), &got) == nil
	isCorrect := err == nil && a.Complete && decoded && got.Path == path && got.Body == text && got.RequestID == a.RequestID
	return Outcome{Number: n, Response: a, Err: err, Correct: isCorrect}
}
