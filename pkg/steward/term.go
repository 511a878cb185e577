package steward

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/samber/oops"

	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// kindTerms holds an object for each group, named as the group.
const kindTerms = "terms"

// term is the newest leadership of a group.
type term struct {
	// Fence rises with each change of leader.
	Fence  int64  `json:"fence"`
	Leader string `json:"leader"`
	// Claim tells two takings of the same number apart, so that a lost answer is settled
	// by reading.
	Claim string `json:"claim"`
}

// readTerm returns the newest term and the revision of its object; both are zero when the
// group never had one.
func readTerm(ctx context.Context, s *platform.Store, group string) (term, int64, error) {
	o, err := s.Get(ctx, kindTerms, group)
	if errors.Is(err, platform.ErrNotFound) {
		return term{}, 0, nil
	}
	if err != nil {
		return term{}, 0, err
	}
	var t term
	if err := json.Unmarshal(o.Spec, &t); err != nil {
		return term{}, 0, oops.Wrapf(err, "decode term of %s", group)
	}
	return t, o.Revision, nil
}

// takeTerm takes the next fencing number after known, the newest one that the steward has
// heard of. It reports false, with the newest number, when another steward was faster.
func takeTerm(ctx context.Context, s *platform.Store, group string, known int64, leader, claim string) (int64, bool, error) {
	t, revision, err := readTerm(ctx, s, group)
	if err != nil {
		return 0, false, err
	}
	if t.Fence > known {
		return t.Fence, false, nil
	}
	next := term{Fence: known + 1, Leader: leader, Claim: claim}
	if revision == 0 {
		_, err = s.Create(ctx, kindTerms, group, next)
	} else {
		_, err = s.Replace(ctx, kindTerms, group, revision, next)
	}
	if err == nil {
		return next.Fence, true, nil
	}
	// The write may have taken effect all the same.
	t, _, readErr := readTerm(ctx, s, group)
	if readErr != nil {
		return 0, false, err
	}
	return t.Fence, t.Claim == claim, nil
}
