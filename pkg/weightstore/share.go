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

// Kind is the platform's object kind of a Budget.
const Kind = "weight-budget"

// Partitions is the number of budget objects that groups are distributed over.
const Partitions = 8

// Window is the length of a window.
const Window = 10 * time.Second

// maxClaimAttempts is the maximum number of conditional updates of one claim.
const maxClaimAttempts = 4

// Share claims parts of the weight store's rate for one group. It is safe for concurrent use.
type Share struct {
	platform  *platform.Client
	group     string
	partition string
	// windowBytes is the number of bytes of a window that belong to the partition.
	windowBytes int64
}

// NewShare returns the share of a group in a store with a rate in bytes per second.
func NewShare(p *platform.Client, group string, rate int64) *Share {
	return &Share{
		platform:    p,
		group:       group,
		partition:   strconv.FormatUint(xxhash.Sum64String(group)%Partitions, 10),
		windowBytes: rate * int64(Window/time.Second) / Partitions,
	}
}

// Claim requests want bytes in the window of now and returns the number of bytes that may be
// loaded, from 0 to want. It returns platform.ErrConflict when all attempts meet conflicts. On
// an error nothing may be loaded.
func (s *Share) Claim(ctx context.Context, now time.Time, want int64) (int64, error) {
	window := now.UnixNano() / int64(Window)
	for range maxClaimAttempts {
		granted, err := s.tryClaim(ctx, window, want)
		if !errors.Is(err, platform.ErrConflict) {
			return granted, err
		}
	}
	return 0, platform.ErrConflict
}

// tryClaim makes one conditional update of the budget object.
func (s *Share) tryClaim(ctx context.Context, window, want int64) (int64, error) {
	o, err := s.platform.Get(ctx, Kind, s.partition)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return 0, err
	}
	var b Budget
	if err == nil {
		if err := json.Unmarshal(o.Value, &b); err != nil {
			return 0, oops.Wrapf(err, "decode budget %s", s.partition)
		}
	}
	updated, granted := b.Claim(s.group, window, want, s.windowBytes)
	if _, err := s.platform.Put(ctx, Kind, s.partition, o.Revision, updated); err != nil {
		return 0, err
	}
	return granted, nil
}
