package agent

import (
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/fence"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
)

// uptime returns the time since the start of this incarnation. The fence uses it as its
// clock.
func (a *Agent) uptime() time.Duration { return a.now().Sub(a.startedAt) }

// runFenceMessage returns the key and issue time of a run request for the fence.
func runFenceMessage(r peer.RunRequest) fence.Message {
	return fence.Message{
		Key:         fence.Key{CallID: r.CallID, Attempt: r.Attempt},
		Incarnation: r.Incarnation,
		IssuedAt:    time.Duration(r.IssuedAtMillis) * time.Millisecond,
	}
}

// cancelFenceMessage returns the key and issue time of a cancel request for the fence.
func cancelFenceMessage(r peer.CancelRequest) fence.Message {
	return fence.Message{
		Key:         fence.Key{CallID: r.CallID, Attempt: r.Attempt},
		Incarnation: r.Incarnation,
		IssuedAt:    time.Duration(r.IssuedAtMillis) * time.Millisecond,
	}
}
