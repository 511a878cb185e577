package weightstore

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
)

// BudgetKind is the platform's object kind of a Budget.
const BudgetKind = "weight-budget"

// Partitions is the number of budget objects that groups are distributed over.
const Partitions = 8

// WindowDuration is the length of a window.
const WindowDuration = 10 * time.Second

// maxClaimAttempts is the maximum number of conditional updates of one claim.
const maxClaimAttempts = 4

// BudgetClient claims parts of the weight store's rate for one group. It is safe for concurrent
// use.
type BudgetClient struct {
	platform  *platform.Client
	group     string
	partition string
	// windowBytes is the number of bytes of a window that belong to the partition.
	windowBytes int64
}

// NewBudgetClient returns the client of a group for a store with a rate in bytes per second.
func NewBudgetClient(p *platform.Client, group string, rate int64) *BudgetClient {
	return &BudgetClient{
		platform:    p,
		group:       group,
		partition:   strconv.FormatUint(xxhash.Sum64String(group)%Partitions, 10),
		windowBytes: rate * int64(WindowDuration/time.Second) / Partitions,
	}
}

// Claim requests want bytes in the window of now and returns the number of bytes that may be
// loaded, from 0 to want. It returns platform.ErrConflict when all attempts meet conflicts. On
// an error nothing may be loaded.
func (c *BudgetClient) Claim(ctx context.Context, now time.Time, want int64) (int64, error) {
	window := now.UnixNano() / int64(WindowDuration)
	for range maxClaimAttempts {
		granted, err := c.tryClaim(ctx, window, want)
		if !errors.Is(err, platform.ErrConflict) {
			return granted, err
		}
	}
	return 0, platform.ErrConflict
}

// tryClaim makes one conditional update of the budget object.
func (c *BudgetClient) tryClaim(ctx context.Context, window, want int64) (int64, error) {
	o, err := c.platform.Get(ctx, BudgetKind, c.partition)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return 0, err
	}
	var b Budget
	if err == nil {
		if err := json.Unmarshal(o.Value, &b); err != nil {
			return 0, oops.Wrapf(err, "decode budget %s", c.partition)
		}
	}
	updated, granted := b.Claim(c.group, window, want, c.windowBytes)
	if _, err := c.platform.Put(ctx, BudgetKind, c.partition, o.Revision, updated); err != nil {
		return 0, err
	}
	return granted, nil
}
