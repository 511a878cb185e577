package idempotency

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
)

// nowMillis is the Unix time of the tests, in milliseconds.
const nowMillis = int64(1_800_000_000_000)

func acquireOp(id string) Op {
	return Op{Kind: Acquire, Key: "k", ID: id, Fingerprint: 7, Timeout: time.Minute, TTL: time.Hour}
}

// Guards against a second run for one key: each repeat must be decided by the state of the
// claim.
func TestRepeatedRequests(t *testing.T) {
	is := is.New(t)
	d := Document{}.Clone()
	apply := func(o Op, atMillis int64) code.Code {
		got, _ := d.Apply(o, atMillis)
		return got.Code
	}
	is.Equal(apply(acquireOp("a"), nowMillis), code.OK)
	is.Equal(apply(acquireOp("a"), nowMillis), code.OK) // requesting again resolves a lost response
	is.Equal(apply(acquireOp("b"), nowMillis), code.AlreadyInProgress)
	other := acquireOp("b")
	other.Fingerprint = 8
	is.Equal(apply(other, nowMillis), code.KeyReused)
	is.Equal(apply(acquireOp("b"), nowMillis+3*60_000), code.ClaimUnsettled) // its entry was lost
	is.Equal(apply(Op{Kind: Release, Key: "k", ID: "b"}, nowMillis), code.OK)
	is.Equal(apply(acquireOp("b"), nowMillis), code.AlreadyInProgress) // only the owner can release
	is.Equal(apply(Op{Kind: Release, Key: "k", ID: "a"}, nowMillis), code.OK)
	is.Equal(apply(acquireOp("b"), nowMillis), code.OK)
	is.Equal(apply(Op{Kind: Finish, Key: "k", ID: "b", Response: &Response{Status: 200}}, nowMillis), code.OK)
	is.Equal(apply(Op{Kind: Release, Key: "k", ID: "b"}, nowMillis), code.OK)
	is.Equal(apply(acquireOp("c"), nowMillis), code.Duplicate) // a done claim stays done
	is.Equal(apply(acquireOp("c"), nowMillis+time.Hour.Milliseconds()+1), code.Duplicate)
	is.Equal(apply(acquireOp("c"), nowMillis+2*time.Hour.Milliseconds()), code.OK)
}

// Guards against keys of two organisations that collide when organisation and key are joined.
func TestKeysAreScopedByOrganisation(t *testing.T) {
	is := is.New(t)
	is.True(NewKey("a", "bc") != NewKey("ab", "c"))
}

// Guards against documents that exceed the largest platform value, and against full documents
// that drop claims instead of rejecting new ones.
func TestFullDocumentFitsPlatformValueAndKeepsClaims(t *testing.T) {
	is := is.New(t)
	d := Document{}.Clone()
	for i := range MaxClaims {
		o := Op{
			Kind: Acquire, Key: NewKey("o", fmt.Sprint(i)), ID: uuid.NewString() + "-zzzzzzzz",
			Fingerprint: math.MaxUint64, Timeout: time.Minute, TTL: 24 * time.Hour,
		}
		got, _ := d.Apply(o, nowMillis)
		is.Equal(got.Code, code.OK)
		o.Kind = Finish
		o.Response = &Response{Status: 200, Body: make([]byte, MaxResponseBytes)}
		d.Apply(o, nowMillis)
	}
	got, _ := d.Apply(acquireOp("late"), nowMillis)
	is.Equal(got.Code, code.ClaimUnavailable)
	is.Equal(len(d.Claims), MaxClaims)
	text, err := json.Marshal(d)
	is.NoErr(err)
	t.Logf("%d claims in %d bytes", len(d.Claims), len(text))
	is.True(len(text) < 1<<20)
}

// Guards against reassignment of partitions whose coordinator stays when another entry leaves.
func TestPartitionMovesOnlyWhenItsCoordinatorLeaves(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c", "d"}
	for p := range PartitionCount {
		all := CoordinatorOrder(p, names)
		remaining := CoordinatorOrder(p, names[:3])
		if all[0] != "d" {
			is.Equal(all[0], remaining[0])
		}
	}
}
