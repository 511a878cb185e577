package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/logtable"
)

const defaultLossInterval = 2 * time.Second

func lossesCommand() *cli.Command {
	return &cli.Command{
		Name:      "losses",
		Usage:     "count in the logs of gateways which requests were not served, when and why",
		ArgsUsage: "[FILE ...] (standard input without one)",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "interval", Value: defaultLossInterval, Usage: "length of the `INTERVAL` of a line"},
			&cli.BoolFlag{Name: "all", Usage: "also count the requests that were served"},
		},
		Action: printLosses,
	}
}

func printLosses(_ context.Context, c *cli.Command) error {
	interval := c.Duration("interval")
	if interval <= 0 {
		return oops.Errorf("--interval must be positive, not %s", interval)
	}
	in, closeAll, err := openLogs(c)
	if err != nil {
		return err
	}
	defer closeAll()
	rows, skipped, err := logtable.Read(in, interval)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "time\troute\tstatus\treason\trequests\tlongest wait")
	for _, r := range rows {
		if r.Status == "200" && !c.Bool("all") {
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", r.Start.Format(time.TimeOnly), r.Route, r.Status, r.Reason, r.Count, r.LongestWait)
	}
	if skipped > 0 {
		fmt.Fprintf(c.Root().ErrWriter, "%d lines are not log lines\n", skipped)
	}
	return w.Flush()
}

// openLogs returns the concatenation of the files named as arguments, or standard input.
func openLogs(c *cli.Command) (io.Reader, func(), error) {
	if !c.Args().Present() {
		return os.Stdin, func() {}, nil
	}
	var readers []io.Reader
	var files []*os.File
	closeAll := func() {
		for _, f := range files {
			_ = f.Close() // opened for reading only
		}
	}
	for _, name := range c.Args().Slice() {
		f, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, oops.Wrapf(err, "open log")
		}
		files = append(files, f)
		readers = append(readers, f)
	}
	return io.MultiReader(readers...), closeAll, nil
}
