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

// Mix describes a load of model requests and service calls.
type Mix struct {
	// Clients are the callers, one for each organisation.
	Clients []*client.Client
	// Model and Service are the names of the model and of the service to request.
	Model   string
	Service string
	// Count is the number of requests and Parallel the number of concurrent senders.
	Count    int
	Parallel int
	// Tokens is the length of the responses to model requests.
	Tokens int
	// Prefix distinguishes the prompts and bodies of this load from those of others.
	Prefix string
	// Between is the pause of each sender between two requests.
	Between time.Duration
}

// Outcome is the result of one request.
type Outcome struct {
	// Number is the index of the request in its load.
	Number int
	Answer client.Answer
	Err    error
	// Right is set when the response is complete and the expected one.
	Right bool
	// Took is the time from the start of the request to the end of the response.
	Took time.Duration
}

// Run sends the requests and returns their outcomes in the order of their numbers.
func Run(ctx context.Context, m Mix) []Outcome {
	out := make([]Outcome, m.Count)
	numbers := make(chan int)
	var senders sync.WaitGroup
	for range m.Parallel {
		senders.Go(func() {
			for n := range numbers {
				startedAt := time.Now()
				out[n] = m.send(ctx, n)
				out[n].Took = time.Since(startedAt)
				time.Sleep(m.Between)
			}
		})
	}
	for n := range m.Count {
		numbers <- n
	}
	close(numbers)
	senders.Wait()
	return out
}

// Wrong returns the outcomes whose responses are not the expected ones.
func Wrong(all []Outcome) []Outcome {
	var out []Outcome
	for _, o := range all {
		if !o.Right {
			out = append(out, o)
		}
	}
	return out
}

// send sends request n, which is in turn a streamed model request, a model request that is not
// streamed, an idempotent service call and one that is not idempotent.
func (m Mix) send(ctx context.Context, n int) Outcome {
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
func (m Mix) sendChat(ctx context.Context, c *client.Client, n int, prompt string, stream bool) Outcome {
	a, err := c.Do(ctx, client.Chat(m.Model, prompt, m.Tokens, stream))
	if !stream {
		a.Text = client.Content(a.Text)
	}
	want := model.Text("user:"+prompt+"\n", m.Tokens)
	return Outcome{Number: n, Answer: a, Err: err, Right: err == nil && a.Whole && a.Text == want}
}

// sendServiceCall sends a service call and compares the fields echoed by the stand-in.
func (m Mix) sendServiceCall(ctx context.Context, c *client.Client, n int, method, text string) Outcome {
	path := fmt.Sprintf("/slips/%s/%d", method, n)
	a, err := c.Do(ctx, client.Call{Method: method, Path: "/services/" + m.Service + path, Body: []byte(text)})
	var got plain.Answer
	decoded := json.Unmarshal([]byte(a.Text), &got) == nil
	isCorrect := err == nil && a.Whole && decoded && got.Path == path && got.Body == text && got.Request == a.Request
	return Outcome{Number: n, Answer: a, Err: err, Right: isCorrect}
}
