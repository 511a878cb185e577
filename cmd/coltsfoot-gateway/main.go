// Command coltsfoot-gateway runs a gateway, which serves callers on the users' platform.
package main

import (
	"os"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/gateway"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/node"
)

func main() {
	os.Exit(node.Main("coltsfoot-gateway", "take callers on the users' platform", gateway.Module, os.Args))
}
