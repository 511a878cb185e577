package fence

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/coltsfootpitch/coltsfootpitch/internal/fixedseed"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
)

const budget = 10 * time.Second

func message(call string, issued time.Duration) Message {
	return Message{Key: Key{CallID: call, Attempt: 1}, Incarnation: "a", IssuedAt: issued}
}

func TestLateCancelOfARunWithDroppedRecordIsNotNotRun(t *testing.T) {
	is := is.New(t)
	f := New(Options{Incarnation: "a"})
	m := message("x", 0)
	is.Equal(f.Admit(m, 0, budget), code.OK)
	is.Equal(f.Start(m.Key, 0), code.OK)
	f.End(m.Key)
	is.True(f.Cancel(m, time.Hour)) // it ran, although its record has been dropped
	is.Equal(f.Len(), 0)
}

func TestRunAfterItsCancelDoesNotStart(t *testing.T) {
	is := is.New(t)
	f := New(Options{Incarnation: "a"})
	m := message("x", 0)
	is.True(!f.Cancel(m, time.Second))
	is.Equal(f.Admit(message("other", time.Hour), time.Hour, budget), code.OK) // sweeps the records
	is.True(f.Admit(m, time.Hour, budget) != code.OK)
	is.True(f.Start(m.Key, time.Hour) != code.OK)
}

func TestStartBudgetCountsFromTheIssueTime(t *testing.T) {
	is := is.New(t)
	f := New(Options{Incarnation: "a"})
	m := message("x", time.Second)
	is.Equal(f.Admit(m, 12*time.Second, budget), code.StartBudgetExpired)
	is.Equal(f.Admit(m, 5*time.Second, budget), code.Tombstoned)
}

// A message addressed to an earlier incarnation of the agent must leave no record and never
// yield "not run": the attempt may have run in that incarnation.
func TestMessagesForAnotherIncarnationLeaveNoRecord(t *testing.T) {
	is := is.New(t)
	f := New(Options{Incarnation: "b"})
	m := message("x", 0) // addressed to incarnation a
	is.Equal(f.Admit(m, 0, budget), code.StaleIncarnation)
	is.Equal(f.Start(m.Key, 0), code.DeadlineExceeded)
	is.Equal(f.Reject(m, 0, code.ZoneOut), code.StaleIncarnation) // "not run" could be wrong
	is.Equal(f.Len(), 0)
}

// An attempt that waited longer than its start budget must never run, because "not run" may
// already have been reported to the caller.
func TestStartAfterTheBudgetIsRejectedPermanently(t *testing.T) {
	is := is.New(t)
	f := New(Options{Incarnation: "a"})
	m := message("x", time.Second)
	is.Equal(f.Admit(m, time.Second, budget), code.OK)
	is.Equal(f.Start(m.Key, time.Second+budget+1), code.StartBudgetExpired)
	is.Equal(f.Start(m.Key, time.Second+budget), code.Tombstoned) // also when the clock goes back
	n := message("y", time.Second)
	is.Equal(f.Admit(n, time.Second, budget), code.OK)
	is.Equal(f.Start(n.Key, time.Second+budget), code.OK) // the end of the budget is included
}

func TestRejectionIsFinalForEveryCopy(t *testing.T) {
	is := is.New(t)
	f := New(Options{Incarnation: "a"})
	m := message("x", 0)
	is.Equal(f.Reject(m, 0, code.ZoneOut), code.ZoneOut)
	is.Equal(f.Admit(m, 0, budget), code.Tombstoned)
	n := message("y", 0)
	is.Equal(f.Admit(n, 0, budget), code.OK)
	is.Equal(f.Start(n.Key, 0), code.OK)
	is.Equal(f.Reject(n, 0, code.ZoneOut), code.AlreadyInProgress)
}

func TestRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	f := New(Options{Incarnation: "a", MaxRecords: 100})
	for i := range 10_000 {
		f.Cancel(message(fmt.Sprint(i), time.Duration(i)), time.Duration(i))
		is.True(f.Len() <= 100)
	}
}

// messageCopy is one copy of a message in transit on a connection to one incarnation of the agent.
type messageCopy struct {
	Message
	incarnationNumber int
	cancel            bool
}

// simulation simulates an agent that restarts and the messages of its entries, which may be lost,
// delayed, duplicated and reordered. It records which attempts started.
type simulation struct {
	fence             *Fence
	incarnationNumber int
	now               time.Duration
	calls             int
	statusAt          time.Duration
	sent              []messageCopy
	admitted          []Key
	running           []Key
	starts            map[Key]int
	reportedNotRun    map[Key]bool
}

func (w *simulation) incarnationID(number int) string { return fmt.Sprint(number) }

// restart starts a new incarnation of the agent with an empty fence.
func (w *simulation) restart() {
	w.incarnationNumber++
	w.now = 0
	w.statusAt = 0
	w.admitted = nil
	w.running = nil
	w.fence = New(Options{Incarnation: w.incarnationID(w.incarnationNumber), MaxRecords: 6})
}

// recordResult records that c reported the attempt as not run.
func (w *simulation) recordResult(k Key, c code.Code) {
	if c.Outcome() == code.NotRun {
		w.reportedNotRun[k] = true
	}
}

// deliver delivers a message in transit; the agent rejects a run if refuse is set.
func (w *simulation) deliver(t *rapid.T, refuse bool) {
	if len(w.sent) == 0 {
		return
	}
	m := rapid.SampledFrom(w.sent).Draw(t, "message")
	if m.incarnationNumber != w.incarnationNumber {
		return // its connection was closed when that incarnation ended
	}
	switch {
	case m.cancel:
		if !w.fence.Cancel(m.Message, w.now) {
			w.reportedNotRun[m.Key] = true
		}
	case refuse:
		w.recordResult(m.Key, w.fence.Reject(m.Message, w.now, code.ZoneOut))
	default:
		c := w.fence.Admit(m.Message, w.now, budget)
		w.recordResult(m.Key, c)
		if c == code.OK {
			w.admitted = append(w.admitted, m.Key)
		}
	}
}

func TestNotRunIsTrueUnderLossDelayDuplicationAndReordering(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{starts: map[Key]int{}, reportedNotRun: map[Key]bool{}}
		w.restart()
		t.Repeat(map[string]func(*rapid.T){
			"tick": func(t *rapid.T) {
				w.now += time.Duration(rapid.IntRange(1, 12_000).Draw(t, "ms")) * time.Millisecond
			},
			"status": func(*rapid.T) { w.statusAt = w.now },
			"send": func(t *rapid.T) {
				w.calls++
				addressed := w.incarnationNumber
				if rapid.IntRange(0, 5).Draw(t, "stale") == 0 {
					addressed--
				}
				m := Message{Key: Key{CallID: fmt.Sprint(w.calls), Attempt: 1}, Incarnation: w.incarnationID(addressed), IssuedAt: w.statusAt}
				w.sent = append(w.sent, messageCopy{Message: m, incarnationNumber: w.incarnationNumber}, messageCopy{Message: m, incarnationNumber: w.incarnationNumber, cancel: true})
			},
			"reconnect": func(t *rapid.T) {
				// A cancel may follow on a connection to the current incarnation.
				if len(w.sent) == 0 {
					return
				}
				m := rapid.SampledFrom(w.sent).Draw(t, "message")
				m.cancel = true
				m.incarnationNumber = w.incarnationNumber
				w.sent = append(w.sent, m)
			},
			"deliver": func(t *rapid.T) { w.deliver(t, false) },
			"refuse":  func(t *rapid.T) { w.deliver(t, true) },
			"start": func(t *rapid.T) {
				if len(w.admitted) == 0 {
					return
				}
				k := rapid.SampledFrom(w.admitted).Draw(t, "key")
				c := w.fence.Start(k, w.now)
				w.recordResult(k, c)
				if c == code.OK {
					w.starts[k]++
					w.running = append(w.running, k)
				}
			},
			"end": func(t *rapid.T) {
				if len(w.running) > 0 {
					w.fence.End(rapid.SampledFrom(w.running).Draw(t, "key"))
				}
			},
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "die") == 0 {
					w.restart()
				}
			},
			"": func(t *rapid.T) {
				for k, n := range w.starts {
					if n > 1 {
						t.Fatalf("%v ran %d times", k, n)
					}
					if n > 0 && w.reportedNotRun[k] {
						t.Fatalf("%v ran but was reported as not run", k)
					}
				}
			},
		})
	})
}

func BenchmarkAttempt(b *testing.B) {
	f := New(Options{Incarnation: "a"})
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * time.Millisecond
		m := Message{Key: Key{CallID: "c", Attempt: i}, Incarnation: "a", IssuedAt: now}
		f.Admit(m, now, budget)
		f.Start(m.Key, now)
		f.End(m.Key)
	}
}
