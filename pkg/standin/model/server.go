package model

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/upstream"
)

// Options configure a stand-in of a model engine.
type Options struct {
	// Models are the names of the models served.
	Models []string
	// ColdLimit and WarmLimit are the concurrency limits after a start and when warm.
	ColdLimit int
	WarmLimit int
	// TokenInterval is the time to generate one token.
	TokenInterval time.Duration
	// RestartDelay is the time after a crash during which the engine is down.
	RestartDelay time.Duration
}

// Ledger counts the runs and crashes of an engine over all its incarnations.
type Ledger struct {
	// Started and Finished count started and completed runs by request ID.
	Started  map[string]int `json:"started"`
	Finished map[string]int `json:"finished"`
	Crashes  int            `json:"crashes"`
	// LimitCrashes counts the crashes caused by exceeding the concurrency limit.
	LimitCrashes int `json:"overshoots"`
	// InvalidResumes counts resumed requests whose prefilled text is not the beginning of the
	// expected response.
	InvalidResumes int `json:"bad_resumes"`
	// Running is the number of requests in progress and Peak its maximum so far.
	Running     int `json:"running"`
	PeakRunning int `json:"peak"`
}

// Server is a stand-in of a model engine. It is safe for concurrent use.
type Server struct {
	opts  Options
	cache promptCache

	mu          sync.Mutex
	incarnation string
	downUntil   time.Time
	// concurrencyLimit is the number of requests that the present incarnation can run at a time.
	concurrencyLimit int
	// crashed is closed when the present incarnation crashes.
	crashed chan struct{}
	ledger  Ledger
}

// New returns an engine in its first incarnation, at its cold limit.
func New(o Options) *Server {
	s := &Server{opts: o, ledger: Ledger{Started: map[string]int{}, Finished: map[string]int{}}}
	s.restart()
	return s
}

// restart starts a new incarnation. The caller holds Server.mu, or the server is not shared yet.
func (s *Server) restart() {
	s.incarnation = uuid.NewString()
	s.concurrencyLimit = s.opts.ColdLimit
	s.crashed = make(chan struct{})
	s.cache.clear()
	s.ledger.Running = 0
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.GET("/ledger", func(c *gin.Context) { c.JSON(http.StatusOK, s.Ledger()) })
	g.POST("/crash", func(c *gin.Context) { s.Crash() })
	g.GET("/health", s.health)
	g.GET("/cache-events", s.cache.serveEvents)
	g.POST("/v1/chat/completions", s.completions)
	return g
}

// Ledger returns a copy of the ledger.
func (s *Server) Ledger() Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.ledger
	l.Started = copyCounts(l.Started)
	l.Finished = copyCounts(l.Finished)
	return l
}

func copyCounts(m map[string]int) map[string]int {
	out := make(map[string]int, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

// Crash closes all connections and starts a new incarnation, which is down for RestartDelay.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashLocked()
}

// crashLocked is Crash for a caller that holds Server.mu.
func (s *Server) crashLocked() {
	s.ledger.Crashes++
	s.downUntil = time.Now().Add(s.opts.RestartDelay)
	close(s.crashed)
	s.restart()
}

// isDown reports whether the engine is restarting. The caller holds Server.mu.
func (s *Server) isDown() bool {
	return time.Now().Before(s.downUntil)
}

// health serves GET /health. It closes the connection while the engine is down.
func (s *Server) health(c *gin.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown() {
		panic(http.ErrAbortHandler)
	}
	c.JSON(http.StatusOK, upstream.Health{Incarnation: s.incarnation, Models: s.opts.Models})
}

// chatRequest holds the fields of a chat-completions request that the stand-in reads.
type chatRequest struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	Stream               bool `json:"stream"`
	MaxTokens            int  `json:"max_tokens"`
	ContinueFinalMessage bool `json:"continue_final_message"`
}

// job is one accepted request.
type job struct {
	// id is the request ID.
	id     string
	prompt string
	// firstToken is the index of the first token to generate, and totalTokens the length of the
	// response including the prefilled tokens.
	firstToken  int
	totalTokens int
	// crashed is closed when the incarnation that runs the job crashes.
	crashed <-chan struct{}
}

// completions serves POST /v1/chat/completions.
func (s *Server) completions(c *gin.Context) {
	var b chatRequest
	if err := c.ShouldBindBodyWithJSON(&b); err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"error": err.Error()})
		return
	}
	j, ok := s.startJob(c.GetHeader("X-Request-Id"), b)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	s.cache.addPrompt(c.MustGet(gin.BodyBytesKey).([]byte))
	ended := false
	// The concurrency slot is free before the client receives the end of the response.
	onGenerated := func() {
		ended = true
		s.endJob(j, true)
	}
	defer func() {
		if !ended {
			s.endJob(j, false)
		}
	}()
	if b.Stream {
		s.streamResponse(c, j, onGenerated)
	} else {
		s.respond(c, b.Model, j, onGenerated)
	}
}

// startJob records the start of a run. It reports false when the engine is down or the request
// crashes it.
func (s *Server) startJob(id string, b chatRequest) (job, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDown() {
		return job{}, false
	}
	j := s.newJob(id, b)
	s.ledger.Started[id]++
	s.ledger.Running++
	s.ledger.PeakRunning = max(s.ledger.PeakRunning, s.ledger.Running)
	if s.ledger.Running > s.concurrencyLimit {
		s.ledger.LimitCrashes++
		s.crashLocked()
		return j, false
	}
	if strings.Contains(j.prompt, PoisonText) {
		s.crashLocked()
		return j, false
	}
	return j, true
}

// newJob derives the prompt and the range of tokens to generate. A resumed request carries the
// text generated so far as its last message.
func (s *Server) newJob(id string, b chatRequest) job {
	j := job{id: id, totalTokens: b.MaxTokens, crashed: s.crashed}
	messages := b.Messages
	if n := len(messages); b.ContinueFinalMessage && n > 0 {
		prefill := messages[n-1].Content
		messages = messages[:n-1]
		j.firstToken = strings.Count(prefill, " ")
		defer func() {
			if ResponseText(j.prompt, j.firstToken) != prefill {
				s.ledger.InvalidResumes++
			}
		}()
	}
	var p strings.Builder
	for _, m := range messages {
		p.WriteString(m.Role + ":" + m.Content + "\n")
	}
	j.prompt = p.String()
	// max_tokens counts only the tokens to generate, not the prefilled ones.
	j.totalTokens += j.firstToken
	if b.MaxTokens <= 0 {
		j.totalTokens = max(defaultResponseTokens, j.firstToken)
	}
	return j
}

// defaultResponseTokens is the length of the response to a request without max_tokens.
const defaultResponseTokens = 16

// endJob records the end of a run. A run of an earlier incarnation does not change the number of
// running requests or the concurrency limit.
func (s *Server) endJob(j job, completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if completed {
		s.ledger.Finished[j.id]++
	}
	if j.crashed != s.crashed {
		return
	}
	s.ledger.Running--
	if completed && s.concurrencyLimit < s.opts.WarmLimit {
		s.concurrencyLimit++
	}
}

// waitForToken waits for the duration of one token. It aborts the response when the engine
// crashes or the client disconnects.
func (s *Server) waitForToken(c *gin.Context, j job) {
	t := time.NewTimer(s.opts.TokenInterval)
	defer t.Stop()
	select {
	case <-t.C:
	case <-j.crashed:
		panic(http.ErrAbortHandler)
	case <-c.Request.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// streamResponse sends the response as server-sent events, one for each token.
func (s *Server) streamResponse(c *gin.Context, j job, onGenerated func()) {
	c.Header("Content-Type", "text/event-stream")
	fmt.Fprintf(c.Writer, "data: {\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":\"\"},\"finish_reason\":null}]}\n\n", j.id)
	c.Writer.Flush()
	for i := j.firstToken; i < j.totalTokens; i++ {
		s.waitForToken(c, j)
		s.writeChunk(c, j, ResponseToken(j.prompt, i), "null")
	}
	onGenerated()
	s.writeChunk(c, j, "", `"length"`)
	fmt.Fprint(c.Writer, "data: [DONE]\n\n")
	c.Writer.Flush()
}

// writeChunk sends one event; finishReason is JSON.
func (s *Server) writeChunk(c *gin.Context, j job, text, finishReason string) {
	fmt.Fprintf(c.Writer, "data: {\"id\":\"chatcmpl-%s\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":%s}]}\n\n", j.id, text, finishReason)
	c.Writer.Flush()
}

// completion is the body of a response that is not streamed.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// respond sends the response in one piece after the duration of all its tokens.
func (s *Server) respond(c *gin.Context, model string, j job, onGenerated func()) {
	for i := j.firstToken; i < j.totalTokens; i++ {
		s.waitForToken(c, j)
	}
	onGenerated()
	text := strings.TrimPrefix(ResponseText(j.prompt, j.totalTokens), ResponseText(j.prompt, j.firstToken))
	out, err := json.Marshal(completion{
		ID: "chatcmpl-" + j.id, Object: "chat.completion", Model: model,
		Choices: []choice{{Message: message{Role: "assistant", Content: text}, FinishReason: "length"}},
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	c.Data(http.StatusOK, "application/json", out)
}
