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

// requestReader reads and checks the body of one kind of request.
type requestReader func(*gin.Context, requestHeaders) (dispatch.Request, *rejection)

func (s *Server) handleCompletion(c *gin.Context) { s.serve(c, s.readModelRequest) }

func (s *Server) handleService(c *gin.Context) { s.serve(c, s.readServiceRequest) }

// serve reads a request, dispatches it and sends the response.
func (s *Server) serve(c *gin.Context, read requestReader) {
	h, rej := s.readHeaders(c)
	if rej != nil {
		reject(c, rej.code, rej.detail, 0)
		return
	}
	r, rej := read(c, h)
	if rej != nil {
		reject(c, rej.code, rej.detail, 0)
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), h.timeout)
	defer cancel()
	defer setWriteDeadline(c, h.timeout+finalWriteTimeout)()
	sink := &responder{c: c, stream: r.Stream}
	res := s.opts.Dispatcher.Do(ctx, r, sink)
	if res.Code.Outcome() != code.Done {
		sink.finishWithError(res)
	}
}

// finalWriteTimeout is the time after the deadline of a request for sending the error that ends
// the response.
const finalWriteTimeout = 2 * time.Second

// setWriteDeadline makes writes to a caller that does not read the response fail after limit. It
// returns a function that clears the deadline for the next request on the connection.
func setWriteDeadline(c *gin.Context, limit time.Duration) func() {
	controller := http.NewResponseController(c.Writer)
	// Without support for deadlines, writes end only when the caller closes the connection.
	_ = controller.SetWriteDeadline(time.Now().Add(limit))
	return func() { _ = controller.SetWriteDeadline(time.Time{}) }
}

// responder sends a response to a caller. It implements dispatch.Sink.
type responder struct {
	c           *gin.Context
	stream      bool
	headersSent bool
	// isEventStream is set once the header of an event stream was sent. The response to a request
	// for a stream may also be an error response.
	isEventStream bool
}

// WriteFrame implements dispatch.Sink.
func (r *responder) WriteFrame(f peer.Frame) error {
	if !r.headersSent {
		r.writeHeaders(f)
	}
	if _, err := r.c.Writer.Write(f.Data); err != nil {
		return err
	}
	if r.isEventStream && !f.HasMore {
		r.c.Writer.Flush()
	}
	return r.c.Request.Context().Err()
}

// writeHeaders sets the status and header fields of the response from its first frame.
func (r *responder) writeHeaders(f peer.Frame) {
	r.headersSent = true
	r.c.Header(HeaderResultCode, strconv.Itoa(int(code.OK)))
	for _, h := range f.Headers {
		r.c.Header(h.Name, h.Value)
	}
	status := f.Status
	if status == 0 {
		status = http.StatusOK
	}
	r.isEventStream = r.stream && status == http.StatusOK
	r.c.Status(status)
}

// finishWithError ends an incomplete response: with an error response if nothing was sent yet, with
// an error event in a stream, and otherwise by closing the connection.
func (r *responder) finishWithError(res dispatch.Result) {
	if !r.headersSent {
		reject(r.c, res.Code, res.Detail, res.RetryAfter)
		return
	}
	if !r.isEventStream {
		// The caller detects the incomplete response by its missing last chunk.
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(newErrorResponse(res.Code, res.Detail, r.c.GetString(requestIDKey), res.RetryAfter))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = r.c.Writer.WriteString("event: error\ndata: " + string(body) + "\n\n")
	r.c.Writer.Flush()
}
