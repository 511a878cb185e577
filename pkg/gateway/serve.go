package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/exchange"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/guard"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/intake"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/permit"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/route"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

const (
	// unconfiguredRetryAfter is the Retry-After of a gateway without a configuration. A starting
	// gateway receives it within milliseconds, in one call to the store; one that responds before
	// that is most often waiting for the store to recover.
	unconfiguredRetryAfter = 1500 * time.Millisecond
	// storeStaleAfter is how long the store may be unreachable before an unknown route or key gets
	// 503 in place of 404 or 401: a newer configuration may contain it.
	storeStaleAfter = time.Second
	// defaultTimeout limits a request without a deadline on a route without a timeout.
	defaultTimeout = time.Minute
	// writeGrace is how long after its deadline a call may still write. A caller that does not read holds
	// the call no longer than that.
	writeGrace = 200 * time.Millisecond
)

// call is one request of a caller in progress.
type call struct {
	gateway *Gateway
	writer  http.ResponseWriter
	// conn accounts for what the call holds, nil where nothing does, and control sets the deadlines of the connection.
	conn    *guard.Conn
	control *http.ResponseController
	request *platform.Request
	route   *route.Route
	service string
	// canReadChunks is set if the caller speaks HTTP/1.1 or later.
	canReadChunks bool
	// id identifies the call within this process.
	id           string
	organisation string
	priority     int
	startedAt    time.Time
	// deadline is when the final response is due.
	deadline time.Time

	// attemptsSent is the number of attempts that may have reached an upstream, and
	// triedUpstreams are the IDs of all upstreams chosen so far.
	attemptsSent   int
	triedUpstreams []string
	// timesTurnedAway is the number of attempts that upstreams turned away to pause.
	timesTurnedAway int
	// trial is the newest attempt, if that was the trial of an upstream.
	trial trial
	// mayHaveRun is set when an attempt without a response may have run.
	mayHaveRun bool
	// headSent is set once the head of an upstream's response was sent to the caller, and completed once
	// the whole response was.
	headSent  bool
	completed bool
	// attemptTimer ends the newest attempt when its time limit has passed, nil if it has none.
	attemptTimer *time.Timer
	// framing is that of the newest response of an upstream. events is the number of events with data
	// sent to the caller, and attemptEvents the number of those that came from the newest response.
	framing       exchange.Framing
	events        int
	attemptEvents int
	// isResumedAttempt is set if the newest attempt goes on after events of an earlier one.
	isResumedAttempt bool
	// lastEventID is the id of the last event sent to the caller, empty if that has none.
	lastEventID string
	// permitWait is the time until a permit was granted, timeToFirstEvent the time until the first
	// event, longestEventGap the longest pause between two events, and lastEventAt when the newest
	// event was sent.
	permitWait       time.Duration
	timeToFirstEvent time.Duration
	longestEventGap  time.Duration
	lastEventAt      time.Time
}

// ServeHTTP handles one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{
		gateway: g, writer: w, conn: guard.FromContext(r.Context()), control: http.NewResponseController(w), startedAt: time.Now(),
		request: platform.ReadRequest(r, nil), id: strconv.FormatUint(g.requestCount.Add(1), 36), canReadChunks: r.ProtoAtLeast(1, 1),
	}
	c.lastEventID = c.request.LastEventID
	if g.isStopping() {
		w.Header().Set("Connection", "close")
	}
	table := g.table.Load()
	if table == nil {
		g.count("requests_not_configured")
		c.leaveBody(r)
		c.conn.Enter(intake.Serving)
		platform.Reject(w, nil, http.StatusServiceUnavailable, unconfiguredRetryAfter)
		return
	}
	if status := c.checkHead(r.Header, table.Limits()); status != 0 {
		c.leaveBody(r)
		c.reject(status, c.jitteredRetryAfter(overloadRetryAfter), rejectionReason(status))
		return
	}
	if status := c.resolve(table); status != 0 {
		c.leaveBody(r)
		c.reject(status, unconfiguredRetryAfter, "not-allowed")
		return
	}
	body, status := c.readBody(r, table.Limits())
	if status == 0 && !c.beginServing() {
		status = http.StatusServiceUnavailable
	}
	if status != 0 {
		c.leaveBody(r)
		c.reject(status, c.jitteredRetryAfter(overloadRetryAfter), rejectionReason(status))
		return
	}
	c.request = c.request.WithBody(body)
	if !g.inProgress.begin(c.service) {
		c.reject(http.StatusServiceUnavailable, c.jitteredRetryAfter(overloadRetryAfter), "service-full")
		return
	}
	defer g.inProgress.end(c.service)
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(g.calls, cancel)()
	_ = c.control.SetWriteDeadline(c.deadline.Add(writeGrace))
	// The connection may carry further requests, whose deadlines are later.
	defer func() { _ = c.control.SetWriteDeadline(time.Time{}) }()
	c.serve(ctx)
	if c.headSent && !c.completed {
		// The server would end the response as a complete one when this handler returns.
		c.breakOff()
	}
}

// breakOff closes the caller's connection, so that an incomplete response does not look complete. It
// panics with http.ErrAbortHandler.
func (c *call) breakOff() {
	if !c.canReadChunks {
		// A response without chunks and length ends with its connection; only a reset shows a break.
		resetConnection(c.writer)
	}
	panic(http.ErrAbortHandler)
}

// resetConnection closes the connection of a request with a TCP reset.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection is lost already
	}
	if c, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = c.SetLinger(0)
	}
	conn.Close()
}

// resolve finds route, organisation and service. It returns the status of a rejection, or 0.
func (c *call) resolve(table *route.Table) int {
	c.route = table.Route(c.request.Host, c.request.Path)
	if c.route == nil {
		return c.gateway.unknownStatus(http.StatusNotFound)
	}
	c.priority = c.route.Priority
	if table.RequiresAPIKeys() && !c.route.Public {
		o := table.Organisation(c.request.APIKey)
		if o == nil {
			return c.gateway.unknownStatus(http.StatusUnauthorized)
		}
		c.organisation = o.Name
		if o.HasPriority {
			c.priority = o.Priority
		}
	}
	c.service = c.route.PickBackend(c.randomFloat())
	c.deadline = c.startedAt.Add(c.timeout())
	return 0
}

// unknownStatus returns the status for a route or key that the configuration does not contain:
// status, or 503 while the store is unreachable.
func (g *Gateway) unknownStatus(status int) int {
	if lostAt := g.storeLostAt.Load(); lostAt != 0 && time.Since(g.startedAt)-time.Duration(lostAt) > storeStaleAfter {
		return http.StatusServiceUnavailable
	}
	return status
}

// timeout returns the time that the call may take in total.
func (c *call) timeout() time.Duration {
	limit := defaultTimeout
	if c.route.Timeout > 0 {
		limit = c.route.Timeout
	}
	if c.request.Timeout > 0 {
		limit = min(limit, c.request.Timeout)
	}
	return limit
}

func (c *call) timeLeft() time.Duration { return time.Until(c.deadline) }

// serve waits for a permit and runs the attempts of the call.
func (c *call) serve(ctx context.Context) {
	c.gateway.recordRequest(c.service, c.startedAt)
	if !c.gateway.mayTake(c.deadline, time.Now()) {
		c.reject(http.StatusServiceUnavailable, stoppingRetryAfter, reasonStopping)
		return
	}
	if c.route.Streaming && c.gateway.requiredResponseTime(c.service, c.request.ResponseTokens) > c.timeLeft() {
		c.reject(http.StatusServiceUnavailable, c.jitteredRetryAfter(tooSlowRetryAfter), "too-slow")
		return
	}
	if c.isConvicted() {
		c.reject(http.StatusServiceUnavailable, crashRetryAfter, reasonCrashes)
		return
	}
	for maxOnTimeWait := c.maxOnTimeWait(); c.waitAndRun(ctx, maxOnTimeWait) == groupRefused; maxOnTimeWait = 0 {
		// The group is not running, although no leader has reported that. The call waits for it like
		// those that arrive meanwhile; other ranks of the group would refuse it too.
		c.gateway.suspendService(c.service, time.Now())
	}
}

// waitAndRun waits for a permit and runs attempts. It returns groupRefused if the call may wait
// again, and otherwise final.
func (c *call) waitAndRun(ctx context.Context, maxOnTimeWait time.Duration) attemptOutcome {
	now := time.Now()
	c.gateway.expireStalled(c.service, now)
	decision, err := c.gateway.permits.acquire(ctx, c.service, permit.Request{
		ID: c.id, Organisation: c.organisation, Priority: -c.priority, Cost: c.cost(),
		MaxWait: c.maxWait() - now.Sub(c.startedAt), MaxOnTimeWait: maxOnTimeWait,
		TimeLeft: c.timeLeft(),
	})
	c.permitWait = time.Since(c.startedAt)
	c.gateway.observe("wait", c.permitWait)
	if err != nil {
		c.rejectWaiting()
		return final
	}
	if decision.Outcome == permit.Rejected {
		retryAfter := decision.Wait
		if c.attemptsSent > 0 {
			retryAfter = max(retryAfter, c.retryAfter())
		}
		c.reject(http.StatusServiceUnavailable, retryAfter, "no-room")
		return final
	}
	grantedAt := time.Now()
	defer func() { c.gateway.permits.release(c.service, time.Since(grantedAt)) }()
	return c.runAttempts(ctx)
}

// rejectWaiting answers a request that has not been sent and whose context has ended.
func (c *call) rejectWaiting() {
	if c.gateway.calls.Err() != nil {
		c.reject(http.StatusServiceUnavailable, stoppingRetryAfter, reasonStopping)
		return
	}
	c.reject(http.StatusServiceUnavailable, 0, "left-while-waiting")
}

// cost returns the expected work in tokens; a prompt token costs a tenth of an output token.
func (c *call) cost() int64 {
	const outputTokenCost = 10
	return max(1, int64(c.request.PromptTokens+outputTokenCost*c.request.ResponseTokens))
}

// tooSlowRetryAfter is the Retry-After for a request whose response would not end in time: a slow
// upstream is detected, relieved or replaced within seconds.
const tooSlowRetryAfter = 1500 * time.Millisecond

const (
	// maxWaitObjectiveRatio is the fraction of the latency objective that a plain request may wait.
	maxWaitObjectiveRatio = 0.5
	// streamMaxWait is the longest permit wait of a stream: callers close a connection after two
	// seconds without data, and the first event takes time after the permit.
	streamMaxWait = 1300 * time.Millisecond
)

// maxWait returns the longest permit wait after which the response is still of use to the caller.
func (c *call) maxWait() time.Duration {
	if c.route.Streaming {
		return min(streamMaxWait, c.timeLeft()/2)
	}
	return min(max(time.Duration(maxWaitObjectiveRatio*float64(c.route.TargetLatency)), 50*time.Millisecond), c.timeLeft()/2)
}

// maxOnTimeWait returns the longest permit wait after which the call can still meet its
// objective; it is not positive for a request that cannot.
func (c *call) maxOnTimeWait() time.Duration {
	if !c.route.Streaming || c.gateway.allGroupsLate(c.service, c.route.TargetEventGap) {
		return c.maxWait()
	}
	if c.gateway.deadlines.isCallerRetry(c.route.Name+" "+c.organisation, c.request.Timeout, c.startedAt) {
		return 0
	}
	return c.route.TargetLatency - c.gateway.permits.firstEventDelay(c.service)
}

// jitteredRetryAfter extends wait by a random part, so that rejected callers do not retry all at
// once.
func (c *call) jitteredRetryAfter(wait time.Duration) time.Duration {
	const jitter = 0.5
	return wait + time.Duration(jitter*c.randomFloat()*float64(wait))
}

// reject sends a response of the gateway's own. A status that states that the request did not run
// must be true.
func (c *call) reject(status int, retryAfter time.Duration, reason string) {
	if status < http.StatusInternalServerError && status != http.StatusTooManyRequests {
		retryAfter = 0
	}
	c.gateway.count("answers_own_" + strconv.Itoa(status))
	if c.gateway.isStopping() { // the stop may have begun after the request
		c.writer.Header().Set("Connection", "close")
	}
	c.logEnd(status, reason)
	c.conn.Enter(intake.Serving)
	platform.Reject(c.writer, c.request, status, retryAfter)
}

// logEnd writes the log line at the end of a call. Status is 0 for a response that was cut short.
func (c *call) logEnd(status int, reason string) {
	name := ""
	if c.route != nil {
		name = c.route.Name
	}
	c.gateway.log.Info("request-ended", "request", c.request.ID, "route", name, "organisation", c.organisation,
		"status", status, "reason", reason, "attempts", c.attemptsSent, "upstreams", c.triedUpstreams,
		"took", time.Since(c.startedAt).Round(time.Millisecond), "waited", c.permitWait.Round(time.Millisecond),
		"framing", c.framing, "events", c.events, "attempt_events", c.attemptEvents,
		"first_event", c.timeToFirstEvent.Round(time.Millisecond), "longest_gap", c.longestEventGap.Round(time.Millisecond),
		"config_version", c.gateway.Version())
}
