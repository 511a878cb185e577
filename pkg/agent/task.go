package agent

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/admission"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/fairness"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/fence"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/upstream"
)

// task is one admitted attempt.
type task struct {
	id           string
	fenceMessage fence.Message
	req          peer.RunRequest
	sender       peer.Sender
	ctx          context.Context
	cancel       context.CancelFunc
	// result receives the result once.
	result chan peer.RunResult

	arrivedAt time.Time
	// startBudget is the start budget left when the attempt was admitted.
	startBudget time.Duration
	// upstreamIncarnation is the incarnation of the upstream at the start.
	upstreamIncarnation string
	// run is set when the task has started.
	run      *admission.Run
	offset   int64
	checksum *xxhash.Digest
}

func (a *Agent) newTask(s peer.Sender, r peer.RunRequest) *task {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(r.TimeoutMillis)*time.Millisecond)
	return &task{
		id:           taskID(r.Call, r.Attempt),
		fenceMessage: runFenceMessage(r),
		req:          r,
		sender:       s,
		ctx:          ctx,
		cancel:       cancel,
		result:       make(chan peer.RunResult, 1),
		arrivedAt:    a.now(),
		checksum:     xxhash.New(),
	}
}

func taskID(call string, attempt int) string {
	return call + "/" + strconv.Itoa(attempt)
}

func (t *task) item() fairness.Item {
	return fairness.Item{
		ID:           t.id,
		Organisation: t.req.Organisation,
		Weight:       t.req.Weight,
		Priority:     t.req.Priority,
		Cost:         t.req.Cost,
		Bytes:        int64(len(t.req.Body)),
	}
}

// send hands one part of the answer to the entry.
func (t *task) send(p upstream.Part) error {
	f := peer.Frame{Offset: t.offset, Data: p.Data, Status: p.Status, Headers: p.Headers, More: p.More}
	t.offset += int64(len(p.Data))
	// A hash never returns an error from Write.
	_, _ = t.checksum.Write(p.Data)
	return t.sender.Send(f)
}

// finish hands the result to the waiting call. Only the first result counts.
func (t *task) finish(c code.Code, detail string, tokens int64) {
	t.setResult(peer.RunResult{Code: c, Detail: detail, Length: t.offset, Checksum: t.checksum.Sum64(), Tokens: tokens})
}

// rejectOverloaded refuses the task for want of room; wait is the time until there may be some.
func (t *task) rejectOverloaded(wait time.Duration) {
	t.setResult(peer.RunResult{Code: code.Overloaded, Checksum: t.checksum.Sum64(), RetryAfterMillis: wait.Milliseconds()})
}

func (t *task) setResult(r peer.RunResult) {
	select {
	case t.result <- r:
	default:
	}
	t.cancel()
}
