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
	Address string
	// Token is the bearer token of operators; empty closes all but health and metrics.
	Token string
	// TLS holds the certificate of the listener; the zero value means plain HTTP.
	TLS      listener.Settings
	Recorder *event.Recorder
	Registry metrics.Registry
}

// Server is the operators' listener of a process.
type Server struct {
	opts  Options
	ready atomic.Bool
	gin   *gin.Engine
	http  *http.Server
}

const headerTimeout = 5 * time.Second

// New returns a server that is not ready yet.
func New(o Options) *Server {
	gin.SetMode(gin.ReleaseMode)
	metrics.RegisterRuntimeMemStats(o.Registry)
	s := &Server{opts: o, gin: gin.New()}
	s.gin.Use(gin.Recovery())
	s.http = &http.Server{Handler: s.gin, ReadHeaderTimeout: headerTimeout}
	s.gin.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	s.gin.GET("/readyz", s.readyz)
	s.gin.GET("/metrics", s.metrics)
	g := s.Guarded()
	g.GET("/events", func(c *gin.Context) { c.JSON(http.StatusOK, o.Recorder.Events()) })
	g.GET("/debug/pprof/profile", gin.WrapF(pprof.Profile))
	g.GET("/debug/pprof/heap", gin.WrapH(pprof.Handler("heap")))
	return s
}

// Guarded returns a group of routes that need the operators' token.
func (s *Server) Guarded() gin.IRouter {
	return s.gin.Group("/", s.authorise)
}

// SetReady states whether the process takes new work.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Start opens the listener and serves it.
func (s *Server) Start(ctx context.Context) error {
	l, err := listener.Listen(ctx, s.opts.Address, s.opts.TLS)
	if err != nil {
		return oops.Wrapf(err, "operator listener")
	}
	go func() {
		// Serve ends with ErrServerClosed at Stop; an operator without a listener sees other errors.
		_ = s.http.Serve(l)
	}()
	return nil
}

// Stop closes the listener.
func (s *Server) Stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return s.http.Close()
	}
	return err
}

func (s *Server) readyz(c *gin.Context) {
	if s.ready.Load() {
		c.String(http.StatusOK, "ready\n")
		return
	}
	c.String(http.StatusServiceUnavailable, "not ready\n")
}

func (s *Server) metrics(c *gin.Context) {
	c.Header("Content-Type", metric.ContentType)
	c.Status(http.StatusOK)
	metrics.CaptureRuntimeMemStatsOnce(s.opts.Registry)
	// An error here means that the scraper went away.
	_ = metric.Write(c.Writer, s.opts.Registry)
}

func (s *Server) authorise(c *gin.Context) {
	token, ok := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	same := subtle.ConstantTimeCompare([]byte(token), []byte(s.opts.Token)) == 1
	if !ok || s.opts.Token == "" || !same {
		c.AbortWithStatus(http.StatusUnauthorized)
	}
}
