package gateway

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/platform/standin"
)

// crashFleet is a fleet with workers that crash on one part of a prompt.
type crashFleet struct {
	*gatewayFleet
	crasher *standin.Crasher
	next    int
}

const (
	// crashingPart is the part that crashes the workers of the tests.
	crashingPart = "bad0"
	// contactTime is the platform's contact_ms: the time after which a machine that was not disturbed
	// is bound by the rules.
	contactTime = 3 * time.Second
)

func newCrashFleet(t *testing.T, gateways, workers int) *crashFleet {
	t.Helper()
	f := &crashFleet{gatewayFleet: newGatewayFleet(t)}
	f.crasher = standin.NewCrasher(f.store, "plain", "z", crashingPart, 300*time.Millisecond, 30*time.Millisecond)
	for i := range workers {
		w := f.crasher.Add("i-" + strconv.Itoa(i))
		t.Cleanup(w.Close)
	}
	f.startAll(gateways, workers)
	return f
}

// call sends a request with these prompt parts to the next gateway and returns the status, and the
// number of events if the response was whole.
func (f *crashFleet) call(parts ...string) (status, events int) {
	g := f.gateways[f.next%len(f.gateways)]
	f.next++
	return callWithParts(f.t, g.url, parts...)
}

// callWithParts sends a request that no other one equals, whose prompt has these parts and one of its
// own.
func callWithParts(t *testing.T, url string, parts ...string) (status, events int) {
	t.Helper()
	own := strconv.FormatUint(requestNumber.Add(1), 10)
	req, err := http.NewRequest(http.MethodPost, url+"/stream/x", strings.NewReader("prompt "+own))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Authorization", "Bearer key-1")
	standin.SetAttemptID(req, "attempt-"+own)
	standin.SetPromptParts(req, append(parts, "0wn"+own)...)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, 0
	}
	return resp.StatusCode, strings.Count(string(text), "data:")
}

// arrivalsAfterCrash returns the number of crashes, and how many requests with the crashing part reached
// workers later than contactTime after the n-th crash.
func (f *crashFleet) arrivalsAfterCrash(n int) (crashes, late int) {
	var nth time.Time
	for crashes = len(f.crasher.Crashes); len(f.crasher.Crashes) > 0; {
		at := <-f.crasher.Crashes
		if crashes-len(f.crasher.Crashes) == n {
			nth = at
		}
	}
	for len(f.crasher.Arrivals) > 0 {
		if at := <-f.crasher.Arrivals; !nth.IsZero() && at.After(nth.Add(contactTime)) {
			late++
		}
	}
	return crashes, late
}

// One part of a prompt crashed every upstream that began to answer it, and requests with it, no two
// alike and at any gateway, were sent to one upstream after the other.
func TestRequestsWithAPartThatCrashesUpstreamsAreRejected(t *testing.T) {
	is := is.New(t)
	f := newCrashFleet(t, 3, 8)
	for range 20 { // the shared part is in use before
		status, events := f.call("5afe", "cafe")
		is.Equal(status, http.StatusOK)
		is.Equal(events, 3)
	}
	const pause, duration = 120 * time.Millisecond, 6 * time.Second
	sound, served := 0, 0
	for start := time.Now(); time.Since(start) < duration; time.Sleep(pause) {
		go f.gateways[f.next%len(f.gateways)].callInBackground(t, "5afe", crashingPart)
		status, events := f.call("5afe", "cafe")
		if time.Since(start) > duration/2 {
			sound++
			if status == http.StatusOK && events == 3 {
				served++
			}
		}
	}
	crashes, late := f.arrivalsAfterCrash(5)
	t.Logf("%d crashes, %d requests reached workers late, %d of %d sound requests served", crashes, late, served, sound)
	is.True(late <= 3)
	is.Equal(served, sound) // same organisation and first part, no crash any more
}

// callInBackground sends a request whose response nobody looks at.
func (g *fleetGateway) callInBackground(t *testing.T, parts ...string) {
	callWithParts(t, g.url, parts...)
}
