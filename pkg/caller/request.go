package caller

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/dispatch"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/prefix"
)

// rejection is the reason why a request was rejected before it was dispatched.
type rejection struct {
	code   code.Code
	detail string
}

func (rej *rejection) Error() string { return rej.code.String() + " " + rej.detail }

// completionRequest contains the fields of a chat-completions body that the entry uses.
type completionRequest struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	Stream    bool              `json:"stream"`
	MaxTokens int64             `json:"max_tokens"`
}

const (
	// defaultMaxTokens is the assumed response length of a request without max_tokens.
	defaultMaxTokens = 256
	// bytesPerToken converts the size of a body to an estimate of the prompt length in tokens.
	bytesPerToken = 4
	// maxIDBytes limits the length of request IDs and idempotency keys.
	maxIDBytes = 128
)

// requestHeaders contains the values of the header fields that every request may have.
type requestHeaders struct {
	id             string
	organisation   configuration.Organisation
	timeout        time.Duration
	idempotencyKey string
}

// readHeaders reads and checks the header fields that every request may have.
func (s *Server) readHeaders(c *gin.Context) (requestHeaders, *rejection) {
	view := s.opts.Config.View()
	h := requestHeaders{id: c.GetHeader(HeaderRequestID), idempotencyKey: c.GetHeader(HeaderIdempotencyKey)}
	if h.id == "" {
		h.id = uuid.NewString()
	}
	if len(h.id) > maxIDBytes || len(h.idempotencyKey) > maxIDBytes {
		return h, &rejection{code.MalformedRequest, "A name in a header field is too long."}
	}
	c.Set(requestIDKey, h.id)
	c.Header(HeaderRequestID, h.id)
	token, _ := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	o, ok := view.Authenticate(token)
	if !ok {
		return h, &rejection{code.Unauthorised, ""}
	}
	if name := c.GetHeader(HeaderOrganisation); name != "" && name != o.Name {
		return h, &rejection{code.OrganisationMismatch, ""}
	}
	h.organisation = o
	var rej *rejection
	h.timeout, rej = parseTimeout(c.GetHeader(HeaderTimeout), view.Document.Limits.DefaultTimeout())
	return h, rej
}

// parseTimeout parses a timeout in milliseconds; an empty text means the default timeout.
func parseTimeout(text string, defaultTimeout time.Duration) (time.Duration, *rejection) {
	if text == "" {
		return defaultTimeout, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, &rejection{code.BadDeadline, ""}
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// readBody reads the body and rejects one that exceeds the configured limit.
func (s *Server) readBody(c *gin.Context) ([]byte, *rejection) {
	limit := s.opts.Config.View().Document.Limits.MaxBodyBytes
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &rejection{code.BodyTooLarge, ""}
	}
	if err != nil {
		return nil, &rejection{code.MalformedRequest, "The body ended early."}
	}
	return body, nil
}

// readModelRequest reads a chat-completions request.
func (s *Server) readModelRequest(c *gin.Context, h requestHeaders) (dispatch.Request, *rejection) {
	var r dispatch.Request
	body, rej := s.readBody(c)
	if rej != nil {
		return r, rej
	}
	var m completionRequest
	if err := json.Unmarshal(body, &m); err != nil {
		return r, &rejection{code.MalformedRequest, err.Error()}
	}
	if len(m.Messages) == 0 {
		return r, &rejection{code.MalformedRequest, "The field messages is empty."}
	}
	if !s.opts.Config.View().HasModel(m.Model) {
		return r, &rejection{code.UnknownModel, m.Model}
	}
	if m.MaxTokens <= 0 {
		m.MaxTokens = defaultMaxTokens
	}
	return dispatch.Request{
		ID:             h.id,
		Organisation:   h.organisation,
		Kind:           peer.ModelWork,
		Target:         m.Model,
		Method:         http.MethodPost,
		Path:           "/v1/chat/completions",
		Headers:        []peer.Header{{Name: "Content-Type", Value: "application/json"}},
		Body:           body,
		Stream:         m.Stream,
		Idempotent:     true,
		IdempotencyKey: h.idempotencyKey,
		Cost:           m.MaxTokens + int64(len(body)/bytesPerToken),
		Prefix:         promptBlockHashes(m),
	}, nil
}

// promptBlockHashes returns the hashes of the leading blocks of a prompt, which consists of the
// model name and the messages in order.
func promptBlockHashes(m completionRequest) []uint64 {
	prompt := []byte(m.Model)
	for _, message := range m.Messages {
		prompt = append(prompt, message...)
		if len(prompt) >= prefix.BlockBytes*prefix.MaxBlocks {
			break
		}
	}
	return prefix.BlockHashes(nil, prompt)
}

// readServiceRequest reads a request to a plain service.
func (s *Server) readServiceRequest(c *gin.Context, h requestHeaders) (dispatch.Request, *rejection) {
	var r dispatch.Request
	svc, ok := s.opts.Config.View().Service(c.Param("name"))
	if !ok {
		return r, &rejection{code.UnknownService, c.Param("name")}
	}
	body, rej := s.readBody(c)
	if rej != nil {
		return r, rej
	}
	path := c.Param("path")
	if q := c.Request.URL.RawQuery; q != "" {
		path += "?" + q
	}
	return dispatch.Request{
		ID:             h.id,
		Organisation:   h.organisation,
		Kind:           peer.ServiceWork,
		Target:         svc.Name,
		Method:         c.Request.Method,
		Path:           path,
		Headers:        forwardedHeaders(c.Request.Header),
		Body:           body,
		Idempotent:     svc.IsIdempotent(c.Request.Method),
		IdempotencyKey: h.idempotencyKey,
		Cost:           1,
	}, nil
}

// forwardedHeaders returns the header fields that are forwarded to a service.
func forwardedHeaders(h http.Header) []peer.Header {
	var out []peer.Header
	for _, name := range []string{"Accept", "Accept-Language", "Content-Type", HeaderIdempotencyKey, "If-Match", "If-None-Match"} {
		if v := h.Get(name); v != "" {
			out = append(out, peer.Header{Name: name, Value: v})
		}
	}
	return out
}
