package caller

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/samber/oops"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/directory"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/dispatch"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/listener"
)

// Dispatcher runs requests on upstreams and writes the responses to a sink.
type Dispatcher interface {
	Do(ctx context.Context, r dispatch.Request, sink dispatch.Sink) dispatch.Result
}

// Directory lists the entries.
type Directory interface {
	// Entries returns the state of all entries; selfUsable states whether this entry accepts
	// requests.
	Entries(selfUsable bool) []directory.Entry
}

// Options configure a server.
type Options struct {
	// Address is the host:port of the listener.
	Address string
	// TLS holds the certificate of the listener; the zero value means plain HTTP.
	TLS        listener.Settings
	Dispatcher Dispatcher
	Directory  Directory
	Config     *configuration.Holder
}

// Server is the HTTP server of an entry for callers.
type Server struct {
	opts       Options
	httpServer *http.Server
	leaving    atomic.Bool
}

const (
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
)

// New returns a server that does not listen yet.
func New(o Options) *Server {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	s := &Server{opts: o}
	s.httpServer = &http.Server{Handler: router, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	router.GET("/v1/addresses", s.requireConfiguration, s.handleAddresses)
	router.GET("/v1/models", s.requireConfiguration, s.handleModels)
	router.POST("/v1/chat/completions", s.requireConfiguration, s.handleCompletion)
	router.Any("/services/:name/*path", s.requireConfiguration, s.handleService)
	router.NoRoute(func(c *gin.Context) { reject(c, code.MalformedRequest, "no such path", 0) })
	return s
}

// Start opens the listener and serves it in the background.
func (s *Server) Start(ctx context.Context) error {
	l, err := listener.Listen(ctx, s.opts.Address, s.opts.TLS)
	if err != nil {
		return oops.Wrapf(err, "caller listener")
	}
	go func() {
		// Serve ends with ErrServerClosed at Stop.
		_ = s.httpServer.Serve(l)
	}()
	return nil
}

// Leave removes this entry from the addresses that it returns. Requests are still served.
func (s *Server) Leave() { s.leaving.Store(true) }

// Leaving reports whether Leave was called.
func (s *Server) Leaving() bool { return s.leaving.Load() }

// Stop closes the listener and waits for the requests in progress. If ctx ends first, it closes
// their connections and returns the error of ctx.
func (s *Server) Stop(ctx context.Context) error {
	err := s.httpServer.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return errors.Join(err, s.httpServer.Close())
	}
	return err
}

// requireConfiguration rejects requests while no configuration is in force.
func (s *Server) requireConfiguration(c *gin.Context) {
	if s.opts.Config.View() == nil {
		reject(c, code.NotConfigured, "", time.Second)
		c.Abort()
	}
}

func (s *Server) handleAddresses(c *gin.Context) {
	ttl := s.opts.Config.View().Document.Limits.DirectoryTTLSeconds
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.JSON(http.StatusOK, directory.NewResponse(s.opts.Directory.Entries(!s.Leaving()), ttl, random))
}

// modelListResponse is the response to GET /v1/models.
type modelListResponse struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (s *Server) handleModels(c *gin.Context) {
	list := modelListResponse{Object: "list"}
	for _, m := range s.opts.Config.View().Document.Models {
		list.Data = append(list.Data, modelItem{ID: m.Name, Object: "model"})
	}
	c.JSON(http.StatusOK, list)
}
