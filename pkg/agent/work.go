package agent

import (
	"context"
	"errors"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/upstream"
)

// runWorker executes tasks until the agent stops.
func (a *Agent) runWorker() {
	defer a.workers.Done()
	for {
		t := a.nextTask()
		if t == nil {
			return
		}
		a.execute(t)
	}
}

// nextTask waits until a task may start and marks it as started. It returns nil when the
// agent stops.
func (a *Agent) nextTask() *task {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		if a.stopped {
			return nil
		}
		if t := a.startNext(); t != nil {
			return t
		}
		a.wakeWorkers.Wait()
	}
}

// startNext removes tasks from the queue until one may start and returns it. It returns nil
// when the queue is empty, the limiter allows no start or a loss check is in progress. Agent.mu
// must be held.
func (a *Agent) startNext() *task {
	for a.lossChecks == 0 {
		i, ok := a.queue.Peek()
		if !ok {
			return nil
		}
		t := a.tasks[i.ID]
		t.run, ok = a.limiter.Start(a.now(), i.Cost, t.req.Isolated)
		if !ok {
			return nil
		}
		a.queue.Pop()
		c := a.checkAvailability(t.req)
		if c == code.OK {
			c = a.checkVerdict(t.req)
		}
		if c == code.OK {
			c = a.fence.Start(t.fenceMessage.Key, a.uptime())
		}
		if c == code.OK {
			t.upstreamIncarnation = a.health.Incarnation
			return t
		}
		a.limiter.End(t.run, a.now(), false)
		a.dropTask(t)
		t.finish(c, "", 0)
	}
	return nil
}

// execute runs a started task at the upstream. The result of a cancelled task is returned
// before its slot is released.
func (a *Agent) execute(t *task) {
	a.events.Record(event.Event{
		Kind: event.WorkStarted, Request: t.req.RequestID, Attempt: t.req.Attempt,
		Organisation: t.req.Organisation, Upstream: a.settings.Name, Zone: a.settings.Zone,
	})
	startedAt := a.now()
	response, err := a.client.Run(t.ctx, t.req, func(p upstream.Part) error {
		if t.req.Stream && !p.HasMore {
			a.recordPart(t)
		}
		return t.send(p)
	})
	took := a.now().Sub(startedAt)
	c, detail := a.resultCode(t, response, err)
	crashed := a.hasCrashed(t, err)
	a.recordRunVerdict(t, c, crashed)
	if !crashed && t.ctx.Err() != nil {
		t.finish(c, detail, response.Tokens)
		time.Sleep(cancelDrainTime)
	}
	a.finishRun(t, took, c, response, crashed)
	t.finish(c, detail, response.Tokens)
	a.events.Record(event.Event{
		Kind: event.WorkEnded, Request: t.req.RequestID, Attempt: t.req.Attempt,
		Organisation: t.req.Organisation, Upstream: a.settings.Name, Code: int(c), Detail: c.String(),
	})
}

// recordPart records a part of the response to a task in the limiter. It wakes a worker when
// the part confirmed earlier starts, so that another request may start.
func (a *Agent) recordPart(t *task) {
	a.mu.Lock()
	defer a.mu.Unlock()
	unconfirmed := a.limiter.Unconfirmed()
	a.limiter.RecordPart(t.run, a.now())
	a.applyLimit("late parts")
	if a.limiter.Unconfirmed() < unconfirmed {
		a.wakeWorkers.Signal()
	}
}

// resultCode returns the code and the detail for the end of a run.
func (a *Agent) resultCode(t *task, response upstream.ResponseSummary, err error) (code.Code, string) {
	switch {
	case err == nil:
		return code.OK, ""
	case errors.Is(err, upstream.ErrNotSent) && response.Status == 0:
		return code.UpstreamUnreachable, err.Error()
	case errors.Is(t.ctx.Err(), context.DeadlineExceeded):
		return code.DeadlineExceeded, err.Error()
	case t.ctx.Err() != nil:
		return code.CallerGone, err.Error()
	}
	return code.UpstreamLost, err.Error()
}

// finishRun updates the limiter, the fence, the queue and the mean service time after a run
// and removes the task.
func (a *Agent) finishRun(t *task, took time.Duration, c code.Code, response upstream.ResponseSummary, crashed bool) {
	now := a.now()
	a.meters.recordEnd(c, took)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.End(t.run, now, c == code.OK)
	if crashed {
		a.limiter.Reset()
	}
	a.applyLimit("answers")
	a.fence.End(t.fenceMessage.Key)
	a.queue.Settle(t.req.Organisation, t.req.Cost, actualCost(t.req, c, response))
	a.meanServiceMillis += serviceTimeGain * (float64(took.Milliseconds()) - a.meanServiceMillis)
	delete(a.tasks, t.id)
	a.wakeWorkers.Broadcast()
}

// actualCost returns the actual cost of a run in tokens. The tokens of a complete response
// that is not a stream are unknown; its expected cost is used.
func actualCost(r peer.RunRequest, c code.Code, response upstream.ResponseSummary) int64 {
	if response.Tokens == 0 && c == code.OK {
		return r.Cost
	}
	return max(response.Tokens, 1)
}

// serviceTimeGain is the weight of the newest sample in the mean service time.
const serviceTimeGain = 0.1

// cancelDrainTime is the time for which a cancelled run keeps its slot, because the upstream
// detects the disconnection of its client with a delay.
const cancelDrainTime = 100 * time.Millisecond
