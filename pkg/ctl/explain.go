package ctl

import (
	"context"
	"fmt"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell where a request went, why, and what it got",
		ArgsUsage: "REQUEST-ID",
		Flags:     operatorFlags(),
		Action:    printTrace,
	}
}

func printTrace(ctx context.Context, c *cli.Command) error {
	id := c.Args().First()
	events, failed := collectEvents(ctx, c)
	printFailures(c.Root().ErrWriter, failed)
	lines := event.DescribeRequest(id, events)
	if lines == nil {
		return oops.Errorf("no process holds an event of request %q; each keeps its newest %d events", id, event.RingSize)
	}
	for _, line := range lines {
		fmt.Fprintln(c.Root().Writer, line)
	}
	return nil
}
