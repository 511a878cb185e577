package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/coltsfootpitch/coltsfootpitch/internal/fixedseed"
	"github.com/coltsfootpitch/coltsfootpitch/internal/retrycount"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/requestlimit"
)

func init() { fixedseed.SetChecks(40) }

const (
	step       = 50 * time.Millisecond
	window     = 10 * time.Second
	heardTime  = 1300 * time.Millisecond
	recentTime = 10 * time.Second
	// reserve is the part of the limits that gateways use.
	reserve = 0.75
)

// modelGateway is a gateway of the model, with what it knows of the others.
type modelGateway struct {
	name      string
	window    *Window
	startedAt time.Time
	// hasRead is set once it has read the list of gateways in the store.
	hasRead bool
	heardAt map[string]time.Time
	known   map[string]time.Time
	// startsAt is when its process is up, and joinsAt when it is no longer cut off from the others.
	startsAt, joinsAt time.Time
}

// model has gateways whose requests all fail and are sent again if the budget allows it.
type model struct {
	random   *rand.Rand
	now      time.Time
	gateways []*modelGateway
	ratio    float64
	allowed  float64
	// storeDownUntil is the end of an outage of the store.
	storeDownUntil    time.Time
	requests, retries []time.Time
}

func (m *model) start(g *modelGateway, after time.Duration) {
	g.startsAt = m.now.Add(after)
	g.startedAt, g.hasRead = g.startsAt, false
	g.window = NewWindow(window, reserve*m.ratio, 0)
	g.heardAt, g.known = map[string]time.Time{}, map[string]time.Time{}
}

func (m *model) runs(g *modelGateway) bool  { return !m.now.Before(g.startsAt) }
func (m *model) isCut(g *modelGateway) bool { return m.now.Before(g.joinsAt) }

// talk exchanges what all gateways know that reach each other; those that are cut off reach each other too.
func (m *model) talk() {
	for _, g := range m.gateways {
		if m.runs(g) && !g.hasRead && !m.now.Before(m.storeDownUntil) && m.random.IntN(10) == 0 {
			g.hasRead = true
			for _, o := range m.gateways {
				if _, ok := g.known[o.name]; !ok {
					g.known[o.name] = m.now
				}
			}
		}
		o := m.gateways[m.random.IntN(len(m.gateways))]
		if g == o || !m.runs(g) || !m.runs(o) || m.isCut(g) != m.isCut(o) {
			continue
		}
		for _, pair := range [][2]*modelGateway{{g, o}, {o, g}} {
			pair[0].heardAt[pair[1].name] = m.now
			for _, other := range m.gateways {
				if heard, ok := pair[1].heardAt[other.name]; ok && heard.After(pair[0].heardAt[other.name]) && other != pair[0] {
					pair[0].heardAt[other.name] = heard
				}
			}
			for name, at := range pair[0].heardAt {
				pair[0].known[name] = at
			}
		}
	}
}

// sharing returns the number of gateways that may spend the budget, as one of them knows it.
func (m *model) sharing(g *modelGateway) int {
	v := requestlimit.View{Live: []string{g.name}, Recent: 1, Known: 1}
	for name, at := range g.known {
		if name == g.name {
			continue
		}
		v.Known++
		if m.now.Sub(at) < recentTime {
			v.Recent++
		}
		if heard, ok := g.heardAt[name]; ok && m.now.Sub(heard) < heardTime {
			v.Live = append(v.Live, name)
		}
	}
	if len(v.Live) == 1 && !g.hasRead {
		return 0
	}
	return v.Sharing()
}

func (m *model) request(g *modelGateway) {
	m.requests = append(m.requests, m.now)
	g.window.RecordRequest(m.now)
	for range 2 {
		g.window.SetAllowance(ShareOfAllowance(reserve*m.allowed, m.sharing(g), m.now.Sub(g.startedAt), window))
		if !g.window.Withdraw(m.now) {
			return
		}
		m.retries = append(m.retries, m.now)
	}
}

// disturb restarts some gateways, cuts some off or ends the store for a while.
func (m *model) disturb() {
	until := time.Duration(m.random.Int64N(int64(15 * time.Second)))
	count := 1 + m.random.IntN(len(m.gateways))
	for _, i := range m.random.Perm(len(m.gateways))[:count] {
		switch m.random.IntN(3) {
		case 0:
			m.start(m.gateways[i], min(until, 2*time.Second))
		case 1:
			m.gateways[i].joinsAt = m.now.Add(until)
		}
	}
	if m.random.IntN(3) == 0 {
		m.storeDownUntil = m.now.Add(until)
	}
}

// play plays requests at a rate per second.
func (m *model) play(rate float64, length, disturbance time.Duration) {
	for end := m.now.Add(length); m.now.Before(end); m.now = m.now.Add(step) {
		m.talk()
		if m.random.Float64() < step.Seconds()/disturbance.Seconds() {
			m.disturb()
		}
		for n := rate * step.Seconds(); n > 0; n-- {
			if g := m.gateways[m.random.IntN(len(m.gateways))]; m.random.Float64() < n && m.runs(g) {
				m.request(g)
			}
		}
	}
}

// BUDGET: all gateways together spent more retries than are allowed, while gateways restarted, were cut off from the others
// and started without the store, several at once, with any number of gateways.
func TestModelGatewaysTogetherKeepTheRetryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), now: time.Unix(1000, 0), ratio: 0.2, allowed: rapid.Float64Range(20, 250).Draw(t, "allowance")}
		for i := range rapid.IntRange(1, 40).Draw(t, "gateways") {
			g := &modelGateway{name: fmt.Sprint("edge-", i)}
			m.start(g, 0)
			m.gateways = append(m.gateways, g)
		}
		m.now = m.now.Add(time.Second)
		rate := rapid.Float64Range(1, 300).Draw(t, "rate")
		disturbance := time.Duration(rapid.IntRange(1, 20).Draw(t, "disturbance")) * time.Second
		begin := m.now
		m.play(rate, 60*time.Second, disturbance)
		budget := retrycount.Budget{Window: window, Ratio: m.ratio, Allowance: m.allowed}
		if most := budget.Most(m.requests, m.retries); most.Part() > 1 {
			t.Fatalf("%.0f retries in the window from %v, allowed %.1f", most.Retries, most.From.Sub(begin), most.Allowed)
		}
	})
}

// A gateway that has run for a while had no share of the allowance, or lost it when the number of gateways changed.
func TestShareOfTheAllowance(t *testing.T) {
	for _, c := range []struct {
		entries int
		age     time.Duration
		want    float64
	}{{4, window, 20}, {4, window - 1, 0}, {0, time.Hour, 0}, {1, time.Hour, 80}} {
		if got := ShareOfAllowance(80, c.entries, c.age, window); got != c.want {
			t.Errorf("%d entries, %v after the start: %v, expected %v", c.entries, c.age, got, c.want)
		}
	}
}
