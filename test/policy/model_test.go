package policy

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/configuration"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/retry"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/routing"
)

const (
	entryCount   = 9
	oneWayDelay  = 1500 * time.Microsecond
	callerDelay  = 3 * time.Millisecond
	pollInterval = 500 * time.Millisecond
	maxAttempts  = 4
	// maxResends is the number of times that a caller resends a failed request.
	maxResends = 3
)

// scheduledTask is a function to run at a virtual time; seq orders tasks of the same time.
type scheduledTask struct {
	at  time.Duration
	seq int
	do  func()
}

// taskQueue is a heap of tasks by time.
type taskQueue []scheduledTask

func (l taskQueue) Len() int { return len(l) }
func (l taskQueue) Less(a, b int) bool {
	if l[a].at != l[b].at {
		return l[a].at < l[b].at
	}
	return l[a].seq < l[b].seq
}
func (l taskQueue) Swap(a, b int) { l[a], l[b] = l[b], l[a] }
func (l *taskQueue) Push(x any)   { *l = append(*l, x.(scheduledTask)) }
func (l *taskQueue) Pop() any {
	old := *l
	t := old[len(old)-1]
	*l = old[:len(old)-1]
	return t
}

// request is one submission of a caller's request to an entry.
type request struct {
	id       string
	org      string
	blocks   []uint64
	tokens   int
	deadline time.Duration
	arrived  time.Duration
	resends  int
	attempts int
	tried    []int
	// onEnd is called with the result and the delay after which the caller may resend.
	onEnd func(c code.Code, after time.Duration)
}

// simulation is the state of one run.
type simulation struct {
	now     time.Duration
	queue   taskQueue
	seq     int
	rng     *rand.Rand
	entries []*entry
	agents  []*agent
	counts  counts
}

// counts holds the measurements of a run.
type counts struct {
	requests        int
	attempts        int
	responses       int
	abandoned       int
	firstTokenTimes []time.Duration
	cachedBlocks    int
	promptBlocks    int
	// responsesBySecond counts successful responses, and firstSendsBySecond requests sent for
	// the first time, in each second.
	responsesBySecond  []int
	firstSendsBySecond []int
	// firstTokenBySecond holds the times to the first token by second of arrival.
	firstTokenBySecond [][]time.Duration
	// imbalance holds samples of the largest load of an agent relative to the mean.
	imbalance []float64
}

// maxRunSeconds is the maximum length of a run in virtual seconds.
const maxRunSeconds = 400

func newSimulation(seed uint64) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 1))}
	sim.counts.responsesBySecond = make([]int, maxRunSeconds)
	sim.counts.firstSendsBySecond = make([]int, maxRunSeconds)
	sim.counts.firstTokenBySecond = make([][]time.Duration, maxRunSeconds)
	return sim
}

// schedule runs do after d of virtual time.
func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.queue, scheduledTask{sim.now + d, sim.seq, do})
}

// run runs all tasks up to the virtual time end.
func (sim *simulation) run(end time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		t := heap.Pop(&sim.queue).(scheduledTask)
		sim.now = t.at
		t.do()
	}
	sim.now = end
}

// clock returns the virtual time for packages that take a time.Time.
func (sim *simulation) clock() time.Time { return time.Unix(1_000_000, 0).Add(sim.now) }

// organisations lists the organisations of the callers; the first sends more requests than all
// others together.
var organisations = []string{"dominant", "small-1", "small-2", "small-3", "small-4"}

func (sim *simulation) pickOrganisation() string {
	if sim.rng.IntN(10) < 7 {
		return organisations[0]
	}
	return organisations[1+sim.rng.IntN(len(organisations)-1)]
}

// organisationSettings applies to every organisation: all have the same weight.
var organisationSettings = configuration.Organisation{Weight: 1}

// routeFunc returns the index of the agent for a request of an entry, or -1 if there is none.
type routeFunc func(e *entry, r *request) int

// entry is a simulated entry with its own, possibly outdated, reports of the agents. Slices are
// indexed by agent.
type entry struct {
	sim           *simulation
	number        int
	candidates    []routing.Candidate
	ownInProgress []int
	tieOffset     int
	budgets       map[string]*retry.Budget
	pacer         retry.Pacer
	route         routeFunc
	caches        cacheView
}

func (sim *simulation) addEntries(policy routeFunc) {
	for i := range entryCount {
		e := &entry{
			sim: sim, number: i, route: policy, tieOffset: int(routing.Score(uint64(i), 5) >> 40),
			candidates: make([]routing.Candidate, len(sim.agents)), ownInProgress: make([]int, len(sim.agents)),
			budgets: map[string]*retry.Budget{}, caches: newCacheView(),
		}
		for a := range sim.agents {
			e.candidates[a] = routing.Candidate{IDHash: sim.agents[a].key, Distance: distance(i, a), Excluded: true}
		}
		sim.entries = append(sim.entries, e)
		phase := time.Duration(sim.rng.Int64N(int64(pollInterval)))
		sim.schedule(phase, e.poll)
	}
}

// distance returns the distance of an entry and an agent, which are spread over three zones.
func distance(entry, agent int) routing.Distance {
	if entry%3 == agent%3 {
		return routing.SameZone
	}
	return routing.SameRegion
}

// poll requests the status of every agent, and repeats after pollInterval.
func (e *entry) poll() {
	requestedAt := e.sim.now
	for i, a := range e.sim.agents {
		e.sim.schedule(oneWayDelay, func() {
			s := a.status(e.number)
			e.sim.schedule(oneWayDelay, func() { e.updateCandidate(i, s, requestedAt) })
		})
	}
	e.sim.schedule(pollInterval, e.poll)
}

// updateCandidate stores a report of agent i that was requested at the given time.
func (e *entry) updateCandidate(i int, s routing.Candidate, requestedAt time.Duration) {
	c := &e.candidates[i]
	own, d, key := c.OwnInProgress, c.Distance, c.IDHash
	*c = s
	c.OwnInProgress, c.Distance, c.IDHash = own, d, key
	c.ReportedAt = requestedAt
}

func (e *entry) budget(org string) *retry.Budget {
	b := e.budgets[org]
	if b == nil {
		b = retry.NewBudget(retry.DefaultRatio, retry.DefaultBurst)
		e.budgets[org] = b
	}
	return b
}

// dispatch handles a request like the dispatcher of an entry.
func (e *entry) dispatch(r *request) {
	e.sim.counts.requests++
	r.arrived = e.sim.now
	e.tryNext(r, code.NoUpstream)
}

// tryNext starts the first attempt, or another one after an attempt that ended with the code
// last. It ends the request when no attempt is left or no agent can serve it.
func (e *entry) tryNext(r *request, last code.Code) {
	if r.attempts > 0 && (r.attempts >= maxAttempts || !retry.IsFreeRetry(last) && !e.budget(r.org).Withdraw()) {
		e.end(r, last)
		return
	}
	i := e.route(e, r)
	if i < 0 {
		e.end(r, last)
		return
	}
	c := &e.candidates[i]
	left := r.deadline - (e.sim.now - r.arrived)
	service := time.Duration(c.ServiceMillis * float64(time.Millisecond))
	if h := retry.CheckWait(c.ExpectedWait(), left, service); h != code.OK && r.attempts == 0 {
		e.end(r, h)
		return
	}
	r.attempts++
	r.tried = append(r.tried, i)
	e.ownInProgress[i]++
	c.OwnInProgress++
	e.sim.counts.attempts++
	a := e.sim.agents[i]
	startBy := retry.StartTimeout(left, service)
	e.sim.schedule(oneWayDelay, func() { a.accept(e, r, startBy, left) })
}

// handleResult processes the result of an attempt at agent i and the status sent with it.
func (e *entry) handleResult(r *request, i int, c code.Code, s routing.Candidate) {
	e.ownInProgress[i]--
	e.candidates[i].OwnInProgress--
	if c == code.UpstreamUnreachable {
		e.candidates[i].Excluded = true
	} else {
		e.updateCandidate(i, s, e.sim.now)
	}
	if c == code.OK {
		e.end(r, c)
		return
	}
	if e.sim.now-r.arrived >= r.deadline {
		e.end(r, code.DeadlineExceeded)
		return
	}
	e.tryNext(r, c)
}

func (e *entry) end(r *request, c code.Code) {
	after := time.Duration(0)
	if c == code.OK {
		e.budget(r.org).Deposit()
	} else {
		after = e.pacer.RetryAfter(e.backlog(), e.sim.clock(), e.sim.rng.Float64())
	}
	e.sim.schedule(callerDelay, func() { r.onEnd(c, after) })
}

func (e *entry) backlog() retry.Backlog {
	b := retry.Backlog{Entries: entryCount}
	millis, n := 0.0, 0
	for i := range e.candidates {
		c := &e.candidates[i]
		if c.Excluded {
			continue
		}
		b.Requests += int(c.Running + c.Queued)
		b.Limit += int(c.Limit)
		if c.ServiceMillis > 0 {
			millis += c.ServiceMillis
			n++
		}
	}
	if n > 0 {
		b.ServiceTime = time.Duration(millis / float64(n) * float64(time.Millisecond))
	}
	return b
}

// systemRoute routes like an entry of the system.
func systemRoute(e *entry, r *request) int {
	e.tieOffset++
	for _, i := range r.tried {
		e.candidates[i].Tried = true
	}
	e.caches.setCachedBlocks(e, r)
	q := routing.Request{
		Now: e.sim.now, EntryHash: routing.Score(uint64(e.number), 3), Entries: entryCount, TieOffset: e.tieOffset,
		PrefixHash: firstBlock(r), PromptBlocks: int32(len(r.blocks)),
	}
	i := routing.Choose(q, e.candidates)
	e.caches.clearCachedBlocks(e)
	for _, i := range r.tried {
		e.candidates[i].Tried = false
	}
	if i >= 0 {
		e.caches.recordRouted(e, i, r)
	}
	return i
}

func firstBlock(r *request) uint64 {
	if len(r.blocks) == 0 {
		return 0
	}
	return r.blocks[0]
}

// isUsable reports whether a baseline policy may choose agent i for the request.
func (e *entry) isUsable(i int, r *request) bool {
	c := &e.candidates[i]
	return !c.Excluded && e.sim.now-c.ReportedAt <= routing.ReportTTL && !slices.Contains(r.tried, i)
}

// roundRobin chooses the usable agents in turn.
func roundRobin(e *entry, r *request) int {
	for range e.candidates {
		e.tieOffset++
		if i := e.tieOffset % len(e.candidates); e.isUsable(i, r) {
			return i
		}
	}
	return -1
}

// leastRequests chooses the agent with the fewest requests in progress from this entry.
func leastRequests(e *entry, r *request) int {
	best := -1
	e.tieOffset++
	for n := range e.candidates {
		i := (n + e.tieOffset) % len(e.candidates)
		if e.isUsable(i, r) && (best < 0 || e.ownInProgress[i] < e.ownInProgress[best]) {
			best = i
		}
	}
	return best
}

// twoChoices chooses the less loaded of two random agents. The load is the reported load, with
// the reported requests of this entry replaced by its current ones.
func twoChoices(e *entry, r *request) int {
	var list []int
	for i := range e.candidates {
		if e.isUsable(i, r) {
			list = append(list, i)
		}
	}
	if len(list) == 0 {
		return -1
	}
	load := func(i int) int32 {
		c := &e.candidates[i]
		return c.Running + c.Queued - c.OwnReported + c.OwnInProgress
	}
	a, b := list[e.sim.rng.IntN(len(list))], list[e.sim.rng.IntN(len(list))]
	if load(b) < load(a) {
		return b
	}
	return a
}

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	s := slices.Clone(list)
	slices.Sort(s)
	return s[min(int(q*float64(len(s))), len(s)-1)]
}

func numberedName(prefix string, n int) string { return fmt.Sprintf("%s-%d", prefix, n) }
