// Command coltsfoot-controller runs the controller process.
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
