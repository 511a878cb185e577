package lease

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/samber/oops"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
)

// ShardKind is the object kind of shard claims.
const ShardKind = "shard"

// shardClaim is the value of a shard object.
type shardClaim struct {
	Holder       string `json:"holder"`
	Incarnation  string `json:"incarnation"`
	FencingToken int64  `json:"fence"`
}

// ClaimShard takes a shard for the holder of lease l and returns the fencing token for orders about
// the shard. The fencing token is above all earlier ones. Claiming a shard that this
// incarnation already has returns the same fencing token without a write.
func ClaimShard(ctx context.Context, l *Lease, shard string) (int64, error) {
	if !l.IsHeld() {
		return 0, oops.Errorf("lease %s is not held", l.name)
	}
	o, err := l.client.Get(ctx, ShardKind, shard)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return 0, err
	}
	next := shardClaim{Holder: l.holder, Incarnation: l.incarnation}
	if o.Revision == 0 {
		list, err := l.client.List(ctx, ShardKind)
		if err != nil {
			return 0, err
		}
		next.FencingToken = list.Revision + 1
	} else {
		var old shardClaim
		if err := json.Unmarshal(o.Value, &old); err != nil {
			return 0, oops.Wrapf(err, "decode shard %s", shard)
		}
		if old.Incarnation == l.incarnation {
			return old.FencingToken, nil
		}
		next.FencingToken = old.FencingToken + 1
	}
	_, err = l.client.Put(ctx, ShardKind, shard, o.Revision, next)
	return next.FencingToken, err
}
