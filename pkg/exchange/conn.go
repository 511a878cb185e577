package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Errors of an exchange. ErrNotSent means that no byte of the request was sent, so that
// the upstream cannot have run it. After ErrLost it may have run.
var (
	ErrNotSent = errors.New("exchange: nothing was sent")
	ErrLost    = errors.New("exchange: the connection was lost after the request was sent")
	// ErrNoAnswer means that the upstream sent bytes that are not an answer to the request.
	ErrNoAnswer = errors.New("exchange: the upstream sent no valid answer")
)

const (
	// readBufferBytes and writeBuffer are the buffers of a connection, in bytes: most requests
	// and events fit.
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	// maxSkippedResponses is the number of answers to earlier requests that are skipped.
	maxSkippedResponses = 2
	// maxSkippedBodyBytes bounds the body of an answer that is skipped.
	maxSkippedBodyBytes = 256 << 10
	// defaultIdleTimeout is how long a connection is kept where the upstream does not say.
	defaultIdleTimeout = 3 * time.Second
	// idleTimeoutMargin is how long before the upstream's own timeout a connection is given up.
	idleTimeoutMargin = 700 * time.Millisecond
)

// conn is one connection to an upstream.
type conn struct {
	netConn net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	// used is set once the connection has carried an exchange.
	used bool
	// expiresAt is when an idle connection is given up.
	expiresAt time.Time
}

func newConn(raw net.Conn) *conn {
	return &conn{
		netConn: raw, reader: bufio.NewReaderSize(raw, readBufferBytes), writer: bufio.NewWriterSize(raw, writeBufferBytes),
	}
}

// isReusable reports whether an idle connection is open and has no unread bytes.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.netConn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	var peeked [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && reusable
}

// Answer is the answer of an upstream. Close must be called in the end.
type Answer struct {
	*http.Response
	conn      *conn
	host      *hostConns
	stopWatch func() bool
	writeErr  chan error
	once      sync.Once
}

// exchange sends req and reads the head of its answer.
func (c *conn) exchange(ctx context.Context, req *http.Request, h *hostConns, isResponseTo func(*http.Response) bool) (*Answer, error) {
	stopWatch := context.AfterFunc(ctx, func() { c.netConn.Close() })
	writeErr := make(chan error, 1)
	go func() {
		err := req.Write(c.writer)
		if err == nil {
			err = c.writer.Flush()
		}
		writeErr <- err
	}()
	resp, err := c.readHead(req, isResponseTo)
	if err != nil {
		stopWatch()
		c.netConn.Close()
		return nil, err
	}
	return &Answer{Response: resp, conn: c, host: h, stopWatch: stopWatch, writeErr: writeErr}, nil
}

// readHead reads the head of the answer to req and skips those of earlier requests.
func (c *conn) readHead(req *http.Request, isResponseTo func(*http.Response) bool) (*http.Response, error) {
	for skipped := 0; ; {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			if isProtocolError(err) {
				return nil, errors.Join(ErrNoAnswer, err)
			}
			return nil, errors.Join(ErrLost, err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if !c.used || isResponseTo(resp) {
			return resp, nil
		}
		skipped++
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBodyBytes))
		if err != nil || resp.Close || skipped > maxSkippedResponses {
			return nil, ErrNoAnswer
		}
	}
}

// isProtocolError reports whether bytes came that are not HTTP.
func isProtocolError(err error) bool {
	var netErr net.Error
	return !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) &&
		!errors.Is(err, net.ErrClosed) && !errors.As(err, &netErr)
}

// Release ends the exchange after its body was read to the end and keeps the connection
// where that is possible.
func (a *Answer) Release() {
	a.once.Do(func() {
		connOpen := a.stopWatch()
		if !connOpen || a.Response.Close || !a.requestWritten() || a.conn.reader.Buffered() > 0 {
			a.conn.netConn.Close()
			a.host.releaseSlot()
			return
		}
		a.conn.used = true
		a.host.putIdle(a.conn, idleTimeout(a.Response.Header))
	})
}

// requestWritten reports whether the request was written completely: an upstream may answer
// before it has read a long body.
func (a *Answer) requestWritten() bool {
	select {
	case err := <-a.writeErr:
		return err == nil
	default:
		return false
	}
}

// Close ends the exchange and its connection, unless Release did already.
func (a *Answer) Close() {
	a.once.Do(func() {
		a.stopWatch()
		a.conn.netConn.Close()
		a.host.releaseSlot()
	})
}

// idleTimeout returns how long the connection may stay idle.
func idleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(s)*time.Second-idleTimeoutMargin)
		}
	}
	return defaultIdleTimeout
}
