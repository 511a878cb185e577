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
	sender       peer.FrameSender
	ctx          context.Context
	cancel       context.CancelFunc
	// result receives one result.
	result chan peer.RunResult

	arrivedAt time.Time
	// startBudget is the time within which the attempt must start, from its admission.
	startBudget time.Duration
	// upstreamIncarnation is the incarnation of the upstream when the task started.
	upstreamIncarnation string
	// run is the limiter's record of the task, set when the task starts.
	run *admission.Run
	// offset is the number of bytes of the response sent so far and checksum their xxHash64.
	offset   int64
	checksum *xxhash.Digest
}

// newTask returns a task whose context ends at the timeout of the request.
func (a *Agent) newTask(s peer.FrameSender, r peer.RunRequest) *task {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(r.TimeoutMillis)*time.Millisecond)
	return &task{
		id:           taskID(r.CallID, r.Attempt),
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

// taskID identifies an attempt among the tasks of an agent.
func taskID(call string, attempt int) string {
	return call + "/" + strconv.Itoa(attempt)
}

// item returns the queue item of the task.
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

// send sends one part of the response to the entry.
func (t *task) send(p upstream.Part) error {
	f := peer.Frame{Offset: t.offset, Data: p.Data, Status: p.Status, Headers: p.Headers, HasMore: p.HasMore}
	t.offset += int64(len(p.Data))
	// Write of a hash never returns an error.
	_, _ = t.checksum.Write(p.Data)
	return t.sender.Send(f)
}

// finish sets the result of the task. tokens is the number of generated tokens, 0 if unknown.
func (t *task) finish(c code.Code, detail string, tokens int64) {
	t.setResult(peer.RunResult{Code: c, Detail: detail, Length: t.offset, Checksum: t.checksum.Sum64(), Tokens: tokens})
}

// rejectOverloaded rejects the task for lack of capacity. wait is the expected time
// until there is capacity, 0 if unknown.
func (t *task) rejectOverloaded(wait time.Duration) {
	t.setResult(peer.RunResult{Code: code.Overloaded, Checksum: t.checksum.Sum64(), RetryAfterMillis: wait.Milliseconds()})
}

// setResult passes the result to awaitResult and cancels the task. Only the first result
// counts.
func (t *task) setResult(r peer.RunResult) {
	select {
	case t.result <- r:
	default:
	}
	t.cancel()
}
