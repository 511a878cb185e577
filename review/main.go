//go:build review

// Command standin plays one case of the review: it has the stand-ins for the platform, the workers and the
// callers, and starts the project's gateways as separate processes.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(*bench) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs a case, which reports whether the rule held.
func play(run func(*bench) bool, record string) (exit int) {
	b, err := newBench(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer b.close()
	defer func() {
		if failure := recover(); failure != nil {
			b.logf("the case could not run: %v", failure)
			exit = exitNotRun
		}
	}()
	if run(b) {
		b.logf("RESULT: the rule held")
		return exitHeld
	}
	b.logf("RESULT: the rule was broken")
	return exitBroken
}
