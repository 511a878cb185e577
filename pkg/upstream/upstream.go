package upstream

import (
	"context"
	"errors"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

// ErrNotSent means that no byte of the request was sent to the upstream.
var ErrNotSent = errors.New("upstream: the request was not sent")

// ErrLost means that the response of the upstream ended before it was complete.
var ErrLost = errors.New("upstream: the answer ended early")

// Health is the state that an upstream reports on itself.
type Health struct {
	// Incarnation changes with each restart of the upstream.
	Incarnation string `json:"incarnation"`
	// Models and Services are the names of what the upstream serves.
	Models   []string `json:"models,omitempty"`
	Services []string `json:"services,omitempty"`
}

// Part is a part of a response. Status and Headers are set in the first part only.
type Part struct {
	Status  int
	Headers []peer.Header
	Data    []byte
	// HasMore is set when the next part is already available.
	HasMore bool
}

// ResponseSummary summarises a response after its last part.
type ResponseSummary struct {
	// Status is the HTTP status.
	Status int
	// Tokens is the number of generated tokens, 0 if unknown.
	Tokens int64
}

// Client runs requests at an upstream.
type Client interface {
	// Health requests the incarnation of the upstream and the names of what it serves.
	Health(ctx context.Context) (Health, error)
	// Run sends the request and passes the parts of the response to emit in order. After an
	// error other than ErrNotSent the outcome is unknown.
	Run(ctx context.Context, r peer.RunRequest, emit func(Part) error) (ResponseSummary, error)
}
