package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/sourcegraph/jsonrpc2"
)

// Client holds one connection to a process, opened when it is first needed and
// again after it was lost. It is safe for concurrent use.
type Client struct {
	address     string
	credentials Credentials
	runClient   *http.Client

	mu   sync.Mutex
	conn *jsonrpc2.Conn
}

// noopHandler drops requests of the called process; it makes none.
type noopHandler struct{}

// Handle implements jsonrpc2.Handler.
func (noopHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

const dialTimeout = time.Second

// NewClient returns a client of the process at address (host:port).
func NewClient(address string, c Credentials) *Client {
	return &Client{address: address, credentials: c, runClient: newRunClient(c)}
}

// Address returns the address of the process.
func (c *Client) Address() string { return c.address }

// Close closes the connection. A later call opens it again.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
	c.runClient.CloseIdleConnections()
}

// Connect opens the connection when there is none.
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
	stream := jsonrpc2.NewBufferedStream(raw, jsonrpc2.VarintObjectCodec{})
	conn := jsonrpc2.NewConn(context.Background(), stream, noopHandler{})
	if err := conn.Call(ctx, methodAuthenticate, authenticateRequest{Token: c.credentials.token}, nil); err != nil {
		conn.Close()
		return nil, oops.Wrapf(err, "authenticate at %s", c.address)
	}
	c.conn = conn
	return conn, nil
}

// Call calls a method and waits for its result.
func Call[R any](ctx context.Context, c *Client, name string, params any) (R, error) {
	var result R
	conn, err := c.Connect(ctx)
	if err != nil {
		return result, err
	}
	err = conn.Call(ctx, name, params, &result)
	return result, err
}
