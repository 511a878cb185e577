package poison

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/coltsfootpitch/coltsfootpitch/internal/fixedseed"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
)

func init() { fixedseed.SetChecks(5000) }

const (
	entries             = 9
	upstreams           = 16
	crashingFingerprint = Fingerprint("culprit")
)

// run is one attempt to run the crashing request, in transit or started.
type run struct {
	entry    int
	upstream int
	isolated bool
	started  bool
}

// message is a verdict in transit to a process.
type message struct {
	to      int
	verdict Verdict
}

// model is a fleet of entries and agents that exchange verdicts delayed and reordered. Processes
// 0 to entries-1 are entries, the others agents.
type model struct {
	tables   []*Table
	runs     []run
	messages []message
	// isolatedRunEntry is the entry that has claimed the isolated run, or -1. Of runs that
	// ended, the platform stores only convictions.
	isolatedRunEntry int
	convicted        bool
	stamp            int64
	crashes          int
	// exposedAtFirstCrash is the number of upstreams that ran the request, or that it was in
	// transit to, at the first crash.
	exposedAtFirstCrash int
}

func newModel() *model {
	m := &model{isolatedRunEntry: -1}
	for range entries + upstreams {
		m.tables = append(m.tables, New(Options{}))
	}
	return m
}

// observe records a new verdict of a process.
func (m *model) observe(process int, s State) Verdict {
	m.stamp++
	v := Verdict{Fingerprint: crashingFingerprint, State: s, Stamp: event.Stamp{Wall: m.stamp}}
	m.tables[process].Merge(v, baseTime)
	return v
}

// send lets an entry attempt the request on an upstream.
func (m *model) send(entry, upstream int) {
	switch m.tables[entry].State(crashingFingerprint, baseTime) {
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

// start lets attempt i arrive at its agent, which may reject it.
func (m *model) start(i int) {
	r := &m.runs[i]
	switch m.tables[entries+r.upstream].State(crashingFingerprint, baseTime) {
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

// reject ends attempt i without a run.
func (m *model) reject(i int, state State) {
	r := m.runs[i]
	m.runs = append(m.runs[:i], m.runs[i+1:]...)
	m.observe(r.entry, state)
	if r.isolated {
		m.isolatedRunEntry = -1
	}
}

// crash crashes the upstream of started run i; all runs there end.
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
		m.tables[r.entry].Merge(v, baseTime)
		for to := range m.tables {
			m.messages = append(m.messages, message{to, v})
		}
	}
	m.runs = kept
}

// exposedUpstreams returns the number of upstreams that run the request or that it is in transit
// to.
func (m *model) exposedUpstreams() int {
	seen := map[int]bool{}
	for _, r := range m.runs {
		seen[r.upstream] = true
	}
	return len(seen)
}

// deliver delivers message i to its process.
func (m *model) deliver(i int) {
	msg := m.messages[i]
	m.messages = append(m.messages[:i], m.messages[i+1:]...)
	m.tables[msg.to].Merge(msg.verdict, baseTime)
}

// Guards against a request that crashes many upstreams. The limit is the number of upstreams
// that ran the request or had it in transit at the first crash, plus those that entries sent it
// to before the verdict reached them, plus one for the isolated run.
func TestCrashingRequestReachesFewUpstreams(t *testing.T) {
	maxCrashes, actions, convicted := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		uninformed := 0
		// In turn: the caller sends again, to any entry, only after its response, which
		// waits until the verdicts have reached all other processes.
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
				t.Fatalf("%d upstreams crashed; %d were exposed at the first crash, %d by entries without the verdict", m.crashes, m.exposedAtFirstCrash, uninformed)
			}
		}
		if inTurn && m.crashes > 2 {
			t.Fatalf("%d upstreams crashed though the caller sent in turn", m.crashes)
		}
		if inTurn && m.crashes == 2 {
			convicted++
		}
		maxCrashes = max(maxCrashes, m.crashes)
	})
	t.Logf("%d actions, at most %d upstreams crashed with unbounded delay of verdicts; %d times sent again in turn, at most 2 upstreams", actions, maxCrashes, convicted)
	is := is.New(t)
	is.True(actions >= 1_000_000)
	is.True(convicted > 1000)
}
