package test

import (
	"context"
	"sort"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/coltsfootpitch/coltsfootpitch/internal/client"
	"github.com/coltsfootpitch/coltsfootpitch/internal/fleet"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standin/model"
)

func init() {
	commands["poison"] = sendCrashingRequests
	commands["crashes"] = checkCrashes
}

// sendCrashingRequests: poison together|in-turn TIMES TEXT sends a request that crashes its engine
// TIMES to every entry, concurrently or sequentially. No response may be complete.
func sendCrashingRequests(ts *testscript.TestScript, _ bool, args []string) {
	state := stateOf(ts)
	var names []string
	for name := range state.fleet.EntryAddresses {
		names = append(names, name)
	}
	sort.Strings(names)
	call := client.NewChatRequest("intake-llm", args[2]+" "+model.PoisonText, 20, true)
	c := client.New(fleet.BearerToken(organisations[0]), nil)
	var mu sync.Mutex
	codes := map[code.Code]int{}
	sendOnce := func(name string) {
		ctx, cancel := context.WithTimeout(context.Background(), scenarioTimeout)
		defer cancel()
		a, err := c.DoAt(ctx, state.fleet.EntryAddresses[name], call)
		mu.Lock()
		defer mu.Unlock()
		codes[code.Code(a.ResultCode)]++
		if a.Complete {
			ts.Fatalf("the crashing request received a complete response at %s: %v %v", name, a, err)
		}
	}
	for range parseNumber(ts, args[1]) {
		var senders sync.WaitGroup
		for _, name := range names {
			if args[0] == "in-turn" {
				sendOnce(name)
				continue
			}
			senders.Go(func() { sendOnce(name) })
		}
		senders.Wait()
	}
	ts.Logf("codes: %v", codes)
}

// checkCrashes: crashes MIN MAX checks the total number of crashes of all engines, and that no
// engine received more requests than its limit.
func checkCrashes(ts *testscript.TestScript, _ bool, args []string) {
	list, err := fleet.ReadLedgers[model.Ledger](stateOf(ts).fleet, "intake-llm")
	ts.Check(err)
	sum, overshoots := 0, 0
	for _, l := range list {
		sum += l.Crashes
		overshoots += l.LimitCrashes
	}
	ts.Logf("%d crashes, %d of them overshoots", sum, overshoots)
	if sum < parseNumber(ts, args[0]) || sum > parseNumber(ts, args[1]) {
		ts.Fatalf("%d crashes, want %s to %s", sum, args[0], args[1])
	}
	if overshoots > 0 {
		ts.Fatalf("%d engines received more than they have capacity for", overshoots)
	}
}
