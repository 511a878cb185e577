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

// Dispatcher runs requests.
type Dispatcher interface {
	Do(ctx context.Context, r dispatch.Request, sink dispatch.Sink) dispatch.Result
}

// Directory knows the entries.
type Directory interface {
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

// Server is the callers' listener of an entry.
type Server struct {
	opts    Options
	http    *http.Server
	leaving atomic.Bool
}

const (
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
)

// New returns a server.
func New(o Options) *Server {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	s := &Server{opts: o}
	s.http = &http.Server{Handler: g, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	g.GET("/v1/addresses", s.configured, s.addresses)
	g.GET("/v1/models", s.configured, s.models)
	g.POST("/v1/chat/completions", s.configured, s.completions)
	g.Any("/services/:name/*path", s.configured, s.service)
	g.NoRoute(func(c *gin.Context) { refuse(c, code.MalformedRequest, "no such path", 0) })
	return s
}

// Start opens the listener and serves it.
func (s *Server) Start(ctx context.Context) error {
	l, err := listener.Listen(ctx, s.opts.Address, s.opts.TLS)
	if err != nil {
		return oops.Wrapf(err, "caller listener")
	}
	go func() {
		// Serve ends with ErrServerClosed at Stop.
		_ = s.http.Serve(l)
	}()
	return nil
}

// Leave takes this entry out of the addresses that it answers. Requests are still served.
func (s *Server) Leave() { s.leaving.Store(true) }

// Leaving reports whether Leave was called.
func (s *Server) Leaving() bool { return s.leaving.Load() }

// Stop closes the listener and waits for the requests in progress until ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return errors.Join(err, s.http.Close())
	}
	return err
}

// configured refuses requests until a configuration is in force.
func (s *Server) configured(c *gin.Context) {
	if s.opts.Config.View() == nil {
		refuse(c, code.NotConfigured, "", time.Second)
		c.Abort()
	}
}

func (s *Server) addresses(c *gin.Context) {
	ttl := s.opts.Config.View().Document.Limits.DirectoryTTLSeconds
	shuffle := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	c.JSON(http.StatusOK, directory.NewResponse(s.opts.Directory.Entries(!s.Leaving()), ttl, shuffle))
}

// modelList is the answer of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (s *Server) models(c *gin.Context) {
	out := modelList{Object: "list"}
	for _, m := range s.opts.Config.View().Document.Models {
		out.Data = append(out.Data, modelItem{ID: m.Name, Object: "model"})
	}
	c.JSON(http.StatusOK, out)
}
