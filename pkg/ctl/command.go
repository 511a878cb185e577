package ctl

import (
	"context"
	"fmt"
	"sort"

	"github.com/urfave/cli/v3"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
)

// Command returns the root command of coltsfootctl.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "coltsfootctl",
		Usage: "operate a coltsfootpitch deployment",
		Commands: []*cli.Command{
			configCommand(),
			timelineCommand(),
			explainCommand(),
			lossesCommand(),
			{Name: "codes", Usage: "list the result codes", Action: printCodes},
		},
	}
}

func printCodes(_ context.Context, c *cli.Command) error {
	codes := code.All()
	numbers := make([]int, 0, len(codes))
	for n := range codes {
		numbers = append(numbers, int(n))
	}
	sort.Ints(numbers)
	for _, n := range numbers {
		result := code.Code(n)
		fmt.Fprintf(c.Root().Writer, "%d %-24s %-16s %s\n", n, result, result.Outcome(), result.Info().Text)
	}
	return nil
}
