// Command coltsfoot-entry runs an entry, which dispatches the requests of callers to upstreams.
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
