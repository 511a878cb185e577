package peer

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// traffic counts calls between processes by method, and bytes. A nil *traffic counts nothing. It is safe for
// concurrent use.
type traffic struct {
	registry       metrics.Registry
	sent, received metrics.Counter
}

// Names of the metrics of traffic between processes.
const (
	MetricSentBytes     = "peer_sent_bytes"
	MetricReceivedBytes = "peer_received_bytes"
	// MetricCalls and MetricHandled are followed by the name of a method.
	MetricCalls   = "peer_calls_"
	MetricHandled = "peer_handled_"
)

func newTraffic(m metrics.Registry) *traffic {
	return &traffic{
		registry: m, sent: metrics.GetOrRegisterCounter(MetricSentBytes, m), received: metrics.GetOrRegisterCounter(MetricReceivedBytes, m),
	}
}

// count counts one call; prefix is MetricCalls or MetricHandled.
func (t *traffic) count(prefix, method string) {
	if t != nil {
		metrics.GetOrRegisterCounter(prefix+method, t.registry).Inc(1)
	}
}

// wrap returns a connection whose bytes are counted.
func (t *traffic) wrap(c net.Conn) net.Conn {
	if t == nil {
		return c
	}
	return &countedConn{Conn: c, traffic: t}
}

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Inc(int64(n))
	return n, err
}
