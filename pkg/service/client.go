package service

import (
	"context"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/upstream"
)

// Client calls one plain service. It implements upstream.Client.
type Client struct {
	*upstream.HTTPClient
}

// New returns a client of the service at baseURL.
func New(baseURL string) *Client {
	return &Client{HTTPClient: upstream.NewHTTPClient(baseURL)}
}

// Run implements upstream.Client. The number of tokens in its result is always 0.
func (c *Client) Run(ctx context.Context, r peer.RunRequest, emit func(upstream.Part) error) (upstream.ResponseSummary, error) {
	resp, err := c.Send(ctx, r)
	if err != nil {
		return upstream.ResponseSummary{}, err
	}
	defer resp.Body.Close()
	return upstream.ResponseSummary{Status: resp.StatusCode}, upstream.CopyBody(resp, emit)
}
