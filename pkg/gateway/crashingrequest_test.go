package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/coltsfootpitch/coltsfootpitch/platform/standin"
)

// repeatCrashingRequest sends the same request, which crashes workers, under a new ID.
func repeatCrashingRequest(t *testing.T, url string) {
	req, err := http.NewRequest(http.MethodPost, url+"/safe/x", strings.NewReader("the same"))
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
		resp.Body.Close()
	}
}

// A request that came again under other IDs ended every worker of a plain service, as often as it came:
// workers that crash with and without the head of the answer sent.
func TestRepeatedRequestThatCrashesUpstreamsIsRejected(t *testing.T) {
	for _, holdsHead := range []bool{true, false} {
		t.Run(fmt.Sprintf("holds head %v", holdsHead), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newCrashFleet(t, 3, 3)
			f.crasher.HoldsHead, f.crasher.DownTime = holdsHead, contactTime+200*time.Millisecond
			var calls sync.WaitGroup
			const pause, duration = 150 * time.Millisecond, 11 * time.Second
			for start, i := time.Now(), 0; time.Since(start) < duration; time.Sleep(pause) {
				url := f.gateways[i%len(f.gateways)].url
				i++
				calls.Go(func() { repeatCrashingRequest(t, url) })
			}
			calls.Wait()
			crashes, late := f.arrivalsAfterCrash(3)
			t.Logf("%d crashes, %d requests reached workers late", crashes, late)
			is.True(late <= 3)
		})
	}
}
