package steward

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/samber/oops"

	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// kindTerms is the kind of the store objects that hold the term of each group, under the name of
// the group.
const kindTerms = "terms"

// term is the newest term of leadership of a group.
type term struct {
	// FencingToken rises with each change of leader.
	FencingToken int64  `json:"fence"`
	Leader       string `json:"leader"`
	// Claim is unique to each attempt to acquire a term. When the response of a write is lost,
	// reading the claim back shows whether the write took effect.
	Claim string `json:"claim"`
}

// readTerm returns the newest term of a group and the revision of its object. Both are zero when
// the group has had no leader yet.
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

// fencingTokensPerEra is the number of fencing tokens for each era of the store. A store that was
// rewound has lost the newest tokens; those of its next era are higher than all of them.
const fencingTokensPerEra = 1 << 16

// nextFencingToken returns the token that follows the newest one known, in an era of the store.
func nextFencingToken(newest, era int64) int64 {
	return max(newest+1, era*fencingTokensPerEra)
}

// acquireTerm acquires the fencing token that follows known, the newest one that the steward has
// seen. It returns false with the newest fencing token when another steward acquired it first.
func acquireTerm(ctx context.Context, s *platform.Store, group string, known int64, leader, claim string) (int64, bool, error) {
	t, revision, err := readTerm(ctx, s, group)
	if err != nil {
		return 0, false, err
	}
	if t.FencingToken > known {
		return t.FencingToken, false, nil
	}
	era := s.Era()
	next := term{FencingToken: nextFencingToken(known, era), Leader: leader, Claim: claim}
	if revision == 0 {
		_, err = s.Create(ctx, kindTerms, group, next)
	} else {
		_, err = s.Replace(ctx, kindTerms, group, revision, next)
	}
	if s.Era() != era {
		// The revision may have been given out again for another term.
		return 0, false, oops.Errorf("the store was rewound while the term was written")
	}
	if err == nil {
		return next.FencingToken, true, nil
	}
	// The write may have taken effect despite the error.
	t, _, readErr := readTerm(ctx, s, group)
	if readErr != nil {
		return 0, false, err
	}
	return t.FencingToken, t.Claim == claim, nil
}
