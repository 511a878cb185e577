package peer

import (
	"context"
	"encoding/json"
	"errors"
	"log"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/guard"
)

// methodHandler decodes the parameters of one call, runs it and returns its result.
type methodHandler func(ctx context.Context, conn *jsonrpc2.Conn, params json.RawMessage) (any, error)

// Server accepts control connections of other processes and dispatches their calls.
type Server struct {
	methods     map[string]methodHandler
	credentials Credentials

	mu       sync.Mutex
	listener net.Listener
	// conns holds the open connections. The value is true once the other process has
	// presented the token.
	conns       map[*jsonrpc2.Conn]bool
	activeCalls int
	// draining is set by Shutdown; calls that arrive later are rejected.
	draining bool
	// closed is set by Close; a connection that is accepted later is closed immediately.
	closed bool
}

// NewServer returns a server without methods.
func NewServer(c Credentials) *Server {
	return &Server{methods: map[string]methodHandler{}, credentials: c, conns: map[*jsonrpc2.Conn]bool{}}
}

// Handle registers f for the method name. It must be called before Serve. Each call runs in
// its own goroutine, and its context ends when the connection closes.
func Handle[P, R any](s *Server, name string, f func(context.Context, *jsonrpc2.Conn, P) (R, error)) {
	s.methods[name] = func(ctx context.Context, conn *jsonrpc2.Conn, params json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return f(ctx, conn, p)
	}
}

// Serve accepts connections on l until l is closed, and then returns nil. If l is guarded, calls hold no more than its
// guard allows.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// It succeeds once there is a free descriptor again.
			log.Printf("peer: accept: %v", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.addConn(c)
	}
}

// Shutdown rejects new calls, waits until the results of all calls in progress are written or
// ctx ends, and closes the server.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for s.activeCallCount() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
	return s.Close()
}

const (
	drainPollInterval = 5 * time.Millisecond
	// acceptRetryDelay is the pause after a failed accept.
	acceptRetryDelay = 10 * time.Millisecond
)

func (s *Server) activeCallCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.activeCalls
}

// beginCall counts a new call in progress. It reports false if the server accepts no more
// calls.
func (s *Server) beginCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.activeCalls++
	return true
}

func (s *Server) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeCalls--
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
	if s.listener == nil {
		return nil
	}
	return s.listener.Close()
}

// addConn starts to serve an accepted connection and removes it from conns when it closes.
func (s *Server) addConn(c net.Conn) {
	stream := newStream(c, s.credentials.traffic)
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		stream.Close()
		return
	}
	// The lock is held until the connection is in conns: handlers of its first call wait for it.
	conn := jsonrpc2.NewConn(context.Background(), stream, connHandler{s, stream}, jsonrpc2.SetLogger(log.Default()))
	s.conns[conn] = false
	s.mu.Unlock()
	go func() {
		<-conn.DisconnectNotify()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
}

// connHandler handles the calls of one connection, each in its own goroutine.
type connHandler struct {
	server *Server
	stream *stream
}

// Handle implements jsonrpc2.Handler.
func (h connHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	held := h.stream.beginCall()
	go func() {
		defer h.stream.endCall(held)
		h.server.handle(ctx, conn, h.stream.guarded, r)
	}()
}

// handle handles one call.
func (s *Server) handle(ctx context.Context, conn *jsonrpc2.Conn, guarded *guard.Conn, r *jsonrpc2.Request) {
	if r.Method == methodAuthenticate {
		s.authenticate(ctx, conn, r)
		return
	}
	m, ok := s.methods[r.Method]
	if !s.isAuthenticated(conn) {
		s.replyError(ctx, conn, r, &jsonrpc2.Error{Code: int64(code.Unauthorised), Message: "the connection has not presented the token"})
		return
	}
	if !ok {
		s.replyError(ctx, conn, r, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method})
		return
	}
	if !s.beginCall() {
		s.replyError(ctx, conn, r, &jsonrpc2.Error{Code: int64(code.UpstreamLeaving), Message: "process is stopping"})
		return
	}
	defer s.endCall()
	s.credentials.traffic.count(MetricHandled, r.Method)
	params := json.RawMessage("null")
	if r.Params != nil {
		params = *r.Params
	}
	result, err := m(ctx, conn, params)
	if err != nil {
		s.replyError(ctx, conn, r, rpcError(err))
		return
	}
	if r.Notif {
		return
	}
	size := replySize(result)
	if !holdReply(ctx, guarded, size) {
		s.replyError(ctx, conn, r, &jsonrpc2.Error{Code: int64(code.Overloaded), Message: "no room for the result"})
		return
	}
	defer guarded.Release(size)
	// A failed reply means that the connection is closed, which the caller detects itself.
	_ = conn.Reply(ctx, r.ID, result)
}

// Sized is implemented by results that may be large.
type Sized interface {
	// EncodedSize returns about how many bytes the result has once it is encoded.
	EncodedSize() int
}

// holdReply waits a little until there is room for a reply: what the one before it held may not be released yet.
func holdReply(ctx context.Context, guarded *guard.Conn, size int64) bool {
	for range replyTries {
		if guarded.Hold(size) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(replyRetryDelay):
		}
	}
	return false
}

const (
	// replyTries is how often a reply looks for room, with replyRetryDelay between two tries.
	replyTries      = 20
	replyRetryDelay = 5 * time.Millisecond
	// replyCopies is how many copies of a result there are while it is encoded and sent.
	replyCopies = 4
	// smallReplyBytes stands for the size of a result that is not Sized.
	smallReplyBytes = 4 << 10
)

// replySize returns what a result takes up while it is sent, in bytes.
func replySize(result any) int64 {
	if s, ok := result.(Sized); ok {
		return replyCopies * int64(smallReplyBytes+s.EncodedSize())
	}
	return replyCopies * smallReplyBytes
}

// methodAuthenticate is the method of the first call on each connection.
const methodAuthenticate = "authenticate"

// authenticateRequest presents the bearer token shared by the processes of the system.
type authenticateRequest struct {
	Token string `json:"token"`
}

// authenticate marks the connection as authenticated if it presents the token, and closes it
// otherwise.
func (s *Server) authenticate(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	var a authenticateRequest
	if r.Params == nil || json.Unmarshal(*r.Params, &a) != nil || !s.credentials.acceptsToken(a.Token) {
		s.replyError(ctx, conn, r, &jsonrpc2.Error{Code: int64(code.Unauthorised), Message: "wrong token"})
		conn.Close()
		return
	}
	s.mu.Lock()
	if _, open := s.conns[conn]; open {
		s.conns[conn] = true
	}
	s.mu.Unlock()
	_ = conn.Reply(ctx, r.ID, struct{}{})
}

func (s *Server) isAuthenticated(conn *jsonrpc2.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns[conn]
}

// replyError sends an error as the response to r, unless r is a notification.
func (s *Server) replyError(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request, err *jsonrpc2.Error) {
	if !r.Notif {
		_ = conn.ReplyWithError(ctx, r.ID, err)
	}
}

// rpcError returns err as a JSON-RPC error, with the code Internal unless err is one already.
func rpcError(err error) *jsonrpc2.Error {
	var e *jsonrpc2.Error
	if errors.As(err, &e) {
		return e
	}
	return &jsonrpc2.Error{Code: int64(code.Internal), Message: err.Error()}
}
