package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/dispatch"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

// reader reads one kind of request.
type reader func(*gin.Context, head) (dispatch.Request, *fault)

func (s *Server) completions(c *gin.Context) { s.serve(c, s.modelRequest) }

func (s *Server) service(c *gin.Context) { s.serve(c, s.serviceRequest) }

// serve reads a request, runs it and sends its answer.
func (s *Server) serve(c *gin.Context, read reader) {
	h, f := s.readHead(c)
	if f != nil {
		refuse(c, f.code, f.detail, 0)
		return
	}
	r, f := read(c, h)
	if f != nil {
		refuse(c, f.code, f.detail, 0)
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), h.timeout)
	defer cancel()
	defer limitWrites(c, h.timeout+lastWrite)()
	sink := &responder{c: c, stream: r.Stream}
	res := s.opts.Dispatcher.Do(ctx, r, sink)
	if res.Code.Outcome() != code.Done {
		sink.fail(res)
	}
}

// lastWrite is the time after the deadline of a request for telling its end.
const lastWrite = 2 * time.Second

// limitWrites ends the writes of an exchange that a caller does not read, and returns a
// function that lifts the limit for the next exchange of the connection.
func limitWrites(c *gin.Context, limit time.Duration) func() {
	control := http.NewResponseController(c.Writer)
	// A connection without deadlines is limited by the caller going away only.
	_ = control.SetWriteDeadline(time.Now().Add(limit))
	return func() { _ = control.SetWriteDeadline(time.Time{}) }
}

// responder sends an answer to a caller. It implements dispatch.Sink.
type responder struct {
	c      *gin.Context
	stream bool
	sent   bool
}

// WriteFrame implements dispatch.Sink.
func (r *responder) WriteFrame(f peer.Frame) error {
	if !r.sent {
		r.open(f)
	}
	if _, err := r.c.Writer.Write(f.Data); err != nil {
		return err
	}
	if r.stream && !f.HasMore {
		r.c.Writer.Flush()
	}
	return r.c.Request.Context().Err()
}

func (r *responder) open(f peer.Frame) {
	r.sent = true
	r.c.Header(HeaderCode, strconv.Itoa(int(code.OK)))
	for _, h := range f.Headers {
		r.c.Header(h.Name, h.Value)
	}
	status := f.Status
	if status == 0 {
		status = http.StatusOK
	}
	r.c.Status(status)
}

// fail ends an answer that is not whole.
func (r *responder) fail(res dispatch.Result) {
	if !r.sent {
		refuse(r.c, res.Code, res.Detail, res.RetryAfter)
		return
	}
	if !r.stream {
		// The missing last chunk tells the caller that the answer is cut.
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(newFault(res.Code, res.Detail, r.c.GetString(keyRequest), res.RetryAfter))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = r.c.Writer.WriteString("event: error\ndata: " + string(body) + "\n\n")
	r.c.Writer.Flush()
}
