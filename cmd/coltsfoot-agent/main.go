// Command coltsfoot-agent runs the agent of one upstream.
package main

import (
	"os"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/agent"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/process"
)

func main() {
	os.Exit(process.Main(process.Binary[agent.Settings]{
		Name:     "coltsfoot-agent",
		Usage:    "guard one upstream",
		Defaults: agent.DefaultSettings,
		Module:   agent.Module,
	}, os.Args))
}
