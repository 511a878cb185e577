package poison

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/coltsfootpitch/coltsfootpitch/internal/fixedseed"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
)

func init() { fixedseed.Checks(5000) }

const (
	entries             = 9
	upstreams           = 16
	crashingFingerprint = Fingerprint("culprit")
)

// run is the crashing request on its way to an upstream or running there.
type run struct {
	entry    int
	upstream int
	isolated bool
	started  bool
}

// message is a verdict on its way to a process.
type message struct {
	to      int
	verdict Verdict
}

// model is a fleet of entries and agents that tell each other verdicts late and
// crossed. Processes 0 to entries-1 are entries, the others agents.
type model struct {
	tables   []*Table
	runs     []run
	messages []message
	// isolatedRunEntry is the entry that holds the claim, or -1; ended trials stay at the platform
	// only as convictions.
	isolatedRunEntry int
	convicted        bool
	stamp            int64
	crashes          int
	// exposedAtFirstCrash is the number of upstreams on which the request ran when it crashed one for
	// the exposedAtFirstCrash time.
	exposedAtFirstCrash int
}

func newModel() *model {
	m := &model{isolatedRunEntry: -1}
	for range entries + upstreams {
		m.tables = append(m.tables, New(Options{}))
	}
	return m
}

func (m *model) observe(process int, s State) Verdict {
	m.stamp++
	v := Verdict{Fingerprint: crashingFingerprint, State: s, Stamp: event.Stamp{Wall: m.stamp}}
	m.tables[process].Take(v, baseTime)
	return v
}

// send is an attempt of an entry to run the request on an upstream.
func (m *model) send(entry, upstream int) {
	switch m.tables[entry].Check(crashingFingerprint, baseTime) {
	case Convicted:
		return
	case Suspect:
		if m.convicted {
			m.observe(entry, Convicted)
			return
		}
		if m.isolatedRunEntry >= 0 {
			return
		}
		m.isolatedRunEntry = entry
		m.runs = append(m.runs, run{entry: entry, upstream: upstream, isolated: true})
	default:
		m.runs = append(m.runs, run{entry: entry, upstream: upstream})
	}
}

// start lets an attempt reach its agent, which may refuse it.
func (m *model) start(i int) {
	r := &m.runs[i]
	switch m.tables[entries+r.upstream].Check(crashingFingerprint, baseTime) {
	case Convicted:
		m.reject(i, Convicted)
	case Suspect:
		if !r.isolated {
			m.reject(i, Suspect)
			return
		}
		r.started = true
	default:
		r.started = true
	}
}

// reject ends an attempt that did not run.
func (m *model) reject(i int, state State) {
	r := m.runs[i]
	m.runs = append(m.runs[:i], m.runs[i+1:]...)
	m.observe(r.entry, state)
	if r.isolated {
		m.isolatedRunEntry = -1
	}
}

// crash lets the upstream of a started run crash; all runs there end.
func (m *model) crash(i int) {
	upstream := m.runs[i].upstream
	if m.crashes == 0 {
		m.exposedAtFirstCrash = m.exposedUpstreams()
	}
	m.crashes++
	kept := m.runs[:0]
	for _, r := range m.runs {
		if r.upstream != upstream || !r.started {
			kept = append(kept, r)
			continue
		}
		s := Suspect
		if r.isolated {
			s = Convicted
			m.convicted = true
			m.isolatedRunEntry = -1
		}
		v := m.observe(entries+upstream, s)
		m.tables[r.entry].Take(v, baseTime)
		for to := range m.tables {
			m.messages = append(m.messages, message{to, v})
		}
	}
	m.runs = kept
}

// exposedUpstreams returns the number of upstreams that the request runs on or is sent to by
// entries without news.
func (m *model) exposedUpstreams() int {
	seen := map[int]bool{}
	for _, r := range m.runs {
		seen[r.upstream] = true
	}
	return len(seen)
}

func (m *model) deliver(i int) {
	l := m.messages[i]
	m.messages = append(m.messages[:i], m.messages[i+1:]...)
	m.tables[l.to].Take(l.verdict, baseTime)
}

// TestCrashingRequestReachesFewUpstreams checks the bound: the upstreams on which the
// request ran or was under way when the first one crashed, those to which entries sent
// it before the news reached them, and one for the trial.
func TestCrashingRequestReachesFewUpstreams(t *testing.T) {
	maxCrashes, actions, convicted := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		uninformed := 0
		// In turn: the caller sends again, anywhere, after it has its answer, which waits
		// until the news has reached the others.
		inTurn := rapid.Bool().Draw(t, "in turn")
		for _, n := range rapid.SliceOfN(rapid.Uint32(), 200, 200).Draw(t, "actions") {
			actions++
			pick := int(n >> 8)
			switch n % 6 {
			case 0, 1:
				before := len(m.runs)
				if inTurn && before > 0 {
					continue
				}
				m.send(pick%entries, (pick/entries)%upstreams)
				if m.crashes > 0 && len(m.runs) > before && !m.runs[before].isolated {
					uninformed++
				}
			case 2:
				if len(m.runs) > 0 && !m.runs[pick%len(m.runs)].started {
					m.start(pick % len(m.runs))
				}
			case 3:
				if len(m.runs) > 0 && m.runs[pick%len(m.runs)].started {
					m.crash(pick % len(m.runs))
				}
				for inTurn && len(m.messages) > 0 {
					m.deliver(pick % len(m.messages))
				}
			default:
				if len(m.messages) > 0 {
					m.deliver(pick % len(m.messages))
				}
			}
			if m.crashes > m.exposedAtFirstCrash+uninformed+1 {
				t.Fatalf("%d upstreams crashed; at the first crash %d had it, %d were sent it without news", m.crashes, m.exposedAtFirstCrash, uninformed)
			}
		}
		if inTurn && m.crashes > 2 {
			t.Fatalf("%d upstreams crashed", m.crashes)
		}
		if inTurn && m.crashes == 2 {
			convicted++
		}
		maxCrashes = max(maxCrashes, m.crashes)
	})
	t.Logf("%d actions, worst %d upstreams without bound on the delay of news; %d times sent again in turn, at most 2 upstreams", actions, maxCrashes, convicted)
	is := is.New(t)
	is.True(actions >= 1_000_000)
	is.True(convicted > 1000)
}
