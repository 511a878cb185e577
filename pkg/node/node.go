// Package node runs a process whose settings come from the users' platform.
//
// It reads the settings, builds the application with fx, writes logs to standard output
// without ever waiting for the reader, serves metrics, and ends on a signal after the
// parts of the process were stopped in reverse order.
package node

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/urfave/cli/v3"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/process"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// stopMargin is the part of the stop time kept for the end of the process itself.
const stopMargin = 300 * time.Millisecond

// Main runs the process called name and returns its exit code.
func Main(name, usage string, module fx.Option, args []string) int {
	exit := process.ExitOK
	cmd := &cli.Command{
		Name: name, Usage: usage,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "one of trace, debug, info, warn, error, off"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			exit = run(name, c, module)
			return nil
		},
	}
	if err := cmd.Run(context.Background(), args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return process.ExitUsage
	}
	return exit
}

func run(name string, c *cli.Command, module fx.Option) int {
	n, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return process.ExitSettings
	}
	if c.Bool("check") {
		fmt.Println("settings are valid")
		return process.ExitOK
	}
	out := NewWriter(os.Stdout)
	defer out.Close()
	log := process.NewLog(name, c.String("log-level"), out)
	process.CaptureStandardLog(log)
	return serve(n, module, log)
}

func serve(n platform.Settings, module fx.Option, log hclog.Logger) int {
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(n),
		fx.Provide(
			func() hclog.Logger { return log },
			func() metrics.Registry { return metrics.NewRegistry() },
		),
		module,
	)
	if err := app.Err(); err != nil {
		log.Error("start-failed", "error", err.Error())
		return process.ExitFailed
	}
	ctx, cancel := context.WithTimeout(context.Background(), fx.DefaultTimeout)
	defer cancel()
	if err := app.Start(ctx); err != nil {
		log.Error("start-failed", "error", err.Error())
		return process.ExitFailed
	}
	log.Info("started", "node", n.Name, "zone", n.Zone, "address", n.Address)
	waitForStop(log)
	return stop(app, n, log)
}

// waitForStop returns on the first signal that asks the process to end. A reload signal
// changes nothing: all that the settings hold is fixed for the life of a process.
func waitForStop(log hclog.Logger) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	for s := range signals {
		if s != syscall.SIGHUP {
			log.Info("stopping", "signal", s.String())
			return
		}
		reload(log)
	}
}

// reload checks the settings file again, so that an operator learns of a fault in it
// before the next start.
func reload(log hclog.Logger) {
	if _, err := platform.LoadSettings(); err != nil {
		log.Error("settings-invalid", "error", err.Error())
		return
	}
	log.Info("settings-checked", "detail", "changes take effect at the next start")
}

func stop(app *fx.App, n platform.Settings, log hclog.Logger) int {
	ctx, cancel := context.WithTimeout(context.Background(), n.StopTimeout-stopMargin)
	defer cancel()
	err := app.Stop(ctx)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		log.Error("stop-cut-short", "error", err.Error())
		return process.ExitStopTimeout
	case err != nil:
		log.Error("stop-failed", "error", err.Error())
		return process.ExitFailed
	}
	log.Info("stopped")
	return process.ExitOK
}
