// Command coltsfoot-entry runs the entry process.
package main

import (
	"os"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/entry"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/process"
)

func main() {
	os.Exit(process.Main(process.Binary[entry.Settings]{
		Name:     "coltsfoot-entry",
		Usage:    "take callers and dispatch their requests",
		Defaults: entry.DefaultSettings,
		Module:   entry.Module,
	}, os.Args))
}
