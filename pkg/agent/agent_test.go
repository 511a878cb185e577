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
	mu          sync.Mutex
	incarnation int
	down        bool
	crashed     chan struct{}
	started     chan string
	complete    chan struct{}
}

func newFakeUpstream() *fakeUpstream {
	return &fakeUpstream{crashed: make(chan struct{}), started: make(chan string, 1000), complete: make(chan struct{})}
}

func (f *fakeUpstream) Health(context.Context) (upstream.Health, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return upstream.Health{}, upstream.ErrLost
	}
	return upstream.Health{Incarnation: fmt.Sprint(f.incarnation), Models: []string{"m"}}, nil
}

func (f *fakeUpstream) Run(ctx context.Context, r peer.RunRequest, _ func(upstream.Part) error) (upstream.Answer, error) {
	f.mu.Lock()
	crash := f.crashed
	f.mu.Unlock()
	f.started <- r.Call
	select {
	case <-f.complete:
		return upstream.Answer{Status: 200}, nil
	case <-crash:
		return upstream.Answer{}, upstream.ErrLost
	case <-ctx.Done():
		return upstream.Answer{}, errors.Join(upstream.ErrLost, ctx.Err())
	}
}

func (f *fakeUpstream) crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incarnation++
	close(f.crashed)
	f.crashed = make(chan struct{})
}

// discardSender is a sender that drops the answer.
type discardSender struct{}

func (discardSender) Send(peer.Frame) error { return nil }

// testbed is an agent with its fake upstream.
type testbed struct {
	*Agent
	upstream *fakeUpstream
	// clockOffset is how far the agent's clock is clockOffset of the true one, in nanoseconds.
	clockOffset *atomic.Int64
}

func newTestbed(t *testing.T, cold, limit, queue int) testbed {
	f := newFakeUpstream()
	return newTestbedWithClient(t, f, f, cold, limit, queue)
}

// newTestbedWithClient returns an agent whose client wraps the fake upstream.
func newTestbedWithClient(t *testing.T, c upstream.Client, f *fakeUpstream, cold, limit, queue int) testbed {
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
	a.recordHealth(h, true, 0)
	a.Start()
	t.Cleanup(a.Stop)
	return testbed{a, f, ahead}
}

// send sends an attempt and returns the channel of its result.
func (r testbed) send(call, organisation string, f poison.Fingerprint, alone bool) <-chan peer.RunResult {
	out := make(chan peer.RunResult, 1)
	req := peer.RunRequest{
		Call: call, Request: call, Attempt: 1, Incarnation: r.fence.Incarnation(), Organisation: organisation,
		Kind: peer.ModelWork, Target: "m", Idempotent: true, Cost: 10, StartByMillis: 60_000, TimeoutMillis: 60_000,
		IssuedMillis: r.uptime().Milliseconds(), Fingerprint: f, Alone: alone,
	}
	go func() { out <- r.Run(context.Background(), discardSender{}, req) }()
	return out
}

// sendAndAwaitStart sends an attempt and waits until it runs.
func (r testbed) sendAndAwaitStart(call string, f poison.Fingerprint, alone bool) <-chan peer.RunResult {
	out := r.send(call, "o", f, alone)
	<-r.upstream.started
	return out
}

func TestCrashMakesRunningRequestsSuspect(t *testing.T) {
	is := is.New(t)
	r := newTestbed(t, 2, 8, 8)
	a := r.sendAndAwaitStart("1", "fa", false)
	b := r.sendAndAwaitStart("2", "fb", false)
	r.upstream.crash()
	is.Equal((<-a).Code, code.UpstreamLost)
	is.Equal((<-b).Code, code.UpstreamLost)
	is.Equal(len(r.Status("").Verdicts), 2)
	is.Equal((<-r.send("3", "o", "fa", false)).Code, code.SuspectNotAlone)

	// Alone it may run; the end clears it.
	c := r.sendAndAwaitStart("4", "fa", true)
	r.upstream.complete <- struct{}{}
	is.Equal((<-c).Code, code.OK)
	d := r.sendAndAwaitStart("5", "fa", false)
	r.upstream.complete <- struct{}{}
	is.Equal((<-d).Code, code.OK)

	// A crash while it runs alone convicts.
	e := r.sendAndAwaitStart("6", "fb", true)
	r.upstream.crash()
	is.Equal((<-e).Code, code.UpstreamLost)
	is.Equal((<-r.send("7", "o", "fb", true)).Code, code.CrashingRequest)
}

func TestIsolatedRunExcludesOtherRequests(t *testing.T) {
	is := is.New(t)
	r := newTestbed(t, 4, 8, 8)
	a := r.sendAndAwaitStart("1", "fa", false)
	trial := r.send("2", "o", "fs", true)
	r.upstream.complete <- struct{}{}
	is.Equal((<-a).Code, code.OK)
	is.Equal(<-r.upstream.started, "2")
	b := r.send("3", "o", "fb", false)
	for r.Status("").Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(r.Status("").Running, 1)
	r.upstream.complete <- struct{}{}
	is.Equal((<-trial).Code, code.OK)
	is.Equal(<-r.upstream.started, "3")
	r.upstream.complete <- struct{}{}
	is.Equal((<-b).Code, code.OK)
}

func TestLostConnectionWithoutCrashRecordsNoVerdict(t *testing.T) {
	is := is.New(t)
	r := newTestbed(t, 2, 8, 8)
	a := r.sendAndAwaitStart("1", "fa", false)
	r.upstream.mu.Lock()
	close(r.upstream.crashed)
	r.upstream.crashed = make(chan struct{})
	r.upstream.mu.Unlock()
	res := <-a
	is.Equal(res.Code, code.UpstreamLost)
	is.Equal(len(res.Load.Verdicts), 0)
}

func TestFullQueueRejectsSurplusAsNotRun(t *testing.T) {
	is := is.New(t)
	r := newTestbed(t, 2, 2, 8)
	r.sendAndAwaitStart("a", "a", false)
	r.sendAndAwaitStart("b", "b", false)
	var waiting []<-chan peer.RunResult
	for n := range 8 + 5 {
		waiting = append(waiting, r.send(fmt.Sprint(n), "dominant", poison.Fingerprint(fmt.Sprint(n)), false))
	}
	awaitOverloaded(is, waiting, 5)
	is.Equal(r.Status("").Queued, 8)

	// A small organisation takes a place of the dominant one and is next.
	small := r.send("small", "small", "fs", false)
	awaitOverloaded(is, waiting, 1)
	r.upstream.complete <- struct{}{}
	is.Equal(<-r.upstream.started, "small")
	select {
	case res := <-small:
		t.Fatalf("the small organisation was refused: %v", res.Code)
	default:
	}
}

// awaitOverloaded waits until n of the attempts are refused for want of room.
func awaitOverloaded(is *is.I, waiting []<-chan peer.RunResult, n int) {
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

func TestCrashRejectsSurplusAsNotRun(t *testing.T) {
	is := is.New(t)
	r := newTestbed(t, 3, 4, 16)
	first := []<-chan peer.RunResult{r.sendAndAwaitStart("a", "a", false), r.sendAndAwaitStart("b", "b", false), r.sendAndAwaitStart("c", "c", false)}
	r.upstream.complete <- struct{}{}
	first = append(first, r.sendAndAwaitStart("d", "d", false), r.sendAndAwaitStart("e", "e", false))
	is.Equal(r.Status("").Limit, 4)
	var waiting []<-chan peer.RunResult
	for n := range 16 {
		waiting = append(waiting, r.send(fmt.Sprint(n), "o", poison.Fingerprint(fmt.Sprint(n)), false))
	}
	for r.Status("").Queued < 16 {
		time.Sleep(time.Millisecond)
	}
	r.upstream.crash()
	awaitOverloaded(is, waiting, 4)
	lost := 0
	for _, f := range first {
		if (<-f).Code == code.UpstreamLost {
			lost++
		}
	}
	is.Equal(lost, 4)
	for range 3 {
		<-r.upstream.started
	}
	status := r.Status("")
	is.Equal(status.Limit, 3)
	is.Equal(status.Running, 3)
	is.Equal(status.Queued, 9)
}

func TestCrashOfLeavingUpstreamConvictsNoRequest(t *testing.T) {
	is := is.New(t)
	r := newTestbed(t, 2, 8, 8)
	trial := r.sendAndAwaitStart("1", "fs", true)
	left := make(chan struct{})
	go func() {
		r.Leave(context.Background())
		close(left)
	}()
	for !r.Status("").Leaving {
		time.Sleep(time.Millisecond)
	}
	r.upstream.crash()
	is.Equal((<-trial).Code, code.UpstreamLost)
	<-left
	is.Equal(r.Status("").Verdicts[0].State, poison.Suspect)
}

func TestNothingStartsWhileUpstreamIsDown(t *testing.T) {
	is := is.New(t)
	r := newTestbed(t, 2, 8, 8)
	a := r.sendAndAwaitStart("1", "fa", false)
	r.upstream.mu.Lock()
	r.upstream.down = true
	r.upstream.mu.Unlock()
	r.upstream.crash()
	is.Equal((<-a).Code, code.UpstreamLost)
	is.Equal((<-r.send("2", "o", "fa", true)).Code, code.UpstreamUnreachable)
	r.upstream.mu.Lock()
	r.upstream.down = false
	r.upstream.mu.Unlock()
	for !r.Status("").Reachable {
		time.Sleep(time.Millisecond)
	}
	b := r.sendAndAwaitStart("3", "fa", true)
	r.upstream.complete <- struct{}{}
	is.Equal((<-b).Code, code.OK)
}

func TestHealthRequestedBeforeALossIsIgnored(t *testing.T) {
	is := is.New(t)
	r := newTestbed(t, 2, 8, 8)
	asked := r.lostRunCount()
	h, _ := r.upstream.Health(context.Background())
	r.upstream.mu.Lock()
	r.upstream.down = true
	r.upstream.mu.Unlock()
	newest := r.beginLossCheck()
	r.recordHealth(upstream.Health{}, false, newest)
	r.recordHealth(h, true, asked)
	is.True(!r.Status("").Reachable)
	r.endLossCheck()
}

func TestWorkWaitsDuringLossCheck(t *testing.T) {
	is := is.New(t)
	r := newTestbed(t, 2, 8, 8)
	asked := r.beginLossCheck()
	a := r.send("1", "o", "fa", false)
	for r.Status("").Queued == 0 {
		select {
		case <-r.upstream.started:
			t.Fatal("work started on an upstream that may be down")
		case <-time.After(time.Millisecond):
		}
	}
	r.recordHealth(upstream.Health{Incarnation: "0", Models: []string{"m"}}, true, asked)
	r.endLossCheck()
	is.Equal(<-r.upstream.started, "1")
	r.upstream.complete <- struct{}{}
	is.Equal((<-a).Code, code.OK)
}

// slowCancelUpstream is an upstream that goes on with a request for a while after its client
// went away.
type slowCancelUpstream struct {
	*fakeUpstream
	busy, peak atomic.Int32
}

// cancelNoticeTime is the time that slowToStop takes to notice that a client went away.
const cancelNoticeTime = cancelDrainTime / 2

func (s *slowCancelUpstream) Run(ctx context.Context, r peer.RunRequest, emit func(upstream.Part) error) (upstream.Answer, error) {
	busy := s.busy.Add(1)
	for peak := s.peak.Load(); busy > peak && !s.peak.CompareAndSwap(peak, busy); {
		peak = s.peak.Load()
	}
	a, err := s.fakeUpstream.Run(ctx, r, emit)
	if err != nil {
		time.AfterFunc(cancelNoticeTime, func() { s.busy.Add(-1) })
		return a, err
	}
	s.busy.Add(-1)
	return a, err
}

func TestCancelledRunKeepsItsSlotUntilUpstreamStops(t *testing.T) {
	is := is.New(t)
	s := &slowCancelUpstream{fakeUpstream: newFakeUpstream()}
	r := newTestbedWithClient(t, s, s.fakeUpstream, 1, 1, 8)
	first := r.sendAndAwaitStart("1", "fa", false)
	second := r.send("2", "o", "fb", false)
	_, err := r.Cancel(context.Background(), nil, peer.CancelRequest{Call: "1", Request: "1", Attempt: 1, Incarnation: r.fence.Incarnation()})
	is.NoErr(err)
	is.Equal((<-first).Code, code.CallerGone) // the result does not wait for the upstream
	is.Equal(<-r.upstream.started, "2")
	r.upstream.complete <- struct{}{}
	is.Equal((<-second).Code, code.OK)
	is.Equal(s.peak.Load(), int32(1))
}

func TestSlotKeptAfterCancelIsNoServiceTime(t *testing.T) {
	is := is.New(t)
	r := newTestbed(t, 1, 1, 8)
	first := r.sendAndAwaitStart("1", "fa", false)
	_, err := r.Cancel(context.Background(), nil, peer.CancelRequest{Call: "1", Request: "1", Attempt: 1, Incarnation: r.fence.Incarnation()})
	is.NoErr(err)
	is.Equal((<-first).Code, code.CallerGone)
	r.clockOffset.Store(int64(time.Hour))
	for r.Status("").Running > 0 {
		time.Sleep(time.Millisecond)
	}
	is.True(r.Status("").ServiceMillis < serviceTimeGain*float64(time.Hour.Milliseconds()))
}
