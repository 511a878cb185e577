package plain

import (
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/upstream"
)

// Options configure a stand-in of a plain service.
type Options struct {
	// Services are the names of the services served.
	Services []string
	// CallDuration is the time that the service takes for a call.
	CallDuration time.Duration
}

// Ledger counts the runs of calls.
type Ledger struct {
	// ByRequest and ByKey count the runs by request ID and by idempotency key.
	ByRequest map[string]int `json:"by_request"`
	ByKey     map[string]int `json:"by_key"`
}

// Response is the body of a response.
type Response struct {
	// RequestID is the value of the X-Request-Id header.
	RequestID string `json:"request"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Body      string `json:"body"`
	// RunNumber is the number of the run, counted from 1 over all calls.
	RunNumber int `json:"run"`
}

// Server is a stand-in of a plain service. It is safe for concurrent use.
type Server struct {
	opts        Options
	incarnation string

	mu       sync.Mutex
	ledger   Ledger
	runCount int
}

// New returns a server without recorded runs.
func New(o Options) *Server {
	return &Server{
		opts:        o,
		incarnation: uuid.NewString(),
		ledger:      Ledger{ByRequest: map[string]int{}, ByKey: map[string]int{}},
	}
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.GET("/health", func(c *gin.Context) {
		c.JSON(http.StatusOK, upstream.Health{Incarnation: s.incarnation, Services: s.opts.Services})
	})
	g.GET("/ledger", func(c *gin.Context) { c.JSON(http.StatusOK, s.Ledger()) })
	g.NoRoute(s.serve)
	return g
}

// Ledger returns a copy of the ledger.
func (s *Server) Ledger() Ledger {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Ledger{ByRequest: maps.Clone(s.ledger.ByRequest), ByKey: maps.Clone(s.ledger.ByKey)}
}

// serve responds to a call of the service.
func (s *Server) serve(c *gin.Context) {
	body, err := c.GetRawData()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	run := s.recordRun(c.GetHeader("X-Request-Id"), c.GetHeader("Idempotency-Key"))
	time.Sleep(s.opts.CallDuration)
	c.JSON(http.StatusOK, Response{
		RequestID: c.GetHeader("X-Request-Id"),
		Method:    c.Request.Method,
		Path:      c.Request.URL.RequestURI(),
		Body:      string(body),
		RunNumber: run,
	})
}

// recordRun counts a run in the ledger and returns its number.
func (s *Server) recordRun(requestID, idempotencyKey string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runCount++
	s.ledger.ByRequest[requestID]++
	if idempotencyKey != "" {
		s.ledger.ByKey[idempotencyKey]++
	}
	return s.runCount
}
