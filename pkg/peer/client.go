package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/sourcegraph/jsonrpc2"
)

// Client holds one connection to a process, opened when it is first needed and
// again after it was lost. It is safe for concurrent use.
type Client struct {
	address string

	mu   sync.Mutex
	conn *jsonrpc2.Conn

	sinks sinks
}

const dialTimeout = time.Second

// NewClient returns a client of the process at address (host:port).
func NewClient(address string) *Client {
	return &Client{address: address, sinks: sinks{byAttempt: map[attemptKey]chan<- Frame{}}}
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
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, oops.Wrapf(err, "dial %s", c.address)
	}
	stream := jsonrpc2.NewBufferedStream(raw, jsonrpc2.VarintObjectCodec{})
	c.conn = jsonrpc2.NewConn(context.Background(), stream, &c.sinks)
	return c.conn, nil
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

// attemptKey identifies the frames of one attempt.
type attemptKey struct {
	call        string
	attempt     int
	incarnation string
}

// sinks routes frames to the attempts in progress and counts those that match none.
type sinks struct {
	mu        sync.Mutex
	byAttempt map[attemptKey]chan<- Frame
	dropped   int64
}

// FrameBuffer is the number of frames of an attempt that wait for their reader.
const FrameBuffer = 4096

func (s *sinks) open(k attemptKey) <-chan Frame {
	ch := make(chan Frame, FrameBuffer)
	s.mu.Lock()
	s.byAttempt[k] = ch
	s.mu.Unlock()
	return ch
}

func (s *sinks) close(k attemptKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ch, ok := s.byAttempt[k]; ok {
		close(ch)
		delete(s.byAttempt, k)
	}
}

// Handle implements jsonrpc2.Handler. It runs in the read loop of the connection,
// which keeps the frames in order, and never blocks: an attempt whose reader lags
// more than FrameBuffer frames behind is closed.
func (s *sinks) Handle(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) {
	if r.Method != MethodFrame || r.Params == nil {
		return
	}
	var f Frame
	if json.Unmarshal(*r.Params, &f) != nil {
		return
	}
	k := attemptKey{f.Call, f.Attempt, f.Incarnation}
	s.mu.Lock()
	defer s.mu.Unlock()
	ch, ok := s.byAttempt[k]
	if !ok {
		s.dropped++
		return
	}
	select {
	case ch <- f:
	default:
		close(ch)
		delete(s.byAttempt, k)
	}
}

// Dropped returns the number of frames that matched no attempt in progress.
func (c *Client) Dropped() int64 {
	c.sinks.mu.Lock()
	defer c.sinks.mu.Unlock()
	return c.sinks.dropped
}
