package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/permit"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/route"
	"github.com/coltsfootpitch/coltsfootpitch/platform"
)

const (
	// unconfiguredRetry is when a caller may come back to an entry that knows no
	// configuration. One that starts has it after a call of the store, in milliseconds; one
	// that is asked before is most often waiting for the store's return.
	unconfiguredRetry = 1500 * time.Millisecond
	// staleAfter is how long the store may be silent until an unknown route or key is
	// answered "not now" in place of "never": it may be in a newer configuration.
	staleAfter = time.Second
	// defaultDeadline bounds a request that names no deadline on a route without timeout.
	defaultDeadline = time.Minute
	// bodyBytes bounds a body while no configuration states a limit.
	bodyBytes = 4 << 20
)

// call is one request of a caller on its way.
type call struct {
	g       *Gateway
	w       http.ResponseWriter
	q       *platform.Request
	route   *route.Route
	service string
	// id names the call in this process.
	id           string
	organisation string
	priority     int
	start        time.Time
	// end is when the final answer is due.
	end time.Time

	// sent is the number of attempts that reached an upstream, and tried are those upstreams.
	sent  int
	tried []string
	// mayHaveRun is set when an attempt that was not answered may have run.
	mayHaveRun bool
	// began is set once the head of the answer went to the caller.
	began bool
	// lastEvent is the id of the last event that the caller has.
	lastEvent string
	// waited is the time until a permit was granted, first that until the first event,
	// and gap the longest pause between two events; lastAt is when the newest came.
	waited time.Duration
	first  time.Duration
	gap    time.Duration
	lastAt time.Time
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	table := g.table.Load()
	if table == nil {
		g.count("requests_not_configured")
		platform.Refuse(w, nil, http.StatusServiceUnavailable, unconfiguredRetry)
		return
	}
	body, status := readBody(w, r, table.Limits())
	q := platform.ReadRequest(r, body)
	if status != 0 {
		g.log.Info("request-ended", "request", q.ID, "status", status, "reason", "body")
		platform.Refuse(w, q, status, 0)
		return
	}
	c := &call{g: g, w: w, q: q, start: start, id: strconv.FormatUint(g.requests.Add(1), 36), lastEvent: q.LastEvent}
	if status := c.resolve(table); status != 0 {
		c.refuse(status, unconfiguredRetry, "not-allowed")
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.end)
	defer cancel()
	c.serve(ctx)
}

// readBody reads a body within the limits. It returns a status other than 0 when the
// body cannot be taken.
func readBody(w http.ResponseWriter, r *http.Request, limits route.Limits) ([]byte, int) {
	if r.ContentLength == 0 {
		return nil, 0
	}
	bound := limits.BodyBytes
	if bound <= 0 {
		bound = bodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bound))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case err != nil:
		return nil, http.StatusBadRequest
	}
	return body, 0
}

// resolve finds route, organisation and service. It returns the status of a refusal, or 0.
func (c *call) resolve(t *route.Table) int {
	c.route = t.Route(c.q.Host, c.q.Path)
	if c.route == nil {
		return c.g.unknown(http.StatusNotFound)
	}
	c.priority = c.route.Priority
	if t.HasOrganisations() && !c.route.Public {
		o := t.Organisation(c.q.Key)
		if o == nil {
			return c.g.unknown(http.StatusUnauthorized)
		}
		c.organisation = o.Name
		if o.HasPriority {
			c.priority = o.Priority
		}
	}
	c.service = c.route.Backend(c.draw())
	c.end = c.start.Add(c.allowed())
	return 0
}

// unknown returns the status for what the configuration in force does not hold.
func (g *Gateway) unknown(status int) int {
	if lost := g.storeLost.Load(); lost != 0 && time.Since(g.born)-time.Duration(lost) > staleAfter {
		return http.StatusServiceUnavailable
	}
	return status
}

// allowed returns the time that the call may take.
func (c *call) allowed() time.Duration {
	limit := defaultDeadline
	if c.route.Timeout > 0 {
		limit = c.route.Timeout
	}
	if c.q.Deadline > 0 {
		limit = min(limit, c.q.Deadline)
	}
	return limit
}

func (c *call) left() time.Duration { return time.Until(c.end) }

// serve waits for a permit and runs the call.
func (c *call) serve(ctx context.Context) {
	c.g.noteRequest(c.service, c.start)
	if c.route.Streaming && c.g.answerTime(c.service, c.q.AnswerTokens) > c.left() {
		c.refuse(http.StatusServiceUnavailable, c.comeBack(slowRetry), "too-slow")
		return
	}
	c.g.lookAtStill(c.service, c.start)
	d, err := c.g.permits.acquire(ctx, c.service, permit.Request{
		ID: c.id, Organisation: c.organisation, Priority: -c.priority, Cost: c.cost(), Patience: c.patience(), OnTime: c.onTime(),
	})
	c.waited = time.Since(c.start)
	c.g.observe("wait", c.waited)
	if err != nil {
		c.refuse(http.StatusServiceUnavailable, 0, "left-while-waiting")
		return
	}
	if d.Outcome == permit.Refused {
		c.refuse(http.StatusServiceUnavailable, c.comeBack(d.Wait), "no-room")
		return
	}
	granted := time.Now()
	defer func() { c.g.permits.release(c.service, time.Since(granted)) }()
	c.run(ctx)
}

// cost returns the expected work in tokens; reading a prompt token costs little of what
// writing one does.
func (c *call) cost() int64 {
	const writeCost = 10
	return max(1, int64(c.q.PromptTokens+writeCost*c.q.AnswerTokens))
}

// slowRetry is when a caller may come back whose answer would not end in time: a slow
// upstream is seen, moved away from or replaced within seconds.
const slowRetry = 1500 * time.Millisecond

const (
	// patienceOfObjective is the part of the objective that a plain request may wait.
	patienceOfObjective = 0.5
	// streamPatience is the longest wait of a stream: callers give up two seconds after
	// the last sign of life, and the first event takes its time too.
	streamPatience = 1300 * time.Millisecond
)

// patience returns the longest wait that is of use to the caller.
func (c *call) patience() time.Duration {
	if c.route.Streaming {
		return min(streamPatience, c.left()/2)
	}
	return min(max(time.Duration(patienceOfObjective*float64(c.route.Objective)), 50*time.Millisecond), c.left()/2)
}

// onTime returns the longest wait after which the call can still meet its objective.
func (c *call) onTime() time.Duration {
	if !c.route.Streaming || c.g.allLate(c.service, c.route.EventGap) {
		return c.patience()
	}
	if c.g.ages.returned(c.route.Name+" "+c.organisation, c.q.Deadline, c.start) {
		return 0
	}
	return c.route.Objective - c.g.permits.begin(c.service)
}

// comeBack spreads the return of refused callers.
func (c *call) comeBack(wait time.Duration) time.Duration {
	const jitter = 0.5
	return wait + time.Duration(jitter*c.draw()*float64(wait))
}

// refuse gives an answer of the gateway's own. Statuses that promise that the request did
// not run must be true.
func (c *call) refuse(status int, after time.Duration, reason string) {
	if status < http.StatusInternalServerError && status != http.StatusTooManyRequests {
		after = 0
	}
	c.g.count("answers_own_" + strconv.Itoa(status))
	c.finished(status, reason)
	platform.Refuse(c.w, c.q, status, after)
}

// finished writes the log line of a call's end.
func (c *call) finished(status int, reason string) {
	name := ""
	if c.route != nil {
		name = c.route.Name
	}
	c.g.log.Info("request-ended", "request", c.q.ID, "route", name, "organisation", c.organisation,
		"status", status, "reason", reason, "attempts", c.sent, "upstreams", c.tried,
		"took", time.Since(c.start).Round(time.Millisecond), "waited", c.waited.Round(time.Millisecond),
		"first_event", c.first.Round(time.Millisecond), "longest_gap", c.gap.Round(time.Millisecond),
		"config_version", c.g.Version())
}
