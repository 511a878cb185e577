package requestlimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/coltsfootpitch/coltsfootpitch/internal/fixedseed"
)

func init() { fixedseed.SetChecks(40) }

const (
	step        = 10 * time.Millisecond
	heartbeat   = 500 * time.Millisecond
	liveTime    = 1300 * time.Millisecond
	recentTime  = 10 * time.Second
	contactTime = 3 * time.Second
	limitWindow = 4 * time.Second
)

// modelGateway is a gateway of the model, with what it keeps between two steps.
type modelGateway struct {
	name    string
	book    *Book
	granter *Granter
	heardAt map[string]time.Time
	knownAt map[string]time.Time
	// startsAt is when it is up again, awakeAt when it no longer is frozen, and joinsAt when it no longer is
	// cut off from the others.
	startsAt, awakeAt, joinsAt time.Time
	deniedUntil                time.Time
}

// model has gateways that share one upstream, which names a limit from limitedFrom to limitedTo.
type model struct {
	random                 *rand.Rand
	now                    time.Time
	gateways               []*modelGateway
	limit, load            float64
	limitedFrom, limitedTo time.Time
	arrivals               []time.Time
}

func (g *modelGateway) restart(m *model, names []string) {
	g.book, g.granter = NewBook(), NewGranter(g.name, m.now)
	g.heardAt, g.knownAt, g.deniedUntil = map[string]time.Time{}, map[string]time.Time{}, time.Time{}
	for _, n := range names {
		if n != g.name {
			g.knownAt[n] = m.now
		}
	}
}

// runs reports whether a gateway does anything now.
func (g *modelGateway) runs(now time.Time) bool {
	return !now.Before(g.startsAt) && !now.Before(g.awakeAt)
}

// reaches reports whether a message between two gateways arrives.
func (m *model) reaches(a, b *modelGateway) bool {
	return a.runs(m.now) && b.runs(m.now) && !m.now.Before(a.joinsAt) && !m.now.Before(b.joinsAt)
}

func (m *model) exchange(a, b *modelGateway) {
	if a == b || !m.reaches(a, b) {
		return
	}
	for _, pair := range [][2]*modelGateway{{a, b}, {b, a}} {
		pair[0].heardAt[pair[1].name], pair[0].knownAt[pair[1].name] = m.now, m.now
		pair[0].book.Merge(pair[1].book.Statements(m.now), m.now)
	}
}

func (m *model) tell(g *modelGateway) {
	for _, o := range m.gateways {
		m.exchange(g, o)
	}
}

func (m *model) updateView(g *modelGateway) {
	v := View{Live: []string{g.name}, Recent: 1, Known: 1 + len(g.knownAt)}
	for name, at := range g.knownAt {
		if m.now.Sub(at) < recentTime {
			v.Recent++
		}
		if heard, ok := g.heardAt[name]; ok && m.now.Sub(heard) < liveTime {
			v.Live = append(v.Live, name)
		}
	}
	slices.Sort(v.Live)
	g.granter.SetView(v, m.now)
}

func (m *model) find(name string) *modelGateway {
	return m.gateways[slices.IndexFunc(m.gateways, func(g *modelGateway) bool { return g.name == name })]
}

// request sends one request of a caller by way of a gateway, if that may.
func (m *model) request(g *modelGateway) {
	if _, limited := g.book.Limit(upstream); limited && !m.admit(g) {
		return
	}
	sentAt := m.now
	m.arrivals = append(m.arrivals, m.now)
	changed := false
	if m.isLimited() {
		changed = g.book.RecordLimit(upstream, m.limit, m.now)
	} else {
		changed = g.book.RecordNoLimit(upstream, sentAt, m.now)
	}
	if changed {
		m.tell(g)
	}
}

func (m *model) isLimited() bool { return !m.now.Before(m.limitedFrom) && m.now.Before(m.limitedTo) }

func (m *model) admit(g *modelGateway) bool {
	if m.now.Before(g.deniedUntil) {
		return false
	}
	m.updateView(g)
	coordinator := m.find(g.granter.Coordinator(upstream))
	d := Decision{Wait: 250 * time.Millisecond}
	if coordinator == g || m.reaches(g, coordinator) {
		s, _ := g.book.Statement(upstream, m.now)
		coordinator.book.Merge([]Statement{s}, m.now)
		m.updateView(coordinator)
		perSecond, limited := coordinator.book.Limit(upstream)
		d = Decision{Granted: true}
		if limited {
			d = coordinator.granter.Grant(upstream, perSecond, m.now)
		}
		s, _ = coordinator.book.Statement(upstream, m.now)
		g.book.Merge([]Statement{s}, m.now)
	}
	if !d.Granted {
		g.deniedUntil = m.now.Add(min(d.Wait, time.Second))
	}
	return d.Granted
}

// disturb restarts, freezes or cuts off some gateways.
func (m *model) disturb(names []string, longest time.Duration) {
	for _, i := range m.random.Perm(len(m.gateways))[:1+m.random.IntN(len(m.gateways))] {
		g := m.gateways[i]
		until := m.now.Add(time.Duration(m.random.Int64N(int64(longest))))
		switch m.random.IntN(3) {
		case 0:
			g.startsAt = until
			g.restart(m, names)
			g.granter.changedAt = until // the process begins then
		case 1:
			g.awakeAt = until
		case 2:
			g.joinsAt = until
		}
	}
}

// play runs the model; disturbance is the mean time between disturbances, 0 for none.
func (m *model) play(gateways int, length, disturbance, longest time.Duration) {
	var names []string
	for i := range gateways {
		names = append(names, fmt.Sprintf("gateway-%d", i))
	}
	for _, n := range names {
		g := &modelGateway{name: n}
		g.restart(m, names)
		m.gateways = append(m.gateways, g)
	}
	end := m.now.Add(length)
	for ; m.now.Before(end); m.now = m.now.Add(step) {
		for i, g := range m.gateways {
			if m.now.UnixMilli()%heartbeat.Milliseconds() == int64(i)*step.Milliseconds() {
				m.tell(g)
			}
		}
		if disturbance > 0 && m.random.Float64() < step.Seconds()/disturbance.Seconds() {
			m.disturb(names, longest)
		}
		for range 3 {
			if g := m.gateways[m.random.IntN(len(m.gateways))]; m.random.Float64() < m.load*step.Seconds()/3 && g.runs(m.now) {
				m.request(g)
			}
		}
	}
}

// most returns the largest number of arrivals in limitWindow between two times.
func (m *model) most(from, to time.Time) int {
	most, first := 0, 0
	for i, at := range m.arrivals {
		if at.Before(from) || !at.Before(to) {
			first = i + 1
			continue
		}
		for at.Sub(m.arrivals[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (m *model) count(from, to time.Time) int {
	n := 0
	for _, at := range m.arrivals {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

func newModel(t *rapid.T) *model {
	m := &model{
		random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), now: begin,
		limit: rapid.Float64Range(0.5, 40).Draw(t, "limit"),
	}
	m.load = m.limit * rapid.Float64Range(2, 6).Draw(t, "overload")
	m.limitedFrom, m.limitedTo = begin.Add(3*time.Second), begin.Add(63*time.Second)
	return m
}

// Gateways together exceeded the limit of an upstream while some of them restarted, froze or were cut off
// from the others, again and again and several at once.
func TestModelLimitHoldsUnderDisturbances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		gateways := rapid.IntRange(2, 9).Draw(t, "gateways")
		disturbance := time.Duration(rapid.IntRange(1, 12).Draw(t, "disturbance")) * time.Second
		longest := time.Duration(rapid.IntRange(1, 20).Draw(t, "longest")) * time.Second
		m.play(gateways, 66*time.Second, disturbance, longest)
		most, allowed := m.most(m.limitedFrom.Add(contactTime), m.limitedTo), 1.5*m.limit*limitWindow.Seconds()+5
		if float64(most) > allowed {
			t.Fatalf("%d requests in %v, allowed %.1f", most, limitWindow, allowed)
		}
	})
}

// Limits were kept by not using them, or went on after the upstream had stopped naming them.
func TestModelLimitIsUsedAndEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.play(rapid.IntRange(1, 9).Draw(t, "gateways"), 84*time.Second, 0, 0)
		from := m.limitedFrom.Add(contactTime)
		if used := m.count(from, m.limitedTo) - int(m.limit*m.limitedTo.Sub(from).Seconds()*0.8); used < 0 {
			t.Fatalf("%d requests fewer than four fifths of a limit of %.1f a second", -used, m.limit)
		}
		for _, g := range m.gateways {
			if _, limited := g.book.Limit(upstream); limited {
				t.Fatalf("%s still keeps the limit %v after its end", g.name, m.now.Sub(m.limitedTo))
			}
		}
	})
}
