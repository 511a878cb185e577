package ctl

import (
	"context"
	"fmt"
	"sort"

	"github.com/urfave/cli/v3"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
)

// Command returns the root command.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "coltsfootctl",
		Usage: "operate a coltsfootpitch deployment",
		Commands: []*cli.Command{
			configCommand(),
			timelineCommand(),
			explainCommand(),
			{Name: "codes", Usage: "list the result codes", Action: listCodes},
		},
	}
}

func listCodes(_ context.Context, c *cli.Command) error {
	all := code.All()
	numbers := make([]int, 0, len(all))
	for n := range all {
		numbers = append(numbers, int(n))
	}
	sort.Ints(numbers)
	for _, n := range numbers {
		k := code.Code(n)
		fmt.Fprintf(c.Root().Writer, "%d %-24s %-16s %s\n", n, k, k.Outcome(), k.Info().Text)
	}
	return nil
}
