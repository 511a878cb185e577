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

// fault is a refusal of a request that was not dispatched.
type fault struct {
	code   code.Code
	detail string
}

func (f *fault) Error() string { return f.code.String() + " " + f.detail }

// completion is the part of a chat-completions body that the system reads.
type completion struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	Stream    bool              `json:"stream"`
	MaxTokens int64             `json:"max_tokens"`
}

const (
	// defaultMaxTokens is the expected answer length of a request that states none.
	defaultMaxTokens = 256
	// bytesPerToken estimates the prompt length.
	bytesPerToken = 4
	maxIDBytes    = 128
)

// head holds what the header fields of a request say.
type head struct {
	id           string
	organisation configuration.Organisation
	timeout      time.Duration
	key          string
}

// readHead checks the header fields that every request may have.
func (s *Server) readHead(c *gin.Context) (head, *fault) {
	view := s.opts.Config.View()
	h := head{id: c.GetHeader(HeaderRequestID), key: c.GetHeader(HeaderIdempotencyKey)}
	if h.id == "" {
		h.id = uuid.NewString()
	}
	if len(h.id) > maxIDBytes || len(h.key) > maxIDBytes {
		return h, &fault{code.MalformedRequest, "A name in a header field is too long."}
	}
	c.Set(keyRequest, h.id)
	c.Header(HeaderRequestID, h.id)
	token, _ := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	o, ok := view.Authenticate(token)
	if !ok {
		return h, &fault{code.Unauthorised, ""}
	}
	if named := c.GetHeader(HeaderOrganisation); named != "" && named != o.Name {
		return h, &fault{code.OrganisationMismatch, ""}
	}
	h.organisation = o
	var f *fault
	h.timeout, f = readTimeout(c.GetHeader(HeaderTimeout), view.Document.Limits.DefaultTimeout())
	return h, f
}

func readTimeout(text string, standard time.Duration) (time.Duration, *fault) {
	if text == "" {
		return standard, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, &fault{code.BadDeadline, ""}
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// readBody reads the body up to the configured limit.
func (s *Server) readBody(c *gin.Context) ([]byte, *fault) {
	limit := s.opts.Config.View().Document.Limits.MaxBodyBytes
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, limit))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, &fault{code.BodyTooLarge, ""}
	}
	if err != nil {
		return nil, &fault{code.MalformedRequest, "The body ended early."}
	}
	return body, nil
}

// modelRequest reads a chat-completions request.
func (s *Server) modelRequest(c *gin.Context, h head) (dispatch.Request, *fault) {
	var r dispatch.Request
	body, f := s.readBody(c)
	if f != nil {
		return r, f
	}
	var m completion
	if err := json.Unmarshal(body, &m); err != nil {
		return r, &fault{code.MalformedRequest, err.Error()}
	}
	if len(m.Messages) == 0 {
		return r, &fault{code.MalformedRequest, "The field messages is empty."}
	}
	if !s.opts.Config.View().HasModel(m.Model) {
		return r, &fault{code.UnknownModel, m.Model}
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
		IdempotencyKey: h.key,
		Cost:           m.MaxTokens + int64(len(body)/bytesPerToken),
		Prefix:         promptBlocks(m),
	}, nil
}

// promptBlocks returns the hashes of the leading blocks of a prompt: the model and the
// messages in their order.
func promptBlocks(m completion) []uint64 {
	prompt := []byte(m.Model)
	for _, text := range m.Messages {
		prompt = append(prompt, text...)
		if len(prompt) >= prefix.BlockBytes*prefix.MaxBlocks {
			break
		}
	}
	return prefix.BlockHashes(nil, prompt)
}

// serviceRequest reads a call of a plain service.
func (s *Server) serviceRequest(c *gin.Context, h head) (dispatch.Request, *fault) {
	var r dispatch.Request
	svc, ok := s.opts.Config.View().Service(c.Param("name"))
	if !ok {
		return r, &fault{code.UnknownService, c.Param("name")}
	}
	body, f := s.readBody(c)
	if f != nil {
		return r, f
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
		Headers:        serviceHeaders(c.Request.Header),
		Body:           body,
		Idempotent:     svc.IsIdempotent(c.Request.Method),
		IdempotencyKey: h.key,
		Cost:           1,
	}, nil
}

// serviceHeaders returns the header fields that are passed on to a service.
func serviceHeaders(h http.Header) []peer.Header {
	var out []peer.Header
	for _, name := range []string{"Accept", "Accept-Language", "Content-Type", HeaderIdempotencyKey, "If-Match", "If-None-Match"} {
		if v := h.Get(name); v != "" {
			out = append(out, peer.Header{Name: name, Value: v})
		}
	}
	return out
}
