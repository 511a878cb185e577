// Command coltsfoot-gate reads the output of "go test -json" and exits with status 0 only when
// all failed tests are on a list of known failures.
package main

import (
	"fmt"
	"os"

	"github.com/coltsfootpitch/coltsfootpitch/internal/gate"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: go test -json ./... | coltsfoot-gate KNOWN-FAILURES")
		os.Exit(2)
	}
	if err := run(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(path string) error {
	known, err := os.Open(path)
	if err != nil {
		return err
	}
	defer known.Close()
	g, err := gate.New(known)
	if err != nil {
		return err
	}
	if err := g.Read(os.Stdin, os.Stdout); err != nil {
		return err
	}
	if !g.Report(os.Stdout) {
		return fmt.Errorf("tests failed that are not on the list %s", path)
	}
	return nil
}
