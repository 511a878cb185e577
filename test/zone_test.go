package test

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/coltsfootpitch/coltsfootpitch/internal/fleet"
	"github.com/coltsfootpitch/coltsfootpitch/internal/load"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
)

func init() {
	commands["link"] = link
	commands["starts"] = starts
	commands["settled"] = settled
	commands["forget"] = forget
}

// link: link ENTRY up|cut|frozen sets the link between an entry and the platform.
func link(ts *testscript.TestScript, _ bool, args []string) {
	worldOf(ts).fleet.Links[args[0]].Set(fleet.LinkState(args[1]))
}

// forget: forget PROCESS takes a process out of the seeds that callers know.
func forget(ts *testscript.TestScript, _ bool, args []string) {
	delete(worldOf(ts).fleet.Callers, args[0])
}

func savedOf(ts *testscript.TestScript) map[string]int {
	w := worldOf(ts)
	if w.saved == nil {
		w.saved = map[string]int{}
	}
	return w.saved
}

// starts: starts ZONE|UPSTREAM save NAME keeps the number of requests that the stand-ins
// have started; "same NAME" checks that it has not changed since, and "more NAME N" waits
// until at least N more were started.
func starts(ts *testscript.TestScript, _ bool, args []string) {
	f := worldOf(ts).fleet
	saved := savedOf(ts)
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
		want := saved[args[2]] + number(ts, args[3])
		for end := time.Now().Add(startsLimit); n < want; n = countStarts(ts, f, args[0]) {
			if time.Now().After(end) {
				ts.Fatalf("%s: %d requests were started since %s, want %s", args[0], n-saved[args[2]], args[2], args[3])
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// startsLimit bounds the wait of "starts more".
const startsLimit = 20 * time.Second

// countStarts asks the stand-ins of a zone, or of one upstream, what they have started.
func countStarts(ts *testscript.TestScript, f *fleet.Fleet, place string) int {
	n := 0
	for name, url := range f.Upstreams {
		if place == name || place == f.Zones[name] {
			c, err := startedAt(url)
			ts.Check(err)
			n += c
		}
	}
	return n
}

// startedAt returns the number of requests that a stand-in has started.
func startedAt(url string) (int, error) {
	resp, err := http.Get(url + "/ledger")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	// The ledgers of both kinds of stand-ins; one of the fields is absent.
	var l struct {
		Started   map[string]int `json:"started"`
		ByRequest map[string]int `json:"by_request"`
	}
	err = json.NewDecoder(resp.Body).Decode(&l)
	n := 0
	for _, c := range l.Started {
		n += c
	}
	for _, c := range l.ByRequest {
		n += c
	}
	return n, err
}

// settled: settled NAME N waits for a send and checks that at least N answers are whole and that
// every other request was refused or failed with a code; none is whole but wrong.
func settled(ts *testscript.TestScript, _ bool, args []string) {
	all := <-worldOf(ts).sends[args[0]]
	wrong := load.Wrong(all)
	for _, o := range wrong {
		outcome := code.Code(o.Answer.Code).Outcome()
		refused := o.Answer.Code != 0 && outcome != code.Done
		if o.Answer.Whole || o.Err == nil && !refused {
			ts.Fatalf("request %d: status %d code %d whole %v text %q", o.Number, o.Answer.Status, o.Answer.Code, o.Answer.Whole, o.Answer.Text)
		}
		ts.Logf("request %d: code %d error %v", o.Number, o.Answer.Code, o.Err)
	}
	if got := len(all) - len(wrong); got < number(ts, args[1]) {
		ts.Fatalf("%d of %d answers are whole, want at least %s", got, len(all), args[1])
	}
}
