package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	c := &cli.Command{
		Name:  "slopes",
		Usage: "measure the costs of control and work them out at the size aimed for",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "`DIRECTORY` of the binaries"},
		},
		Action: run,
	}
	if err := c.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, c *cli.Command) error {
	var r measurements
	for _, measure := range []func(context.Context, *measurements) error{
		measureCalls,
		measureConfiguration,
		measureSubsets,
		func(ctx context.Context, r *measurements) error { return measureFleets(ctx, c.String("bin"), r) },
		func(ctx context.Context, r *measurements) error { return measureStreams(ctx, c.String("bin"), r) },
	} {
		if err := measure(ctx, &r); err != nil {
			return err
		}
	}
	r.report(os.Stdout)
	return nil
}
