package availability

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/coltsfootpitch/coltsfootpitch/internal/fixedseed"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/requestlimit"
)

func init() { fixedseed.SetChecks(60) }

const (
	step = 5 * time.Millisecond
	// reaction is the time after an answer that asks for a pause in which requests may still be on their way, and maxInPause
	// how many may follow until the pause is over.
	reaction   = 500 * time.Millisecond
	maxInPause = 2
	// longestTravel is the longest time that a message takes, and longestOpening the longest time until a chosen
	// request is sent.
	longestTravel  = 120 * time.Millisecond
	longestOpening = 600 * time.Millisecond
)

// modelUpstream is an address at which one incarnation runs after the other.
type modelUpstream struct {
	requestlimit.Upstream
	leaving, zoneOut bool
	// pauseShare is the part of the answers that ask for a pause, and pauseLength its length.
	pauseShare  float64
	pauseLength time.Duration
	limitedTo   time.Time
	running     int
}

// modelGateway is a gateway of the model; its pauses are lost when it restarts.
type modelGateway struct {
	lives  int
	pauses *Pauses
	// listed are the upstreams as the gateway knows them, with a lag.
	listed []modelUpstream
}

// link is a life of a gateway and an incarnation of an upstream.
type link struct {
	gateway  string
	upstream requestlimit.Upstream
}

type askedPause struct {
	at, until time.Time
}

// model has gateways that share upstreams.
type model struct {
	random    *rand.Rand
	now       time.Time
	upstreams []*modelUpstream
	gateways  []*modelGateway
	// events are what happens later, by step.
	events   map[time.Time][]func()
	arrivals map[link][]time.Time
	asked    map[link][]askedPause
	// served and rejected count requests; wrong has what contradicts the promises.
	served, rejected int
	wrong            []string
}

func (m *model) after(longest time.Duration, f func()) {
	at := m.now.Add((step + time.Duration(m.random.Int64N(int64(longest)))).Truncate(step))
	m.events[at] = append(m.events[at], f)
}

// conditions returns what a gateway knows about an upstream on its list.
func (m *model) conditions(g *modelGateway, u modelUpstream) Conditions {
	return Conditions{
		Leaving: u.leaving, ZoneOut: u.zoneOut, PauseWait: g.pauses.Wait(u.Upstream, m.now), ReturnWait: g.pauses.ReturnWait(u.Upstream, m.now),
		LimitWait: max(0, u.limitedTo.Sub(m.now)),
	}
}

// request handles a request of a client at a gateway: with each upstream that turns it away, it goes to the next one.
func (m *model) request(g *modelGateway, tried map[string]bool) {
	var outlook Outlook
	var open []modelUpstream
	for _, u := range g.listed {
		d := Check(m.conditions(g, u))
		outlook.Add(d)
		if !d.Excluded && !tried[u.ID] {
			open = append(open, u)
		}
	}
	if len(open) == 0 {
		m.reject(g, outlook)
		return
	}
	u := open[m.random.IntN(len(open))]
	tried[u.ID] = true
	isTrial := g.pauses.Start(u.Upstream, m.now)
	life := g.lives
	end := func(served bool) {
		if isTrial && g.lives == life {
			g.pauses.End(u.Upstream, served, m.now)
		}
	}
	opening := longestTravel
	if m.random.IntN(20) == 0 {
		opening = longestOpening
	}
	m.after(opening, func() {
		if g.lives != life {
			return
		}
		if g.pauses.Wait(u.Upstream, m.now) > 0 { // it asked for a pause while the connection was opened
			end(false)
			m.request(g, tried)
			return
		}
		m.after(longestTravel, func() { m.arrive(g, life, u.Upstream, tried, end) })
	})
}

// reject checks what a client is told that is not served.
func (m *model) reject(g *modelGateway, outlook Outlook) {
	m.rejected++
	reason, wait := outlook.First()
	if outlook.IsServed || reason != Paused {
		return
	}
	later := m.now.Add(wait)
	for _, u := range g.listed {
		if c := m.conditions(g, u); !c.Leaving && !c.ZoneOut && c.LimitWait <= wait && c.PauseWait <= wait && g.pauses.Wait(u.Upstream, later) == 0 {
			return
		}
	}
	m.wrong = append(m.wrong, fmt.Sprintf("a client is told to come back in %v, when no upstream returns", wait))
}

// arrive handles a request at an upstream, which may have been replaced.
func (m *model) arrive(g *modelGateway, life int, id requestlimit.Upstream, tried map[string]bool, end func(bool)) {
	var u *modelUpstream
	for _, candidate := range m.upstreams {
		if candidate.Upstream == id {
			u = candidate
		}
	}
	answer := func(f func()) {
		m.after(longestTravel, func() {
			if g.lives == life {
				f()
			}
		})
	}
	if u == nil {
		answer(func() { end(false); m.request(g, tried) })
		return
	}
	k := link{fmt.Sprintf("%p/%d", g, life), id}
	m.arrivals[k] = append(m.arrivals[k], m.now)
	if m.random.Float64() < u.pauseShare {
		length := u.pauseLength
		m.asked[k] = append(m.asked[k], askedPause{m.now, m.now.Add(length)})
		answer(func() {
			g.pauses.Record(id, length, len(m.gateways), m.random.Float64(), m.now)
			end(false)
			m.request(g, tried)
		})
		return
	}
	u.running++
	m.after(50*time.Millisecond, func() {
		u.running--
		m.served++
		answer(func() { end(true) })
	})
}

// disturb changes something at random.
func (m *model) disturb() {
	u := m.upstreams[m.random.IntN(len(m.upstreams))]
	g := m.gateways[m.random.IntN(len(m.gateways))]
	switch m.random.IntN(7) {
	case 0, 1:
		u.pauseShare = []float64{0, 0.05, 0.2, 1}[m.random.IntN(4)]
		u.pauseLength = 200*time.Millisecond + time.Duration(m.random.Int64N(int64(5*time.Second)))
	case 2:
		u.StartedAtMillis++ // another incarnation under the same ID
		u.pauseShare = 0
	case 3:
		u.leaving = !u.leaving
	case 4:
		u.zoneOut = !u.zoneOut
	case 5:
		u.limitedTo = m.now.Add(time.Duration(m.random.Int64N(int64(time.Second))))
	case 6:
		g.lives++
		g.pauses = NewPauses()
	}
}

// play plays requests at a rate per second.
func (m *model) play(rate float64, length, disturbance time.Duration) {
	end := m.now.Add(length)
	for ; m.now.Before(end); m.now = m.now.Add(step) {
		for _, f := range m.events[m.now] {
			f()
		}
		delete(m.events, m.now)
		if m.random.Float64() < step.Seconds()/disturbance.Seconds() {
			m.disturb()
		}
		for _, g := range m.gateways {
			if m.random.Float64() < 0.05 || g.listed == nil { // the list is up to some 100 ms old
				g.listed = g.listed[:0]
				for _, u := range m.upstreams {
					g.listed = append(g.listed, *u)
				}
				g.pauses.Prune(m.now)
			}
		}
		for n := rate * step.Seconds(); n > 0; n-- {
			if m.random.Float64() < n {
				m.request(m.gateways[m.random.IntN(len(m.gateways))], map[string]bool{})
			}
		}
	}
}

// broken returns the pauses in which more requests arrived than are allowed, and the number of all.
func (m *model) broken() (broken, all int) {
	for k, pauses := range m.asked {
		for _, p := range pauses {
			n := 0
			for _, at := range m.arrivals[k] {
				if at.After(p.at.Add(reaction)) && at.Before(p.until) {
					n++
				}
			}
			all++
			if n > maxInPause {
				broken++
			}
		}
	}
	return broken, all
}

func newModel(t *rapid.T, gateways, upstreams int) *model {
	m := &model{
		random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), now: time.Unix(1000, 0),
		events: map[time.Time][]func(){}, arrivals: map[link][]time.Time{}, asked: map[link][]askedPause{},
	}
	for i := range upstreams {
		m.upstreams = append(m.upstreams, &modelUpstream{Upstream: requestlimit.Upstream{ID: fmt.Sprint("i-", i), StartedAtMillis: 1}})
	}
	for range gateways {
		m.gateways = append(m.gateways, &modelGateway{pauses: NewPauses()})
	}
	return m
}

// BUDGET: upstreams got requests from a gateway that they had asked for a pause, beside limits, replaced and leaving upstreams,
// zones that are out and gateways that restart, with any number of gateways.
func TestModelPausesAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, rapid.IntRange(1, 40).Draw(t, "gateways"), rapid.IntRange(1, 5).Draw(t, "upstreams"))
		rate := rapid.Float64Range(5, 600).Draw(t, "rate")
		disturbance := time.Duration(rapid.IntRange(100, 3000).Draw(t, "disturbance")) * time.Millisecond
		m.play(rate, 20*time.Second, disturbance)
		if broken, all := m.broken(); broken > 0 {
			t.Fatalf("%d of %d pauses not kept; %d served, %d rejected", broken, all, m.served, m.rejected)
		}
		if len(m.wrong) > 0 {
			t.Fatalf("%d times: %s", len(m.wrong), m.wrong[0])
		}
	})
}

// Clients were rejected although one upstream was sound, or pauses were kept by not using upstreams after them.
func TestModelRequestsAreServedBesidePauses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, rapid.IntRange(1, 40).Draw(t, "gateways"), 3)
		for _, u := range m.upstreams[1:] {
			u.pauseShare, u.pauseLength = 1, time.Duration(rapid.IntRange(300, 4000).Draw(t, "pause"))*time.Millisecond
		}
		rate := rapid.Float64Range(5, 300).Draw(t, "rate")
		m.play(rate, 5*time.Second, time.Hour)
		if m.rejected > 0 {
			t.Fatalf("%d requests were rejected beside a sound upstream", m.rejected)
		}
		for _, u := range m.upstreams {
			u.pauseShare = 0
		}
		m.upstreams[0].leaving = true
		m.play(rate, 6*time.Second, time.Hour)
		m.served, m.rejected = 0, 0
		m.play(rate, 3*time.Second, time.Hour)
		if m.rejected > 0 {
			t.Fatalf("%d requests were rejected after the pauses, %d served", m.rejected, m.served)
		}
	})
}
