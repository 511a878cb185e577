package engine

import (
	"context"
	"strconv"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/prefix"
)

// CacheEvents returns the events of the engine's prefix cache from sequence number after on.
// The engine publishes them with delay and gaps. Blocks are identified by the hashes of
// package prefix.
func (c *Client) CacheEvents(ctx context.Context, after int64) (prefix.Events, error) {
	var e prefix.Events
	err := c.GetJSON(ctx, "/cache-events?after="+strconv.FormatInt(after, 10), &e)
	return e, err
}
