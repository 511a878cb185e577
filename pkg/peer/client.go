package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/sourcegraph/jsonrpc2"
)

// Client calls one process over a single control connection, which it opens at the first
// call and reopens after a loss. It is safe for concurrent use.
type Client struct {
	address     string
	credentials Credentials
	runClient   *http.Client

	mu   sync.Mutex
	conn *jsonrpc2.Conn
}

// noopHandler ignores incoming requests: a called process sends none on this connection.
type noopHandler struct{}

// Handle implements jsonrpc2.Handler.
func (noopHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

const dialTimeout = time.Second

// NewClient returns a client of the process at address (host:port).
func NewClient(address string, c Credentials) *Client {
	return &Client{address: address, credentials: c, runClient: newRunClient(c)}
}

// Address returns the host:port of the process.
func (c *Client) Address() string { return c.address }

// Close closes the control connection and idle attempt connections. A later call opens them
// again.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
	c.runClient.CloseIdleConnections()
}

// Connect returns the control connection. If none is open, it dials the process and
// authenticates.
func (c *Client) Connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		select {
		case <-c.conn.DisconnectNotify():
		default:
			return c.conn, nil
		}
	}
	raw, err := c.credentials.dial(ctx, "tcp", c.address)
	if err != nil {
		return nil, oops.Wrapf(err, "dial %s", c.address)
	}
	stream := newStream(raw, c.credentials.traffic)
	conn := jsonrpc2.NewConn(context.Background(), stream, noopHandler{})
	if err := conn.Call(ctx, methodAuthenticate, authenticateRequest{Token: c.credentials.token}, nil); err != nil {
		conn.Close()
		return nil, oops.Wrapf(err, "authenticate at %s", c.address)
	}
	c.conn = conn
	return conn, nil
}

// Call calls the method name of the process with params and waits for its result.
func Call[R any](ctx context.Context, c *Client, name string, params any) (R, error) {
	var result R
	conn, err := c.Connect(ctx)
	if err != nil {
		return result, err
	}
	c.credentials.traffic.count(MetricCalls, name)
	err = conn.Call(ctx, name, params, &result)
	return result, err
}
