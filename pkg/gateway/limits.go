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
	// still is when the leader last told that the group stands still; zero while it runs.
	still time.Time
}

// takeLimit takes in the part that a group's leader gives and tells what there is to do.
func (g *Gateway) takeLimit(l roster.Limit) roster.LimitAnswer {
	running, waiting := g.permits.state(l.Service)
	answer := roster.LimitAnswer{Demand: sharing.Demand{Running: running, Waiting: waiting}}
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.limits[l.Service]
	if l.Fence < known.fence {
		return answer
	}
	if l.Still {
		g.standStill(l, known)
		return answer
	}
	if l.Part < 0 {
		return answer
	}
	if !known.still.IsZero() {
		g.log.Info("group-runs", "service", l.Service, "fence", l.Fence)
	}
	g.fleet.SetLoads(l.Loads, l.Paces, time.Now())
	g.limits[l.Service] = groupLimit{fence: l.Fence, part: l.Part, at: time.Now(),
		pass: time.Duration(l.PassMillis * float64(time.Millisecond)), tokens: l.TokensPerPass,
		empty: time.Duration(l.EmptyMillis * float64(time.Millisecond)),
	}
	if g.table.Load() != nil {
		g.limit(l.Service)
	}
	return answer
}

// standStill takes in that a group runs nothing: what is sent to it would be refused. The
// caller holds g.mu.
func (g *Gateway) standStill(l roster.Limit, known groupLimit) {
	opens := time.Duration(l.OpensMillis * float64(time.Millisecond))
	if known.still.IsZero() {
		g.log.Info("group-stands-still", "service", l.Service, "fence", l.Fence, "opens", opens.Round(time.Millisecond))
	}
	known.fence, known.still = l.Fence, time.Now()
	g.limits[l.Service] = known
	g.permits.close(l.Service, opens)
}

// lookAtStill opens a service again whose group's leader has fallen silent.
func (g *Gateway) lookAtStill(service string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.limits[service]
	if known.still.IsZero() || now.Sub(known.still) < stillLife {
		return
	}
	g.log.Info("group-unheard", "service", service, "silence", now.Sub(known.still).Round(time.Millisecond))
	known.still = time.Time{}
	g.limits[service] = known
	g.limit(service)
}

// limit sets the permits of a service: the part that the leader of its group gave, and
// otherwise this entry's part of the places, and some more. The caller holds g.mu.
func (g *Gateway) limit(service string) {
	if !g.limits[service].still.IsZero() {
		return
	}
	if given := g.limits[service]; !given.at.IsZero() && time.Since(given.at) < limitLife {
		g.permits.setLimit(service, given.part)
		return
	}
	s := g.table.Load().Service(service)
	if s == nil {
		return
	}
	_, places := g.fleet.Usable(service)
	if s.Engine == nil {
		places *= plainBacklog
	}
	g.permits.setLimit(service, max(1, int(limitSpread*float64(places)/float64(g.entries)+0.5)))
}

// allLate reports whether even an idle group of a service would make events wait longer than
// a pause that callers aim for, so that no request can be on time.
func (g *Gateway) allLate(service string, gap time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.limits[service]
	return gap > 0 && l.empty >= gap && time.Since(l.at) < limitLife
}

// writingPart is the part of the expected time of an answer that must fit into the time
// left: estimates of lengths are right at the median only, and passes get shorter when
// work is refused.
const writingPart = 0.7

// answerTime returns the time that an answer of so many tokens takes in the group of a
// service at its present pace, 0 where that is not known.
func (g *Gateway) answerTime(service string, tokens int) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.limits[service]
	if l.tokens <= 0 || time.Since(l.at) > limitLife {
		return 0
	}
	return time.Duration(writingPart * float64(tokens) / float64(l.tokens) * float64(l.pass))
}
