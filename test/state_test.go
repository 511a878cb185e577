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
	commands["platform"] = platformFault
	commands["race"] = race
	commands["inforce"] = inForce
	commands["findevent"] = findEvent
	commands["ready"] = ready
}

// inForceLimit is the time within which an accepted edit is in force everywhere.
const inForceLimit = 9 * time.Second

// ctlArgs replaces @platform and @operators by the flags for the fleet.
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

// runCtl: ctl ARG... runs coltsfootctl; with ! it must fail.
func runCtl(ts *testscript.TestScript, neg bool, args []string) {
	err := ts.Exec("coltsfootctl", ctlArgs(worldOf(ts).fleet, args)...)
	if neg == (err == nil) {
		ts.Fatalf("coltsfootctl %s: %v", strings.Join(args, " "), err)
	}
}

// platformFault: platform up | down | slow MILLISECONDS | lose COUNT
func platformFault(ts *testscript.TestScript, _ bool, args []string) {
	var f objects.Faults
	switch args[0] {
	case "down":
		f.Down = true
	case "slow":
		f.DelayMillis = int64(number(ts, args[1]))
	case "lose":
		f.LoseResponses = number(ts, args[1])
	}
	body, err := json.Marshal(f)
	ts.Check(err)
	resp, err := http.Post(worldOf(ts).fleet.PlatformURL+"/faults", "application/json", bytes.NewReader(body))
	ts.Check(err)
	resp.Body.Close()
}

// race: race ACCEPTED CONFLICTS SECTION:BASE:FILE... applies all files at once, each by a process of its own.
func race(ts *testscript.TestScript, _ bool, args []string) {
	var mu sync.Mutex
	accepted, conflicts := 0, 0
	var text strings.Builder
	var operators sync.WaitGroup
	for _, f := range args[2:] {
		part := strings.Split(f, ":")
		c := []string{"config", "apply", "@platform", "--section", part[0], "--base", part[1], ts.MkAbs(part[2])}
		c = ctlArgs(worldOf(ts).fleet, c)
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
	if accepted != number(ts, args[0]) || conflicts != number(ts, args[1]) {
		ts.Fatalf("%d accepted and %d conflicts, want %s and %s:\n%s", accepted, conflicts, args[0], args[1], text.String())
	}
}

// inForce: inforce VERSION waits until all processes have the version, within the limit.
func inForce(ts *testscript.TestScript, _ bool, args []string) {
	f := worldOf(ts).fleet
	want := "coltsfoot_configuration_version " + args[0] + "\n"
	start := time.Now()
	end := start.Add(inForceLimit)
	for _, a := range f.OperatorAddresses() {
		for !metricsHold(a, want) {
			if time.Now().After(end) {
				ts.Fatalf("%s lacks version %s after %s", a, args[0], inForceLimit)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	ts.Logf("version %s is in force everywhere after %s", args[0], time.Since(start).Round(time.Millisecond))
}

// metricsHold reports whether the metrics of a process hold a line. A process that has
// no configuration at all holds any.
func metricsHold(address, line string) bool {
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

// findEvent: findevent KIND DETAIL VARIABLE waits, within the limit, for an event of the kind
// whose line contains DETAIL, and sets VARIABLE to its request.
func findEvent(ts *testscript.TestScript, _ bool, args []string) {
	end := time.Now().Add(inForceLimit)
	for {
		if e, ok := lookFor(ts, event.Kind(args[0]), args[1]); ok {
			ts.Setenv(args[2], e.Request)
			return
		}
		if time.Now().After(end) {
			ts.Fatalf("no event %s with %s after %s", args[0], args[1], inForceLimit)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func lookFor(ts *testscript.TestScript, kind event.Kind, text string) (event.Event, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), scenarioLimit)
	defer cancel()
	for _, a := range worldOf(ts).fleet.OperatorAddresses() {
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

// ready: ready PROCESS waits until the process takes work, within the limit.
func ready(ts *testscript.TestScript, _ bool, args []string) {
	address := worldOf(ts).fleet.Processes[args[0]].OperatorAddress
	end := time.Now().Add(inForceLimit)
	for {
		resp, err := http.Get("http://" + address + "/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(end) {
			ts.Fatalf("%s is not ready after %s\n%s", args[0], inForceLimit, worldOf(ts).fleet.Processes[args[0]].Log())
		}
		time.Sleep(20 * time.Millisecond)
	}
}
