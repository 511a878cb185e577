package claimstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/coltsfootpitch/coltsfootpitch/internal/fixedseed"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/idempotency"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/platform"
)

// fault is what the fake platform does with the next call.
type fault int

const (
	noFault fault = iota
	callFails
	responseLost
	writeDelayed
)

var errFault = errors.New("fault")

// fakeObjects is one object with a revision. Each call consumes the next fault of the list.
type fakeObjects struct {
	value    json.RawMessage
	revision int64
	faults   []fault
	delayed  []delayedWrite
	calls    int
}

// delayedWrite is an update that arrives after its sender timed out.
type delayedWrite struct {
	revision int64
	value    json.RawMessage
}

func (f *fakeObjects) nextFault() fault {
	f.calls++
	if len(f.faults) == 0 {
		return noFault
	}
	x := f.faults[0]
	f.faults = f.faults[1:]
	return x
}

func (f *fakeObjects) Get(context.Context, string, string) (platform.Object, error) {
	if f.nextFault() != noFault {
		return platform.Object{}, errFault
	}
	if f.revision == 0 {
		return platform.Object{}, platform.ErrNotFound
	}
	return platform.Object{Value: f.value, Revision: f.revision}, nil
}

func (f *fakeObjects) Put(_ context.Context, _, _ string, revision int64, value any) (platform.Object, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return platform.Object{}, err
	}
	x := f.nextFault()
	if x == callFails {
		return platform.Object{}, errFault
	}
	if x == writeDelayed {
		f.delayed = append(f.delayed, delayedWrite{revision, text})
		return platform.Object{}, errFault
	}
	if err := f.put(revision, text); err != nil {
		return platform.Object{}, err
	}
	if x == responseLost {
		return platform.Object{}, errFault
	}
	return platform.Object{Revision: f.revision}, nil
}

func (f *fakeObjects) put(revision int64, text json.RawMessage) error {
	if revision != f.revision {
		return platform.ErrConflict
	}
	f.revision++
	f.value = text
	return nil
}

// submission is one request that a caller sent with the key.
type submission struct {
	id          string
	fingerprint uint64
	granted     bool
	ended       bool
	runs        int
}

// model has several coordinators that all commit claims of one key, and the record of runs.
type model struct {
	objects      *fakeObjects
	coordinators []*committer
	now          time.Time
	submissions  []*submission
	// ranIDs are the IDs of the submissions that ran since the key was last free.
	ranIDs    []string
	responses map[string]string
}

const testKey = idempotency.Key("k")

func (m *model) operation(kind idempotency.OpKind, s *submission) idempotency.Op {
	o := idempotency.Op{
		Kind: kind, Key: testKey, ID: s.id, Fingerprint: s.fingerprint, Timeout: time.Minute, TTL: 24 * time.Hour,
	}
	if kind == idempotency.Finish {
		o.Response = &idempotency.Response{Status: 200, Body: []byte(s.id)}
	}
	return o
}

func (m *model) restart(i int) {
	m.coordinators[i] = newCommitter(0, Options{Objects: m.objects, Now: func() time.Time { return m.now }}, New(Options{}).counters)
	m.coordinators[i].sleep = func(context.Context, time.Duration) {}
}

func (m *model) drawSubmission(t *rapid.T) *submission {
	if len(m.submissions) == 0 {
		return nil
	}
	return rapid.SampledFrom(m.submissions).Draw(t, "session")
}

func (m *model) drawCoordinator(t *rapid.T) *committer {
	return rapid.SampledFrom(m.coordinators).Draw(t, "home")
}

// sendAcquire sends one request for the claim; its response may be lost.
func (m *model) sendAcquire(t *rapid.T, s *submission) {
	got, err := m.drawCoordinator(t).commit(context.Background(), []idempotency.Op{m.operation(idempotency.Acquire, s)})
	if err != nil || s.ended || rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
		return
	}
	switch got[0].Code {
	case code.OK:
		if s.granted {
			return // a second response to a submission that is already running
		}
		s.granted = true
		s.runs++
		m.ranIDs = append(m.ranIDs, s.id)
	case code.Duplicate:
		if string(got[0].Response.Body) != m.ranIDs[0] {
			t.Fatalf("response of %s, but %s ran", got[0].Response.Body, m.ranIDs[0])
		}
		s.ended = true
	default:
		s.ended = true
	}
}

// sendEnd sends one message that ends a claim; the message may be lost.
func (m *model) sendEnd(t *rapid.T, kind idempotency.OpKind, s *submission) {
	if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
		return
	}
	_, _ = m.drawCoordinator(t).commit(context.Background(), []idempotency.Op{m.operation(kind, s)})
}

// Guards against two runs for one key when messages are lost, delayed, duplicated or reordered,
// platform calls fail or take effect late, and coordinators restart.
func TestOneRunPerKeyUnderMessageFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{objects: &fakeObjects{}, now: time.Unix(1_800_000_000, 0), responses: map[string]string{}}
		m.coordinators = make([]*committer, 3)
		for i := range m.coordinators {
			m.restart(i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"new": func(t *rapid.T) {
				s := &submission{id: fmt.Sprint(len(m.submissions)), fingerprint: uint64(rapid.IntRange(0, 5).Draw(t, "print") / 5)}
				m.submissions = append(m.submissions, s)
				m.sendAcquire(t, s)
			},
			"ask": func(t *rapid.T) {
				if s := m.drawSubmission(t); s != nil {
					m.sendAcquire(t, s)
				}
			},
			"fault": func(t *rapid.T) {
				m.objects.faults = append(m.objects.faults, fault(rapid.IntRange(0, 3).Draw(t, "fault")))
			},
			"late": func(*rapid.T) {
				if len(m.objects.delayed) > 0 {
					w := m.objects.delayed[0]
					m.objects.delayed = m.objects.delayed[1:]
					_ = m.objects.put(w.revision, w.value)
				}
			},
			"finish": func(t *rapid.T) {
				if s := m.drawSubmission(t); s != nil && s.granted {
					s.ended = true
					m.sendEnd(t, idempotency.Finish, s)
				}
			},
			"abandon": func(t *rapid.T) {
				if s := m.drawSubmission(t); s != nil && s.granted {
					s.ended = true
					m.sendEnd(t, idempotency.Abandon, s)
				}
			},
			"giveUp": func(t *rapid.T) {
				// The submission got no response, reports "not run" to its caller and releases.
				if s := m.drawSubmission(t); s != nil && !s.granted {
					s.ended = true
					m.sendEnd(t, idempotency.Release, s)
				}
			},
			"restart": func(t *rapid.T) { m.restart(rapid.IntRange(0, 2).Draw(t, "home")) },
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "s")) * time.Second)
			},
			"": func(t *rapid.T) {
				if len(m.ranIDs) > 1 {
					t.Fatalf("submissions %v all ran under one key", m.ranIDs)
				}
			},
		})
	})
}

// Guards against platform calls that grow with the size of a group: a single request costs two
// updates, and a group of any size costs the same.
func TestPlatformCallsPerGroup(t *testing.T) {
	for _, size := range []int{1, 46, 740} {
		f := &fakeObjects{}
		c := newCommitter(0, Options{Objects: f, Now: time.Now}, New(Options{}).counters)
		var acquires, ends []idempotency.Op
		for i := range size {
			k := idempotency.NewKey("o", fmt.Sprint(i))
			acquires = append(acquires, idempotency.Op{Kind: idempotency.Acquire, Key: k, ID: fmt.Sprint(i), Timeout: time.Minute, TTL: time.Hour})
			ends = append(ends, idempotency.Op{Kind: idempotency.Finish, Key: k, ID: fmt.Sprint(i)})
		}
		for _, ops := range [][]idempotency.Op{acquires, ends} {
			if _, err := c.commit(context.Background(), ops); err != nil {
				t.Fatal(err)
			}
		}
		if f.calls != 3 {
			t.Errorf("%d requests made %d platform calls, want one read and two updates", size, f.calls)
		}
	}
}

// BenchmarkCommitGroup commits 46 claims to a half-full document.
func BenchmarkCommitGroup(b *testing.B) {
	c := newCommitter(0, Options{Objects: &fakeObjects{}, Now: time.Now}, New(Options{}).counters)
	group := func(from, n int) []idempotency.Op {
		var ops []idempotency.Op
		for i := range n {
			id := fmt.Sprint(from + i)
			ops = append(ops, idempotency.Op{Kind: idempotency.Acquire, Key: idempotency.NewKey("o", id), ID: id, Timeout: time.Minute, TTL: time.Hour})
		}
		return ops
	}
	ctx := context.Background()
	if _, err := c.commit(ctx, group(0, idempotency.MaxClaims/2)); err != nil {
		b.Fatal(err)
	}
	half := c.document
	for b.Loop() {
		c.document = half
		if _, err := c.commit(ctx, group(idempotency.MaxClaims, 46)); err != nil {
			b.Fatal(err)
		}
	}
}
