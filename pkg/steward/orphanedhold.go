package steward

import (
	"context"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// completeTimeout limits one attempt to complete a hold.
const completeTimeout = 1200 * time.Millisecond

// completeHold arms all ranks for a hold without an active leader and then releases the hold. It
// abandons the hold if a rank does not respond and no rank is armed yet.
func (s *Steward) completeHold(ctx context.Context, r platform.RankReport) {
	s.log.Warn("hold-orphaned", "group", r.Group, "pass", r.State.HeldPass, "armed", r.State.ArmedVersion, "prepared", r.State.PreparedVersion,
		"silence", s.sinceLeaderContact().Round(time.Millisecond))
	ctx, cancel := context.WithTimeout(ctx, completeTimeout)
	defer cancel()
	s.mu.Lock()
	members := s.members
	s.mu.Unlock()
	if len(members) == 0 {
		var err error
		if members, err = s.fetchMembers(ctx); err != nil {
			s.log.Warn("member-list-failed", "error", err.Error())
			return
		}
	}
	sw := mapswitch.New(r.Index)
	s.mu.Lock()
	if s.prepared.Version == r.State.PreparedVersion && s.prepared.Map != nil {
		sw.SetTarget(s.prepared)
	}
	s.mu.Unlock()
	for ctx.Err() == nil {
		ranks, memberByRank := s.readGroup(ctx, members, r)
		orders, phase := sw.NextOrders(ranks)
		if phase != mapswitch.Switching && len(orders) == 0 {
			s.log.Info("hold-completed", "group", r.Group, "pass", r.State.HeldPass, "phase", int(phase))
			return
		}
		s.sendOrders(ctx, orders, memberByRank, 0)
		sleep(ctx, switchPollInterval)
	}
}

// readGroup polls the members and returns the states of the ranks of a group with their members
// by rank index.
func (s *Steward) readGroup(ctx context.Context, members []Member, r platform.RankReport) ([]mapswitch.RankState, map[int]Member) {
	ranks := make([]mapswitch.RankState, r.Size)
	memberByRank := map[int]Member{}
	responses := s.observeMembers(ctx, members, ObserveRequest{Leader: s.settings.Name})
	s.observeDirectly(ctx, members, responses)
	for i, o := range responses {
		if o != nil && o.Report.Group == r.Group && o.Report.Index < r.Size {
			ranks[o.Report.Index] = o.Report.State
			memberByRank[o.Report.Index] = members[i]
		}
	}
	return ranks, memberByRank
}
