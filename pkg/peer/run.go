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

// ErrNotSent says that an attempt was never handed to the agent.
var ErrNotSent = errors.New("peer: the attempt was not sent")

// ErrNotWhole says that the bytes received are not the announced answer.
var ErrNotWhole = errors.New("peer: the answer is not whole")

// Header fields of an exchange.
const (
	headerResponseStatus = "X-Answer-Status"
	headerResponseField  = "X-Answer-Field"
	trailerResult        = "X-Run-Result"
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

// Run runs one attempt at the agent with the work address and hands the frames of its
// answer to onFrame in order. It returns ErrNotSent when nothing was sent, ErrNotWhole
// when the answer does not match its result, the error of onFrame, and any other error
// when the result was lost; the outcome is then unknown.
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

// headFrame returns a frame with the status and header fields of the answer.
func headFrame(h http.Header) Frame {
	var f Frame
	// A missing status leaves 0, which the first frame of an answer never has.
	f.Status, _ = strconv.Atoi(h.Get(headerResponseStatus))
	for _, line := range h.Values(headerResponseField) {
		name, value, _ := strings.Cut(line, ":")
		f.Headers = append(f.Headers, Header{Name: name, Value: value})
	}
	return f
}

// receiver takes the bytes of an answer.
type receiver struct {
	onFrame  func(Frame) error
	head     Frame
	offset   int64
	checksum *xxhash.Digest
}

// read hands the body to onFrame, a stream in whole events.
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

// deliverEmpty hands on the status of an answer without bytes.
func (r *receiver) deliverEmpty() error {
	if r.head.Status == 0 {
		return nil
	}
	return r.deliver(nil, false)
}

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
		if err := r.deliver(ev, events.Buffered()); err != nil {
			return err
		}
	}
}

func (r *receiver) deliver(data []byte, hasMore bool) error {
	f := r.head
	f.Offset = r.offset
	f.Data = data
	f.More = hasMore
	r.head = Frame{}
	r.offset += int64(len(data))
	// A hash never returns an error from Write.
	_, _ = r.checksum.Write(data)
	return r.onFrame(f)
}

// verify compares the answer with its result.
func (r *receiver) verify(req RunRequest, result RunResult) error {
	if result.Call != req.Call || result.Attempt != req.Attempt {
		return ErrNotWhole
	}
	if result.Incarnation != req.Incarnation && result.Code != code.StaleIncarnation {
		return ErrNotWhole
	}
	if result.Length != r.offset || result.Checksum != r.checksum.Sum64() {
		return ErrNotWhole
	}
	return nil
}
