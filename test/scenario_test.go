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

// parallelScenarios is the maximum number of scenarios that run concurrently. Each starts up to
// forty processes, which miss their timeouts when too many others share the machine.
const parallelScenarios = "3"

// buildAndRun builds the binaries, runs the tests and returns the exit code.
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

// commands maps the names of the script commands to their functions. Other files add theirs in
// init.
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
	// savedCounts holds the request counts saved by "starts ... save", by name.
	savedCounts map[string]int
	// loads holds the loads started by "pour" that run until "drained", by name.
	loads map[string]*load.ContinuousLoad
}

// close stops the fleet, and fails the script if a process crashed or reported a data race.
func (state *scenarioState) close(t testscript.T) {
	if state.fleet == nil {
		return
	}
	state.fleet.Close()
	reports := state.fleet.CrashReports()
	for _, f := range reports {
		t.Log(f)
	}
	if len(reports) > 0 {
		t.FailNow()
	}
}

// scenarioTimeout limits the requests and waits of a scenario that hangs.
const scenarioTimeout = 5 * time.Minute

func stateOf(ts *testscript.TestScript) *scenarioState { return ts.Value(stateKey{}).(*scenarioState) }

// organisations are configured in the fleets of all scenarios.
var organisations = []string{"fjordbeet", "innherred-growers", "skolen"}

// startFleet: fleet ENTRIES WORKERS SERVICE-WORKERS [ENGINE-ARG...] starts a platform, entries,
// model agents with their engines and service agents in three zones.
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

// parseMix returns the request mix for the arguments PARALLEL TOKENS PAUSE.
func parseMix(ts *testscript.TestScript, prefix string, args []string) load.Workload {
	pause, err := time.ParseDuration(args[2])
	ts.Check(err)
	return load.Workload{
		Clients: load.NewClients(organisations, stateOf(ts).fleet.SortedEntryAddresses()),
		Model:   "intake-llm", Service: "weighbridge-app", Prefix: prefix,
		Concurrency: parseNumber(ts, args[0]), ResponseTokens: parseNumber(ts, args[1]), Pause: pause,
	}
}

// startRequests: send NAME COUNT PARALLEL TOKENS PAUSE starts sending model and service requests
// in the background.
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

// checkResponses: whole NAME COUNT waits for a send command and checks that exactly COUNT
// responses are complete and correct.
func checkResponses(ts *testscript.TestScript, _ bool, args []string) {
	all := <-stateOf(ts).requests[args[0]]
	incorrect := load.Incorrect(all)
	for _, o := range incorrect {
		ts.Logf("request %d: status %d code %d complete %v error %v text %q", o.Number, o.Response.Status, o.Response.ResultCode, o.Response.Complete, o.Err, o.Response.Text)
	}
	if got := len(all) - len(incorrect); got != parseNumber(ts, args[1]) {
		ts.Fatalf("%d of %d responses are complete, want %s", got, len(all), args[1])
	}
}

// signalProcess: signal stop|kill|restart PROCESS stops, kills or restarts a process.
func signalProcess(ts *testscript.TestScript, _ bool, args []string) {
	f := stateOf(ts).fleet
	actions := map[string]func(string) error{"stop": f.Stop, "kill": f.Kill, "restart": f.Restart}
	ts.Check(actions[args[0]](args[1]))
}

// waitForExit: ended PROCESS EXIT-CODE waits until a process exits and checks its exit code.
func waitForExit(ts *testscript.TestScript, _ bool, args []string) {
	p := stateOf(ts).fleet.Processes[args[0]]
	exit, err := p.Wait(scenarioTimeout)
	ts.Check(err)
	if exit != parseNumber(ts, args[1]) {
		ts.Fatalf("%s exited with code %d, want %s\n%s", args[0], exit, args[1], p.Log())
	}
}

// setZone: zone NAME in|out sets the state of an availability zone in the configuration.
func setZone(ts *testscript.TestScript, _ bool, args []string) {
	_, err := stateOf(ts).fleet.SetZone(context.Background(), args[0], configuration.ZoneState(args[1]))
	ts.Check(err)
}

// setInstanceState: list PROCESS live|leaving|gone sets the state of a process in the instance
// list.
func setInstanceState(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(stateOf(ts).fleet.SetInstanceState(context.Background(), args[0], args[1]))
}

// sleepFor: sleep DURATION pauses the script.
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
