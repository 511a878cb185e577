package gateway

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/roster"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/sharing"
)

const (
	// plainBacklog is the number of requests per place of a plain service that an entry
	// may have under way: one runs and one waits at the upstream.
	plainBacklog = 2
	// limitSpread is how much more than an equal part of the places an entry takes, as
	// callers spread over the entries by chance.
	limitSpread = 1.5
	// stillLife is how long a group counts as standing still without news of its leader,
	// which tells it ten times a second.
	stillLife = 500 * time.Millisecond
	// limitLife is how long the part that a group's leader gave is kept without news;
	// after a change of leader the next one is heard within about a second.
	limitLife = 3 * time.Second
)

// groupLimit is the part of a group's bound that its leader gave.
type groupLimit struct {
	fence int64
	part  int
	at    time.Time
	// pass is the time of a pass, and tokens what a request gains in it.
	pass   time.Duration
	tokens int
	// empty is the time of a pass without any work.
	empty time.Duration
	// stands is set while the group stands still, as its leader last told at still, and opens
	// is the expected time until it runs again.
	stands bool
	still  time.Time
	opens  time.Duration
}

// fresh reports whether the leader of a running group was heard lately.
func (l groupLimit) fresh() bool { return !l.at.IsZero() && time.Since(l.at) < limitLife }

// takeLimit takes in the part that a group's leader gives and tells what there is to do.
func (g *Gateway) takeLimit(l roster.Limit) roster.LimitAnswer {
	running, waiting := g.permits.state(l.Service)
	answer := roster.LimitAnswer{Demand: sharing.Demand{Running: running, Waiting: waiting}}
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.limits[l.Service][l.Group]
	if l.Fence < known.fence || l.Part < 0 && !l.Still {
		return answer
	}
	if g.limits[l.Service] == nil {
		g.limits[l.Service] = map[string]groupLimit{}
	}
	g.limits[l.Service][l.Group] = g.heard(l, known, time.Now())
	g.limit(l.Service)
	return answer
}

// heard returns what is known of a group after news of its leader. The caller holds g.mu.
func (g *Gateway) heard(l roster.Limit, known groupLimit, now time.Time) groupLimit {
	if l.Still {
		known.fence, known.still, known.opens = l.Fence, now, milliseconds(l.OpensMillis)
		if !known.stands {
			known.stands = true
			g.log.Info("group-stands-still", "service", l.Service, "group", l.Group, "fence", l.Fence, "opens", known.opens.Round(time.Millisecond))
		}
		g.fleet.SetStill(l.Loads, now.Add(stillLife))
		return known
	}
	if known.stands {
		g.log.Info("group-runs", "service", l.Service, "group", l.Group, "fence", l.Fence)
	}
	g.fleet.SetLoads(l.Loads, l.Paces, now)
	return groupLimit{
		fence: l.Fence, part: l.Part, at: now, tokens: l.TokensPerPass,
		pass: milliseconds(l.PassMillis), empty: milliseconds(l.EmptyMillis),
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// lookAtStill counts a group that stood still as running again once its leader has fallen
// silent.
func (g *Gateway) lookAtStill(service string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for group, known := range g.limits[service] {
		if !known.stands || now.Sub(known.still) < stillLife {
			continue
		}
		g.log.Info("group-unheard", "service", service, "group", group, "silence", now.Sub(known.still).Round(time.Millisecond))
		known.stands = false
		g.limits[service][group] = known
		g.limit(service)
	}
}

// limit sets the permits of a service: the parts that the leaders of its groups gave, and
// otherwise this entry's part of the places, and some more. Nothing starts while all its
// groups stand still. The caller holds g.mu.
func (g *Gateway) limit(service string) {
	part, told, still, opens := 0, false, false, time.Duration(0)
	for _, known := range g.limits[service] {
		switch {
		case known.stands:
			if !still || known.opens < opens {
				opens = known.opens
			}
			still = true
		case known.fresh():
			told = true
			part += known.part
		}
	}
	switch {
	case told:
		g.permits.setLimit(service, part)
	case still:
		g.permits.close(service, opens)
	default:
		g.limitByPlaces(service)
	}
}

// limitByPlaces sets the permits of a service of whose groups nothing is heard, or which has
// none.
func (g *Gateway) limitByPlaces(service string) {
	t := g.table.Load()
	if t == nil {
		return
	}
	s := t.Service(service)
	if s == nil {
		return
	}
	_, places := g.fleet.Usable(service)
	if s.Engine == nil {
		places *= plainBacklog
	}
	g.permits.setLimit(service, max(1, int(limitSpread*float64(places)/float64(g.entries)+0.5)))
}

// allLate reports whether even the idle groups of a service would make events wait longer
// than a pause that callers aim for, so that no request can be on time.
func (g *Gateway) allLate(service string, gap time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	late := false
	for _, known := range g.limits[service] {
		if known.fresh() && known.empty < gap {
			return false
		}
		late = late || known.fresh()
	}
	return late && gap > 0
}

// writingPart is the part of the expected time of an answer that must fit into the time
// left: estimates of lengths are right at the median only, and passes get shorter when
// work is refused.
const writingPart = 0.7

// answerTime returns the time that an answer of so many tokens takes in the slowest group of
// a service at its present pace, 0 where that is not known.
func (g *Gateway) answerTime(service string, tokens int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	longest := time.Duration(0)
	for _, l := range g.limits[service] {
		if l.tokens > 0 && l.fresh() {
			longest = max(longest, time.Duration(writingPart*float64(tokens)/float64(l.tokens)*float64(l.pass)))
		}
	}
	return longest
}
