package agent

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/jsonrpc2"

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
	key    fence.Key
	req    peer.RunRequest
	conn   *jsonrpc2.Conn
	ctx    context.Context
	cancel context.CancelFunc
	// ended receives the result once.
	ended chan peer.RunResult

	arrived time.Time
	// run is set when the task has started.
	run    *admission.Run
	offset int64
	sum    *xxhash.Digest
}

func (a *Agent) newTask(conn *jsonrpc2.Conn, r peer.RunRequest) *task {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(r.TimeoutMillis)*time.Millisecond)
	return &task{
		id:      taskID(r.Request, r.Attempt),
		key:     fence.Key{Request: r.Request, Attempt: r.Attempt},
		req:     r,
		conn:    conn,
		ctx:     ctx,
		cancel:  cancel,
		ended:   make(chan peer.RunResult, 1),
		arrived: a.now(),
		sum:     xxhash.New(),
	}
}

func taskID(request string, attempt int) string {
	return request + "/" + strconv.Itoa(attempt)
}

func (t *task) item() fairness.Item {
	return fairness.Item{
		ID:           t.id,
		Organisation: t.req.Organisation,
		Weight:       t.req.Weight,
		Priority:     t.req.Priority,
		Cost:         t.req.Cost,
	}
}

// send hands one part of the answer to the entry.
func (t *task) send(incarnation string, p upstream.Part) error {
	f := peer.Frame{
		Request:     t.req.Request,
		Attempt:     t.req.Attempt,
		Incarnation: incarnation,
		Offset:      t.offset,
		Data:        p.Data,
		Status:      p.Status,
		Headers:     p.Headers,
	}
	t.offset += int64(len(p.Data))
	// A hash never returns an error from Write.
	_, _ = t.sum.Write(p.Data)
	return t.conn.Notify(t.ctx, peer.MethodFrame, f)
}

// finish hands the result to the waiting call. Only the first result counts.
func (t *task) finish(c code.Code, detail string, tokens int64) {
	r := peer.RunResult{Code: c, Detail: detail, Length: t.offset, Checksum: t.sum.Sum64(), Tokens: tokens}
	select {
	case t.ended <- r:
	default:
	}
	t.cancel()
}
