package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/urfave/cli/v3"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/operator"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/settings"
)

// Exit codes of all binaries.
const (
	ExitOK = 0
	// ExitFailed means that the process or command failed while it ran.
	ExitFailed = 1
	// ExitUsage means that the command line is not valid.
	ExitUsage = 2
	// ExitSettings means that the settings are not valid.
	ExitSettings = 3
	// ExitStopTimeout means that a planned stop exceeded its timeout or was aborted by a second signal.
	ExitStopTimeout = 4
)

// Settings is the settings type of a binary; it embeds Common.
type Settings interface {
	// Base returns the embedded common settings.
	Base() Common
}

// Binary describes a binary to Main.
type Binary[S Settings] struct {
	Name  string
	Usage string
	// Defaults returns the defaults that the settings file overrides.
	Defaults func() S
	// Module returns the parts of the process.
	Module func(S) fx.Option
}

// Main parses args, runs the binary until it is stopped and returns its exit code.
func Main[S Settings](b Binary[S], args []string) int {
	exit := ExitOK
	cmd := &cli.Command{
		Name:  b.Name,
		Usage: b.Usage,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "path of the YAML settings `FILE`", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
			&cli.BoolFlag{Name: "print-settings", Usage: "print the settings in force, with defaults, and exit"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			exit = run(b, c)
			return nil
		},
	}
	if err := cmd.Run(context.Background(), args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	return exit
}

func run[S Settings](b Binary[S], c *cli.Command) int {
	s := b.Defaults()
	if err := settings.Load(c.String("settings"), &s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitSettings
	}
	if c.Bool("check") {
		fmt.Println("settings are valid")
		return ExitOK
	}
	if c.Bool("print-settings") {
		return printSettings(s, os.Stdout)
	}
	return serve(s.Base(), b.Module(s))
}

func printSettings(s any, out io.Writer) int {
	text, err := settings.Format(s)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFailed
	}
	fmt.Fprint(out, text)
	return ExitOK
}

func serve(base Common, module fx.Option) int {
	log := NewLog(base.Name, base.LogLevel, os.Stderr)
	CaptureStandardLog(log)
	if base.Credentials == (peer.CredentialSettings{}) {
		log.Warn("no-credentials", "detail", "every process that reaches the control address is trusted")
	}
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(base),
		fx.Provide(
			func() hclog.Logger { return log },
			func() metrics.Registry { return metrics.NewRegistry() },
			func() *event.Clock { return event.NewClock(nil) },
			func(c *event.Clock) *event.Recorder { return event.NewRecorder(base.Name, c, log) },
			func() (peer.Credentials, error) { return peer.NewCredentials(base.Credentials) },
			newOperatorServer,
		),
		fx.Invoke(registerOperatorServer),
		module,
	)
	if err := start(app); err != nil {
		log.Error("start-failed", "error", err.Error())
		return ExitFailed
	}
	return stop(app, base, log)
}

func start(app *fx.App) error {
	if err := app.Err(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), fx.DefaultTimeout)
	defer cancel()
	return app.Start(ctx)
}

// stop waits for a signal or an internal shutdown, stops the application and returns the exit code.
// A second signal aborts the stop.
func stop(app *fx.App, base Common, log hclog.Logger) int {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	exit := ExitOK
	select {
	case <-signals:
	case shutdown := <-app.Wait():
		exit = shutdown.ExitCode
		if shutdown.Signal != nil {
			// fx and signals both receive the first signal; drop it here, so that only another one
			// counts as the second.
			<-signals
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), base.StopTimeout())
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	err := app.Stop(ctx)
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		log.Error("stop-cut-short", "error", err.Error())
		return ExitStopTimeout
	}
	if err != nil {
		log.Error("stop-failed", "error", err.Error())
		return ExitFailed
	}
	return exit
}

func newOperatorServer(base Common, rec *event.Recorder, reg metrics.Registry) *operator.Server {
	return operator.New(operator.Options{
		Address:  base.OperatorAddress,
		Token:    base.OperatorToken,
		TLS:      base.OperatorTLS,
		Recorder: rec,
		Registry: reg,
	})
}

// registerOperatorServer starts the operators' listener before all other parts and stops it last.
func registerOperatorServer(lc fx.Lifecycle, s *operator.Server, rec *event.Recorder) {
	lc.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			if err := s.Start(ctx); err != nil {
				return err
			}
			rec.Record(event.Event{Kind: event.ProcessStarted})
			return nil
		},
		OnStop: func(ctx context.Context) error {
			rec.Record(event.Event{Kind: event.ProcessStopped})
			return s.Stop(ctx)
		},
	})
}
