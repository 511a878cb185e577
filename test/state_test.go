package test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/coltsfootpitch/coltsfootpitch/internal/fleet"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/ctl"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standin/objects"
)

func init() {
	commands["ctl"] = runCtl
	commands["platform"] = setPlatformFault
	commands["race"] = applyConcurrently
	commands["inforce"] = waitForVersion
	commands["findevent"] = waitForEvent
	commands["ready"] = waitUntilReady
}

// propagationTimeout is the time within which an accepted edit must be in force in all processes.
const propagationTimeout = 9 * time.Second

// ctlArgs replaces @platform and @operators with the flags for the fleet.
func ctlArgs(f *fleet.Fleet, args []string) []string {
	var out []string
	for _, a := range args {
		switch a {
		case "@platform":
			out = append(out, "--platform", f.PlatformURL)
		case "@operators":
			out = append(out, "--token", fleet.OperatorToken)
			for _, o := range f.OperatorAddresses() {
				out = append(out, "--operator", o)
			}
		default:
			out = append(out, a)
		}
	}
	return out
}

// runCtl: ctl ARG... runs coltsfootctl with the arguments; with ! it must fail.
func runCtl(ts *testscript.TestScript, neg bool, args []string) {
	err := ts.Exec("coltsfootctl", ctlArgs(stateOf(ts).fleet, args)...)
	if neg == (err == nil) {
		ts.Fatalf("coltsfootctl %s: %v", strings.Join(args, " "), err)
	}
}

// setPlatformFault: platform up | down | slow MILLISECONDS | lose COUNT makes the platform
// respond normally, not at all, after a delay, or lose the next COUNT responses.
func setPlatformFault(ts *testscript.TestScript, _ bool, args []string) {
	var f objects.Faults
	switch args[0] {
	case "down":
		f.Down = true
	case "slow":
		f.DelayMillis = int64(parseNumber(ts, args[1]))
	case "lose":
		f.LoseResponses = parseNumber(ts, args[1])
	}
	body, err := json.Marshal(f)
	ts.Check(err)
	resp, err := http.Post(stateOf(ts).fleet.PlatformURL+"/faults", "application/json", bytes.NewReader(body))
	ts.Check(err)
	resp.Body.Close()
}

// applyConcurrently: race ACCEPTED CONFLICTS SECTION:BASE:FILE... applies all files concurrently,
// each with its own coltsfootctl process, and checks the numbers of accepted edits and conflicts.
func applyConcurrently(ts *testscript.TestScript, _ bool, args []string) {
	var mu sync.Mutex
	accepted, conflicts := 0, 0
	var text strings.Builder
	var operators sync.WaitGroup
	for _, f := range args[2:] {
		part := strings.Split(f, ":")
		c := []string{"config", "apply", "@platform", "--section", part[0], "--base", part[1], ts.MkAbs(part[2])}
		c = ctlArgs(stateOf(ts).fleet, c)
		operators.Go(func() {
			out, _ := exec.Command(filepath.Join(binaries, "coltsfootctl"), c...).CombinedOutput()
			mu.Lock()
			defer mu.Unlock()
			text.Write(out)
			accepted += strings.Count(string(out), "accepted as version")
			conflicts += strings.Count(string(out), "configuration-conflict")
		})
	}
	operators.Wait()
	if accepted != parseNumber(ts, args[0]) || conflicts != parseNumber(ts, args[1]) {
		ts.Fatalf("%d accepted and %d conflicts, want %s and %s:\n%s", accepted, conflicts, args[0], args[1], text.String())
	}
}

// waitForVersion: inforce VERSION waits until the configuration version is in force in all
// processes, for at most propagationTimeout.
func waitForVersion(ts *testscript.TestScript, _ bool, args []string) {
	f := stateOf(ts).fleet
	want := "coltsfoot_configuration_version " + args[0] + "\n"
	start := time.Now()
	end := start.Add(propagationTimeout)
	for _, a := range f.OperatorAddresses() {
		for !hasMetricLine(a, want) {
			if time.Now().After(end) {
				ts.Fatalf("%s lacks version %s after %s", a, args[0], propagationTimeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	ts.Logf("version %s is in force everywhere after %s", args[0], time.Since(start).Round(time.Millisecond))
}

// hasMetricLine reports whether the metrics of a process contain a line. It returns true for a
// process whose metrics have no configuration version.
func hasMetricLine(address, line string) bool {
	resp, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var text bytes.Buffer
	if _, err := text.ReadFrom(resp.Body); err != nil {
		return false
	}
	return strings.Contains(text.String(), line) || !strings.Contains(text.String(), "coltsfoot_configuration_version")
}

// waitForEvent: findevent KIND DETAIL VARIABLE waits for at most propagationTimeout for an event
// of the kind whose line contains DETAIL, and sets VARIABLE to its request ID.
func waitForEvent(ts *testscript.TestScript, _ bool, args []string) {
	end := time.Now().Add(propagationTimeout)
	for {
		if e, ok := findEvent(ts, event.Kind(args[0]), args[1]); ok {
			ts.Setenv(args[2], e.Request)
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("no event %s with %s after %s", args[0], args[1], propagationTimeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func findEvent(ts *testscript.TestScript, kind event.Kind, text string) (event.Event, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), scenarioTimeout)
	defer cancel()
	for _, a := range stateOf(ts).fleet.OperatorAddresses() {
		list, err := ctl.FetchEvents(ctx, a, fleet.OperatorToken)
		ts.Check(err)
		for _, e := range list {
			if e.Kind == kind && strings.Contains(ctl.FormatEvent(e), text) {
				return e, true
			}
		}
	}
	return event.Event{}, false
}

// waitUntilReady: ready PROCESS waits until the process reports that it is ready, for at most
// propagationTimeout.
func waitUntilReady(ts *testscript.TestScript, _ bool, args []string) {
	address := stateOf(ts).fleet.Processes[args[0]].OperatorAddress
	end := time.Now().Add(propagationTimeout)
	for {
		resp, err := http.Get("http://" + address + "/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(end) {
			ts.Fatalf("%s is not ready after %s\n%s", args[0], propagationTimeout, stateOf(ts).fleet.Processes[args[0]].Log())
		}
		time.Sleep(20 * time.Millisecond)
	}
}
