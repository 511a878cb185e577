package test

import (
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/coltsfootpitch/coltsfootpitch/internal/fleet"
	"github.com/coltsfootpitch/coltsfootpitch/internal/load"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
)

func init() {
	commands["link"] = setLink
	commands["starts"] = checkStarts
	commands["pour"] = startLoad
	commands["drained"] = stopLoad
	commands["forget"] = removeSeed
}

// setLink: link ENTRY up|cut|frozen sets the state of the link between an entry and the platform.
func setLink(ts *testscript.TestScript, _ bool, args []string) {
	stateOf(ts).fleet.PlatformLinks[args[0]].SetState(fleet.LinkState(args[1]))
}

// removeSeed: forget PROCESS removes a process from the seed addresses of callers.
func removeSeed(ts *testscript.TestScript, _ bool, args []string) {
	delete(stateOf(ts).fleet.EntryAddresses, args[0])
}

func savedCountsOf(ts *testscript.TestScript) map[string]int {
	state := stateOf(ts)
	if state.savedCounts == nil {
		state.savedCounts = map[string]int{}
	}
	return state.savedCounts
}

// checkStarts: starts ZONE|UPSTREAM save NAME saves the number of requests that the stand-ins have
// started; "same NAME" checks that it has not changed since, and "more NAME N" waits until at
// least N more were started.
func checkStarts(ts *testscript.TestScript, _ bool, args []string) {
	f := stateOf(ts).fleet
	saved := savedCountsOf(ts)
	n := countStarts(ts, f, args[0])
	ts.Logf("%s: %d requests started", args[0], n)
	switch args[1] {
	case "save":
		saved[args[2]] = n
	case "same":
		if n != saved[args[2]] {
			ts.Fatalf("%s: %d requests were started since %s", args[0], n-saved[args[2]], args[2])
		}
	case "more":
		want := saved[args[2]] + parseNumber(ts, args[3])
		for end := time.Now().Add(startsTimeout); n < want; n = countStarts(ts, f, args[0]) {
			if time.Now().After(end) {
				ts.Fatalf("%s: %d requests were started since %s, want %s", args[0], n-saved[args[2]], args[2], args[3])
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// startsTimeout is the maximum wait of "starts ... more".
const startsTimeout = 2 * time.Minute

// countStarts returns the number of requests started by the stand-ins of a zone, or of one
// upstream.
func countStarts(ts *testscript.TestScript, f *fleet.Fleet, target string) int {
	n := 0
	for name, url := range f.StandinURLs {
		if target == name || target == f.AgentZones[name] {
			c, err := readStartCount(url)
			ts.Check(err)
			n += c
		}
	}
	return n
}

// readStartCount returns the number of requests that a stand-in has started.
func readStartCount(url string) (int, error) {
	// ledger combines the ledgers of both kinds of stand-ins; one of the fields is absent.
	type ledger struct {
		Started   map[string]int `json:"started"`
		ByRequest map[string]int `json:"by_request"`
	}
	l, err := fleet.ReadLedger[ledger](url)
	n := 0
	for _, c := range l.Started {
		n += c
	}
	for _, c := range l.ByRequest {
		n += c
	}
	return n, err
}

// startLoad: pour NAME PARALLEL TOKENS PAUSE sends model and service requests until "drained"
// stops the load.
func startLoad(ts *testscript.TestScript, _ bool, args []string) {
	state := stateOf(ts)
	if state.loads == nil {
		state.loads = map[string]*load.ContinuousLoad{}
	}
	state.loads[args[0]] = load.StartContinuousLoad(parseMix(ts, args[0], args[1:]))
}

// stopLoad: drained NAME whole|settled stops a load and checks its responses. With "whole" all
// must be complete and correct. With "settled" each must be complete and correct, or must have
// been rejected or failed with a result code or a lost connection; none may be complete but
// incorrect, and at most maxLostResponses may be incomplete.
func stopLoad(ts *testscript.TestScript, _ bool, args []string) {
	all := stateOf(ts).loads[args[0]].Stop()
	incorrect := load.Incorrect(all)
	for _, o := range incorrect {
		outcome := code.Code(o.Response.ResultCode).Outcome()
		rejected := o.Response.ResultCode != 0 && outcome != code.Done
		ts.Logf("request %d: status %d code %d complete %v error %v", o.Number, o.Response.Status, o.Response.ResultCode, o.Response.Complete, o.Err)
		if args[1] == "whole" || o.Response.Complete || o.Err == nil && !rejected {
			ts.Fatalf("request %d has an invalid response: text %q", o.Number, o.Response.Text)
		}
	}
	ts.Logf("%d responses, %d incomplete", len(all), len(incorrect))
	if len(incorrect) > maxLostResponses {
		ts.Fatalf("%d of %d responses are incomplete", len(incorrect), len(all))
	}
}

// maxLostResponses limits the responses lost with killed processes: those in progress there, and
// those to requests that callers send to a killed entry while they still use its address.
const maxLostResponses = 60
