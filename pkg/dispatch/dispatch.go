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
	// ID is the request ID for events and logs. Callers choose it, so it need not be unique.
	ID           string
	Organisation configuration.Organisation
	Kind         peer.WorkKind
	// Target is the name of the model or service, depending on Kind.
	Target  string
	Method  string
	Path    string
	Headers []peer.Header
	Body    []byte
	// Stream is set when the caller requests server-sent events.
	Stream bool
	// Idempotent is set when the request may run more than once.
	Idempotent bool
	// IdempotencyKey is the key sent by the caller, or empty.
	IdempotencyKey string
	// Cost is the expected cost in tokens; a request to a service costs 1.
	Cost int64
	// Prefix holds the hashes of the leading blocks of a prompt; see package prefix.
	Prefix []uint64
}

// Sink receives the response to a request.
type Sink interface {
	// WriteFrame writes the next bytes of the response. An error means that the caller has
	// disconnected.
	WriteFrame(f peer.Frame) error
}

// Result is the final result of a request.
type Result struct {
	Code   code.Code
	Detail string
	// RetryAfter is the time after which the caller may send a rejected request again.
	RetryAfter time.Duration
	// Upstream is the ID of the upstream of the last attempt, or empty.
	Upstream string
	// Attempts is the number of attempts made.
	Attempts int
}

// Dispatcher runs requests on upstreams. It is safe for concurrent use.
type Dispatcher struct {
	table  *InstanceTable
	config *configuration.Holder
	events *event.Recorder
	// incarnation identifies this run of the entry process; requestCount counts its
	// requests. Together they form unique call IDs.
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

// New returns a dispatcher that chooses upstreams from the table. The store commits the
// claims of keyed requests whose coordinator is this entry.
func New(t *InstanceTable, config *configuration.Holder, events *event.Recorder, store *claimstore.Store, q *Quarantine, reg metrics.Registry) *Dispatcher {
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

// defaultRetryAfter is returned to callers when there is no better estimate.
const defaultRetryAfter = time.Second

// Do runs a request until it has a final result and writes the response to sink. The
// deadline of ctx is the deadline of the request.
func (d *Dispatcher) Do(ctx context.Context, r Request, sink Sink) Result {
	x := &execution{dispatcher: d, callID: d.newCallID(), req: r, sink: sink}
	x.fingerprint = poison.NewFingerprint(r.Organisation.Name, r.Target, r.Method, r.Path, r.Body)
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

// newCallID returns an ID that is unique among the requests of all entries and all their
// incarnations. The request ID does not serve, because callers may use one ID for several
// requests.
func (d *Dispatcher) newCallID() string {
	return d.incarnation + "-" + strconv.FormatUint(d.requestCount.Add(1), 36)
}

// acquire counts a new request of the organisation and reports whether the concurrency
// limit of the organisation admits it. An admitted request must be released.
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

// release ends the count of a request that acquire admitted.
func (d *Dispatcher) release(o configuration.Organisation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight[o.Name]--
	if d.inFlight[o.Name] == 0 {
		delete(d.inFlight, o.Name)
	}
}
