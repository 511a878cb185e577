package service

import (
	"context"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/upstream"
)

// Client calls one plain service. It implements upstream.Client.
type Client struct {
	*upstream.HTTP
}

// New returns a client of the service at baseURL.
func New(baseURL string) *Client {
	return &Client{HTTP: upstream.NewHTTP(baseURL)}
}

// Run implements upstream.Client. The number of tokens in its result is always 0.
func (c *Client) Run(ctx context.Context, r peer.RunRequest, emit func(upstream.Part) error) (upstream.Answer, error) {
	resp, err := c.Send(ctx, r)
	if err != nil {
		return upstream.Answer{}, err
	}
	defer resp.Body.Close()
	return upstream.Answer{Status: resp.StatusCode}, upstream.Copy(resp, emit)
}
