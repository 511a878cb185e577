package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"
)

// Errors of the object API.
var (
	ErrConflict        = errors.New("platform: object has another revision")
	ErrNotFound        = errors.New("platform: object not found")
	ErrRevisionExpired = errors.New("platform: changes since the revision are no longer stored")
)

// Object is one stored object.
type Object struct {
	Kind     string          `json:"kind"`
	Name     string          `json:"name"`
	Revision int64           `json:"revision"`
	Value    json.RawMessage `json:"value"`
	// Deleted is set in watch results for an object that was removed.
	Deleted bool `json:"deleted,omitempty"`
}

// List holds objects of one kind as of a revision: all of them from Client.List, and those that
// changed from Client.Watch.
type List struct {
	Revision int64    `json:"revision"`
	Items    []Object `json:"items"`
}

// Options configures a Client.
type Options struct {
	// URL is the base URL of the object API.
	URL string
	// Timeout limits each call except watches; the zero value means 3 s.
	Timeout time.Duration
	// Registry receives the metrics of the calls; nil means a private registry.
	Registry metrics.Registry
	// Rate (in calls per second) and Burst (in calls) limit the calls of the process; the zero
	// values mean 100 and 100.
	Rate  float64
	Burst float64
	// Transport sends the calls; nil means HTTP over TCP.
	Transport http.RoundTripper
}

// Client calls the object API. Its calls have the priority PriorityControl; WithPriority returns a
// client of another priority. It is safe for concurrent use.
type Client struct {
	base     string
	timeout  time.Duration
	http     *http.Client
	gate     *gate
	priority Priority
}

const (
	defaultTimeout = 3 * time.Second
	// watchTimeoutMargin is added to the wait of a watch to form the timeout of its call.
	watchTimeoutMargin    = 3 * time.Second
	maxResponseBytes      = 64 << 20
	defaultCallsPerSecond = 100
	defaultBurstCalls     = 100
	// maxIdleConnections is the maximum number of idle connections kept open to the platform.
	maxIdleConnections = 4
)

// New returns a client.
func New(o Options) *Client {
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	if o.Rate == 0 {
		o.Rate = defaultCallsPerSecond
	}
	if o.Burst == 0 {
		o.Burst = defaultBurstCalls
	}
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	if o.Transport == nil {
		o.Transport = &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}
	}
	return &Client{
		base:    o.URL,
		timeout: o.Timeout,
		http:    &http.Client{Transport: o.Transport},
		gate:    newGate(o.Registry, o.Rate, o.Burst),

		priority: PriorityControl,
	}
}

// WithPriority returns a client whose calls have another priority. It shares the rate limit and
// the circuit breaker with c.
func (c *Client) WithPriority(i Priority) *Client {
	next := *c
	next.priority = i
	return &next
}

// Get returns one object, or ErrNotFound.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var o objectResponse
	err := c.call(ctx, c.timeout, http.MethodGet, objectPath(kind, name), nil, &o)
	return Object(o), err
}

// List returns all objects of a kind.
func (c *Client) List(ctx context.Context, kind string) (List, error) {
	var l listResponse
	err := c.call(ctx, c.timeout, http.MethodGet, "/objects/"+url.PathEscape(kind), nil, &l)
	return l.list(), err
}

// Put writes value, encoded as JSON, if the object is at the given revision; revision 0 creates the
// object. It returns the stored object, or ErrConflict if the object is at another revision.
func (c *Client) Put(ctx context.Context, kind, name string, revision int64, value any) (Object, error) {
	var o objectResponse
	body, err := json.Marshal(value)
	if err != nil {
		return Object{}, oops.Wrapf(err, "encode %s/%s", kind, name)
	}
	path := objectPath(kind, name) + "?revision=" + strconv.FormatInt(revision, 10)
	err = c.call(ctx, c.timeout, http.MethodPut, path, body, &o)
	return Object(o), err
}

// Delete removes an object if it is at the given revision.
func (c *Client) Delete(ctx context.Context, kind, name string, revision int64) error {
	path := objectPath(kind, name) + "?revision=" + strconv.FormatInt(revision, 10)
	return c.call(ctx, c.timeout, http.MethodDelete, path, nil, nil)
}

// Watch waits for changes of a kind after a revision, at most for the given time. An empty list
// with the same or a higher revision means that no object of the kind changed. Watch returns
// ErrRevisionExpired if the platform no longer stores all changes since the revision.
func (c *Client) Watch(ctx context.Context, kind string, after int64, wait time.Duration) (List, error) {
	var l listResponse
	path := fmt.Sprintf("/watch/%s?after=%d&wait_ms=%d", url.PathEscape(kind), after, wait.Milliseconds())
	err := c.call(ctx, wait+watchTimeoutMargin, http.MethodGet, path, nil, &l)
	return l.list(), err
}

// result is the decoded body of a response.
type result interface {
	// hasResult reports whether the body has the field that every result of its kind has.
	hasResult() bool
}

// objectResponse is the response to a call that returns an object.
type objectResponse Object

func (o *objectResponse) hasResult() bool { return o.Name != "" }

// listResponse is the response to a list or a watch. Revision is nil if the body has none; an empty
// list has one, which may be 0.
type listResponse struct {
	Revision *int64   `json:"revision"`
	Items    []Object `json:"items"`
}

func (l *listResponse) hasResult() bool { return l.Revision != nil }

func (l *listResponse) list() List {
	if l.Revision == nil {
		return List{}
	}
	return List{Revision: *l.Revision, Items: l.Items}
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// call makes one call once the gate admits it, and decodes the response into out unless it is nil.
func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, body []byte, out result) error {
	if err := c.gate.admit(ctx, operation(method, path), c.priority); err != nil {
		return err
	}
	inner, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, content, err := c.roundTrip(inner, method, path, body)
	if ctx.Err() != nil {
		// The caller cancelled the call or its deadline passed, which is no fault of the platform.
		return ctx.Err()
	}
	c.gate.recordOutcome(err == nil && status < http.StatusInternalServerError && status != http.StatusTooManyRequests)
	if err != nil {
		return err
	}
	if err := statusError(status); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(content, out); err != nil {
		return oops.Wrapf(err, "decode platform response")
	}
	if !out.hasResult() {
		return oops.Errorf("platform returned no result for %s", path)
	}
	return nil
}

// operation returns the name of the operation in metrics.
func operation(method, path string) string {
	switch {
	case method != http.MethodGet:
		return opWrite
	case strings.HasPrefix(path, "/watch/"):
		return opWatch
	}
	return opRead
}

// roundTrip sends one request and returns the status and the body of the response.
func (c *Client) roundTrip(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, oops.Wrapf(err, "create platform request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, oops.Wrapf(err, "platform call")
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, content, oops.Wrapf(err, "read platform response")
}

func statusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusGone:
		return ErrRevisionExpired
	}
	return oops.Errorf("platform responded with status %d", status)
}
