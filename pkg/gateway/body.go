package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/intake"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/route"
)

const (
	// defaultMaxBodyBytes limits a request body when the configuration states no limit.
	defaultMaxBodyBytes = 4 << 20
	// maxUnusedBodyBytes and maxUnusedBodyTime limit what is read of the body of a request that is rejected, so that its
	// connection can carry further requests.
	maxUnusedBodyBytes = 64 << 10
	maxUnusedBodyTime  = 100 * time.Millisecond
	// unknownSizeBuffer is the first buffer for a body of unknown size, and largestFirstBuffer that for a known one.
	unknownSizeBuffer  = 4 << 10
	largestFirstBuffer = 64 << 10
	// bufferGrowth is the factor by which a buffer grows.
	bufferGrowth = 4
)

// errNoRoom means that the listener has no memory left for a request.
var errNoRoom = errors.New("gateway: no room in memory")

// rejectionReason returns the reason for rejecting a request with a status before it is served.
func rejectionReason(status int) string {
	switch status {
	case http.StatusServiceUnavailable:
		return "no-memory"
	case http.StatusRequestTimeout:
		return "body-late"
	case http.StatusRequestHeaderFieldsTooLarge:
		return "head"
	}
	return "body"
}

// checkHead accounts for the parsed head of a request: a part of it may have been read with the request before. It returns the
// status of a rejection, or 0.
func (c *call) checkHead(h http.Header, l route.Limits) int {
	cost, size := intake.ParsedHeadCost(h)
	if size > callerLimits(l).HeadBytes {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	if !c.conn.HoldAtLeast(cost) {
		return http.StatusServiceUnavailable
	}
	return 0
}

// beginServing accounts for a request whose body was read. It returns false if there is no room for it, or if its connection
// was evicted.
func (c *call) beginServing() bool {
	return c.conn.Enter(intake.Serving) && c.conn.Hold(intake.CallBytes)
}

// readBody reads the body of a request until its deadline, within the limits and as far as there is room. It returns the
// status of a rejection, or 0.
func (c *call) readBody(r *http.Request, l route.Limits) ([]byte, int) {
	if r.ContentLength == 0 {
		return nil, 0
	}
	maxBytes := l.BodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	if r.ContentLength > maxBytes {
		return nil, http.StatusRequestEntityTooLarge
	}
	deadline := c.deadline
	if latest := c.startedAt.Add(maxBodyTime); latest.Before(deadline) {
		deadline = latest
	}
	_ = c.control.SetReadDeadline(deadline) // a lost connection shows when it is read
	body, err := c.readAll(http.MaxBytesReader(c.writer, r.Body, maxBytes), r.ContentLength)
	r.Trailer = nil // it is not used, and may be large
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoRoom):
		return nil, http.StatusServiceUnavailable
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	case err != nil:
		return nil, http.StatusBadRequest
	}
	_ = c.control.SetReadDeadline(time.Time{})
	return body, 0
}

// readAll reads r to its end; expected is its size, or negative if that is unknown. It accounts for its buffers before they
// grow, and returns errNoRoom with what it has read if there is no room.
func (c *call) readAll(r io.Reader, expected int64) ([]byte, error) {
	first, largest := int64(unknownSizeBuffer), int64(-1)
	if expected >= 0 {
		largest = expected + 1 // the last byte finds the end
		first = min(largest, largestFirstBuffer)
	}
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			size := max(first, bufferGrowth*int64(cap(buffer)))
			if largest > int64(cap(buffer)) {
				size = min(size, largest)
			}
			if !c.conn.Hold(size - int64(cap(buffer))) {
				return buffer, errNoRoom
			}
			buffer = append(make([]byte, 0, size), buffer...)
		}
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return buffer, err
		}
	}
}

// leaveBody reads the rest of a body that is not used if that has come. Otherwise the connection is closed after the response,
// and net/http waits no longer for the body.
func (c *call) leaveBody(r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	if r.Header.Get("Expect") != "" {
		return // net/http closes the connection, and does not ask for the body
	}
	_ = c.control.SetReadDeadline(time.Now().Add(maxUnusedBodyTime)) // a lost connection shows when it is read
	n, err := io.CopyN(io.Discard, r.Body, maxUnusedBodyBytes+1)
	if errors.Is(err, io.EOF) && n <= maxUnusedBodyBytes {
		_ = c.control.SetReadDeadline(time.Time{})
		return
	}
	c.writer.Header().Set("Connection", "close")
}
