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

// fakeUpstream runs each request until the test completes one or crashes the upstream, which
// ends all.
type fakeUpstream struct {
	mu          sync.Mutex
	incarnation int
	// down makes health checks fail.
	down bool
	// crashed is closed at a crash and replaced for the next incarnation.
	crashed chan struct{}
	// started receives the call of each request that starts.
	started chan string
	// complete completes one running request for each value.
	complete chan struct{}
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

func (f *fakeUpstream) Run(ctx context.Context, r peer.RunRequest, _ func(upstream.Part) error) (upstream.ResponseSummary, error) {
	f.mu.Lock()
	crashed := f.crashed
	f.mu.Unlock()
	f.started <- r.CallID
	select {
	case <-f.complete:
		return upstream.ResponseSummary{Status: 200}, nil
	case <-crashed:
		return upstream.ResponseSummary{}, upstream.ErrLost
	case <-ctx.Done():
		return upstream.ResponseSummary{}, errors.Join(upstream.ErrLost, ctx.Err())
	}
}

// crash ends all running requests and begins a new incarnation.
func (f *fakeUpstream) crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.incarnation++
	close(f.crashed)
	f.crashed = make(chan struct{})
}

// discardSender is a sender that discards the response.
type discardSender struct{}

func (discardSender) Send(peer.Frame) error { return nil }

// testbed is an agent with its fake upstream.
type testbed struct {
	*Agent
	upstream *fakeUpstream
	// clockOffset is the time by which the agent's clock is ahead of the real one, in
	// nanoseconds.
	clockOffset *atomic.Int64
}

// newTestbed returns a testbed with the given cold limit, warm limit and queue limit.
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
	clockOffset := &atomic.Int64{}
	now := func() time.Time { return time.Now().Add(time.Duration(clockOffset.Load())) }
	a := New(Options{Settings: s, Client: c, Now: now, Recorder: event.NewRecorder("a", event.NewClock(nil), nil)})
	a.config.Adopt(&configuration.Document{Version: 1, Zones: []configuration.Zone{{Name: "z", State: configuration.ZoneIn}}})
	h, _ := f.Health(context.Background())
	a.recordHealth(h, true, 0)
	a.Start()
	t.Cleanup(a.Stop)
	return testbed{a, f, clockOffset}
}

// send sends an attempt and returns the channel of its result.
func (tb testbed) send(call, organisation string, fingerprint poison.Fingerprint, isolated bool) <-chan peer.RunResult {
	out := make(chan peer.RunResult, 1)
	req := peer.RunRequest{
		CallID: call, RequestID: call, Attempt: 1, Incarnation: tb.fence.Incarnation(), Organisation: organisation,
		Kind: peer.ModelWork, Target: "m", Idempotent: true, Cost: 10, StartWithinMillis: 60_000, TimeoutMillis: 60_000,
		IssuedAtMillis: tb.uptime().Milliseconds(), Fingerprint: fingerprint, Isolated: isolated,
	}
	go func() { out <- tb.Run(context.Background(), discardSender{}, req) }()
	return out
}

// sendAndAwaitStart sends an attempt and waits until it runs.
func (tb testbed) sendAndAwaitStart(call string, fingerprint poison.Fingerprint, isolated bool) <-chan peer.RunResult {
	out := tb.send(call, "o", fingerprint, isolated)
	<-tb.upstream.started
	return out
}

func TestCrashMakesRunningRequestsSuspect(t *testing.T) {
	is := is.New(t)
	tb := newTestbed(t, 2, 8, 8)
	a := tb.sendAndAwaitStart("1", "fa", false)
	b := tb.sendAndAwaitStart("2", "fb", false)
	tb.upstream.crash()
	is.Equal((<-a).Code, code.UpstreamLost)
	is.Equal((<-b).Code, code.UpstreamLost)
	is.Equal(len(tb.Status("").Verdicts), 2)
	is.Equal((<-tb.send("3", "o", "fa", false)).Code, code.SuspectNotAlone)

	// A complete isolated run clears the request.
	c := tb.sendAndAwaitStart("4", "fa", true)
	tb.upstream.complete <- struct{}{}
	is.Equal((<-c).Code, code.OK)
	d := tb.sendAndAwaitStart("5", "fa", false)
	tb.upstream.complete <- struct{}{}
	is.Equal((<-d).Code, code.OK)

	// A crash during an isolated run convicts the request.
	e := tb.sendAndAwaitStart("6", "fb", true)
	tb.upstream.crash()
	is.Equal((<-e).Code, code.UpstreamLost)
	is.Equal((<-tb.send("7", "o", "fb", true)).Code, code.CrashingRequest)
}

func TestIsolatedRunExcludesOtherRequests(t *testing.T) {
	is := is.New(t)
	tb := newTestbed(t, 4, 8, 8)
	a := tb.sendAndAwaitStart("1", "fa", false)
	isolated := tb.send("2", "o", "fs", true)
	tb.upstream.complete <- struct{}{}
	is.Equal((<-a).Code, code.OK)
	is.Equal(<-tb.upstream.started, "2")
	b := tb.send("3", "o", "fb", false)
	for tb.Status("").Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(tb.Status("").Running, 1)
	tb.upstream.complete <- struct{}{}
	is.Equal((<-isolated).Code, code.OK)
	is.Equal(<-tb.upstream.started, "3")
	tb.upstream.complete <- struct{}{}
	is.Equal((<-b).Code, code.OK)
}

func TestLostConnectionWithoutCrashRecordsNoVerdict(t *testing.T) {
	is := is.New(t)
	tb := newTestbed(t, 2, 8, 8)
	a := tb.sendAndAwaitStart("1", "fa", false)
	tb.upstream.mu.Lock()
	close(tb.upstream.crashed)
	tb.upstream.crashed = make(chan struct{})
	tb.upstream.mu.Unlock()
	res := <-a
	is.Equal(res.Code, code.UpstreamLost)
	is.Equal(len(res.AgentStatus.Verdicts), 0)
}

func TestFullQueueRejectsSurplusAsNotRun(t *testing.T) {
	is := is.New(t)
	tb := newTestbed(t, 2, 2, 8)
	tb.sendAndAwaitStart("a", "a", false)
	tb.sendAndAwaitStart("b", "b", false)
	var waiting []<-chan peer.RunResult
	for n := range 8 + 5 {
		waiting = append(waiting, tb.send(fmt.Sprint(n), "dominant", poison.Fingerprint(fmt.Sprint(n)), false))
	}
	awaitOverloaded(is, waiting, 5)
	is.Equal(tb.Status("").Queued, 8)

	// A request of a small organisation evicts one of the dominant one and starts next.
	small := tb.send("small", "small", "fs", false)
	awaitOverloaded(is, waiting, 1)
	tb.upstream.complete <- struct{}{}
	is.Equal(<-tb.upstream.started, "small")
	select {
	case res := <-small:
		t.Fatalf("the request of the small organisation was rejected: %v", res.Code)
	default:
	}
}

// awaitOverloaded waits until n of the attempts are rejected for lack of capacity.
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
	tb := newTestbed(t, 3, 4, 16)
	first := []<-chan peer.RunResult{tb.sendAndAwaitStart("a", "a", false), tb.sendAndAwaitStart("b", "b", false), tb.sendAndAwaitStart("c", "c", false)}
	tb.upstream.complete <- struct{}{}
	first = append(first, tb.sendAndAwaitStart("d", "d", false), tb.sendAndAwaitStart("e", "e", false))
	is.Equal(tb.Status("").Limit, 4)
	var waiting []<-chan peer.RunResult
	for n := range 16 {
		waiting = append(waiting, tb.send(fmt.Sprint(n), "o", poison.Fingerprint(fmt.Sprint(n)), false))
	}
	for tb.Status("").Queued < 16 {
		time.Sleep(time.Millisecond)
	}
	tb.upstream.crash()
	awaitOverloaded(is, waiting, 4)
	lost := 0
	for _, f := range first {
		if (<-f).Code == code.UpstreamLost {
			lost++
		}
	}
	is.Equal(lost, 4)
	for range 3 {
		<-tb.upstream.started
	}
	status := tb.Status("")
	is.Equal(status.Limit, 3)
	is.Equal(status.Running, 3)
	is.Equal(status.Queued, 9)
}

func TestCrashOfLeavingUpstreamConvictsNoRequest(t *testing.T) {
	is := is.New(t)
	tb := newTestbed(t, 2, 8, 8)
	isolated := tb.sendAndAwaitStart("1", "fs", true)
	left := make(chan struct{})
	go func() {
		tb.Leave(context.Background())
		close(left)
	}()
	for !tb.Status("").Leaving {
		time.Sleep(time.Millisecond)
	}
	tb.upstream.crash()
	is.Equal((<-isolated).Code, code.UpstreamLost)
	<-left
	is.Equal(tb.Status("").Verdicts[0].State, poison.Suspect)
}

func TestNothingStartsWhileUpstreamIsDown(t *testing.T) {
	is := is.New(t)
	tb := newTestbed(t, 2, 8, 8)
	a := tb.sendAndAwaitStart("1", "fa", false)
	tb.upstream.mu.Lock()
	tb.upstream.down = true
	tb.upstream.mu.Unlock()
	tb.upstream.crash()
	is.Equal((<-a).Code, code.UpstreamLost)
	is.Equal((<-tb.send("2", "o", "fa", true)).Code, code.UpstreamUnreachable)
	tb.upstream.mu.Lock()
	tb.upstream.down = false
	tb.upstream.mu.Unlock()
	for !tb.Status("").Reachable {
		time.Sleep(time.Millisecond)
	}
	b := tb.sendAndAwaitStart("3", "fa", true)
	tb.upstream.complete <- struct{}{}
	is.Equal((<-b).Code, code.OK)
}

func TestHealthRequestedBeforeALossIsIgnored(t *testing.T) {
	is := is.New(t)
	tb := newTestbed(t, 2, 8, 8)
	lossesBefore := tb.lostRunCount()
	h, _ := tb.upstream.Health(context.Background())
	tb.upstream.mu.Lock()
	tb.upstream.down = true
	tb.upstream.mu.Unlock()
	lossesAfter := tb.beginLossCheck()
	tb.recordHealth(upstream.Health{}, false, lossesAfter)
	tb.recordHealth(h, true, lossesBefore)
	is.True(!tb.Status("").Reachable)
	tb.endLossCheck()
}

func TestWorkWaitsDuringLossCheck(t *testing.T) {
	is := is.New(t)
	tb := newTestbed(t, 2, 8, 8)
	lossesBefore := tb.beginLossCheck()
	a := tb.send("1", "o", "fa", false)
	for tb.Status("").Queued == 0 {
		select {
		case <-tb.upstream.started:
			t.Fatal("work started on an upstream that may be down")
		case <-time.After(time.Millisecond):
		}
	}
	tb.recordHealth(upstream.Health{Incarnation: "0", Models: []string{"m"}}, true, lossesBefore)
	tb.endLossCheck()
	is.Equal(<-tb.upstream.started, "1")
	tb.upstream.complete <- struct{}{}
	is.Equal((<-a).Code, code.OK)
}

// slowCancelUpstream is an upstream that continues a request for cancelNoticeTime after its
// client disconnected.
type slowCancelUpstream struct {
	*fakeUpstream
	// busy is the number of requests in progress and peak its highest value.
	busy, peak atomic.Int32
}

// cancelNoticeTime is the time that slowCancelUpstream takes to detect the disconnection of a
// client.
const cancelNoticeTime = cancelDrainTime / 2

func (s *slowCancelUpstream) Run(ctx context.Context, r peer.RunRequest, emit func(upstream.Part) error) (upstream.ResponseSummary, error) {
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
	tb := newTestbedWithClient(t, s, s.fakeUpstream, 1, 1, 8)
	first := tb.sendAndAwaitStart("1", "fa", false)
	second := tb.send("2", "o", "fb", false)
	_, err := tb.Cancel(context.Background(), nil, peer.CancelRequest{CallID: "1", RequestID: "1", Attempt: 1, Incarnation: tb.fence.Incarnation()})
	is.NoErr(err)
	is.Equal((<-first).Code, code.CallerGone) // the result does not wait for the upstream
	is.Equal(<-tb.upstream.started, "2")
	tb.upstream.complete <- struct{}{}
	is.Equal((<-second).Code, code.OK)
	is.Equal(s.peak.Load(), int32(1))
}

func TestSlotKeptAfterCancelIsNoServiceTime(t *testing.T) {
	is := is.New(t)
	tb := newTestbed(t, 1, 1, 8)
	first := tb.sendAndAwaitStart("1", "fa", false)
	_, err := tb.Cancel(context.Background(), nil, peer.CancelRequest{CallID: "1", RequestID: "1", Attempt: 1, Incarnation: tb.fence.Incarnation()})
	is.NoErr(err)
	is.Equal((<-first).Code, code.CallerGone)
	tb.clockOffset.Store(int64(time.Hour))
	for tb.Status("").Running > 0 {
		time.Sleep(time.Millisecond)
	}
	is.True(tb.Status("").MeanServiceMillis < serviceTimeGain*float64(time.Hour.Milliseconds()))
}
