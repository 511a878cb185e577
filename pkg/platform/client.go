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
	ErrConflict = errors.New("platform: another revision is current")
	ErrNotFound = errors.New("platform: object not found")
	ErrGap      = errors.New("platform: changes since the revision are no longer held")
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

// List is a set of objects of one kind at a revision.
type List struct {
	Revision int64    `json:"revision"`
	Items    []Object `json:"items"`
}

// Options configure a client.
type Options struct {
	// URL is the base URL of the object API.
	URL string
	// Timeout bounds each call but a watch; the zero value means 3 s.
	Timeout time.Duration
	// Registry counts the calls; nil means a private registry.
	Registry metrics.Registry
	// Rate and Burst bound the calls of the process, in calls a second and in calls; the
	// zero values mean 100 and 100.
	Rate  float64
	Burst float64
	// Transport carries the calls; nil means HTTP over TCP.
	Transport http.RoundTripper
}

// Client calls the object API. Its calls have the importance Control unless With gives
// them another. It is safe for concurrent use.
type Client struct {
	base       string
	timeout    time.Duration
	http       *http.Client
	gate       *gate
	importance Importance
}

const (
	defaultTimeout = 3 * time.Second
	watchMargin    = 3 * time.Second
	maxAnswerBytes = 64 << 20
	// defaultRate is in calls a second, defaultBurst in calls.
	defaultRate  = 100
	defaultBurst = 100
	// idleConnections is the number of connections kept open to the platform.
	idleConnections = 4
)

// New returns a client.
func New(o Options) *Client {
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	if o.Rate == 0 {
		o.Rate = defaultRate
	}
	if o.Burst == 0 {
		o.Burst = defaultBurst
	}
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	if o.Transport == nil {
		o.Transport = &http.Transport{MaxIdleConnsPerHost: idleConnections}
	}
	return &Client{
		base:    o.URL,
		timeout: o.Timeout,
		http:    &http.Client{Transport: o.Transport},
		gate:    newGate(o.Registry, o.Rate, o.Burst),

		importance: Control,
	}
}

// With returns a client whose calls have another importance. It shares the budget.
func (c *Client) With(i Importance) *Client {
	next := *c
	next.importance = i
	return &next
}

// Get returns one object, or ErrNotFound.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	err := c.call(ctx, c.timeout, http.MethodGet, objectPath(kind, name), nil, &o)
	return o, err
}

// List returns all objects of a kind.
func (c *Client) List(ctx context.Context, kind string) (List, error) {
	var l List
	err := c.call(ctx, c.timeout, http.MethodGet, "/objects/"+url.PathEscape(kind), nil, &l)
	return l, err
}

// Put writes value when revision is the current one; 0 creates the object.
func (c *Client) Put(ctx context.Context, kind, name string, revision int64, value any) (Object, error) {
	var o Object
	body, err := json.Marshal(value)
	if err != nil {
		return o, oops.Wrapf(err, "encode %s/%s", kind, name)
	}
	path := objectPath(kind, name) + "?revision=" + strconv.FormatInt(revision, 10)
	err = c.call(ctx, c.timeout, http.MethodPut, path, body, &o)
	return o, err
}

// Delete removes an object when revision is the current one.
func (c *Client) Delete(ctx context.Context, kind, name string, revision int64) error {
	path := objectPath(kind, name) + "?revision=" + strconv.FormatInt(revision, 10)
	return c.call(ctx, c.timeout, http.MethodDelete, path, nil, nil)
}

// Watch waits at most wait for changes of a kind after a revision. An empty list
// with the same or a higher revision means that nothing changed.
func (c *Client) Watch(ctx context.Context, kind string, after int64, wait time.Duration) (List, error) {
	var l List
	path := fmt.Sprintf("/watch/%s?after=%d&wait_ms=%d", url.PathEscape(kind), after, wait.Milliseconds())
	err := c.call(ctx, wait+watchMargin, http.MethodGet, path, nil, &l)
	return l, err
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// call makes one call when the gate lets it through.
func (c *Client) call(ctx context.Context, limit time.Duration, method, path string, body []byte, out any) error {
	if err := c.gate.enter(ctx, operation(method, path), c.importance); err != nil {
		return err
	}
	inner, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	status, text, err := c.exchange(inner, method, path, body)
	if ctx.Err() != nil {
		// The caller gave up; that says nothing about the platform.
		return ctx.Err()
	}
	c.gate.leave(err == nil && status < http.StatusInternalServerError && status != http.StatusTooManyRequests)
	if err != nil {
		return err
	}
	if err := statusError(status); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	return oops.Wrapf(json.Unmarshal(text, out), "platform answer")
}

func operation(method, path string) string {
	switch {
	case method != http.MethodGet:
		return opWrite
	case strings.HasPrefix(path, "/watch/"):
		return opWatch
	}
	return opRead
}

// exchange sends one request and reads its answer.
func (c *Client) exchange(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, oops.Wrapf(err, "platform request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, oops.Wrapf(err, "platform call")
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	return resp.StatusCode, text, oops.Wrapf(err, "platform answer")
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
		return ErrGap
	}
	return oops.Errorf("platform answered status %d", status)
}
