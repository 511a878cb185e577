// Package node runs a process whose settings come from the users' platform.
//
// It reads the settings, builds the application with fx, writes logs to standard output
// without blocking on a slow reader, and exits on a signal after the parts of the process were
// stopped in reverse order.
package node

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/urfave/cli/v3"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/intake"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/process"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// stopMargin is the part of the stop timeout reserved for the exit of the process after its parts
// were stopped.
const stopMargin = 300 * time.Millisecond

// Main parses args, runs the process with the given name until it is stopped and returns its exit
// code.
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
	s, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return process.ExitSettings
	}
	if c.Bool("check") {
		fmt.Println("settings are valid")
		return process.ExitOK
	}
	out := NewLogWriter(os.Stdout)
	defer out.Close()
	log := process.NewLog(name, c.String("log-level"), out)
	process.CaptureStandardLog(log)
	return serve(s, module, log)
}

func serve(s platform.Settings, module fx.Option, log hclog.Logger) int {
	// All plans leave the runtime the same part of the machine's memory.
	debug.SetMemoryLimit(intake.NewGatewayPlan(s.Resources).RuntimeBytes)
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(s),
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
	// Callers may connect before Start returns.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	ctx, cancel := context.WithTimeout(context.Background(), fx.DefaultTimeout)
	defer cancel()
	if err := app.Start(ctx); err != nil {
		log.Error("start-failed", "error", err.Error())
		return process.ExitFailed
	}
	log.Info("started", "node", s.Name, "zone", s.Zone, "address", s.Address)
	waitForStopSignal(signals, log)
	return stop(app, s, log)
}

// waitForStopSignal returns on the first SIGTERM or SIGINT. A SIGHUP only checks the settings:
// they are fixed while a process runs.
func waitForStopSignal(signals <-chan os.Signal, log hclog.Logger) {
	for sig := range signals {
		if sig != syscall.SIGHUP {
			log.Info("stopping", "signal", sig.String())
			return
		}
		recheckSettings(log)
	}
}

// recheckSettings checks the settings file again and logs the result, so that an operator can fix
// an error in it before the next start.
func recheckSettings(log hclog.Logger) {
	if _, err := platform.LoadSettings(); err != nil {
		log.Error("settings-invalid", "error", err.Error())
		return
	}
	log.Info("settings-checked", "detail", "changes take effect at the next start")
}

func stop(app *fx.App, s platform.Settings, log hclog.Logger) int {
	ctx, cancel := context.WithTimeout(context.Background(), s.StopTimeout-stopMargin)
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
