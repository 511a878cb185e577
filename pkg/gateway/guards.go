package gateway

import (
	"log"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/guard"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/intake"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/route"
)

// The limits of a configuration that states none.
const (
	defaultHeadBytes   = 1 << 20
	defaultHeadTimeout = 3 * time.Second
	defaultIdleTimeout = 2 * time.Minute
)

const (
	// requestLineBytes is added to the limit on the header of a request, for its first line.
	requestLineBytes = 4 << 10
	// maxBodyTime limits the time to read a body whose request has a later deadline.
	maxBodyTime = time.Minute
)

// The limits of the directory, readiness, metrics and control.
const (
	internalHeadBytes   = 8 << 10
	internalTimeout     = 3 * time.Second
	internalIdleTimeout = 15 * time.Second
	controlIdleTimeout  = 5 * time.Minute
	// controlKeepIdle is the time of some heartbeats: peers keep their connections between two of them.
	controlKeepIdle = 4 * heartbeatInterval
)

// guards account for what the connections of each listener hold.
type guards struct{ callers, directory, readiness, metrics, control *guard.Guard }

// newGuards divides the resources of the machine among the listeners.
func newGuards(r intake.Resources, l hclog.Logger, m metrics.Registry) *guards {
	plan := intake.NewGatewayPlan(r)
	internal := intake.Limits{
		HeadBytes: internalHeadBytes, HeadTimeout: internalTimeout, BodyTimeout: internalTimeout, IdleTimeout: internalIdleTimeout,
	}
	g := &guards{
		callers:   guard.NewHTTP("callers", plan.Callers, callerLimits(route.Limits{}), l, m),
		directory: guard.NewHTTP("directory", plan.Directory, internal, l, m),
		readiness: guard.NewHTTP("readiness", plan.Readiness, internal, l, m),
		metrics:   guard.NewHTTP("metrics", plan.Metrics, internal, l, m),
		control:   guard.New("control", plan.Control, intake.Limits{HeadTimeout: internalTimeout, IdleTimeout: controlIdleTimeout, KeepIdle: controlKeepIdle}, l, m),
	}
	l.Info("intake-planned", "runtime_bytes", plan.RuntimeBytes, "caller_connections", plan.Callers.Connections,
		"caller_bytes", plan.Callers.Bytes, "upstream_connections", plan.UpstreamConnections,
		"internal_connections", plan.Directory.Connections, "internal_bytes", plan.Directory.Bytes,
		"control_connections", plan.Control.Connections, "control_bytes", plan.Control.Bytes)
	return g
}

// applyLimits puts the limits of a configuration into force.
func (g *guards) applyLimits(l route.Limits) { g.callers.SetLimits(callerLimits(l)) }

// callerLimits returns the limits of callers' connections.
func callerLimits(l route.Limits) intake.Limits {
	out := intake.Limits{HeadBytes: l.HeaderBytes, HeadTimeout: l.HeaderTimeout, BodyTimeout: maxBodyTime, IdleTimeout: l.IdleTimeout}
	if out.HeadBytes <= 0 {
		out.HeadBytes = defaultHeadBytes
	}
	out.HeadBytes += requestLineBytes
	if out.HeadTimeout <= 0 {
		out.HeadTimeout = defaultHeadTimeout
	}
	if out.IdleTimeout <= 0 {
		out.IdleTimeout = defaultIdleTimeout
	}
	return out
}

// sweep enforces the time limits of all listeners.
func (g *guards) sweep(now time.Time) {
	for _, one := range []*guard.Guard{g.callers, g.directory, g.readiness, g.metrics, g.control} {
		one.Sweep(now)
	}
}

// maxHeadBytes is the size at which net/http ends a head, whatever the configuration says. The guard of the listener ends
// those over the limits in force.
const maxHeadBytes = 16 << 20

// newCallerServer returns the server of callers. Its guard limits the time of heads and of idle connections, and each call
// that of its body and its response.
func newCallerServer(h http.Handler, l hclog.Logger) *http.Server {
	return &http.Server{MaxHeaderBytes: maxHeadBytes, Handler: h, ErrorLog: serverLog(l)}
}

// newInternalServer returns a server of the directory, readiness or metrics.
func newInternalServer(h http.Handler, l hclog.Logger) *http.Server {
	s := &http.Server{MaxHeaderBytes: internalHeadBytes, Handler: h, ErrorLog: serverLog(l)}
	s.ReadTimeout, s.WriteTimeout, s.IdleTimeout = internalTimeout, internalTimeout, internalIdleTimeout
	return s
}

// refuseBodies closes the connections of requests with a body, of which the internal servers read none.
func refuseBodies(c *gin.Context) {
	if c.Request.ContentLength != 0 {
		c.Header("Connection", "close")
	}
}

// serverLog returns the log for what net/http reports of single connections.
func serverLog(l hclog.Logger) *log.Logger {
	return l.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
}
