package agent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/poison"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/upstream"
)

// fakeUpstream holds each request until it is told how it ends. A crash ends all.
type fakeUpstream struct {
	mu      sync.Mutex
	life    int
	down    bool
	crash   chan struct{}
	started chan string
	ends    chan struct{}
}

func newFakeUpstream() *fakeUpstream {
	return &fakeUpstream{crash: make(chan struct{}), started: make(chan string, 1000), ends: make(chan struct{})}
}

func (f *fakeUpstream) Health(context.Context) (upstream.Health, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return upstream.Health{}, upstream.ErrLost
	}
	return upstream.Health{Incarnation: fmt.Sprint(f.life), Models: []string{"m"}}, nil
}

func (f *fakeUpstream) Run(ctx context.Context, r peer.RunRequest, _ func(upstream.Part) error) (upstream.Answer, error) {
	f.mu.Lock()
	crash := f.crash
	f.mu.Unlock()
	f.started <- r.Call
	select {
	case <-f.ends:
		return upstream.Answer{Status: 200}, nil
	case <-crash:
		return upstream.Answer{}, upstream.ErrLost
	case <-ctx.Done():
		return upstream.Answer{}, errors.Join(upstream.ErrLost, ctx.Err())
	}
}

func (f *fakeUpstream) fall() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.life++
	close(f.crash)
	f.crash = make(chan struct{})
}

// nowhere is a sender that drops the answer.
type nowhere struct{}

func (nowhere) Send(peer.Frame) error { return nil }

// rig is an agent with its fake upstream.
type rig struct {
	*Agent
	up *fakeUpstream
	// ahead is how far the agent's clock is ahead of the true one, in nanoseconds.
	ahead *atomic.Int64
}

func newRig(t *testing.T, cold, limit, queue int) rig {
	f := newFakeUpstream()
	return newRigWith(t, f, f, cold, limit, queue)
}

// newRigWith returns an agent whose client wraps the fake upstream.
func newRigWith(t *testing.T, c upstream.Client, f *fakeUpstream, cold, limit, queue int) rig {
	s := DefaultSettings()
	s.Name = "a"
	s.Zone = "z"
	s.QueueLimit = queue
	s.ProbeMillis = 10
	s.Upstream.ColdLimit = cold
	s.Upstream.MaxLimit = limit
	ahead := &atomic.Int64{}
	now := func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
	a := New(Options{Settings: s, Client: c, Now: now, Recorder: event.NewRecorder("a", event.NewClock(nil), nil)})
	a.config.Adopt(&configuration.Document{Version: 1, Zones: []configuration.Zone{{Name: "z", State: configuration.ZoneIn}}})
	h, _ := f.Health(context.Background())
	a.observe(h, true, 0)
	a.Start()
	t.Cleanup(a.Stop)
	return rig{a, f, ahead}
}

// run sends an attempt and returns the channel of its result.
func (r rig) run(call, organisation string, f poison.Fingerprint, alone bool) <-chan peer.RunResult {
	out := make(chan peer.RunResult, 1)
	req := peer.RunRequest{
		Call: call, Request: call, Attempt: 1, Incarnation: r.fence.Incarnation(), Organisation: organisation,
		Kind: peer.ModelWork, Target: "m", Idempotent: true, Cost: 10, StartByMillis: 60_000, TimeoutMillis: 60_000,
		IssuedMillis: r.clock().Milliseconds(), Fingerprint: f, Alone: alone,
	}
	go func() { out <- r.Run(context.Background(), nowhere{}, req) }()
	return out
}

// start sends an attempt and waits until it runs.
func (r rig) start(call string, f poison.Fingerprint, alone bool) <-chan peer.RunResult {
	out := r.run(call, "o", f, alone)
	<-r.up.started
	return out
}

func TestCrashMakesWhatRanThereSuspect(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 2, 8, 8)
	a := r.start("1", "fa", false)
	b := r.start("2", "fb", false)
	r.up.fall()
	is.Equal((<-a).Code, code.UpstreamLost)
	is.Equal((<-b).Code, code.UpstreamLost)
	is.Equal(len(r.Status("").Verdicts), 2)
	is.Equal((<-r.run("3", "o", "fa", false)).Code, code.SuspectNotAlone)

	// Alone it may run; the end clears it.
	c := r.start("4", "fa", true)
	r.up.ends <- struct{}{}
	is.Equal((<-c).Code, code.OK)
	d := r.start("5", "fa", false)
	r.up.ends <- struct{}{}
	is.Equal((<-d).Code, code.OK)

	// A crash while it runs alone convicts.
	e := r.start("6", "fb", true)
	r.up.fall()
	is.Equal((<-e).Code, code.UpstreamLost)
	is.Equal((<-r.run("7", "o", "fb", true)).Code, code.CrashingRequest)
}

func TestNothingRunsBesideATrial(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 4, 8, 8)
	a := r.start("1", "fa", false)
	trial := r.run("2", "o", "fs", true)
	r.up.ends <- struct{}{}
	is.Equal((<-a).Code, code.OK)
	is.Equal(<-r.up.started, "2")
	b := r.run("3", "o", "fb", false)
	for r.Status("").Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(r.Status("").Running, 1)
	r.up.ends <- struct{}{}
	is.Equal((<-trial).Code, code.OK)
	is.Equal(<-r.up.started, "3")
	r.up.ends <- struct{}{}
	is.Equal((<-b).Code, code.OK)
}

func TestLostConnectionWithoutACrashAccusesNobody(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 2, 8, 8)
	a := r.start("1", "fa", false)
	r.up.mu.Lock()
	close(r.up.crash)
	r.up.crash = make(chan struct{})
	r.up.mu.Unlock()
	res := <-a
	is.Equal(res.Code, code.UpstreamLost)
	is.Equal(len(res.Load.Verdicts), 0)
}

func TestFullQueueGivesTheSurplusBackAsNotRun(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 2, 2, 8)
	r.start("a", "a", false)
	r.start("b", "b", false)
	var waiting []<-chan peer.RunResult
	for n := range 8 + 5 {
		waiting = append(waiting, r.run(fmt.Sprint(n), "dominant", poison.Fingerprint(fmt.Sprint(n)), false))
	}
	overloaded(is, waiting, 5)
	is.Equal(r.Status("").Queued, 8)

	// A small organisation takes a place of the dominant one and is next.
	small := r.run("small", "small", "fs", false)
	overloaded(is, waiting, 1)
	r.up.ends <- struct{}{}
	is.Equal(<-r.up.started, "small")
	select {
	case res := <-small:
		t.Fatalf("the small organisation was refused: %v", res.Code)
	default:
	}
}

// overloaded waits until n of the attempts are refused for want of room.
func overloaded(is *is.I, waiting []<-chan peer.RunResult, n int) {
	for n > 0 {
		for _, w := range waiting {
			select {
			case res := <-w:
				is.Equal(res.Code, code.Overloaded)
				n--
			default:
			}
		}
		time.Sleep(time.Millisecond)
	}
}

func TestCrashGivesTheSurplusBackAsNotRun(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 3, 4, 16)
	first := []<-chan peer.RunResult{r.start("a", "a", false), r.start("b", "b", false), r.start("c", "c", false)}
	r.up.ends <- struct{}{}
	first = append(first, r.start("d", "d", false), r.start("e", "e", false))
	is.Equal(r.Status("").Limit, 4)
	var waiting []<-chan peer.RunResult
	for n := range 16 {
		waiting = append(waiting, r.run(fmt.Sprint(n), "o", poison.Fingerprint(fmt.Sprint(n)), false))
	}
	for r.Status("").Queued < 16 {
		time.Sleep(time.Millisecond)
	}
	r.up.fall()
	overloaded(is, waiting, 4)
	lost := 0
	for _, f := range first {
		if (<-f).Code == code.UpstreamLost {
			lost++
		}
	}
	is.Equal(lost, 4)
	for range 3 {
		<-r.up.started
	}
	status := r.Status("")
	is.Equal(status.Limit, 3)
	is.Equal(status.Running, 3)
	is.Equal(status.Queued, 9)
}

func TestCrashOfALeavingUpstreamConvictsNobody(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 2, 8, 8)
	trial := r.start("1", "fs", true)
	left := make(chan struct{})
	go func() {
		r.Leave(context.Background())
		close(left)
	}()
	for !r.Status("").Leaving {
		time.Sleep(time.Millisecond)
	}
	r.up.fall()
	is.Equal((<-trial).Code, code.UpstreamLost)
	<-left
	is.Equal(r.Status("").Verdicts[0].State, poison.Suspect)
}

func TestNothingStartsOnAnUpstreamThatIsDown(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 2, 8, 8)
	a := r.start("1", "fa", false)
	r.up.mu.Lock()
	r.up.down = true
	r.up.mu.Unlock()
	r.up.fall()
	is.Equal((<-a).Code, code.UpstreamLost)
	is.Equal((<-r.run("2", "o", "fa", true)).Code, code.UpstreamUnreachable)
	r.up.mu.Lock()
	r.up.down = false
	r.up.mu.Unlock()
	for !r.Status("").Reachable {
		time.Sleep(time.Millisecond)
	}
	b := r.start("3", "fa", true)
	r.up.ends <- struct{}{}
	is.Equal((<-b).Code, code.OK)
}

func TestHealthAskedBeforeALossSaysNothing(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 2, 8, 8)
	asked := r.asks()
	h, _ := r.up.Health(context.Background())
	r.up.mu.Lock()
	r.up.down = true
	r.up.mu.Unlock()
	newest := r.doubt()
	r.observe(upstream.Health{}, false, newest)
	r.observe(h, true, asked)
	is.True(!r.Status("").Reachable)
	r.settle()
}

func TestWorkWaitsWhileTheUpstreamIsAskedHowItIs(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 2, 8, 8)
	asked := r.doubt()
	a := r.run("1", "o", "fa", false)
	for r.Status("").Queued == 0 {
		select {
		case <-r.up.started:
			t.Fatal("work started on an upstream that may be down")
		case <-time.After(time.Millisecond):
		}
	}
	r.observe(upstream.Health{Incarnation: "0", Models: []string{"m"}}, true, asked)
	r.settle()
	is.Equal(<-r.up.started, "1")
	r.up.ends <- struct{}{}
	is.Equal((<-a).Code, code.OK)
}

// slowToStop is an upstream that goes on with a request for a while after its client
// went away.
type slowToStop struct {
	*fakeUpstream
	busy, peak atomic.Int32
}

// stopTime is the time that slowToStop takes to notice that a client went away.
const stopTime = abortTime / 2

func (s *slowToStop) Run(ctx context.Context, r peer.RunRequest, emit func(upstream.Part) error) (upstream.Answer, error) {
	busy := s.busy.Add(1)
	for peak := s.peak.Load(); busy > peak && !s.peak.CompareAndSwap(peak, busy); {
		peak = s.peak.Load()
	}
	a, err := s.fakeUpstream.Run(ctx, r, emit)
	if err != nil {
		time.AfterFunc(stopTime, func() { s.busy.Add(-1) })
		return a, err
	}
	s.busy.Add(-1)
	return a, err
}

func TestCancelledRunKeepsItsPlaceUntilTheUpstreamHasStopped(t *testing.T) {
	is := is.New(t)
	s := &slowToStop{fakeUpstream: newFakeUpstream()}
	r := newRigWith(t, s, s.fakeUpstream, 1, 1, 8)
	first := r.start("1", "fa", false)
	second := r.run("2", "o", "fb", false)
	_, err := r.Cancel(context.Background(), nil, peer.CancelRequest{Call: "1", Request: "1", Attempt: 1, Incarnation: r.fence.Incarnation()})
	is.NoErr(err)
	is.Equal((<-first).Code, code.CallerGone) // the result does not wait for the upstream
	is.Equal(<-r.up.started, "2")
	r.up.ends <- struct{}{}
	is.Equal((<-second).Code, code.OK)
	is.Equal(s.peak.Load(), int32(1))
}

func TestPlaceKeptAfterACancelIsNoServiceTime(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 1, 1, 8)
	first := r.start("1", "fa", false)
	_, err := r.Cancel(context.Background(), nil, peer.CancelRequest{Call: "1", Request: "1", Attempt: 1, Incarnation: r.fence.Incarnation()})
	is.NoErr(err)
	is.Equal((<-first).Code, code.CallerGone)
	r.ahead.Store(int64(time.Hour))
	for r.Status("").Running > 0 {
		time.Sleep(time.Millisecond)
	}
	is.True(r.Status("").ServiceMillis < serviceGain*float64(time.Hour.Milliseconds()))
}
