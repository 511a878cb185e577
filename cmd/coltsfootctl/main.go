// Command coltsfootctl is the command-line tool of the operators.
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
