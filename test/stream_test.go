package test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/coltsfootpitch/coltsfootpitch/internal/client"
	"github.com/coltsfootpitch/coltsfootpitch/internal/fleet"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standin/model"
)

func init() {
	commands["stream"] = startStreams
	commands["streamed"] = checkStreams
	commands["crash"] = crashEngines
	commands["vanish"] = checkDisconnectedCallers
	commands["stall"] = checkStalledCallers
}

// streamSet holds the streams of one stream command; done is closed when all have ended.
type streamSet struct {
	done      chan struct{}
	responses []client.Response
	errors    []error
	tokens    int
}

var (
	streamsMu sync.Mutex
	// streamsByFleet holds the streams of all scripts by fleet and name.
	streamsByFleet = map[*fleet.Fleet]map[string]*streamSet{}
)

func streamPrompt(name string, n int) string { return fmt.Sprintf("%s stream %d", name, n) }

// startStreams: stream NAME COUNT PARALLEL TOKENS starts sending streamed model requests in the
// background.
func startStreams(ts *testscript.TestScript, _ bool, args []string) {
	f := stateOf(ts).fleet
	count, tokens := parseNumber(ts, args[1]), parseNumber(ts, args[3])
	s := &streamSet{done: make(chan struct{}), responses: make([]client.Response, count), errors: make([]error, count), tokens: tokens}
	streamsMu.Lock()
	if streamsByFleet[f] == nil {
		streamsByFleet[f] = map[string]*streamSet{}
	}
	streamsByFleet[f][args[0]] = s
	streamsMu.Unlock()
	entries := f.SortedEntryAddresses()
	streamNumbers := make(chan int)
	var senders sync.WaitGroup
	for range parseNumber(ts, args[2]) {
		senders.Go(func() {
			for n := range streamNumbers {
				c := client.New(fleet.BearerToken(organisations[n%len(organisations)]), nil)
				ctx, cancel := context.WithTimeout(context.Background(), scenarioTimeout)
				call := client.NewChatRequest("intake-llm", streamPrompt(args[0], n), tokens, true)
				s.responses[n], s.errors[n] = c.DoAt(ctx, entries[n%len(entries)], call)
				cancel()
			}
		})
	}
	go func() {
		for n := range count {
			streamNumbers <- n
		}
		close(streamNumbers)
		senders.Wait()
		close(s.done)
	}()
}

// checkStreams: streamed NAME WHOLE-AT-LEAST waits for a stream command and checks its responses.
// No response may contain a foreign, missing or duplicated byte; an incomplete one must be a prefix
// of the correct one and must be marked incomplete.
func checkStreams(ts *testscript.TestScript, _ bool, args []string) {
	f := stateOf(ts).fleet
	streamsMu.Lock()
	s := streamsByFleet[f][args[0]]
	streamsMu.Unlock()
	<-s.done
	complete := 0
	codes := map[int]int{}
	for n, a := range s.responses {
		want := model.ResponseText("user:"+streamPrompt(args[0], n)+"\n", s.tokens)
		switch {
		case s.errors[n] == nil && a.Complete && a.Text == want:
			complete++
		case a.Complete:
			ts.Fatalf("stream %d is marked complete with text %q, want %q", n, a.Text, want)
		case a.Status == http.StatusOK && !strings.HasPrefix(want, a.Text):
			ts.Fatalf("stream %d has text %q, which is not a prefix of %q", n, a.Text, want)
		default:
			codes[a.ResultCode]++
		}
	}
	if bad := sumEngineLedgers(ts, f).InvalidResumes; bad > 0 {
		ts.Fatalf("engines received %d resumed streams with an incorrect prefix", bad)
	}
	resumed := countEvents(f, event.StreamResumed)
	completed := countEvents(f, event.StreamCompleted)
	ts.Logf("%s: %d of %d complete, %d resumes, %d completed at the entry, incomplete by code %v", args[0], complete, len(s.responses), resumed, completed, codes)
	if complete < parseNumber(ts, args[1]) {
		ts.Fatalf("%d streams are complete, want at least %s", complete, args[1])
	}
}

// countEvents counts the events of a kind in the logs of all processes.
func countEvents(f *fleet.Fleet, k event.Kind) int {
	n := 0
	for _, p := range f.Processes {
		n += strings.Count(p.Log(), "event="+string(k)+" ")
	}
	return n
}

// crashEngines: crash UPSTREAM... crashes model engines, which ends all their requests.
func crashEngines(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Check(stateOf(ts).fleet.Crash(name))
	}
}

// checkDisconnectedCallers: vanish COUNT TOKENS starts streams whose callers disconnect after the
// first bytes, waits until the engines have no requests in progress, and checks that none of the
// streams has finished.
func checkDisconnectedCallers(ts *testscript.TestScript, _ bool, args []string) {
	f := stateOf(ts).fleet
	entries := f.SortedEntryAddresses()
	var group sync.WaitGroup
	for n := range parseNumber(ts, args[0]) {
		group.Go(func() { disconnectAfterFirstBytes(ts, entries[n%len(entries)], n, args[1]) })
	}
	group.Wait()
	disconnectedAt := time.Now()
	for sumEngineLedgers(ts, f).Running > 0 {
		if time.Since(disconnectedAt) > scenarioTimeout/2 {
			ts.Fatalf("engines still run streams whose callers have disconnected")
		}
		time.Sleep(time.Millisecond)
	}
	ts.Logf("engines are idle %s after the callers disconnected", time.Since(disconnectedAt).Round(time.Millisecond))
	l := sumEngineLedgers(ts, f)
	if len(l.Started) == 0 || len(l.Finished) > 0 {
		ts.Fatalf("%d streams started and %d finished", len(l.Started), len(l.Finished))
	}
}

func disconnectAfterFirstBytes(ts *testscript.TestScript, entry string, n int, tokens string) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	body := client.NewChatRequest("intake-llm", streamPrompt("gone", n), parseNumber(ts, tokens), true).Body
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/chat/completions", strings.NewReader(string(body)))
	ts.Check(err)
	req.Header.Set("Authorization", "Bearer "+fleet.BearerToken(organisations[0]))
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	defer resp.Body.Close()
	if _, err := resp.Body.Read(make([]byte, 64)); err != nil {
		ts.Fatalf("no first bytes: %v", err)
	}
}

// sumEngineLedgers returns the sum of the ledgers of all engines.
func sumEngineLedgers(ts *testscript.TestScript, f *fleet.Fleet) model.Ledger {
	list, err := fleet.ReadLedgers[model.Ledger](f, "intake-llm")
	ts.Check(err)
	sum := model.Ledger{Started: map[string]int{}, Finished: map[string]int{}}
	for _, l := range list {
		sum.Running += l.Running
		sum.InvalidResumes += l.InvalidResumes
		addCounts(sum.Started, l.Started)
		addCounts(sum.Finished, l.Finished)
	}
	return sum
}

// addCounts adds the counts in from to the counts in to.
func addCounts(to, from map[string]int) {
	for k, n := range from {
		to[k] += n
	}
}

// checkStalledCallers: stall COUNT starts very long streams whose callers never read, and waits
// until the engines have no requests in progress and the entries have ended the requests.
func checkStalledCallers(ts *testscript.TestScript, _ bool, args []string) {
	f := stateOf(ts).fleet
	entries := f.SortedEntryAddresses()
	count := parseNumber(ts, args[0])
	for n := range count {
		raw, err := net.Dial("tcp", entries[n%len(entries)])
		ts.Check(err)
		defer raw.Close()
		ts.Check(raw.(*net.TCPConn).SetReadBuffer(4096))
		body := client.NewChatRequest("intake-llm", streamPrompt("stalled", n), 2_000_000, true).Body
		_, err = fmt.Fprintf(raw, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nX-Timeout-Ms: 6000\r\nContent-Length: %d\r\n\r\n%s",
			fleet.BearerToken(organisations[0]), len(body), body)
		ts.Check(err)
	}
	start := time.Now()
	for countEvents(f, event.RequestEnded) < count || sumEngineLedgers(ts, f).Running > 0 {
		if time.Since(start) > scenarioTimeout/2 {
			ts.Fatalf("%d of %d requests ended, engines run %d", countEvents(f, event.RequestEnded), count, sumEngineLedgers(ts, f).Running)
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Logf("requests of stalled callers ended after %s", time.Since(start).Round(time.Millisecond))
}
