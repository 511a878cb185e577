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

// Kind is the object kind of a Budget.
const Kind = "weight-budget"

// Partitions is the number of budget objects.
const Partitions = 8

// Window is the length of a window.
const Window = 10 * time.Second

// maxClaimAttempts bounds the conditional updates of one claim.
const maxClaimAttempts = 4

// Share is a group's access to the weight store's rate. It is safe for concurrent use.
type Share struct {
	platform *platform.Client
	group    string
	partition   string
	// windowBytes is the number of bytes of a window.
	windowBytes int64
}

// NewShare returns the access of a group to a store with a rate in bytes a second.
func NewShare(p *platform.Client, group string, rate int64) *Share {
	return &Share{
		platform: p,
		group:    group,
		partition:   strconv.FormatUint(xxhash.Sum64String(group)%Partitions, 10),
		windowBytes:    rate * int64(Window/time.Second) / Partitions,
	}
}

// Claim asks for want bytes at now and returns the bytes that may be loaded. On an
// error nothing may be loaded.
func (s *Share) Claim(ctx context.Context, now time.Time, want int64) (int64, error) {
	window := now.UnixNano() / int64(Window)
	for range maxClaimAttempts {
		given, err := s.tryClaim(ctx, window, want)
		if !errors.Is(err, platform.ErrConflict) {
			return given, err
		}
	}
	return 0, platform.ErrConflict
}

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
	next, given := b.Claim(s.group, window, want, s.windowBytes)
	if _, err := s.platform.Put(ctx, Kind, s.partition, o.Revision, next); err != nil {
		return 0, err
	}
	return given, nil
}
