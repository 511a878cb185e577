package membership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/membership"
)

const (
	step = 50 * time.Millisecond
	// grace is the time within which a dead process must be known at a watcher.
	grace = 9 * time.Second
)

// mesh simulates watchers and agents of one zone in steps of virtual time.
type mesh struct {
	random   *rand.Rand
	now      time.Time
	watchers map[string]*watcher
	agents   map[string]*agent
	order    []string
	queue    map[int64][]func()
	loss     float64

	// cut is set for a watcher that no message reaches or leaves.
	cut         map[string]bool
	falsely     int
	noticed     []time.Duration
	wrongCut    int
	probes      int
	confirms    int
	frozenTimes int
}

type watcher struct {
	id       string
	detector *membership.Detector
	frozen   time.Time
}

type agent struct {
	id          string
	incarnation string
	frozen      time.Time
	died        time.Time
	known       bool
}

func newMesh(seed uint64, watchers, agents int) *mesh {
	m := &mesh{
		random: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(0, 0), watchers: map[string]*watcher{}, agents: map[string]*agent{},
		queue: map[int64][]func(){}, cut: map[string]bool{},
	}
	var entries []membership.Member
	for i := range watchers {
		id := fmt.Sprintf("entry-%d", i)
		entries = append(entries, membership.Member{ID: id, Zone: "z"})
		m.watchers[id] = &watcher{id: id, detector: membership.NewDetector(membership.DefaultOptions())}
		m.order = append(m.order, id)
	}
	for i := range agents {
		a := membership.Member{ID: fmt.Sprintf("agent-%d", i), Zone: "z"}
		m.agents[a.ID] = &agent{id: a.ID, incarnation: "1"}
		all := membership.Watchers(a, entries)
		for _, w := range all {
			var others []string
			for _, o := range all {
				if o != w {
					others = append(others, o.ID)
				}
			}
			m.watchers[w.ID].detector.Watch(m.now, a.ID, others)
		}
	}
	return m
}

func (m *mesh) after(d time.Duration, f func()) {
	at := m.now.Add(max(d, step)).UnixNano() / int64(step)
	m.queue[at] = append(m.queue[at], f)
}

// reach carries a probe from a watcher to an agent and tells done whether it was answered.
func (m *mesh) reach(from, to string, done func(bool)) {
	a := m.agents[to]
	if m.cut[from] || !a.died.IsZero() || m.random.Float64() < m.loss {
		m.after(time.Second, func() { done(false) })
		return
	}
	delay := time.Duration(m.random.Int64N(int64(100 * time.Millisecond)))
	if a.frozen.After(m.now) {
		delay += a.frozen.Sub(m.now)
	}
	m.after(delay, func() { done(a.died.IsZero()) })
}

func (m *mesh) do(w *watcher, a membership.Actions) {
	for _, p := range a.Probes {
		m.probes++
		m.reach(w.id, p.ID, func(ok bool) {
			if ok {
				m.whenAwake(w, func() { m.do(w, w.detector.Answered(m.now, p.ID, m.agents[p.ID].incarnation)) })
			}
		})
	}
	for _, c := range a.Confirms {
		m.confirms++
		if m.cut[w.id] {
			continue
		}
		m.whenAwake(m.watchers[c.By], func() {
			m.reach(c.By, c.ID, func(ok bool) {
				m.whenAwake(w, func() { m.do(w, w.detector.Confirmed(c.ID, ok)) })
			})
		})
	}
	for _, c := range a.Changes {
		if c.To == membership.Dead {
			m.dead(w, m.agents[c.ID])
		}
	}
}

// whenAwake runs f when the watcher is not frozen.
func (m *mesh) whenAwake(w *watcher, f func()) {
	if w.frozen.After(m.now) {
		m.after(w.frozen.Sub(m.now)+step, f)
		return
	}
	f()
}

func (m *mesh) dead(w *watcher, a *agent) {
	switch {
	case a.died.IsZero():
		m.falsely++
		if m.cut[w.id] {
			m.wrongCut++
		}
	case !a.known:
		a.known = true
		m.noticed = append(m.noticed, m.now.Sub(a.died))
	}
}

func (m *mesh) run(d time.Duration, disturb func()) {
	end := m.now.Add(d)
	for m.now.Before(end) {
		m.now = m.now.Add(step)
		at := m.now.UnixNano() / int64(step)
		for len(m.queue[at]) > 0 {
			f := m.queue[at][0]
			m.queue[at] = m.queue[at][1:]
			f()
		}
		delete(m.queue, at)
		disturb()
		for _, id := range m.order {
			if w := m.watchers[id]; !w.frozen.After(m.now) {
				m.do(w, w.detector.Tick(m.now))
			}
		}
	}
}

// freeze freezes some process for up to a limit.
func (m *mesh) freeze(limit time.Duration) {
	until := m.now.Add(time.Duration(m.random.Int64N(int64(limit))))
	m.frozenTimes++
	if m.random.IntN(2) == 0 {
		m.watchers[m.order[m.random.IntN(len(m.order))]].frozen = until
		return
	}
	m.agents[fmt.Sprintf("agent-%d", m.random.IntN(len(m.agents)))].frozen = until
}

func (m *mesh) kill() {
	for _, a := range m.agents {
		if a.died.IsZero() {
			a.died = m.now
			return
		}
	}
}

// Processes freeze for up to two seconds every second, one message of a hundred is lost, and a
// machine dies each minute: none is taken for dead that lives, and each death is known in time.
func TestNoFalseSuspicionUnderFrozenProcesses(t *testing.T) {
	is := is.New(t)
	m := newMesh(6, 20, 150)
	m.loss = 0.01
	ticks := 0
	m.run(20*time.Minute, func() {
		ticks++
		if ticks%20 == 0 {
			m.freeze(2 * time.Second)
		}
		if ticks%1200 == 0 {
			m.kill()
		}
	})
	m.run(grace, func() {})
	slices.Sort(m.noticed)
	t.Logf("%d freezes, %d deaths: %d taken for dead wrongly; noticed after %s in the median and %s at most; %.2f probes/s and %.3f confirmations/s a watcher",
		m.frozenTimes, len(m.noticed), m.falsely, m.noticed[len(m.noticed)/2], m.noticed[len(m.noticed)-1],
		float64(m.probes)/1209/20, float64(m.confirms)/1209/20)
	is.Equal(m.falsely, 0)
	is.Equal(len(m.noticed), 20)
	is.True(m.noticed[len(m.noticed)-1] <= grace)
}

// A watcher that is cut off from all accuses nobody, and neither does one that was paused
// for long.
func TestIsolatedWatcherAccusesNobody(t *testing.T) {
	is := is.New(t)
	m := newMesh(7, 20, 150)
	m.cut["entry-0"] = true
	m.watchers["entry-1"].frozen = m.now.Add(5 * time.Minute)
	m.run(10*time.Minute, func() {})
	is.Equal(m.falsely, 0)
}

// A rack takes a tenth of the agents away at once; all of them are known as dead in time.
func TestRackGone(t *testing.T) {
	is := is.New(t)
	m := newMesh(8, 20, 150)
	m.run(time.Minute, func() {})
	for i := range 15 {
		m.agents[fmt.Sprintf("agent-%d", i)].died = m.now
	}
	m.run(grace, func() {})
	is.Equal(len(m.noticed), 15)
	is.Equal(m.falsely, 0)
}

func TestClosedConnectionOfAnEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	d := membership.NewDetector(membership.DefaultOptions())
	d.Watch(now, "a", nil)
	d.Answered(now, "a", "1")
	d.Answered(now, "a", "2")
	is.Equal(len(d.Closed("a", "1").Changes), 0)
	is.Equal(d.Closed("a", "2").Changes, []membership.Change{{ID: "a", Incarnation: "2", From: membership.Alive, To: membership.Dead}})
	is.Equal(d.Answered(now, "a", "3").Changes[0].To, membership.Alive)
}

// A watcher that was paused in the middle of a suspicion gives the suspect its time anew.
func TestPausedWatcherExcusesSuspects(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	d := membership.NewDetector(membership.DefaultOptions())
	d.Watch(now, "a", []string{"other"})
	d.Watch(now, "b", nil)
	d.Watch(now, "c", nil)
	for d.State("a") != membership.Suspect {
		now = now.Add(step)
		d.Tick(now)
		d.Answered(now, "b", "1")
		d.Answered(now, "c", "1")
	}
	now = now.Add(10 * time.Second)
	d.Tick(now)
	is.Equal(d.State("a"), membership.Suspect)
	d.Confirmed("a", true)
	is.Equal(d.State("a"), membership.Unreachable)
}

// Zones lose each other for an hour: the processes of the other zone become unreachable and
// none is taken for dead, while a death in the own zone is still known.
func TestPartitionBetweenZones(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	d := membership.NewDetector(membership.DefaultOptions())
	near := []string{"near-0", "near-1", "near-2", "near-3"}
	for i, id := range near {
		d.Watch(now, id, near[:i])
	}
	for i := range 16 {
		d.WatchFar(now, fmt.Sprintf("far-%d", i))
	}
	dead := map[string]bool{}
	take := func(a membership.Actions) {
		for _, c := range a.Changes {
			if c.To == membership.Dead {
				dead[c.ID] = true
			}
		}
	}
	for end := now.Add(time.Hour); now.Before(end); now = now.Add(step) {
		a := d.Tick(now)
		take(a)
		for _, p := range a.Probes {
			if slices.Contains(near[1:], p.ID) {
				take(d.Answered(now, p.ID, "1"))
			}
		}
	}
	is.Equal(dead, map[string]bool{"near-0": true})
	is.Equal(d.State("far-3"), membership.Unreachable)
	take(d.Answered(now, "far-3", "1"))
	is.Equal(d.State("far-3"), membership.Alive)
}
