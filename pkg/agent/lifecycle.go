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

// lifecycle is the life cycle of an agent process.
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
	// leaveNoticeTime is the time for which a leaving agent goes on refusing work, so that
	// entries hear of it before its listeners close.
	leaveNoticeTime = time.Second
)

func (n *lifecycle) start(ctx context.Context) error {
	control, err := n.credentials.Listen(ctx, n.agent.settings.ControlAddress)
	if err != nil {
		return err
	}
	work, err := n.credentials.Listen(ctx, n.agent.settings.WorkAddress)
	if err != nil {
		return errors.Join(err, control.Close())
	}
	n.workServer = &http.Server{Handler: peer.WorkHandler(n.agent, n.credentials), ReadHeaderTimeout: headerTimeout}
	n.agent.Start()
	// Both end when their listeners are closed at stop.
	go func() { _ = n.controlServer.Serve(control) }()
	go func() { _ = n.workServer.Serve(work) }()
	n.operator.SetReady(true)
	return nil
}

// stop is a planned stop: no work in progress is cut off unless ctx ends first.
func (n *lifecycle) stop(ctx context.Context) error {
	n.operator.SetReady(false)
	n.events.Record(event.Event{Kind: event.ProcessStopping})
	n.agent.Leave(ctx)
	sleep(ctx, leaveNoticeTime)
	err := n.workServer.Shutdown(ctx)
	n.agent.Stop()
	return errors.Join(err, n.workServer.Close(), n.controlServer.Shutdown(ctx))
}
