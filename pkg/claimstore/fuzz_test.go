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
	none fault = iota
	down
	lostAnswer
	delayed
)

var errFault = errors.New("fault")

// fakeObjects is one object with a revision; faults are taken from a list.
type fakeObjects struct {
	value    json.RawMessage
	revision int64
	faults   []fault
	late     []lateWrite
	calls    int
}

// lateWrite is an update whose sender has given up.
type lateWrite struct {
	revision int64
	value    json.RawMessage
}

func (f *fakeObjects) next() fault {
	f.calls++
	if len(f.faults) == 0 {
		return none
	}
	x := f.faults[0]
	f.faults = f.faults[1:]
	return x
}

func (f *fakeObjects) Get(context.Context, string, string) (platform.Object, error) {
	if f.next() != none {
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
	x := f.next()
	if x == down {
		return platform.Object{}, errFault
	}
	if x == delayed {
		f.late = append(f.late, lateWrite{revision, text})
		return platform.Object{}, errFault
	}
	if err := f.put(revision, text); err != nil {
		return platform.Object{}, err
	}
	if x == lostAnswer {
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

// session is one sending of a request with the key.
type session struct {
	id      string
	print   uint64
	granted bool
	over    bool
	runs    int
}

// model is several homes that all commit the claims of one key, and the ledger.
type model struct {
	objects  *fakeObjects
	homes    []*held
	now      time.Time
	sessions []*session
	// ran are the sessions that ran since the key was last free.
	ran    []string
	answer map[string]string
}

const testKey = idempotency.Key("k")

func (m *model) op(kind idempotency.OpKind, s *session) idempotency.Op {
	o := idempotency.Op{
		Kind: kind, Key: testKey, ID: s.id, Fingerprint: s.print, Timeout: time.Minute, TTL: 24 * time.Hour,
	}
	if kind == idempotency.Finish {
		o.Answer = &idempotency.Answer{Status: 200, Body: []byte(s.id)}
	}
	return o
}

func (m *model) restart(i int) {
	m.homes[i] = newHeld(0, Options{Objects: m.objects, Now: func() time.Time { return m.now }}, New(Options{}).meters)
	m.homes[i].pause = func(context.Context, time.Duration) {}
}

func (m *model) draw(t *rapid.T) *session {
	if len(m.sessions) == 0 {
		return nil
	}
	return rapid.SampledFrom(m.sessions).Draw(t, "session")
}

func (m *model) home(t *rapid.T) *held { return rapid.SampledFrom(m.homes).Draw(t, "home") }

// ask is one Ask message; its answer may be lost on the way.
func (m *model) ask(t *rapid.T, s *session) {
	got, err := m.home(t).commit(context.Background(), []idempotency.Op{m.op(idempotency.Ask, s)})
	if err != nil || s.over || rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
		return
	}
	switch got[0].Code {
	case code.OK:
		if s.granted {
			return // a second answer to a session that runs already
		}
		s.granted = true
		s.runs++
		m.ran = append(m.ran, s.id)
	case code.Duplicate:
		if string(got[0].Answer.Body) != m.ran[0] {
			t.Fatalf("answer of %s, but %s ran", got[0].Answer.Body, m.ran[0])
		}
		s.over = true
	default:
		s.over = true
	}
}

// tell is one message that ends a claim; it may be lost.
func (m *model) tell(t *rapid.T, kind idempotency.OpKind, s *session) {
	if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
		return
	}
	_, _ = m.home(t).commit(context.Background(), []idempotency.Op{m.op(kind, s)})
}

func TestOneRunForAKeyUnderLostLateDoubledAndCrossedMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{objects: &fakeObjects{}, now: time.Unix(1_800_000_000, 0), answer: map[string]string{}}
		m.homes = make([]*held, 3)
		for i := range m.homes {
			m.restart(i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"new": func(t *rapid.T) {
				s := &session{id: fmt.Sprint(len(m.sessions)), print: uint64(rapid.IntRange(0, 5).Draw(t, "print") / 5)}
				m.sessions = append(m.sessions, s)
				m.ask(t, s)
			},
			"ask": func(t *rapid.T) {
				if s := m.draw(t); s != nil {
					m.ask(t, s)
				}
			},
			"fault": func(t *rapid.T) {
				m.objects.faults = append(m.objects.faults, fault(rapid.IntRange(0, 3).Draw(t, "fault")))
			},
			"late": func(*rapid.T) {
				if len(m.objects.late) > 0 {
					w := m.objects.late[0]
					m.objects.late = m.objects.late[1:]
					_ = m.objects.put(w.revision, w.value)
				}
			},
			"finish": func(t *rapid.T) {
				if s := m.draw(t); s != nil && s.granted {
					s.over = true
					m.tell(t, idempotency.Finish, s)
				}
			},
			"abandon": func(t *rapid.T) {
				if s := m.draw(t); s != nil && s.granted {
					s.over = true
					m.tell(t, idempotency.Abandon, s)
				}
			},
			"giveUp": func(t *rapid.T) {
				// The session saw no answer, tells its caller "not run" and releases.
				if s := m.draw(t); s != nil && !s.granted {
					s.over = true
					m.tell(t, idempotency.Release, s)
				}
			},
			"restart": func(t *rapid.T) { m.restart(rapid.IntRange(0, 2).Draw(t, "home")) },
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "s")) * time.Second)
			},
			"": func(t *rapid.T) {
				if len(m.ran) > 1 {
					t.Fatalf("sessions %v all ran under one key", m.ran)
				}
			},
		})
	})
}

func TestCallsForAKeyedRequest(t *testing.T) {
	// One request alone costs two updates; a group of any size costs the same.
	for _, size := range []int{1, 46, 740} {
		f := &fakeObjects{}
		h := newHeld(0, Options{Objects: f, Now: time.Now}, New(Options{}).meters)
		var asks, ends []idempotency.Op
		for i := range size {
			k := idempotency.NewKey("o", fmt.Sprint(i))
			asks = append(asks, idempotency.Op{Kind: idempotency.Ask, Key: k, ID: fmt.Sprint(i), Timeout: time.Minute, TTL: time.Hour})
			ends = append(ends, idempotency.Op{Kind: idempotency.Finish, Key: k, ID: fmt.Sprint(i)})
		}
		for _, ops := range [][]idempotency.Op{asks, ends} {
			if _, err := h.commit(context.Background(), ops); err != nil {
				t.Fatal(err)
			}
		}
		if f.calls != 3 {
			t.Errorf("%d requests made %d calls, want the first read and two updates", size, f.calls)
		}
	}
}

func BenchmarkCommitGroup(b *testing.B) {
	// One commit of 46 claims into a document that is half full.
	h := newHeld(0, Options{Objects: &fakeObjects{}, Now: time.Now}, New(Options{}).meters)
	group := func(from, n int) []idempotency.Op {
		var ops []idempotency.Op
		for i := range n {
			id := fmt.Sprint(from + i)
			ops = append(ops, idempotency.Op{Kind: idempotency.Ask, Key: idempotency.NewKey("o", id), ID: id, Timeout: time.Minute, TTL: time.Hour})
		}
		return ops
	}
	ctx := context.Background()
	if _, err := h.commit(ctx, group(0, idempotency.MaxClaims/2)); err != nil {
		b.Fatal(err)
	}
	half := h.document
	for b.Loop() {
		h.document = half
		if _, err := h.commit(ctx, group(idempotency.MaxClaims, 46)); err != nil {
			b.Fatal(err)
		}
	}
}
