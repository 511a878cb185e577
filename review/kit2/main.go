// Command kit2 plays the cases of the second review that are scripts.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

var cases = map[string]func(trouble bool){}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "serve-streams" {
		serveStreams(os.Args[2], os.Args[3])
		return
	}
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: kit2 CASE ROOT RECORD")
		os.Exit(2)
	}
	root = os.Args[2]
	var err error
	if recordTo, err = os.Create(os.Args[3]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if workDir, err = os.MkdirTemp("", "kit2"); err != nil {
		cannotRun("%v", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { cannotRun("it got the signal %s", <-signals) }()
	time.AfterFunc(115*time.Second, func() { cannotRun("it takes too long") })
	run, ok := cases[os.Args[1]]
	if !ok {
		cannotRun("no case %s", os.Args[1])
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record("case %s, trouble %v", os.Args[1], trouble)
	run(trouble)
}
