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
	id     string
	fenced fence.Message
	req    peer.RunRequest
	sender peer.Sender
	ctx    context.Context
	cancel context.CancelFunc
	// ended receives the result once.
	ended chan peer.RunResult

	arrived time.Time
	// startIn is the start budget left when the attempt was admitted.
	startIn time.Duration
	// life is the incarnation of the upstream at the start.
	life string
	// run is set when the task has started.
	run    *admission.Run
	offset int64
	sum    *xxhash.Digest
}

func (a *Agent) newTask(s peer.Sender, r peer.RunRequest) *task {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(r.TimeoutMillis)*time.Millisecond)
	return &task{
		id:      taskID(r.Call, r.Attempt),
		fenced:  fencedRun(r),
		req:     r,
		sender:  s,
		ctx:     ctx,
		cancel:  cancel,
		ended:   make(chan peer.RunResult, 1),
		arrived: a.now(),
		sum:     xxhash.New(),
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
	_, _ = t.sum.Write(p.Data)
	return t.sender.Send(f)
}

// finish hands the result to the waiting call. Only the first result counts.
func (t *task) finish(c code.Code, detail string, tokens int64) {
	t.end(peer.RunResult{Code: c, Detail: detail, Length: t.offset, Checksum: t.sum.Sum64(), Tokens: tokens})
}

// giveBack refuses the task for want of room; wait is the time until there may be some.
func (t *task) giveBack(wait time.Duration) {
	t.end(peer.RunResult{Code: code.Overloaded, Checksum: t.sum.Sum64(), RetryAfterMillis: wait.Milliseconds()})
}

func (t *task) end(r peer.RunResult) {
	select {
	case t.ended <- r:
	default:
	}
	t.cancel()
}
