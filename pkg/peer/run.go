package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/sse"
)

// ErrNotSent means that no part of an attempt was sent to the agent.
var ErrNotSent = errors.New("peer: the attempt was not sent")

// ErrIncomplete means that the received bytes do not match the result of the attempt.
var ErrIncomplete = errors.New("peer: the answer is not whole")

// Header and trailer fields of an attempt's HTTP response.
const (
	// headerResponseStatus holds the HTTP status of the upstream's response.
	headerResponseStatus = "X-Answer-Status"
	// headerResponseField holds one header field of the upstream's response as name:value.
	headerResponseField = "X-Answer-Field"
	// trailerResult holds the RunResult as JSON.
	trailerResult = "X-Run-Result"
)

// RunPath is the path to which attempts are posted.
const RunPath = "/run"

const (
	maxIdleConnsPerAgent = 256
	copyBufferBytes      = 32 << 10
)

// newRunClient returns the HTTP client for the attempts sent to one agent.
func newRunClient(c Credentials) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return c.dial(ctx, network, address)
		},
		MaxIdleConnsPerHost: maxIdleConnsPerAgent,
		DisableCompression:  true,
	}}
}

// Run runs one attempt at the agent with the given work address (host:port) and passes the
// frames of the response to onFrame in order. It returns ErrNotSent if nothing was sent,
// ErrIncomplete if the response does not match its result, or the error of onFrame. Any other
// error means that the result was lost and the outcome is unknown.
func (c *Client) Run(ctx context.Context, workAddress string, r RunRequest, onFrame func(Frame) error) (RunResult, error) {
	var result RunResult
	resp, err := c.post(ctx, workAddress, r)
	if err != nil {
		return result, err
	}
	defer resp.Body.Close()
	rec := &receiver{onFrame: onFrame, checksum: xxhash.New(), head: headFrame(resp.Header)}
	if err := rec.read(resp.Body, r.Stream); err != nil {
		return result, err
	}
	text := resp.Trailer.Get(trailerResult)
	if err := json.Unmarshal([]byte(text), &result); err != nil {
		return result, oops.Wrapf(err, "result lost")
	}
	return result, rec.verify(r, result)
}

// post sends the attempt and returns the response once its header has arrived. The error is
// ErrNotSent if no connection was made.
func (c *Client) post(ctx context.Context, workAddress string, r RunRequest) (*http.Response, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+workAddress+RunPath, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	req.Header.Set("Authorization", "Bearer "+c.credentials.token)
	resp, err := c.runClient.Do(req)
	if err != nil && !connected.Load() {
		return nil, errors.Join(ErrNotSent, err)
	}
	if err != nil {
		return nil, oops.Wrapf(err, "send attempt")
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, oops.Errorf("agent answered status %d", resp.StatusCode)
	}
	return resp, nil
}

// headFrame returns a frame with the status and header fields of the upstream's response.
func headFrame(h http.Header) Frame {
	var f Frame
	// A missing status leaves 0, which the first frame of a response never has.
	f.Status, _ = strconv.Atoi(h.Get(headerResponseStatus))
	for _, line := range h.Values(headerResponseField) {
		name, value, _ := strings.Cut(line, ":")
		f.Headers = append(f.Headers, Header{Name: name, Value: value})
	}
	return f
}

// receiver splits the bytes of a response into frames and checks them against the result.
type receiver struct {
	onFrame func(Frame) error
	// head holds the status and header fields for the next frame; it is empty once the first
	// frame was delivered.
	head Frame
	// offset and checksum are the length and the xxHash64 of the bytes delivered so far.
	offset   int64
	checksum *xxhash.Digest
}

// read delivers the body in frames. A successful stream is delivered in complete events.
func (r *receiver) read(body io.Reader, stream bool) error {
	if stream && r.head.Status == http.StatusOK {
		return r.readEvents(body)
	}
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if e := r.deliver(bytes.Clone(buf[:n]), false); e != nil {
				return e
			}
		}
		if errors.Is(err, io.EOF) {
			return r.deliverEmpty()
		}
		if err != nil {
			return oops.Wrapf(err, "answer lost")
		}
	}
}

// deliverEmpty delivers the status and header fields of a response without body, if they were
// not delivered yet.
func (r *receiver) deliverEmpty() error {
	if r.head.Status == 0 {
		return nil
	}
	return r.deliver(nil, false)
}

// readEvents delivers the body with one server-sent event per frame.
func (r *receiver) readEvents(body io.Reader) error {
	events := sse.NewReader(body)
	for {
		ev, err := events.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return oops.Wrapf(err, "answer lost")
		}
		if err := r.deliver(ev, events.HasBuffered()); err != nil {
			return err
		}
	}
}

// deliver passes data to onFrame as the next frame.
func (r *receiver) deliver(data []byte, hasMore bool) error {
	f := r.head
	f.Offset = r.offset
	f.Data = data
	f.HasMore = hasMore
	r.head = Frame{}
	r.offset += int64(len(data))
	// Write of a hash never returns an error.
	_, _ = r.checksum.Write(data)
	return r.onFrame(f)
}

// verify returns ErrIncomplete if the result belongs to another attempt or another incarnation,
// or if the received bytes do not match its length and checksum. A result with the code
// StaleIncarnation may name another incarnation.
func (r *receiver) verify(req RunRequest, result RunResult) error {
	if result.CallID != req.CallID || result.Attempt != req.Attempt {
		return ErrIncomplete
	}
	if result.Incarnation != req.Incarnation && result.Code != code.StaleIncarnation {
		return ErrIncomplete
	}
	if result.Length != r.offset || result.Checksum != r.checksum.Sum64() {
		return ErrIncomplete
	}
	return nil
}
