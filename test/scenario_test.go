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
	os.Exit(build(m))
}

// parallelScenarios is the number of scenarios that run at a time. Each starts up to
// forty processes, which answer late when they share the machine with too many others.
const parallelScenarios = "3"

func build(m *testing.M) int {
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
	"send":   send,
	"whole":  whole,
	"signal": signal,
	"ended":  ended,
	"zone":   zone,
	"list":   list,
	"sleep":  sleep,
}

func TestScenarios(t *testing.T) {
	root, err := filepath.Abs("..")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			w := &world{sends: map[string]chan []load.Outcome{}}
			e.Values[worldKey{}] = w
			e.Setenv("EXAMPLES", filepath.Join(root, "docs", "examples"))
			e.Setenv("PATH", binaries+string(os.PathListSeparator)+e.Getenv("PATH"))
			e.Defer(func() { w.close(e.T()) })
			return nil
		},
		Cmds: commands,
	})
}

type worldKey struct{}

// world is the state of one script.
type world struct {
	fleet *fleet.Fleet
	sends map[string]chan []load.Outcome
	// saved holds the counts that a script keeps.
	saved map[string]int
	// streams are the loads that go on until they are drained.
	streams map[string]*load.ContinuousLoad
}

// close ends the fleet. A process that crashed or met a data race fails the script.
func (w *world) close(t testscript.T) {
	if w.fleet == nil {
		return
	}
	w.fleet.Close()
	faults := w.fleet.CrashReports()
	for _, f := range faults {
		t.Log(f)
	}
	if len(faults) > 0 {
		t.FailNow()
	}
}

// scenarioLimit ends a scenario that hangs.
const scenarioLimit = 5 * time.Minute

func worldOf(ts *testscript.TestScript) *world { return ts.Value(worldKey{}).(*world) }

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
			Entries: number(ts, args[0]),
			Model:   "intake-llm", ModelWorkers: number(ts, args[1]),
			Service: "weighbridge-app", ServiceWorkers: number(ts, args[2]),
		}},
	})
	ts.Check(err)
	w := worldOf(ts)
	w.fleet = f
	ts.Setenv("PLATFORM", f.PlatformURL)
	for name, a := range f.EntryAddresses {
		ts.Setenv("CALLER_"+name, a)
	}
	ts.Setenv("LOGS", filepath.Join(dir))
}

// mixOf returns the mix with the arguments PARALLEL TOKENS PAUSE.
func mixOf(ts *testscript.TestScript, prefix string, args []string) load.Workload {
	pause, err := time.ParseDuration(args[2])
	ts.Check(err)
	return load.Workload{
		Clients: load.NewClients(organisations, worldOf(ts).fleet.SortedEntryAddresses()),
		Model:   "intake-llm", Service: "weighbridge-app", Prefix: prefix,
		Concurrency: number(ts, args[0]), ResponseTokens: number(ts, args[1]), Pause: pause,
	}
}

// send: send NAME COUNT PARALLEL TOKENS PAUSE starts sending mixed requests.
func send(ts *testscript.TestScript, _ bool, args []string) {
	m := mixOf(ts, args[0], args[2:])
	m.RequestCount = number(ts, args[1])
	done := make(chan []load.Outcome, 1)
	worldOf(ts).sends[args[0]] = done
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), scenarioLimit)
		defer cancel()
		done <- load.Run(ctx, m)
	}()
}

// whole: whole NAME COUNT waits for a send and checks that COUNT answers are whole and right.
func whole(ts *testscript.TestScript, _ bool, args []string) {
	all := <-worldOf(ts).sends[args[0]]
	wrong := load.Incorrect(all)
	for _, o := range wrong {
		ts.Logf("request %d: status %d code %d whole %v error %v text %q", o.Number, o.Response.Status, o.Response.ResultCode, o.Response.Complete, o.Err, o.Response.Text)
	}
	if got := len(all) - len(wrong); got != number(ts, args[1]) {
		ts.Fatalf("%d of %d answers are whole, want %s", got, len(all), args[1])
	}
}

// signal: signal stop|kill|restart PROCESS
func signal(ts *testscript.TestScript, _ bool, args []string) {
	f := worldOf(ts).fleet
	actions := map[string]func(string) error{"stop": f.Stop, "kill": f.Kill, "restart": f.Restart}
	ts.Check(actions[args[0]](args[1]))
}

// ended: ended PROCESS EXIT-CODE waits for the end of a process.
func ended(ts *testscript.TestScript, _ bool, args []string) {
	p := worldOf(ts).fleet.Processes[args[0]]
	exit, err := p.Wait(scenarioLimit)
	ts.Check(err)
	if exit != number(ts, args[1]) {
		ts.Fatalf("%s ended with %d, want %s\n%s", args[0], exit, args[1], p.Log())
	}
}

// zone: zone NAME in|out
func zone(ts *testscript.TestScript, _ bool, args []string) {
	_, err := worldOf(ts).fleet.SetZone(context.Background(), args[0], configuration.ZoneState(args[1]))
	ts.Check(err)
}

// list: list PROCESS live|leaving|gone changes the instance list.
func list(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(worldOf(ts).fleet.SetInstanceState(context.Background(), args[0], args[1]))
}

// sleep: sleep DURATION
func sleep(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

func number(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}
