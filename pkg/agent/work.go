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

// work is the loop of one worker.
func (a *Agent) work() {
	defer a.workers.Done()
	for {
		t := a.next()
		if t == nil {
			return
		}
		a.execute(t)
	}
}

// next waits for a task that may start now and marks it as started. It returns nil
// when the agent stops.
func (a *Agent) next() *task {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		if a.closed {
			return nil
		}
		if t := a.startOne(); t != nil {
			return t
		}
		a.wake.Wait()
	}
}

// startOne takes tasks from the queue until one may start. Agent.mu is held.
func (a *Agent) startOne() *task {
	for a.checking == 0 {
		i, ok := a.queue.Peek()
		if !ok {
			return nil
		}
		t := a.tasks[i.ID]
		t.run, ok = a.limiter.Start(a.now(), i.Cost, t.req.Alone)
		if !ok {
			return nil
		}
		a.queue.Pop()
		c := a.closedTo(t.req)
		if c == code.OK {
			c = a.quarantined(t.req)
		}
		if c == code.OK {
			c = a.fence.Start(t.fenced.Key, a.clock())
		}
		if c == code.OK {
			t.life = a.health.Incarnation
			return t
		}
		a.limiter.End(t.run, a.now(), false)
		a.drop(t)
		t.finish(c, "", 0)
	}
	return nil
}

// execute runs a started task at the upstream.
func (a *Agent) execute(t *task) {
	a.events.Record(event.Event{
		Kind: event.WorkStarted, Request: t.req.Request, Attempt: t.req.Attempt,
		Organisation: t.req.Organisation, Upstream: a.settings.Name, Zone: a.settings.Zone,
	})
	began := a.now()
	answer, err := a.client.Run(t.ctx, t.req, func(p upstream.Part) error {
		if t.req.Stream && !p.More {
			a.part(t)
		}
		return t.send(p)
	})
	took := a.now().Sub(began)
	c, detail := a.verdict(t, answer, err)
	crashed := a.crashed(t, err)
	a.judge(t, c, crashed)
	if !crashed && t.ctx.Err() != nil {
		t.finish(c, detail, answer.Tokens)
		time.Sleep(abortTime)
	}
	a.end(t, took, c, answer, crashed)
	t.finish(c, detail, answer.Tokens)
	a.events.Record(event.Event{
		Kind: event.WorkEnded, Request: t.req.Request, Attempt: t.req.Attempt,
		Organisation: t.req.Organisation, Upstream: a.settings.Name, Code: int(c), Detail: c.String(),
	})
}

// part notes a part of the answer to a task.
func (a *Agent) part(t *task) {
	a.mu.Lock()
	defer a.mu.Unlock()
	unproven := a.limiter.Unproven()
	a.limiter.Part(t.run, a.now())
	a.limitChanged("late parts")
	if a.limiter.Unproven() < unproven {
		a.wake.Signal()
	}
}

// verdict turns the end of a run into a code.
func (a *Agent) verdict(t *task, answer upstream.Answer, err error) (code.Code, string) {
	switch {
	case err == nil:
		return code.OK, ""
	case errors.Is(err, upstream.ErrNotSent) && answer.Status == 0:
		return code.UpstreamUnreachable, err.Error()
	case errors.Is(t.ctx.Err(), context.DeadlineExceeded):
		return code.DeadlineExceeded, err.Error()
	case t.ctx.Err() != nil:
		return code.CallerGone, err.Error()
	}
	return code.UpstreamLost, err.Error()
}

// end updates the tables after a run.
func (a *Agent) end(t *task, took time.Duration, c code.Code, answer upstream.Answer, crashed bool) {
	now := a.now()
	a.meters.ended(c, took)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.End(t.run, now, c == code.OK)
	if crashed {
		a.limiter.Reset()
	}
	a.limitChanged("answers")
	a.fence.End(t.fenced.Key)
	a.queue.Settle(t.req.Organisation, t.req.Cost, spent(t.req, c, answer))
	a.service += serviceGain * (float64(took.Milliseconds()) - a.service)
	delete(a.tasks, t.id)
	a.wake.Broadcast()
}

// spent returns the actual cost of a run. The tokens of a whole answer that is not a
// stream are not counted; its expected cost stands.
func spent(r peer.RunRequest, c code.Code, answer upstream.Answer) int64 {
	if answer.Tokens == 0 && c == code.OK {
		return r.Cost
	}
	return max(answer.Tokens, 1)
}

// serviceGain is the weight of the newest sample in the mean service time.
const serviceGain = 0.1

// abortTime is the time for which a cancelled run keeps its place: the upstream notices
// only after a while that its client went away.
const abortTime = 100 * time.Millisecond
