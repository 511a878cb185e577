package gateway

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/roster"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/sharing"
)

const (
	// plainRequestsPerSlot is the number of requests per place of a plain service that an entry
	// may have under way: one runs and one waits at the upstream.
	plainRequestsPerSlot = 2
	// limitHeadroom is how much more than an equal part of the places an entry takes, as
	// callers spread over the entries by chance.
	limitHeadroom = 1.5
	// stalledTTL is how long a group counts as standing still without news of its leader,
	// which tells it ten times a second.
	stalledTTL = 500 * time.Millisecond
	// limitTTL is how long the part that a group's leader gave is kept without news;
	// after a change of leader the next one is heard within about a second.
	limitTTL = 3 * time.Second
)

// groupLimit is the part of a group's bound that its leader gave.
type groupLimit struct {
	fencingToken int64
	limit        int
	reportedAt   time.Time
	// passTime is the time of a passTime, and tokens what a request gains in it.
	passTime      time.Duration
	tokensPerPass int
	// emptyPassTime is the time of a pass without any work.
	emptyPassTime time.Duration
	// stalled is set while the group stalled still, as its leader last told at still, and opens
	// is the expected time until it runs again.
	stalled   bool
	stalledAt time.Time
	resumesIn time.Duration
}

// isFresh reports whether the leader of a running group was heard lately.
func (l groupLimit) isFresh() bool {
	return !l.reportedAt.IsZero() && time.Since(l.reportedAt) < limitTTL
}

// applyLimit takes in the part that a group's leader gives and tells what there is to do.
func (g *Gateway) applyLimit(limit roster.Limit) roster.LimitAnswer {
	running, waiting := g.permits.usage(limit.Service)
	response := roster.LimitAnswer{Demand: sharing.Demand{Running: running, Waiting: waiting}}
	g.mu.Lock()
	defer g.mu.Unlock()
	current := g.groupLimits[limit.Service][limit.Group]
	if limit.Fence < current.fencingToken || limit.Part < 0 && !limit.Still {
		return response
	}
	if g.groupLimits[limit.Service] == nil {
		g.groupLimits[limit.Service] = map[string]groupLimit{}
	}
	g.groupLimits[limit.Service][limit.Group] = g.updatedLimit(limit, current, time.Now())
	g.updateLimit(limit.Service)
	return response
}

// updatedLimit returns what is known of a group after news of its leader. The caller holds g.mu.
func (g *Gateway) updatedLimit(limit roster.Limit, current groupLimit, now time.Time) groupLimit {
	if limit.Still {
		current.fencingToken, current.stalledAt, current.resumesIn = limit.Fence, now, milliseconds(limit.OpensMillis)
		if !current.stalled {
			current.stalled = true
			g.log.Info("group-stands-still", "service", limit.Service, "group", limit.Group, "fence", limit.Fence, "opens", current.resumesIn.Round(time.Millisecond))
		}
		g.fleet.SetStill(limit.Loads, now.Add(stalledTTL))
		return current
	}
	if current.stalled {
		g.log.Info("group-runs", "service", limit.Service, "group", limit.Group, "fence", limit.Fence)
	}
	g.fleet.SetLoads(limit.Loads, limit.Paces, now)
	return groupLimit{
		fencingToken: limit.Fence, limit: limit.Part, reportedAt: now, tokensPerPass: limit.TokensPerPass,
		passTime: milliseconds(limit.PassMillis), emptyPassTime: milliseconds(limit.EmptyMillis),
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// expireStalled counts a group that stood still as running again once its leader has fallen
// silent.
func (g *Gateway) expireStalled(service string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for group, current := range g.groupLimits[service] {
		if !current.stalled || now.Sub(current.stalledAt) < stalledTTL {
			continue
		}
		g.log.Info("group-unheard", "service", service, "group", group, "silence", now.Sub(current.stalledAt).Round(time.Millisecond))
		current.stalled = false
		g.groupLimits[service][group] = current
		g.updateLimit(service)
	}
}

// updateLimit sets the permits of a service: the parts that the leaders of its groups gave, and
// otherwise this entry's part of the places, and some more. Nothing starts while all its
// groups stand still. The caller holds g.mu.
func (g *Gateway) updateLimit(service string) {
	total, hasReport, isStalled, resumesIn := 0, false, false, time.Duration(0)
	for _, current := range g.groupLimits[service] {
		switch {
		case current.stalled:
			if !isStalled || current.resumesIn < resumesIn {
				resumesIn = current.resumesIn
			}
			isStalled = true
		case current.isFresh():
			hasReport = true
			total += current.limit
		}
	}
	switch {
	case hasReport:
		g.permits.setLimit(service, total)
	case isStalled:
		g.permits.close(service, resumesIn)
	default:
		g.limitByCapacity(service)
	}
}

// limitByCapacity sets the permits of a service of whose groups nothing is heard, or which has
// none.
func (g *Gateway) limitByCapacity(service string) {
	t := g.table.Load()
	if t == nil {
		return
	}
	s := t.Service(service)
	if s == nil {
		return
	}
	_, slots := g.fleet.Usable(service)
	if s.Engine == nil {
		slots *= plainRequestsPerSlot
	}
	g.permits.setLimit(service, max(1, int(limitHeadroom*float64(slots)/float64(g.gatewayCount)+0.5)))
}

// allGroupsLate reports whether even the idle groups of a service would make events wait longer
// than a pause that callers aim for, so that no request can be on time.
func (g *Gateway) allGroupsLate(service string, eventGap time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	late := false
	for _, current := range g.groupLimits[service] {
		if current.isFresh() && current.emptyPassTime < eventGap {
			return false
		}
		late = late || current.isFresh()
	}
	return late && eventGap > 0
}

// responseTimeRatio is the part of the expected time of an answer that must fit into the time
// left: estimates of lengths are right at the median only, and passes get shorter when
// work is refused.
const responseTimeRatio = 0.7

// requiredResponseTime returns the time that an answer of so many tokens takes in the slowest group of
// a service at its present pace, 0 where that is not known.
func (g *Gateway) requiredResponseTime(service string, tokens int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	longest := time.Duration(0)
	for _, current := range g.groupLimits[service] {
		if current.tokensPerPass > 0 && current.isFresh() {
			longest = max(longest, time.Duration(responseTimeRatio*float64(tokens)/float64(current.tokensPerPass)*float64(current.passTime)))
		}
	}
	return longest
}
