package test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/coltsfootpitch/coltsfootpitch/internal/fleet"
	"github.com/coltsfootpitch/coltsfootpitch/internal/load"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
)

// binaries is the directory of the binaries under test, built with the race detector
// unless benchmarks run.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// parallelScenarios is the number of scenarios that run at a time. Each starts up to
// forty processes, which answer late when they share the machine with too many others.
const parallelScenarios = "3"

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "coltsfoot-bin")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	args := []string{"build", "-o", dir + "/"}
	flag.Parse()
	if err := flag.Set("test.parallel", parallelScenarios); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if flag.Lookup("test.bench").Value.String() == "" {
		args = append(args, "-race")
	}
	out, err := exec.Command("go", append(args, "../cmd/...")...).CombinedOutput()
	if err != nil {
		fmt.Fprintln(os.Stderr, string(out))
		return 1
	}
	binaries = dir
	return m.Run()
}

// commands are the commands of the scripts. Other files add theirs.
var commands = map[string]func(*testscript.TestScript, bool, []string){
	"fleet":  startFleet,
	"send":   startRequests,
	"whole":  checkResponses,
	"signal": signalProcess,
	"ended":  waitForExit,
	"zone":   setZone,
	"list":   setInstanceState,
	"sleep":  sleepFor,
}

func TestScenarios(t *testing.T) {
	root, err := filepath.Abs("..")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			state := &scenarioState{requests: map[string]chan []load.Outcome{}}
			e.Values[stateKey{}] = state
			e.Setenv("EXAMPLES", filepath.Join(root, "docs", "examples"))
			e.Setenv("PATH", binaries+string(os.PathListSeparator)+e.Getenv("PATH"))
			e.Defer(func() { state.close(e.T()) })
			return nil
		},
		Cmds: commands,
	})
}

type stateKey struct{}

// scenarioState is the state of one script.
type scenarioState struct {
	fleet    *fleet.Fleet
	requests map[string]chan []load.Outcome
	// savedCounts holds the counts that a script keeps.
	savedCounts map[string]int
	// loads are the loads that go on until they are drained.
	loads map[string]*load.ContinuousLoad
}

// close ends the fleet. A process that crashed or met a data race fails the script.
func (state *scenarioState) close(t testscript.T) {
	if state.fleet == nil {
		return
	}
	state.fleet.Close()
	faults := state.fleet.CrashReports()
	for _, f := range faults {
		t.Log(f)
	}
	if len(faults) > 0 {
		t.FailNow()
	}
}

// scenarioTimeout ends a scenario that hangs.
const scenarioTimeout = 5 * time.Minute

func stateOf(ts *testscript.TestScript) *scenarioState { return ts.Value(stateKey{}).(*scenarioState) }

// organisations of all scenarios.
var organisations = []string{"fjordbeet", "innherred-growers", "skolen"}

// startFleet: fleet ENTRIES WORKERS SERVICE-WORKERS [ENGINE-ARG...]
func startFleet(ts *testscript.TestScript, _ bool, args []string) {
	dir := ts.MkAbs("fleet")
	ts.Check(os.MkdirAll(dir, 0o755))
	f, err := fleet.Start(context.Background(), fleet.Options{
		BinDir: binaries, WorkDir: dir, Organisations: organisations,
		EngineArgs: args[3:],
		Deployments: []fleet.Deployment{{
			Region: "trondelag", Zones: []string{"gate-north", "gate-south", "lab-hall"},
			Entries: parseNumber(ts, args[0]),
			Model:   "intake-llm", ModelWorkers: parseNumber(ts, args[1]),
			Service: "weighbridge-app", ServiceWorkers: parseNumber(ts, args[2]),
		}},
	})
	ts.Check(err)
	state := stateOf(ts)
	state.fleet = f
	ts.Setenv("PLATFORM", f.PlatformURL)
	for name, a := range f.EntryAddresses {
		ts.Setenv("CALLER_"+name, a)
	}
	ts.Setenv("LOGS", filepath.Join(dir))
}

// parseMix returns the mix with the arguments PARALLEL TOKENS PAUSE.
func parseMix(ts *testscript.TestScript, prefix string, args []string) load.Workload {
	pause, err := time.ParseDuration(args[2])
	ts.Check(err)
	return load.Workload{
		Clients: load.NewClients(organisations, stateOf(ts).fleet.SortedEntryAddresses()),
		Model:   "intake-llm", Service: "weighbridge-app", Prefix: prefix,
		Concurrency: parseNumber(ts, args[0]), ResponseTokens: parseNumber(ts, args[1]), Pause: pause,
	}
}

// startRequests: startRequests NAME COUNT PARALLEL TOKENS PAUSE starts sending mixed requests.
func startRequests(ts *testscript.TestScript, _ bool, args []string) {
	m := parseMix(ts, args[0], args[2:])
	m.RequestCount = parseNumber(ts, args[1])
	done := make(chan []load.Outcome, 1)
	stateOf(ts).requests[args[0]] = done
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), scenarioTimeout)
		defer cancel()
		done <- load.Run(ctx, m)
	}()
}

// checkResponses: checkResponses NAME COUNT waits for a send and checks that COUNT answers are checkResponses and right.
func checkResponses(ts *testscript.TestScript, _ bool, args []string) {
	all := <-stateOf(ts).requests[args[0]]
	wrong := load.Incorrect(all)
	for _, o := range wrong {
		ts.Logf("request %d: status %d code %d whole %v error %v text %q", o.Number, o.Response.Status, o.Response.ResultCode, o.Response.Complete, o.Err, o.Response.Text)
	}
	if got := len(all) - len(wrong); got != parseNumber(ts, args[1]) {
		ts.Fatalf("%d of %d answers are whole, want %s", got, len(all), args[1])
	}
}

// signalProcess: signalProcess stop|kill|restart PROCESS
func signalProcess(ts *testscript.TestScript, _ bool, args []string) {
	f := stateOf(ts).fleet
	actions := map[string]func(string) error{"stop": f.Stop, "kill": f.Kill, "restart": f.Restart}
	ts.Check(actions[args[0]](args[1]))
}

// waitForExit: waitForExit PROCESS EXIT-CODE waits for the end of a process.
func waitForExit(ts *testscript.TestScript, _ bool, args []string) {
	p := stateOf(ts).fleet.Processes[args[0]]
	exit, err := p.Wait(scenarioTimeout)
	ts.Check(err)
	if exit != parseNumber(ts, args[1]) {
		ts.Fatalf("%s ended with %d, want %s\n%s", args[0], exit, args[1], p.Log())
	}
}

// setZone: setZone NAME in|out
func setZone(ts *testscript.TestScript, _ bool, args []string) {
	_, err := stateOf(ts).fleet.SetZone(context.Background(), args[0], configuration.ZoneState(args[1]))
	ts.Check(err)
}

// setInstanceState: setInstanceState PROCESS live|leaving|gone changes the instance setInstanceState.
func setInstanceState(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(stateOf(ts).fleet.SetInstanceState(context.Background(), args[0], args[1]))
}

// sleepFor: sleepFor DURATION
func sleepFor(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

func parseNumber(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}
