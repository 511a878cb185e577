package node

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"go.uber.org/fx"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/process"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

// A SIGTERM that arrives while a process starts ended it at once: requests that its listeners had
// accepted were cut off, and its parts were not stopped.
func TestStopSignalDuringStartStopsInOrder(t *testing.T) {
	is := is.New(t)
	stopped := false
	module := fx.Invoke(func(lc fx.Lifecycle) {
		lc.Append(fx.Hook{
			OnStart: func(context.Context) error { return syscall.Kill(syscall.Getpid(), syscall.SIGTERM) },
			OnStop: func(context.Context) error {
				stopped = true
				return nil
			},
		})
	})
	is.Equal(serve(platform.Settings{StopTimeout: 8 * time.Second}, module, hclog.NewNullLogger()), process.ExitOK)
	is.True(stopped)
}
