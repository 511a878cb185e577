// Command coltsfoot-skew measures the skew of step times and the cost of rebalancing while the
// loads of experts drift. It prints a table and optionally plots the skew over time.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/coltsfootpitch/coltsfootpitch/internal/skew"
)

func main() {
	cmd := &cli.Command{
		Name:  "coltsfoot-skew",
		Usage: "measure rebalancing under drift",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "layers", Value: 8, Usage: "layers of the model"},
			&cli.IntFlag{Name: "ranks", Value: 64, Usage: "ranks of the group"},
			&cli.IntFlag{Name: "experts", Value: 128, Usage: "experts of each layer"},
			&cli.IntFlag{Name: "intervals", Value: 720, Usage: "intervals of 10 seconds"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the drifts"},
			&cli.StringFlag{Name: "plot", Usage: "write the plot to `FILE` (.svg or .png)"},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(_ context.Context, c *cli.Command) error {
	results := skew.RunAll(skew.Cases(skew.Case{
		Layers: c.Int("layers"), Ranks: c.Int("ranks"), Experts: c.Int("experts"), Intervals: c.Int("intervals"), Seed: c.Uint64("seed"),
	}))
	skew.WriteTable(os.Stdout, results)
	if path := c.String("plot"); path != "" {
		return skew.Plot(path, results)
	}
	return nil
}
