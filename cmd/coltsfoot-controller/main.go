// Command coltsfoot-controller runs a controller, which makes shared decisions while it has the lease.
package main

import (
	"os"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/controller"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/process"
)

func main() {
	os.Exit(process.Main(process.Binary[controller.Settings]{
		Name:     "coltsfoot-controller",
		Usage:    "own shared decisions by lease",
		Defaults: controller.DefaultSettings,
		Module:   controller.Module,
	}, os.Args))
}
