package upstream

import (
	"context"
	"errors"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

// ErrNotSent says that nothing of the request reached the upstream.
var ErrNotSent = errors.New("upstream: the request was not sent")

// ErrLost says that the upstream ended the answer before it was whole.
var ErrLost = errors.New("upstream: the answer ended early")

// Health is what an upstream says of itself.
type Health struct {
	Incarnation string   `json:"incarnation"`
	Models      []string `json:"models,omitempty"`
	Services    []string `json:"services,omitempty"`
}

// Part is a piece of an answer. Status and Headers are set in the first part only.
type Part struct {
	Status  int
	Headers []peer.Header
	Data    []byte
	// More is set when the next part follows at once.
	More bool
}

// Answer describes a whole answer.
type Answer struct {
	Status int
	// Tokens is the number of generated tokens, 0 where unknown.
	Tokens int64
}

// Client runs requests at an upstream.
type Client interface {
	// Health asks the upstream for its incarnation and what it serves.
	Health(ctx context.Context) (Health, error)
	// Run sends the request and hands the parts of the answer to emit in order. An
	// error other than ErrNotSent leaves the outcome unknown.
	Run(ctx context.Context, r peer.RunRequest, emit func(Part) error) (Answer, error)
}
