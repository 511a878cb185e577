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
	// readBuffer and writeBuffer are the buffers of a connection, in bytes: most requests
	// and events fit.
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	// foreignAnswers is the number of answers to earlier requests that are skipped.
	foreignAnswers = 2
	// foreignBytes bounds the body of an answer that is skipped.
	foreignBytes = 256 << 10
	// defaultIdle is how long a connection is kept where the upstream does not say.
	defaultIdle = 3 * time.Second
	// idleMargin is how long before the upstream's own timeout a connection is given up.
	idleMargin = 700 * time.Millisecond
)

// conn is one connection to an upstream.
type conn struct {
	raw    net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// used is set once the connection has carried an exchange.
	used bool
	// until is when an idle connection is given up.
	until time.Time
}

func newConn(raw net.Conn) *conn {
	return &conn{
		raw: raw, reader: bufio.NewReaderSize(raw, readBuffer), writer: bufio.NewWriterSize(raw, writeBuffer),
	}
}

// clean reports whether an idle connection is open and has no unread bytes.
func (c *conn) clean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	s, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		clean = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && clean
}

// Answer is the answer of an upstream. Close must be called in the end.
type Answer struct {
	*http.Response
	conn    *conn
	host    *host
	stop    func() bool
	written chan error
	once    sync.Once
}

// exchange sends req and reads the head of its answer.
func (c *conn) exchange(ctx context.Context, req *http.Request, h *host, own func(*http.Response) bool) (*Answer, error) {
	stop := context.AfterFunc(ctx, func() { c.raw.Close() })
	written := make(chan error, 1)
	go func() {
		err := req.Write(c.writer)
		if err == nil {
			err = c.writer.Flush()
		}
		written <- err
	}()
	resp, err := c.read(req, own)
	if err != nil {
		stop()
		c.raw.Close()
		return nil, err
	}
	return &Answer{Response: resp, conn: c, host: h, stop: stop, written: written}, nil
}

// read reads the head of the answer to req and skips those of earlier requests.
func (c *conn) read(req *http.Request, own func(*http.Response) bool) (*http.Response, error) {
	for skipped := 0; ; {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			if isBadAnswer(err) {
				return nil, errors.Join(ErrNoAnswer, err)
			}
			return nil, errors.Join(ErrLost, err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if !c.used || own(resp) {
			return resp, nil
		}
		skipped++
		_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, foreignBytes))
		if err != nil || resp.Close || skipped > foreignAnswers {
			return nil, ErrNoAnswer
		}
	}
}

// isBadAnswer reports whether bytes came that are not HTTP.
func isBadAnswer(err error) bool {
	var network net.Error
	return !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) &&
		!errors.Is(err, net.ErrClosed) && !errors.As(err, &network)
}

// Release ends the exchange after its body was read to the end and keeps the connection
// where that is possible.
func (a *Answer) Release() {
	a.once.Do(func() {
		live := a.stop()
		if !live || a.Response.Close || !a.whole() || a.conn.reader.Buffered() > 0 {
			a.conn.raw.Close()
			a.host.drop()
			return
		}
		a.conn.used = true
		a.host.keep(a.conn, idleTime(a.Response.Header))
	})
}

// whole reports whether the request was written completely: an upstream may answer
// before it has read a long body.
func (a *Answer) whole() bool {
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// Close ends the exchange and its connection, unless Release did already.
func (a *Answer) Close() {
	a.once.Do(func() {
		a.stop()
		a.conn.raw.Close()
		a.host.drop()
	})
}

// idleTime returns how long the connection may stay idle.
func idleTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(s)*time.Second-idleMargin)
		}
	}
	return defaultIdle
}
