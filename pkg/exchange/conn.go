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

// Errors of an exchange.
var (
	// ErrNotSent means that no byte of the request was sent, so that the upstream cannot have
	// run it.
	ErrNotSent = errors.New("exchange: nothing was sent")
	// ErrNotAllowed means that the request was not to be sent any more when it could be.
	ErrNotAllowed = errors.New("exchange: no longer allowed")
	// ErrLost means that the connection was lost after the request was sent, so that the
	// upstream may have run it.
	ErrLost = errors.New("exchange: the connection was lost after the request was sent")
	// ErrInvalidResponse means that the upstream sent bytes that are not a response to the
	// request.
	ErrInvalidResponse = errors.New("exchange: the upstream sent no valid response")
	// ErrTooLong means that the head or the body of a response exceeds what is read of it.
	ErrTooLong = errors.New("exchange: the response is too long")
)

const (
	// readBufferBytes and writeBufferBytes are the sizes of the buffers of a connection. Most
	// requests and events fit.
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	// maxHeadBytes limits the status line and header of a response, with the interim responses before it.
	maxHeadBytes = 64 << 10
	// maxBodyBytes limits the body of a response as it is sent, framing included: bytes that are no
	// response may come without end.
	maxBodyBytes = 32 << 20
	// maxSkippedResponses is the number of responses to earlier requests that are skipped
	// before the connection is closed.
	maxSkippedResponses = 2
	// maxSkippedBodyBytes limits the body of a response that is skipped.
	maxSkippedBodyBytes = 256 << 10
	// defaultIdleTimeout is the idle timeout of a connection if the upstream states none.
	defaultIdleTimeout = 3 * time.Second
	// idleTimeoutMargin is how much earlier than the idle timeout of the upstream a connection
	// is closed, so that no request is sent on a connection that the upstream is closing.
	idleTimeoutMargin = 700 * time.Millisecond
)

// conn is one connection to an upstream.
type conn struct {
	netConn net.Conn
	// bound limits what reader reads from netConn.
	bound  *boundedReader
	reader *bufio.Reader
	writer *bufio.Writer
	// lastHead has the status and header of the latest response, nil before the first.
	lastHead *http.Response
	// expiresAt is when an idle connection is closed.
	expiresAt time.Time
}

func newConn(raw net.Conn) *conn {
	bound := &boundedReader{reader: raw}
	return &conn{
		netConn: raw, bound: bound, reader: bufio.NewReaderSize(bound, readBufferBytes), writer: bufio.NewWriterSize(raw, writeBufferBytes),
	}
}

// boundedReader reads a number of bytes and then returns ErrTooLong.
type boundedReader struct {
	reader io.Reader
	left   int
}

// Read implements io.Reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, ErrTooLong
	}
	n, err := r.reader.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// mayRepeat reports whether a late copy of the latest response could not be told from the response to
// another request.
func (c *conn) mayRepeat(isResponseTo func(*http.Response) bool) bool {
	return c.lastHead != nil && isResponseTo(c.lastHead)
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

// Response is the response of an upstream. The caller must call Close when done with it.
type Response struct {
	*http.Response
	conn *conn
	host *hostConns
	// stopWatch ends the watch on the context. It reports false if the context ended before,
	// which closes the connection.
	stopWatch func() bool
	// write is the writing of the request.
	write *requestWrite
	// once ensures that the exchange ends once, by Release or by Close.
	once sync.Once
}

// Framing is how a response marks the end of its body.
type Framing string

// Framings of a response.
const (
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	// FramedByClose means that the body ends with the connection: nothing distinguishes its end from
	// that of an upstream that stopped midway and closed the connection.
	FramedByClose Framing = "close"
)

// Framing returns how the response marks the end of its body.
func (a *Response) Framing() Framing { return framingOf(a.Response) }

// framingOf returns how a response marks the end of its body. One that cannot have a body, such as that
// to a HEAD request, counts as framed by length.
func framingOf(resp *http.Response) Framing {
	switch {
	case resp.ContentLength >= 0 || resp.Body == http.NoBody:
		return FramedByLength
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	}
	return FramedByClose
}

// exchange sends req and reads the status line and header of its response.
func (c *conn) exchange(ctx context.Context, req *http.Request, h *hostConns, isResponseTo func(*http.Response) bool) (*Response, error) {
	stopWatch := context.AfterFunc(ctx, func() { c.netConn.Close() })
	write := c.startWrite(req)
	resp, err := c.readHead(req, isResponseTo)
	if err != nil {
		stopWatch()
		c.netConn.Close()
		return nil, err
	}
	c.bound.left = maxBodyBytes
	if framingOf(resp) == FramedByClose {
		resp.Body = &unframedBody{ReadCloser: resp.Body, write: write}
	}
	return &Response{Response: resp, conn: c, host: h, stopWatch: stopWatch, write: write}, nil
}

// requestWrite is the writing of a request while its response is read.
type requestWrite struct {
	// done is closed when the writing has ended; err is set before.
	done chan struct{}
	err  error
}

// startWrite writes req in the background.
func (c *conn) startWrite(req *http.Request) *requestWrite {
	w := &requestWrite{done: make(chan struct{})}
	go func() {
		defer close(w.done)
		w.err = req.Write(c.writer)
		if w.err == nil {
			w.err = c.writer.Flush()
		}
	}()
	return w
}

// unframedBody is the body of a response that ends with its connection. The kernel reports the
// reset of a connection only once: if the write of the request receives it, reads see the same end
// as after a regular close. The body is therefore complete only if the request was written.
type unframedBody struct {
	io.ReadCloser
	write *requestWrite
}

// Read implements io.Reader. It returns ErrLost at the end of a connection that was lost.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	<-b.write.done
	if b.write.err != nil {
		return n, errors.Join(ErrLost, b.write.err)
	}
	return n, err
}

// readHead reads the status line and header of the response to req. It skips interim responses and responses to
// earlier requests. After a head that is no response, whatever follows on the connection is none either.
func (c *conn) readHead(req *http.Request, isResponseTo func(*http.Response) bool) (*http.Response, error) {
	c.bound.left = maxHeadBytes
	for skipped := 0; ; {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			if isProtocolError(err) {
				return nil, errors.Join(ErrInvalidResponse, err)
			}
			return nil, errors.Join(ErrLost, err)
		}
		switch classify(resp) {
		case interim:
			continue
		case invalid:
			return nil, errors.Join(ErrInvalidResponse, errors.New("status "+resp.Status))
		}
		if c.lastHead == nil || isResponseTo(resp) {
			return resp, nil
		}
		skipped++
		c.bound.left = maxSkippedBodyBytes + maxHeadBytes
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBodyBytes+1))
		if err != nil || n > maxSkippedBodyBytes || resp.Close || skipped > maxSkippedResponses {
			return nil, ErrInvalidResponse
		}
		c.bound.left = maxHeadBytes
	}
}

// responseKind is what the head of a response stands for.
type responseKind int

const (
	// final responses are the response to a request.
	final responseKind = iota
	// interim responses come before a final one.
	interim
	// invalid heads are no responses.
	invalid
)

// maxStatus is the highest status of HTTP.
const maxStatus = 599

// classify returns the kind of a response. net/http reads any number of three characters as its status, with a sign and
// below 100 too, and any version of HTTP.
func classify(resp *http.Response) responseKind {
	isNumber := resp.StatusCode >= 100 && resp.StatusCode <= maxStatus && !strings.HasPrefix(resp.Status, "+")
	switch {
	case resp.ProtoMajor != 1 || !isNumber || resp.StatusCode == http.StatusSwitchingProtocols:
		return invalid
	case resp.StatusCode >= http.StatusOK:
		return final
	case resp.Header.Get("Content-Length") != "" || len(resp.TransferEncoding) > 0 || resp.Header.Get("Transfer-Encoding") != "":
		// An interim response has no body: the bytes of one would be read as the next response.
		return invalid
	}
	return interim
}

// isProtocolError reports whether err means that the received bytes are not HTTP, as opposed
// to a lost connection.
func isProtocolError(err error) bool {
	var netErr net.Error
	return !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) &&
		!errors.Is(err, net.ErrClosed) && !errors.As(err, &netErr)
}

// Release ends the exchange after its body was read to the end. It returns the connection to
// the pool if that can carry another exchange, and closes it otherwise.
func (a *Response) Release() {
	a.once.Do(func() {
		connOpen := a.stopWatch()
		if !connOpen || a.Response.Close || !a.requestWritten() || a.conn.reader.Buffered() > 0 {
			a.conn.netConn.Close()
			a.host.releaseSlot()
			return
		}
		a.conn.lastHead = &http.Response{StatusCode: a.StatusCode, Header: a.Header}
		a.host.putIdle(a.conn, idleTimeout(a.Response.Header))
	})
}

// requestWritten reports whether the request was written completely: an upstream may respond
// before it has read a long body.
func (a *Response) requestWritten() bool {
	select {
	case <-a.write.done:
		return a.write.err == nil
	default:
		return false
	}
}

// Close ends the exchange and closes its connection, unless Release was called before.
func (a *Response) Close() {
	a.once.Do(func() {
		a.stopWatch()
		a.conn.netConn.Close()
		a.host.releaseSlot()
	})
}

// idleTimeout returns how long the connection may stay idle, from the Keep-Alive header field
// of the response.
func idleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(s)*time.Second-idleTimeoutMargin)
		}
	}
	return defaultIdleTimeout
}
