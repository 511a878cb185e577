package engine

import (
	"context"
	"strconv"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/prefix"
)

// CacheEvents returns the events of the engine's prefix cache from the number after on. The
// engine publishes them late and with gaps. Blocks are named as in package prefix.
func (c *Client) CacheEvents(ctx context.Context, after int64) (prefix.Events, error) {
	var e prefix.Events
	err := c.GetJSON(ctx, "/cache-events?after="+strconv.FormatInt(after, 10), &e)
	return e, err
}
