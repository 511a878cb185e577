package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/crashcause"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/exchange"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/poison"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
	"github.com/coltsfootpitch/coltsfootpitch/platform/standin"
)

// repeatCrashingRequest sends the same request on a route, which crashes workers, under a new ID.
func repeatCrashingRequest(t *testing.T, url, route string) {
	req, err := http.NewRequest(http.MethodPost, url+"/"+route+"/x", strings.NewReader("the same"))
	if err != nil {
		t.Error(err)
		return
	}
	req.Host = "h"
	req.Header.Set("Authorization", "Bearer key-1")
	standin.SetAttemptID(req, fmt.Sprintf("again-%d", requestNumber.Add(1)))
	// The only part is the request's own, which gateways leave out of what requests have in common.
	standin.SetPromptParts(req, crashingPart)
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body) // the answer may break off
		resp.Body.Close()
	}
}

// repeatAndCheck lets a request that crashes workers come again and again, and checks that gateways stop it.
func (f *crashFleet) repeatAndCheck(route string) {
	f.t.Helper()
	const pause, duration = 150 * time.Millisecond, 11 * time.Second
	f.crasher.DownTime = contactTime + 200*time.Millisecond
	var calls sync.WaitGroup
	for start, i := time.Now(), 0; time.Since(start) < duration; time.Sleep(pause) {
		url := f.gateways[i%len(f.gateways)].url
		i++
		calls.Go(func() { repeatCrashingRequest(f.t, url, route) })
	}
	calls.Wait()
	crashes, late := f.arrivalsAfterCrash(3)
	f.t.Logf("%d crashes, %d requests reached workers late", crashes, late)
	is := is.New(f.t)
	is.True(crashes >= 2)
	is.True(late <= 3)
}

// A request that came again under other IDs ended every worker of a plain service, as often as it came:
// workers that crash with and without the head of the answer sent.
func TestRepeatedRequestThatCrashesUpstreamsIsRejected(t *testing.T) {
	for _, holdsHead := range []bool{true, false} {
		t.Run(fmt.Sprintf("holds head %v", holdsHead), func(t *testing.T) {
			t.Parallel()
			f := newCrashFleet(t, 3, 3)
			f.crasher.HoldsHead = holdsHead
			f.repeatAndCheck("safe")
		})
	}
}

// A request that ended its upstream after the first event of its answer counted as answered, and ended
// another one each time it came: at any event, with and without resumption, and where the end of an answer looks
// like that of its upstream.
func TestRequestThatCrashesUpstreamsMidAnswerIsRejected(t *testing.T) {
	for _, c := range []struct {
		name, route   string
		events        int
		framing       standin.Framing
		sparesResumed bool
	}{
		{"after the first event", "stream", 1, standin.FramedByChunks, false},
		{"after the last event", "stream", 3, standin.FramedByChunks, false},
		{"not resumable", "live", 1, standin.FramedByChunks, false},
		{"rest answered elsewhere", "stream", 2, standin.FramedByChunks, true},
		{"stream without framing", "stream", 2, standin.UnframedWithClose, false},
		{"plain answer without framing", "safe", 2, standin.UnframedWithClose, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newCrashFleet(t, 3, 3)
			f.crasher.Events, f.crasher.Framing, f.crasher.SparesResumed = c.events, c.framing, c.sparesResumed
			f.repeatAndCheck(c.route)
		})
	}
}

// Crashes of upstreams that came back under the ID that they had counted once for each ID, so that a request which
// ended them all was never stopped.
func TestCrashesOfUpstreamsThatKeepTheirIDsCount(t *testing.T) {
	t.Parallel()
	f := newCrashFleet(t, 3, 2)
	f.crasher.KeepsIDs = true
	f.repeatAndCheck("safe")
}

// The end of an upstream was overlooked where it ended the rest of a stream, or a failure, without framing: both
// look whole.
func TestEndOfUnframedRestOrFailureIsLookedAt(t *testing.T) {
	for name, c := range map[string]struct {
		status    int
		isResumed bool
	}{"rest of a stream": {http.StatusOK, true}, "failure": {http.StatusNotFound, false}} {
		t.Run(name, func(t *testing.T) {
			b := newTestbed(t, 2)
			b.configure("1")
			w := b.workers[0]
			w.Close()
			ended := &call{gateway: b.gateway, isResumedAttempt: c.isResumed,
				request: platform.ReadRequest(httptest.NewRequest(http.MethodPost, "/stream/x", nil), []byte("same"))}
			response := &exchange.Response{Response: &http.Response{StatusCode: c.status, ContentLength: unknownLength, Body: io.NopCloser(strings.NewReader(""))}}
			ended.recordEnd(response, Target{ID: w.ID, Address: w.Address()})
			b.waitUntil("the crash to be recorded", func() bool { return len(b.gateway.crashes.evidence(time.Now())) == 1 })
		})
	}
}

// A faulty upstream that failed a request before the work cleared it of the ends of others.
func TestFailureOfAnUpstreamDoesNotClearARequest(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, 2)
	b.configure("1")
	suspect := crashcause.Request{Fingerprint: string(poison.NewFingerprint("o", "h", http.MethodPost, "/safe/x", []byte("same")))}
	b.gateway.crashes.change(func(l *crashcause.Ledger) bool {
		return l.RecordCrash("i-gone", suspect, crashcause.NotBegun, time.Now())
	})
	cleared := func() int { return len(b.gateway.crashes.evidence(time.Now())[0].Begun.AnsweredSince) }
	b.setBehaviours(fail, fail)
	_, _, _, _ = b.call("/safe/x", "key-1", "same")
	is.Equal(cleared(), 0)
	b.setBehaviours(succeed, succeed)
	_, _, _, _ = b.call("/safe/x", "key-1", "same")
	is.Equal(cleared(), 1)
}
