package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/coltsfootpitch/coltsfootpitch/internal/fleet"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/expertmap"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standin/ranks"
)

func init() {
	commands["ranks"] = startRanks
	commands["steps"] = waitForSteps
	commands["onemap"] = checkOneMap
	commands["freeze"] = freezeProcess
	commands["thaw"] = resumeProcess
}

// startRanks: ranks N [RANK-ARG...] starts a platform, a rank group and two controllers.
func startRanks(ts *testscript.TestScript, _ bool, args []string) {
	dir := ts.MkAbs("fleet")
	ts.Check(os.MkdirAll(dir, 0o755))
	f, err := fleet.StartRankGroup(context.Background(), fleet.Options{BinDir: binaries, WorkDir: dir, EngineArgs: args[1:]}, parseNumber(ts, args[0]))
	ts.Check(err)
	stateOf(ts).fleet = f
}

// stepLog summarises the steps that the ranks of a group computed.
type stepLog struct {
	// mapByStep holds the expert map of each step, and mixedSteps counts steps with more than one.
	mapByStep  map[expertmap.StepID]expertmap.Ref
	mixedSteps int
	// stepsWithoutWeights counts steps computed by a rank that lacked weights of the map.
	stepsWithoutWeights int
	maps                map[expertmap.Ref]bool
}

func readSteps(f *fleet.Fleet) stepLog {
	out := stepLog{mapByStep: map[expertmap.StepID]expertmap.Ref{}, maps: map[expertmap.Ref]bool{}}
	for _, url := range f.StandinURLs {
		for _, c := range readRankSteps(url) {
			if former, ok := out.mapByStep[c.Step]; ok && former != c.Ref {
				out.mixedSteps++
			}
			if !c.Loaded {
				out.stepsWithoutWeights++
			}
			out.mapByStep[c.Step] = c.Ref
			out.maps[c.Ref] = true
		}
	}
	return out
}

// readRankSteps returns the steps that a rank computed, or nil if it does not respond.
func readRankSteps(url string) []ranks.ComputedStep {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(url + "/steps")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var out []ranks.ComputedStep
	if json.NewDecoder(resp.Body).Decode(&out) != nil {
		return nil
	}
	return out
}

// waitForSteps: steps N MAPS waits until the ranks have computed N more steps, and steps with MAPS
// maps that they had not used before.
func waitForSteps(ts *testscript.TestScript, _ bool, args []string) {
	f := stateOf(ts).fleet
	first := readSteps(f)
	var now stepLog
	for end := time.Now().Add(scenarioTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		now = readSteps(f)
		newSteps := 0
		for step := range now.mapByStep {
			if _, ok := first.mapByStep[step]; !ok {
				newSteps++
			}
		}
		newMaps := 0
		for m := range now.maps {
			if !first.maps[m] {
				newMaps++
			}
		}
		if newSteps >= parseNumber(ts, args[0]) && newMaps >= parseNumber(ts, args[1]) {
			return
		}
	}
	ts.Fatalf("%d steps with %d maps, then %d with %d\n%s", len(first.mapByStep), len(first.maps), len(now.mapByStep), len(now.maps), processLogs(f))
}

// checkOneMap: onemap checks that no step ran with two maps or without weights.
func checkOneMap(ts *testscript.TestScript, _ bool, _ []string) {
	s := readSteps(stateOf(ts).fleet)
	ts.Logf("%d steps with %d maps, %d mixed", len(s.mapByStep), len(s.maps), s.mixedSteps)
	if s.mixedSteps > 0 || s.stepsWithoutWeights > 0 {
		ts.Fatalf("%d mixed steps, %d without weights, of %d", s.mixedSteps, s.stepsWithoutWeights, len(s.mapByStep))
	}
}

// processLogs returns the last 2000 bytes of the log of each process.
func processLogs(f *fleet.Fleet) string {
	out := ""
	for name, p := range f.Processes {
		text := p.Log()
		out += fmt.Sprintf("--- %s\n%s", name, text[max(0, len(text)-2000):])
	}
	return out
}

// freezeProcess: freeze PROCESS suspends a process with SIGSTOP.
func freezeProcess(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(stateOf(ts).fleet.Processes[args[0]].Signal(syscall.SIGSTOP))
}

// resumeProcess: thaw PROCESS resumes a process suspended by freeze.
func resumeProcess(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(stateOf(ts).fleet.Processes[args[0]].Signal(syscall.SIGCONT))
}
