package steward

import (
	"context"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// completeTime bounds one try to complete a hold.
const completeTime = 1200 * time.Millisecond

// completeHold arms all ranks for a hold that no leader looks after and releases it.
func (s *Steward) completeHold(ctx context.Context, r platform.RankReport) {
	s.log.Warn("hold-orphaned", "group", r.Group, "pass", r.State.Held, "silence", s.silence().Round(time.Millisecond))
	ctx, cancel := context.WithTimeout(ctx, completeTime)
	defer cancel()
	s.mu.Lock()
	members := s.members
	s.mu.Unlock()
	if len(members) == 0 {
		var err error
		if members, err = s.listed(ctx); err != nil {
			s.log.Warn("members-not-listed", "error", err.Error())
			return
		}
	}
	sw := mapswitch.New()
	for ctx.Err() == nil {
		ranks, places := s.look(ctx, members, r)
		orders, phase := sw.Next(ranks)
		if phase != mapswitch.Switching {
			s.log.Info("hold-completed", "group", r.Group, "pass", r.State.Held, "phase", int(phase))
			return
		}
		s.giveOrders(ctx, orders, places, 0)
		pause(ctx, switchRound)
	}
}

// look returns the ranks of a group as they are now.
func (s *Steward) look(ctx context.Context, members []Member, r platform.RankReport) ([]mapswitch.Rank, map[int]Member) {
	ranks := make([]mapswitch.Rank, r.Size)
	places := map[int]Member{}
	answers := s.observeMembers(ctx, members, ObserveRequest{Leader: s.node.Name})
	s.observeDirectly(ctx, members, answers)
	for i, o := range answers {
		if o != nil && o.Report.Group == r.Group && o.Report.Index < r.Size {
			ranks[o.Report.Index] = o.Report.State
			places[o.Report.Index] = members[i]
		}
	}
	return ranks, places
}
