package gateway

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/roster"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/sharing"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standstill"
)

const (
	// plainRequestsPerSlot is the number of concurrent requests that a gateway may have for each
	// slot of a plain service: one runs and one waits at the upstream.
	plainRequestsPerSlot = 2
	// limitHeadroom is the factor by which a gateway exceeds an equal share of the slots, as callers
	// are spread over the gateways at random.
	limitHeadroom = 1.5
	// stalledTTL is how long a group counts as stalled without a new report of its leader, which
	// reports ten times a second.
	stalledTTL = 500 * time.Millisecond
	// limitTTL is how long the limit given by a group's leader is valid without a new report; after
	// a change of leader the next one reports within about a second.
	limitTTL = 3 * time.Second
	// listReadTime is the expected time until a gateway that has just started knows the upstreams.
	listReadTime = 25 * time.Millisecond
)

// groupLimit is the newest report of a group's leader: this gateway's share of the group's limit on
// concurrent work, and the state of the group.
type groupLimit struct {
	fencingToken int64
	limit        int
	reportedAt   time.Time
	// unusable is set if no work may go to the ranks of the group, as when their zone is taken out.
	unusable bool
	// passTime is the time of a pass, and tokensPerPass what a request gains in it.
	passTime      time.Duration
	tokensPerPass int
	// emptyPassTime is the time of a pass without any work.
	emptyPassTime time.Duration
	// stalled is set while the group is stalled, as its leader last reported at stalledAt, and
	// resumesIn is the expected time from then until it runs again.
	stalled   bool
	stalledAt time.Time
	resumesIn time.Duration
	// suspendedSince is when a rank first refused work, for suspendedGroup. It is zero while the service is not suspended.
	suspendedSince time.Time
	// isProbed is set if a request was granted since a rank last refused work.
	isProbed bool
}

// isFresh reports whether the leader of a running group that may get work reported within limitTTL.
func (l groupLimit) isFresh() bool {
	return !l.unusable && !l.reportedAt.IsZero() && time.Since(l.reportedAt) < limitTTL
}

// applyLimit applies a report of a group's leader and returns this gateway's demand for the group: its
// part of the running and waiting requests. Reports with an outdated fencing token and queries only return the demand.
func (g *Gateway) applyLimit(limit roster.Limit) roster.LimitResponse {
	running, waiting := g.permits.usage(limit.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	response := roster.LimitResponse{Demand: sharing.DemandForOne(running, waiting, g.usableGroups(limit.Service))}
	current := g.groupLimits[limit.Service][limit.Group]
	if limit.FencingToken < current.fencingToken || limit.Share < 0 && !limit.Stalled {
		return response
	}
	if _, known := g.groupLimits[limit.Service][limit.Group]; !known && !g.hasRoomForGroup(limit) {
		g.log.Warn("group-limit-ignored", "service_length", len(limit.Service), "group_length", len(limit.Group))
		return response
	}
	if g.groupLimits[limit.Service] == nil {
		g.groupLimits[limit.Service] = map[string]groupLimit{}
	}
	if !limit.Stalled {
		delete(g.groupLimits[limit.Service], suspendedGroup)
	}
	g.groupLimits[limit.Service][limit.Group] = g.updatedLimit(limit, current, time.Now())
	g.updateLimit(limit.Service)
	return response
}

const (
	// maxGroups is the number of groups of which limits are kept, and maxGroupNameBytes the length of the names of a group
	// and of its service: whoever reaches the address for control can report for any.
	maxGroups         = 1024
	maxGroupNameBytes = 512
)

// hasRoomForGroup reports whether the limit of a new group is kept. The caller holds g.mu.
func (g *Gateway) hasRoomForGroup(limit roster.Limit) bool {
	groups := 0
	for _, s := range g.groupLimits {
		groups += len(s)
	}
	return groups < maxGroups && len(limit.Service)+len(limit.Group) <= maxGroupNameBytes
}

// usableGroups returns the number of groups of a service that run and may get work. The caller holds g.mu.
func (g *Gateway) usableGroups(service string) int {
	n := 0
	for _, current := range g.groupLimits[service] {
		if !current.stalled && current.isFresh() {
			n++
		}
	}
	return n
}

// updatedLimit returns the state of a group after a report of its leader. The caller holds g.mu.
func (g *Gateway) updatedLimit(limit roster.Limit, current groupLimit, now time.Time) groupLimit {
	if limit.Stalled {
		current.fencingToken, current.stalledAt, current.resumesIn = limit.FencingToken, now, milliseconds(limit.ResumesInMillis)
		if !current.stalled {
			current.stalled = true
			g.log.Info("group-stands-still", "service", limit.Service, "group", limit.Group, "fence", limit.FencingToken, "opens", current.resumesIn.Round(time.Millisecond))
		}
		g.fleet.SetStalled(limit.Loads, now.Add(stalledTTL))
		return current
	}
	if current.stalled {
		g.log.Info("group-runs", "service", limit.Service, "group", limit.Group, "fence", limit.FencingToken)
	}
	g.fleet.SetLoads(limit.Loads, limit.Slowdowns, now)
	return groupLimit{
		fencingToken: limit.FencingToken, limit: limit.Share, reportedAt: now, unusable: !g.fleet.isAnyUsable(limit.Loads, now), tokensPerPass: limit.TokensPerPass,
		passTime: milliseconds(limit.PassMillis), emptyPassTime: milliseconds(limit.EmptyPassMillis),
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// expireStalled treats a stalled group as running again once its leader has sent no report for
// stalledTTL. A service that is suspended without a report of a leader is tried with one request first, and opens if that is
// not refused within stalledTTL either: were all waiting requests sent to a group that still refuses them, each would
// lose an attempt.
func (g *Gateway) expireStalled(service string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for group, current := range g.groupLimits[service] {
		if !current.stalled || now.Sub(current.stalledAt) < stalledTTL {
			continue
		}
		if !current.suspendedSince.IsZero() && !current.isProbed {
			current.stalledAt, current.isProbed = now, true
			g.groupLimits[service][group] = current
			g.permits.probe(service)
			continue
		}
		g.log.Info("group-unheard", "service", service, "group", group, "silence", now.Sub(current.stalledAt).Round(time.Millisecond))
		current.stalled, current.suspendedSince = false, time.Time{}
		g.groupLimits[service][group] = current
		g.updateLimit(service)
	}
}

// suspendedGroup stands in groupLimits for the groups of a service whose leaders have not reported.
const suspendedGroup = ""

// isGroupKnownToRun reports whether a leader has reported recently that its group runs, and always
// for services without groups.
func (g *Gateway) isGroupKnownToRun(service string) bool {
	s := g.table.Load().Service(service)
	if s == nil || s.Engine == nil || s.Engine.Experts == 0 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, current := range g.groupLimits[service] {
		if !current.stalled && current.isFresh() {
			return true
		}
	}
	return false
}

// suspendService stops all grants of a service whose ranks refuse work, until a leader reports or a request is served;
// one is tried in each stalledTTL.
func (g *Gateway) suspendService(service string, now time.Time) {
	s := g.table.Load().Service(service)
	if s == nil || s.Engine == nil {
		return // a new configuration has removed it
	}
	formTime := s.Engine.GroupFormTime
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.groupLimits[service] == nil {
		g.groupLimits[service] = map[string]groupLimit{}
	}
	since := g.groupLimits[service][suspendedGroup].suspendedSince
	if since.IsZero() {
		since = now
		g.log.Info("service-suspended", "service", service, "form_time", formTime)
	}
	g.groupLimits[service][suspendedGroup] = groupLimit{
		stalled: true, stalledAt: now, resumesIn: standstill.ExpectedFormTime(formTime, now.Sub(since)), suspendedSince: since,
	}
	g.updateLimit(service)
	time.AfterFunc(stalledTTL, func() { g.expireStalled(service, time.Now()) })
}

// resumeService ends the suspension of a service that has served a request.
func (g *Gateway) resumeService(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.groupLimits[service][suspendedGroup].suspendedSince.IsZero() {
		return
	}
	g.log.Info("service-resumed", "service", service)
	delete(g.groupLimits[service], suspendedGroup)
	if len(g.groupLimits[service]) == 1 {
		for group, current := range g.groupLimits[service] {
			// What its leader last said is older than the response.
			current.stalled = false
			g.groupLimits[service][group] = current
		}
	}
	g.updateLimit(service)
}

// updateLimit sets the permits of a service to the sum of the limits given by the leaders of its
// groups, or without such reports to this gateway's share of the slots plus headroom. Nothing
// starts while all groups are stalled, and before the upstreams are known. The caller holds g.mu.
func (g *Gateway) updateLimit(service string) {
	if !g.fleet.KnowsUpstreams() {
		g.permits.close(service, listReadTime)
		return
	}
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

// limitByCapacity sets the permits of a service without groups or without reports of their leaders
// to this gateway's share of the slots. The caller holds g.mu.
func (g *Gateway) limitByCapacity(service string) {
	t := g.table.Load()
	if t == nil {
		return
	}
	s := t.Service(service)
	if s == nil {
		return
	}
	_, slots := g.fleet.UsableCapacity(service)
	if s.Engine == nil {
		slots *= plainRequestsPerSlot
	}
	g.permits.setLimit(service, max(1, int(limitHeadroom*float64(slots)/float64(g.gatewayCount)+0.5)))
}

// allGroupsLate reports whether in all groups of a service even a pass without work takes longer
// than the pause between events that callers aim for, so that no request can be on time.
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

// responseTimeRatio is the fraction of the expected response time that must fit into the time left:
// estimated lengths are medians only, and passes get shorter when work is rejected.
const responseTimeRatio = 0.7

// requiredResponseTime returns the time to allow for a response of this many tokens in the slowest
// group of a service at its current pass time, 0 if that is not known.
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
