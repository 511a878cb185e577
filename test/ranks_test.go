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
	commands["steps"] = steps
	commands["onemap"] = oneMap
	commands["freeze"] = freeze
	commands["thaw"] = thaw
}

// startRanks: ranks N [RANK-ARG...] starts a platform, a rank group and two controllers.
func startRanks(ts *testscript.TestScript, _ bool, args []string) {
	dir := ts.MkAbs("fleet")
	ts.Check(os.MkdirAll(dir, 0o755))
	f, err := fleet.StartRankGroup(context.Background(), fleet.Options{BinDir: binaries, WorkDir: dir, EngineArgs: args[1:]}, number(ts, args[0]))
	ts.Check(err)
	worldOf(ts).fleet = f
}

// stepLog is what the ranks of a group computed.
type stepLog struct {
	// refs maps each step to its map, and mixed counts steps with several.
	refs  map[expertmap.StepID]expertmap.Ref
	mixed int
	// bare counts steps computed without the weights of the map.
	bare int
	maps map[expertmap.Ref]bool
}

func readSteps(f *fleet.Fleet) stepLog {
	out := stepLog{refs: map[expertmap.StepID]expertmap.Ref{}, maps: map[expertmap.Ref]bool{}}
	for _, url := range f.StandinURLs {
		for _, c := range stepsOf(url) {
			if former, ok := out.refs[c.Step]; ok && former != c.Ref {
				out.mixed++
			}
			if !c.Loaded {
				out.bare++
			}
			out.refs[c.Step] = c.Ref
			out.maps[c.Ref] = true
		}
	}
	return out
}

// stepsOf returns the record of a rank, or nothing when it does not answer.
func stepsOf(url string) []ranks.ComputedStep {
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

// steps: steps N MAPS waits until the ranks computed N more steps on MAPS maps that they
// had not run before.
func steps(ts *testscript.TestScript, _ bool, args []string) {
	f := worldOf(ts).fleet
	first := readSteps(f)
	var now stepLog
	for end := time.Now().Add(scenarioLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		now = readSteps(f)
		fresh := 0
		for step := range now.refs {
			if _, ok := first.refs[step]; !ok {
				fresh++
			}
		}
		maps := 0
		for m := range now.maps {
			if !first.maps[m] {
				maps++
			}
		}
		if fresh >= number(ts, args[0]) && maps >= number(ts, args[1]) {
			return
		}
	}
	ts.Fatalf("%d steps on %d maps, then %d on %d\n%s", len(first.refs), len(first.maps), len(now.refs), len(now.maps), logs(f))
}

// oneMap: onemap checks that no step ran on two maps, or without weights.
func oneMap(ts *testscript.TestScript, _ bool, _ []string) {
	s := readSteps(worldOf(ts).fleet)
	ts.Logf("%d steps on %d maps, %d mixed", len(s.refs), len(s.maps), s.mixed)
	if s.mixed > 0 || s.bare > 0 {
		ts.Fatalf("%d mixed steps, %d without weights, of %d", s.mixed, s.bare, len(s.refs))
	}
}

func logs(f *fleet.Fleet) string {
	out := ""
	for name, p := range f.Processes {
		text := p.Log()
		out += fmt.Sprintf("--- %s\n%s", name, text[max(0, len(text)-2000):])
	}
	return out
}

// freeze: freeze PROCESS stops a process without its knowledge; thaw lets it go on.
func freeze(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(worldOf(ts).fleet.Processes[args[0]].Signal(syscall.SIGSTOP))
}

func thaw(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(worldOf(ts).fleet.Processes[args[0]].Signal(syscall.SIGCONT))
}
