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
	tickInterval = 50 * time.Millisecond
	// maxDetectionTime is the time within which a watcher must detect a dead process.
	maxDetectionTime = 9 * time.Second
)

// simulation runs watchers and agents of one zone in steps of virtual time.
type simulation struct {
	random     *rand.Rand
	now        time.Time
	watchers   map[string]*watcher
	agents     map[string]*agent
	watcherIDs []string
	// pendingByTick holds the scheduled functions by the number of their tick.
	pendingByTick map[int64][]func()
	// lossRate is the probability that a probe is lost.
	lossRate float64

	// partitioned is set for a watcher that can neither send nor receive messages.
	partitioned map[string]bool
	// falseDeaths counts running agents that were declared dead, and falseDeathsPartitioned
	// those of them that a partitioned watcher declared dead.
	falseDeaths            int
	detectionTimes         []time.Duration
	falseDeathsPartitioned int
	probes                 int
	confirms               int
	freezes                int
}

type watcher struct {
	id          string
	detector    *membership.Detector
	frozenUntil time.Time
}

type agent struct {
	id            string
	incarnation   string
	frozenUntil   time.Time
	diedAt        time.Time
	deathDetected bool
}

func newSimulation(seed uint64, watchers, agents int) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(0, 0), watchers: map[string]*watcher{}, agents: map[string]*agent{},
		pendingByTick: map[int64][]func(){}, partitioned: map[string]bool{},
	}
	var entries []membership.Member
	for i := range watchers {
		id := fmt.Sprintf("entry-%d", i)
		entries = append(entries, membership.Member{ID: id, Zone: "z"})
		s.watchers[id] = &watcher{id: id, detector: membership.NewDetector(membership.DefaultOptions())}
		s.watcherIDs = append(s.watcherIDs, id)
	}
	for i := range agents {
		a := membership.Member{ID: fmt.Sprintf("agent-%d", i), Zone: "z"}
		s.agents[a.ID] = &agent{id: a.ID, incarnation: "1"}
		all := membership.Watchers(a, entries)
		for _, w := range all {
			var others []string
			for _, o := range all {
				if o != w {
					others = append(others, o.ID)
				}
			}
			s.watchers[w.ID].detector.Watch(s.now, a.ID, others)
		}
	}
	return s
}

func (s *simulation) schedule(d time.Duration, f func()) {
	at := s.now.Add(max(d, tickInterval)).UnixNano() / int64(tickInterval)
	s.pendingByTick[at] = append(s.pendingByTick[at], f)
}

// probe sends a probe from a watcher to an agent and calls done with whether the agent responded.
func (s *simulation) probe(from, to string, done func(bool)) {
	a := s.agents[to]
	if s.partitioned[from] || !a.diedAt.IsZero() || s.random.Float64() < s.lossRate {
		s.schedule(time.Second, func() { done(false) })
		return
	}
	delay := time.Duration(s.random.Int64N(int64(100 * time.Millisecond)))
	if a.frozenUntil.After(s.now) {
		delay += a.frozenUntil.Sub(s.now)
	}
	s.schedule(delay, func() { done(a.diedAt.IsZero()) })
}

func (s *simulation) execute(w *watcher, a membership.Actions) {
	for _, p := range a.Probes {
		s.probes++
		s.probe(w.id, p.ID, func(ok bool) {
			if ok {
				s.afterFreeze(w, func() { s.execute(w, w.detector.HandleResponse(s.now, p.ID, s.agents[p.ID].incarnation)) })
			}
		})
	}
	for _, c := range a.Confirms {
		s.confirms++
		if s.partitioned[w.id] {
			continue
		}
		s.afterFreeze(s.watchers[c.Watcher], func() {
			s.probe(c.Watcher, c.ID, func(ok bool) {
				s.afterFreeze(w, func() { s.execute(w, w.detector.HandleConfirmResult(c.ID, ok)) })
			})
		})
	}
	for _, c := range a.Changes {
		if c.To == membership.Dead {
			s.recordDeath(w, s.agents[c.ID])
		}
	}
}

// afterFreeze runs f once the watcher is not frozen.
func (s *simulation) afterFreeze(w *watcher, f func()) {
	if w.frozenUntil.After(s.now) {
		s.schedule(w.frozenUntil.Sub(s.now)+tickInterval, f)
		return
	}
	f()
}

func (s *simulation) recordDeath(w *watcher, a *agent) {
	switch {
	case a.diedAt.IsZero():
		s.falseDeaths++
		if s.partitioned[w.id] {
			s.falseDeathsPartitioned++
		}
	case !a.deathDetected:
		a.deathDetected = true
		s.detectionTimes = append(s.detectionTimes, s.now.Sub(a.diedAt))
	}
}

func (s *simulation) run(d time.Duration, disturb func()) {
	end := s.now.Add(d)
	for s.now.Before(end) {
		s.now = s.now.Add(tickInterval)
		at := s.now.UnixNano() / int64(tickInterval)
		for len(s.pendingByTick[at]) > 0 {
			f := s.pendingByTick[at][0]
			s.pendingByTick[at] = s.pendingByTick[at][1:]
			f()
		}
		delete(s.pendingByTick, at)
		disturb()
		for _, id := range s.watcherIDs {
			if w := s.watchers[id]; !w.frozenUntil.After(s.now) {
				s.execute(w, w.detector.Tick(s.now))
			}
		}
	}
}

// freezeRandomProcess freezes a random watcher or agent for a random time below limit.
func (s *simulation) freezeRandomProcess(limit time.Duration) {
	until := s.now.Add(time.Duration(s.random.Int64N(int64(limit))))
	s.freezes++
	if s.random.IntN(2) == 0 {
		s.watchers[s.watcherIDs[s.random.IntN(len(s.watcherIDs))]].frozenUntil = until
		return
	}
	s.agents[fmt.Sprintf("agent-%d", s.random.IntN(len(s.agents)))].frozenUntil = until
}

// killAgent ends an arbitrary running agent.
func (s *simulation) killAgent() {
	for _, a := range s.agents {
		if a.diedAt.IsZero() {
			a.diedAt = s.now
			return
		}
	}
}

// A random process freezes for up to two seconds every second, one probe in a hundred is lost,
// and an agent dies each minute. No running agent may be declared dead, and each death must be
// detected within maxDetectionTime.
func TestNoFalseDeathsWithFrozenProcesses(t *testing.T) {
	is := is.New(t)
	s := newSimulation(6, 20, 150)
	s.lossRate = 0.01
	ticks := 0
	s.run(20*time.Minute, func() {
		ticks++
		if ticks%20 == 0 {
			s.freezeRandomProcess(2 * time.Second)
		}
		if ticks%1200 == 0 {
			s.killAgent()
		}
	})
	s.run(maxDetectionTime, func() {})
	slices.Sort(s.detectionTimes)
	t.Logf("%d freezes, %d deaths: %d false deaths; detected after %s in the median and %s at most; %.2f probes/s and %.3f confirmations/s per watcher",
		s.freezes, len(s.detectionTimes), s.falseDeaths, s.detectionTimes[len(s.detectionTimes)/2], s.detectionTimes[len(s.detectionTimes)-1],
		float64(s.probes)/1209/20, float64(s.confirms)/1209/20)
	is.Equal(s.falseDeaths, 0)
	is.Equal(len(s.detectionTimes), 20)
	is.True(s.detectionTimes[len(s.detectionTimes)-1] <= maxDetectionTime)
}

// A watcher that loses its connections to all agents declares none dead, and neither does a watcher
// that was paused for minutes.
func TestIsolatedWatcherReportsNoDeaths(t *testing.T) {
	is := is.New(t)
	s := newSimulation(7, 20, 150)
	s.partitioned["entry-0"] = true
	s.watchers["entry-1"].frozenUntil = s.now.Add(5 * time.Minute)
	s.run(10*time.Minute, func() {})
	is.Equal(s.falseDeaths, 0)
}

// The loss of a rack ends a tenth of the agents at once. All of these deaths must be detected
// within maxDetectionTime, although many probes are missed at the same time.
func TestRackLoss(t *testing.T) {
	is := is.New(t)
	s := newSimulation(8, 20, 150)
	s.run(time.Minute, func() {})
	for i := range 15 {
		s.agents[fmt.Sprintf("agent-%d", i)].diedAt = s.now
	}
	s.run(maxDetectionTime, func() {})
	is.Equal(len(s.detectionTimes), 15)
	is.Equal(s.falseDeaths, 0)
}

// The closed connection of an earlier incarnation may be reported after the process has restarted.
// It must not mark the new incarnation as dead.
func TestClosedConnectionOfAnEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	d := membership.NewDetector(membership.DefaultOptions())
	d.Watch(now, "a", nil)
	d.HandleResponse(now, "a", "1")
	d.HandleResponse(now, "a", "2")
	is.Equal(len(d.HandleConnectionClosed("a", "1").Changes), 0)
	is.Equal(d.HandleConnectionClosed("a", "2").Changes, []membership.StateChange{{ID: "a", Incarnation: "2", From: membership.Alive, To: membership.Dead}})
	is.Equal(d.HandleResponse(now, "a", "3").Changes[0].To, membership.Alive)
}

// A watcher that is paused while it suspects a process restarts the timeout of the suspicion
// afterwards, instead of declaring the process dead for the duration of its own pause.
func TestPausedWatcherRestartsSuspicions(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	d := membership.NewDetector(membership.DefaultOptions())
	d.Watch(now, "a", []string{"other"})
	d.Watch(now, "b", nil)
	d.Watch(now, "c", nil)
	for d.State("a") != membership.Suspect {
		now = now.Add(tickInterval)
		d.Tick(now)
		d.HandleResponse(now, "b", "1")
		d.HandleResponse(now, "c", "1")
	}
	now = now.Add(10 * time.Second)
	d.Tick(now)
	is.Equal(d.State("a"), membership.Suspect)
	d.HandleConfirmResult("a", true)
	is.Equal(d.State("a"), membership.Unreachable)
}

// The network between two zones fails for an hour. The processes of the other zone must become
// unreachable but not dead, while a death in the watcher's own zone must still be detected.
func TestPartitionBetweenZones(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	d := membership.NewDetector(membership.DefaultOptions())
	near := []string{"near-0", "near-1", "near-2", "near-3"}
	for i, id := range near {
		d.Watch(now, id, near[:i])
	}
	for i := range 16 {
		d.WatchOtherZone(now, fmt.Sprintf("far-%d", i))
	}
	dead := map[string]bool{}
	recordDeaths := func(a membership.Actions) {
		for _, c := range a.Changes {
			if c.To == membership.Dead {
				dead[c.ID] = true
			}
		}
	}
	for end := now.Add(time.Hour); now.Before(end); now = now.Add(tickInterval) {
		a := d.Tick(now)
		recordDeaths(a)
		for _, p := range a.Probes {
			if slices.Contains(near[1:], p.ID) {
				recordDeaths(d.HandleResponse(now, p.ID, "1"))
			}
		}
	}
	is.Equal(dead, map[string]bool{"near-0": true})
	is.Equal(d.State("far-3"), membership.Unreachable)
	recordDeaths(d.HandleResponse(now, "far-3", "1"))
	is.Equal(d.State("far-3"), membership.Alive)
}
