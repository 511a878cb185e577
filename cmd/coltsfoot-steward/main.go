// Command coltsfoot-steward runs the steward of one rank of a rank group.
package main

import (
	"os"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/node"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/steward"
)

func main() {
	os.Exit(node.Main("coltsfoot-steward", "look after the rank of a group", steward.Module, os.Args))
}
