package agent

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/fence"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

// uptime returns the time since the start of this incarnation, on which the fence works.
func (a *Agent) uptime() time.Duration { return a.now().Sub(a.startedAt) }

func runFenceMessage(r peer.RunRequest) fence.Message {
	return fence.Message{
		Key:         fence.Key{CallID: r.Call, Attempt: r.Attempt},
		Incarnation: r.Incarnation,
		IssuedAt:    time.Duration(r.IssuedMillis) * time.Millisecond,
	}
}

func cancelFenceMessage(r peer.CancelRequest) fence.Message {
	return fence.Message{
		Key:         fence.Key{CallID: r.Call, Attempt: r.Attempt},
		Incarnation: r.Incarnation,
		IssuedAt:    time.Duration(r.IssuedMillis) * time.Millisecond,
	}
}
