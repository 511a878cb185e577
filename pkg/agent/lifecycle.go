package agent

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/operator"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

// lifecycle starts and stops the servers and the agent of an agent process.
type lifecycle struct {
	agent         *Agent
	credentials   peer.Credentials
	controlServer *peer.Server
	workServer    *http.Server
	operator      *operator.Server
	events        *event.Recorder
}

const (
	headerTimeout = 10 * time.Second
	// leaveNoticeTime is the time for which a leaving agent continues to reject work before
	// its listeners close, so that entries read from its status that it is leaving.
	leaveNoticeTime = time.Second
)

// start opens the listeners and marks the process as ready.
func (l *lifecycle) start(ctx context.Context) error {
	control, err := l.credentials.Listen(ctx, l.agent.settings.ControlAddress)
	if err != nil {
		return err
	}
	work, err := l.credentials.Listen(ctx, l.agent.settings.WorkAddress)
	if err != nil {
		return errors.Join(err, control.Close())
	}
	l.workServer = &http.Server{Handler: peer.WorkHandler(l.agent, l.credentials), ReadHeaderTimeout: headerTimeout}
	l.agent.Start()
	// Both goroutines end when stop closes their listeners.
	go func() { _ = l.controlServer.Serve(control) }()
	go func() { _ = l.workServer.Serve(work) }()
	l.operator.SetReady(true)
	return nil
}

// stop stops the process in an orderly way: work in progress is cancelled only if ctx ends
// first.
func (l *lifecycle) stop(ctx context.Context) error {
	l.operator.SetReady(false)
	l.events.Record(event.Event{Kind: event.ProcessStopping})
	l.agent.Leave(ctx)
	sleep(ctx, leaveNoticeTime)
	err := l.workServer.Shutdown(ctx)
	l.agent.Stop()
	return errors.Join(err, l.workServer.Close(), l.controlServer.Shutdown(ctx))
}
