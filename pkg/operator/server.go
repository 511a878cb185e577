package operator

import (
	"context"
	"crypto/subtle"
	"errors"
	"net/http"
	"net/http/pprof"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/listener"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/metric"
)

// Options configure a server.
type Options struct {
	// Address is the host:port of the listener.
	Address string
	// Token is the bearer token of operators. Without it only health, readiness and metrics are served.
	Token string
	// TLS holds the certificate of the listener; the zero value means plain HTTP.
	TLS      listener.Settings
	Recorder *event.Recorder
	Registry metrics.Registry
}

// Server is the HTTP server of a process for operators.
type Server struct {
	opts       Options
	ready      atomic.Bool
	router     *gin.Engine
	httpServer *http.Server
}

const readHeaderTimeout = 5 * time.Second

// New returns a server that does not listen yet and reports that the process is not ready.
func New(o Options) *Server {
	gin.SetMode(gin.ReleaseMode)
	metrics.RegisterRuntimeMemStats(o.Registry)
	s := &Server{opts: o, router: gin.New()}
	s.router.Use(gin.Recovery())
	s.httpServer = &http.Server{Handler: s.router, ReadHeaderTimeout: readHeaderTimeout}
	s.router.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	s.router.GET("/readyz", s.handleReadyz)
	s.router.GET("/metrics", s.handleMetrics)
	guarded := s.AuthenticatedRoutes()
	guarded.GET("/events", func(c *gin.Context) { c.JSON(http.StatusOK, o.Recorder.Events()) })
	guarded.GET("/debug/pprof/profile", gin.WrapF(pprof.Profile))
	guarded.GET("/debug/pprof/heap", gin.WrapH(pprof.Handler("heap")))
	return s
}

// AuthenticatedRoutes returns a group of routes that require the operators' token.
func (s *Server) AuthenticatedRoutes() gin.IRouter {
	return s.router.Group("/", s.requireToken)
}

// SetReady sets whether the process accepts new work.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Start opens the listener and serves it in the background.
func (s *Server) Start(ctx context.Context) error {
	l, err := listener.Listen(ctx, s.opts.Address, s.opts.TLS)
	if err != nil {
		return oops.Wrapf(err, "operator listener")
	}
	go func() {
		// Serve returns ErrServerClosed after Stop; after any other error, operators cannot connect.
		_ = s.httpServer.Serve(l)
	}()
	return nil
}

// Stop closes the listener and waits for requests in progress; if ctx times out it closes their
// connections.
func (s *Server) Stop(ctx context.Context) error {
	err := s.httpServer.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return s.httpServer.Close()
	}
	return err
}

func (s *Server) handleReadyz(c *gin.Context) {
	if s.ready.Load() {
		c.String(http.StatusOK, "ready\n")
		return
	}
	c.String(http.StatusServiceUnavailable, "not ready\n")
}

func (s *Server) handleMetrics(c *gin.Context) {
	c.Header("Content-Type", metric.ContentType)
	c.Status(http.StatusOK)
	metrics.CaptureRuntimeMemStatsOnce(s.opts.Registry)
	// Writing fails only when the scraper has disconnected.
	_ = metric.Write(c.Writer, s.opts.Registry)
}

// requireToken rejects requests without the operators' token.
func (s *Server) requireToken(c *gin.Context) {
	token, ok := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	tokenMatches := subtle.ConstantTimeCompare([]byte(token), []byte(s.opts.Token)) == 1
	if !ok || s.opts.Token == "" || !tokenMatches {
		c.AbortWithStatus(http.StatusUnauthorized)
	}
}
