package steward

import (
	"context"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// completeTimeout limits one attempt to complete a hold.
const completeTimeout = 1200 * time.Millisecond

// endHold ends a hold of the own rank without an active leader. It abandons the hold if the rank is not
// armed yet, and completes it otherwise.
func (s *Steward) endHold(ctx context.Context, r platform.RankReport) {
	s.log.Warn("hold-orphaned", "group", r.Group, "pass", r.State.HeldPass, "armed", r.State.ArmedVersion, "prepared", r.State.PreparedVersion,
		"silence", s.sinceLeaderContact().Round(time.Millisecond))
	ctx, cancel := context.WithTimeout(ctx, completeTimeout)
	defer cancel()
	if !s.abandonHold(ctx, r) {
		s.completeHold(ctx, r)
	}
}

// abandonHold releases the hold of the own rank without a switch. It returns false if the rank is armed
// or the map that it was ordered to prepare is not known, as after a restart.
func (s *Steward) abandonHold(ctx context.Context, r platform.RankReport) bool {
	s.mu.Lock()
	target := s.prepared
	s.mu.Unlock()
	if target.Map == nil || target.Version != r.State.PreparedVersion {
		return false
	}
	if _, loaded, err := s.rank.LoadedExperts(ctx); err == nil {
		target = mapswitch.AbandonTarget(target, r.Index, loaded)
	}
	sw := mapswitch.New(r.Index)
	sw.SetTarget(target)
	for ctx.Err() == nil && r.State.HeldPass != mapswitch.None && r.State.ArmedVersion == mapswitch.None {
		ranks := make([]mapswitch.RankState, r.Size)
		ranks[r.Index] = r.State // the others are left out: they have no part in it
		orders, _ := sw.NextOrders(ranks)
		if len(orders) == 0 {
			return false // the leader is of a release that cannot abandon a switch
		}
		for _, o := range orders {
			s.applyOrder(ctx, OrderRequest{Order: o})
		}
		sleep(ctx, switchPollInterval)
		report, err := s.readOwnRank(ctx)
		if err != nil {
			s.log.Warn("own-rank-unreachable", "error", err.Error())
			continue
		}
		r = report
	}
	if r.State.ArmedVersion != mapswitch.None {
		return false
	}
	s.log.Info("hold-abandoned", "group", r.Group, "released", r.State.HeldPass == mapswitch.None)
	return true
}

// completeHold arms all ranks for a hold without an active leader and then releases the hold.
func (s *Steward) completeHold(ctx context.Context, r platform.RankReport) {
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
	for ctx.Err() == nil {
		ranks, memberByRank := s.readGroup(ctx, members, r)
		orders, phase := sw.NextOrders(ranks)
		if phase != mapswitch.Switching {
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
	responses, _ := s.observeMembers(ctx, observeTimeout, members, ObserveRequest{Leader: s.settings.Name})
	s.observeDirectly(ctx, members, responses)
	for i, o := range responses {
		if o != nil && o.Report.Group == r.Group && o.Report.Index < r.Size {
			ranks[o.Report.Index] = o.Report.State
			memberByRank[o.Report.Index] = members[i]
		}
	}
	return ranks, memberByRank
}
