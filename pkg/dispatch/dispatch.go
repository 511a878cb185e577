package dispatch

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/claimstore"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/event"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/poison"
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
	// Prefix holds the hashes of the leading blocks of a prompt; see package prefix.
	Prefix []uint64
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
	// incarnation identifies this incarnation of the entry and calls counts its requests.
	incarnation  string
	requestCount atomic.Uint64

	claims     *claimer
	quarantine *Quarantine
	metrics    dispatcherMetrics
	budgets    budgets

	mu sync.Mutex
	// inFlight counts the requests in progress by organisation.
	inFlight map[string]int
}

// New returns a dispatcher over the table. The store commits the claims of keyed
// requests whose home is this entry.
func New(t *Table, config *configuration.Holder, events *event.Recorder, store *claimstore.Store, q *Quarantine, reg metrics.Registry) *Dispatcher {
	return &Dispatcher{
		table:       t,
		config:      config,
		events:      events,
		incarnation: uuid.NewString(),
		claims:      newClaimer(t, store),
		quarantine:  q,
		metrics:     newDispatcherMetrics(reg),
		budgets:     newBudgets(),
		inFlight:    map[string]int{},
	}
}

// defaultRetryAfter is told to callers when no better estimate is known.
const defaultRetryAfter = time.Second

// Do runs a request until it has a final result. The deadline of ctx is that of the request.
func (d *Dispatcher) Do(ctx context.Context, r Request, sink Sink) Result {
	x := &execution{dispatcher: d, callID: d.newCallID(), req: r, sink: sink}
	x.fingerprint = poison.Of(r.Organisation.Name, r.Target, r.Method, r.Path, r.Body)
	if !d.acquire(r.Organisation) {
		return Result{Code: code.OrganisationLimit, RetryAfter: defaultRetryAfter}
	}
	defer d.release(r.Organisation)
	d.events.Record(event.Event{Kind: event.RequestReceived, Request: r.ID, Organisation: r.Organisation.Name, Detail: r.Target})
	res := x.execute(ctx)
	res.Attempts = x.attempt
	d.table.metrics.recordEnd(res.Code)
	d.budgets.recordEnd(r.Organisation.Name, res.Code)
	if res.Code.Outcome() == code.NotRun {
		res.RetryAfter = max(res.RetryAfter, d.table.retryAfter(workTarget{r.Kind, r.Target}))
	}
	d.events.Record(event.Event{
		Kind: event.RequestEnded, Request: r.ID, Organisation: r.Organisation.Name,
		Upstream: res.Upstream, Attempt: res.Attempts, Code: int(res.Code), Detail: res.Code.String(),
	})
	return res
}

// newCallID returns an identity that no other request has, at any entry and in any of
// its lives. The identity that a caller chooses may be used by several requests.
func (d *Dispatcher) newCallID() string {
	return d.incarnation + "-" + strconv.FormatUint(d.requestCount.Add(1), 36)
}

// acquire counts a request of the organisation and reports whether its limit allows it.
func (d *Dispatcher) acquire(o configuration.Organisation) bool {
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

func (d *Dispatcher) release(o configuration.Organisation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight[o.Name]--
	if d.inFlight[o.Name] == 0 {
		delete(d.inFlight, o.Name)
	}
}
