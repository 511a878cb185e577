package dispatch

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/samber/oops"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/retry"
)

// Request is one request of a caller.
type Request struct {
	ID           string
	Organisation configuration.Organisation
	Kind         peer.WorkKind
	Target       string
	Method       string
	Path         string
	Headers      []peer.Header
	Body         []byte
	Stream       bool
	Idempotent   bool
	// IdempotencyKey is the caller's key, empty when there is none.
	IdempotencyKey string
	Cost           int64
}

// Sink receives the answer of a request.
type Sink interface {
	// Frame receives the next bytes of the answer. An error means that the caller is gone.
	Frame(f peer.Frame) error
}

// Result ends a request.
type Result struct {
	Code   code.Code
	Detail string
	// RetryAfter is the time after which the caller may send a refused request again.
	RetryAfter time.Duration
	Upstream   string
	Attempts   int
}

// Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	table  *Table
	config *configuration.Holder
	events *event.Recorder
	// life identifies this life of the entry and calls counts its requests.
	life  string
	calls atomic.Uint64

	budgets budgets

	mu sync.Mutex
	// inFlight counts the requests in progress by organisation.
	inFlight map[string]int
}

// New returns a dispatcher over the table.
func New(t *Table, config *configuration.Holder, events *event.Recorder) *Dispatcher {
	return &Dispatcher{table: t, config: config, events: events, life: uuid.NewString(), inFlight: map[string]int{}}
}

// defaultRetryAfter is told to callers when no better estimate is known.
const defaultRetryAfter = time.Second

// Do runs a request until it has a final result. The deadline of ctx is that of the request.
func (d *Dispatcher) Do(ctx context.Context, r Request, sink Sink) Result {
	s := &session{d: d, call: d.nextCall(), req: r, sink: sink}
	if !d.enter(r.Organisation) {
		return Result{Code: code.OrganisationLimit, RetryAfter: defaultRetryAfter}
	}
	defer d.leave(r.Organisation)
	d.events.Record(event.Event{Kind: event.RequestReceived, Request: r.ID, Organisation: r.Organisation.Name, Detail: r.Target})
	res := s.run(ctx)
	res.Attempts = s.attempt
	d.budgets.ended(r.Organisation.Name, res.Code)
	if res.Code.Outcome() == code.NotRun {
		res.RetryAfter = max(res.RetryAfter, d.table.retryAfter(target{r.Kind, r.Target}))
	}
	d.events.Record(event.Event{
		Kind: event.RequestEnded, Request: r.ID, Organisation: r.Organisation.Name,
		Upstream: res.Upstream, Attempt: res.Attempts, Code: int(res.Code), Detail: res.Code.String(),
	})
	return res
}

// nextCall returns an identity that no other request has, at any entry and in any of
// its lives. The identity that a caller chooses may be used by several requests.
func (d *Dispatcher) nextCall() string {
	return d.life + "-" + strconv.FormatUint(d.calls.Add(1), 36)
}

// enter counts a request of the organisation and reports whether its limit allows it.
func (d *Dispatcher) enter(o configuration.Organisation) bool {
	limit := o.MaxInProgress
	if limit == 0 {
		limit = d.config.View().Document.Limits.OrganisationMaxInFlight
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inFlight[o.Name] >= limit {
		return false
	}
	d.inFlight[o.Name]++
	return true
}

func (d *Dispatcher) leave(o configuration.Organisation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight[o.Name]--
	if d.inFlight[o.Name] == 0 {
		delete(d.inFlight, o.Name)
	}
}

// session is the run of one request.
type session struct {
	d *Dispatcher
	// call identifies the request within the system.
	call    string
	req     Request
	sink    Sink
	attempt int
	tried   []string
	answer  answer
}

// run makes attempts until one ends the request.
func (s *session) run(ctx context.Context) Result {
	last := Result{Code: code.NoUpstream}
	for s.attempt < s.d.config.View().Document.Limits.MaxAttempts {
		if s.attempt > 0 && !s.d.budgets.allow(s.req.Organisation.Name, last.Code) {
			return last
		}
		p, ok := s.d.table.pick(target{s.req.Kind, s.req.Target}, s.tried)
		if !ok {
			return last
		}
		if c := retry.Hopeless(p.wait, timeLeft(ctx), p.service); c != code.OK && s.attempt == 0 {
			s.d.table.release(p)
			return Result{Code: c}
		}
		s.attempt++
		s.tried = append(s.tried, p.id)
		last = s.try(ctx, p)
		s.d.table.release(p)
		if !s.again(ctx, last.Code) {
			return last
		}
	}
	return last
}

// again reports whether another attempt may follow one that ended with c.
func (s *session) again(ctx context.Context, c code.Code) bool {
	if ctx.Err() != nil {
		return false
	}
	switch c.Outcome() {
	case code.NotRun:
		return true
	case code.Unknown:
		return s.req.Idempotent && s.answer.resumable(s.req)
	}
	return false
}

// try makes one attempt at the picked upstream.
func (s *session) try(ctx context.Context, p picked) Result {
	r := s.message(ctx, p)
	s.record(event.AttemptSent, p, 0)
	s.answer.nextAttempt()
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	res, err := p.client.Run(runCtx, p.work, r, func(f peer.Frame) error { return s.answer.deliver(f, s.req.Stream, s.sink) })
	out := Result{Code: res.Code, Detail: res.Detail, Upstream: p.id}
	if err == nil && res.Code == code.OK {
		err = s.answer.finish(s.req.Stream, s.sink)
	}
	if err == nil {
		s.d.table.observe(p.id, res.Load, s.d.table.opts.Now())
		s.informLater(p, res.ConfigVersion)
	} else {
		out.Code, out.Detail = s.settle(ctx, p, r, err), err.Error()
		if out.Code == code.UpstreamUnreachable || out.Code == code.AgentLost {
			s.d.table.lose(p.member)
		}
	}
	if res.RetryAfterMillis > 0 {
		out.RetryAfter = time.Duration(res.RetryAfterMillis) * time.Millisecond
	}
	s.record(event.AttemptEnded, p, out.Code)
	return out
}

// settle finds out what became of an attempt without a result.
func (s *session) settle(ctx context.Context, p picked, r peer.RunRequest, err error) code.Code {
	if errors.Is(err, peer.ErrNotSent) {
		return code.UpstreamUnreachable
	}
	notRun := s.cancel(p, r)
	switch {
	case errors.Is(err, errCallerGone) || errors.Is(ctx.Err(), context.Canceled):
		return code.CallerGone
	case notRun && ctx.Err() != nil:
		return code.StartBudgetExpired
	case notRun:
		return code.Tombstoned
	case errors.Is(err, peer.ErrNotWhole):
		return code.AnswerNotWhole
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return code.DeadlineExceeded
	}
	return code.AgentLost
}

// cancelCall bounds a cancel call.
const cancelCall = time.Second

// cancel asks the agent to end the attempt and reports whether it confirmed that
// the attempt did not run and never will.
func (s *session) cancel(p picked, r peer.RunRequest) bool {
	ctx, stop := context.WithTimeout(context.Background(), cancelCall)
	defer stop()
	res, err := peer.Call[peer.CancelResult](ctx, p.client, peer.MethodCancel, peer.CancelRequest{
		News: s.d.table.news(), Call: r.Call, Request: r.Request, Attempt: r.Attempt,
		Incarnation: r.Incarnation, IssuedMillis: r.IssuedMillis,
	})
	return err == nil && res.State == peer.CancelNotRun
}

// defaultDeadline stands in for the deadline of a context without one.
const defaultDeadline = time.Minute

func (s *session) message(ctx context.Context, p picked) peer.RunRequest {
	left := timeLeft(ctx)
	r := peer.RunRequest{
		News:           s.d.table.news(),
		Call:           s.call,
		Request:        s.req.ID,
		Attempt:        s.attempt,
		From:           s.d.table.opts.Name,
		Incarnation:    p.incarnation,
		IssuedMillis:   p.issued.Milliseconds(),
		Organisation:   s.req.Organisation.Name,
		Priority:       s.req.Organisation.Priority,
		Weight:         s.req.Organisation.Weight,
		Kind:           s.req.Kind,
		Target:         s.req.Target,
		Method:         s.req.Method,
		Path:           s.req.Path,
		Headers:        s.req.Headers,
		Body:           s.answer.resumeBody(s.req),
		Stream:         s.req.Stream,
		Idempotent:     s.req.Idempotent,
		IdempotencyKey: s.req.IdempotencyKey,
		Cost:           s.req.Cost,
		StartByMillis:  retry.StartBy(left, p.service).Milliseconds(),
		TimeoutMillis:  max(left.Milliseconds(), 1),
	}
	return r
}

func (s *session) informLater(p picked, version int64) {
	if version >= s.d.config.View().Version() {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), statusCall)
		defer cancel()
		s.d.table.inform(ctx, p.client, version)
	}()
}

func (s *session) record(k event.Kind, p picked, c code.Code) {
	e := event.Event{Kind: k, Request: s.req.ID, Attempt: s.attempt, Organisation: s.req.Organisation.Name, Upstream: p.id, Code: int(c)}
	if c != 0 {
		e.Detail = c.String()
	}
	s.d.events.Record(e)
}

var errCallerGone = oops.Errorf("dispatch: the caller is gone")
