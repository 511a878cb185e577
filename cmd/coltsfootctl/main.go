// Command coltsfootctl is the operators' tool.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/ctl"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/process"
)

func main() {
	if err := ctl.Command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(process.ExitFailed)
	}
}
