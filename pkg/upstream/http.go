package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

// HTTPClient sends requests to an upstream over HTTP. It is safe for concurrent use.
type HTTPClient struct {
	baseURL string
	// pooled reuses connections.
	pooled *http.Client
	// unpooled opens a connection for each request.
	unpooled *http.Client
}

const (
	dialTimeout         = time.Second
	healthTimeout       = time.Second
	maxIdleConnsPerHost = 256
	// maxHeadBytes limits the header of a response and maxDocumentBytes a document of GetJSON: upstreams in
	// trouble may send bytes without end.
	maxHeadBytes     = 64 << 10
	maxDocumentBytes = 4 << 20
	// maxStatus is the highest status of HTTP.
	maxStatus = 599
)

// NewHTTPClient returns a client of the upstream at baseURL.
func NewHTTPClient(baseURL string) *HTTPClient {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	// Without DisableCompression, net/http requests compression, decodes the response and removes its
	// length, which CopyBody needs.
	return &HTTPClient{
		baseURL: baseURL,
		pooled: &http.Client{
			Transport:     &http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes},
			CheckRedirect: returnRedirect,
		},
		// net/http repeats some requests by itself when a reused connection is found to be
		// closed. A request that may run only once is therefore sent on a new connection.
		unpooled: &http.Client{
			Transport:     &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes},
			CheckRedirect: returnRedirect,
		},
	}
}

// returnRedirect returns a redirect to the caller instead of following it. Following it would
// send the request, with its body, a second time.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Health requests GET /health.
func (h *HTTPClient) Health(ctx context.Context) (Health, error) {
	var out Health
	err := h.GetJSON(ctx, "/health", &out)
	return out, err
}

// GetJSON requests a small JSON document of the upstream and decodes it into out. It times out
// after healthTimeout.
func (h *HTTPClient) GetJSON(ctx context.Context, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.baseURL+path, nil)
	if err != nil {
		return oops.Wrapf(err, "request %s", path)
	}
	resp, err := h.pooled.Do(req)
	if err != nil {
		return oops.Wrapf(err, "get %s", path)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return oops.Errorf("get %s: status %d", path, resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxDocumentBytes)).Decode(out)
}

// Send sends a request and returns the response. The caller must close the response body. The
// error is ErrNotSent if no connection could be opened, so that nothing was sent, and ErrLost if the status of the
// response is not one of a final response.
func (h *HTTPClient) Send(ctx context.Context, r peer.RunRequest) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, r.Method, h.baseURL+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	for _, f := range r.Headers {
		req.Header.Add(f.Name, f.Value)
	}
	req.Header.Set("X-Request-Id", r.RequestID)
	resp, err := h.clientFor(r.Idempotent).Do(req)
	if err != nil && !connected.Load() {
		return nil, errors.Join(ErrNotSent, err)
	}
	if err == nil && (resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus) {
		resp.Body.Close()
		return nil, oops.Wrapf(ErrLost, "status %q", resp.Status)
	}
	return resp, err
}

// clientFor returns the HTTP client for requests that may, or may not, run more than once.
func (h *HTTPClient) clientFor(idempotent bool) *http.Client {
	if idempotent {
		return h.pooled
	}
	return h.unpooled
}

// CopyBody passes the body to emit in parts of at most MaxPartBytes. It returns ErrLost if the
// body ended early, or if the HTTP framing does not show where the body ends, as a complete body
// cannot then be distinguished from a truncated one.
func CopyBody(resp *http.Response, emit func(Part) error) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.ProtoMajor < 2 && resp.Body != http.NoBody {
		return ErrLost
	}
	part := Part{Status: resp.StatusCode, Headers: forwardedHeaders(resp.Header)}
	for {
		buf := make([]byte, MaxPartBytes)
		n, err := resp.Body.Read(buf)
		part.Data = buf[:n]
		if n > 0 || part.Status != 0 {
			if e := emit(part); e != nil {
				return e
			}
			part = Part{}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Join(ErrLost, err)
		}
	}
}

// MaxPartBytes is the maximum size of a part that CopyBody passes to emit.
const MaxPartBytes = 32 << 10

// forwardedHeaders returns the header fields of a response that are forwarded to the caller.
func forwardedHeaders(h http.Header) []peer.Header {
	var out []peer.Header
	for _, name := range []string{"Content-Type", "Content-Language", "Etag", "Last-Modified", "Location"} {
		if v := h.Get(name); v != "" {
			out = append(out, peer.Header{Name: name, Value: v})
		}
	}
	return out
}
