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
	entryCount  = 9
	oneWay      = 1500 * time.Microsecond
	callerTrip  = 3 * time.Millisecond
	pollEvery   = 500 * time.Millisecond
	maxAttempts = 4
	// sendRetries is the number of times that a caller sends a failed request again.
	sendRetries = 3
)

// task is something to do at a time.
type task struct {
	at  time.Duration
	seq int
	do  func()
}

type timeline []task

func (l timeline) Len() int { return len(l) }
func (l timeline) Less(a, b int) bool {
	if l[a].at != l[b].at {
		return l[a].at < l[b].at
	}
	return l[a].seq < l[b].seq
}
func (l timeline) Swap(a, b int) { l[a], l[b] = l[b], l[a] }
func (l *timeline) Push(x any)   { *l = append(*l, x.(task)) }
func (l *timeline) Pop() any {
	old := *l
	t := old[len(old)-1]
	*l = old[:len(old)-1]
	return t
}

// request is one sending of a caller's request.
type request struct {
	id       string
	org      string
	blocks   []uint64
	tokens   int
	deadline time.Duration
	arrived  time.Duration
	sending  int
	attempt  int
	tried    []int
	// ended is called at the end.
	ended func(c code.Code, after time.Duration)
}

// world is one run of the model.
type world struct {
	now     time.Duration
	queue   timeline
	seq     int
	rng     *rand.Rand
	entries []*entry
	agents  []*agent
	counts  counts
}

// counts are what a run measures.
type counts struct {
	requests int
	attempts int
	answered int
	lost     int
	first    []time.Duration
	hits     int
	blocks   int
	// answeredBy and sentBy are the answers and the first sendings in each second.
	answeredBy []int
	sentBy     []int
	// firstBySecond is the time to the first token by second of arrival.
	firstBySecond [][]time.Duration
	// imbalance holds samples of the largest load relative to the mean.
	imbalance []float64
}

// longest bounds the length of a run in seconds.
const longest = 400

func newWorld(seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1))}
	w.counts.answeredBy = make([]int, longest)
	w.counts.sentBy = make([]int, longest)
	w.counts.firstBySecond = make([][]time.Duration, longest)
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, task{w.now + d, w.seq, do})
}

// run does all tasks up to the end.
func (w *world) run(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		t := heap.Pop(&w.queue).(task)
		w.now = t.at
		t.do()
	}
	w.now = end
}

// clock returns the virtual time for packages that take a time.Time.
func (w *world) clock() time.Time { return time.Unix(1_000_000, 0).Add(w.now) }

// organisations of the callers; the first sends more than all others together.
var organisations = []string{"dominant", "small-1", "small-2", "small-3", "small-4"}

func (w *world) organisation() string {
	if w.rng.IntN(10) < 7 {
		return organisations[0]
	}
	return organisations[1+w.rng.IntN(len(organisations)-1)]
}

// organisation holds the equal weight of all organisations.
var organisation = configuration.Organisation{Weight: 1}

// route chooses an agent for a request of an entry, or -1.
type route func(e *entry, r *request) int

// entry is one entry with its own stale news.
type entry struct {
	w          *world
	number     int
	candidates []routing.Candidate
	own        []int
	turn       int
	budgets    map[string]*retry.Budget
	pacer      retry.Pacer
	route      route
	knowledge  knowledge
}

func (w *world) addEntries(policy route) {
	for i := range entryCount {
		e := &entry{
			w: w, number: i, route: policy, turn: int(routing.Score(uint64(i), 5) >> 40),
			candidates: make([]routing.Candidate, len(w.agents)), own: make([]int, len(w.agents)),
			budgets: map[string]*retry.Budget{}, knowledge: newKnowledge(),
		}
		for a := range w.agents {
			e.candidates[a] = routing.Candidate{IDHash: w.agents[a].key, Distance: distance(i, a), Excluded: true}
		}
		w.entries = append(w.entries, e)
		phase := time.Duration(w.rng.Int64N(int64(pollEvery)))
		w.after(phase, e.poll)
	}
}

// distance spreads entries and agents over three zones.
func distance(entry, agent int) routing.Distance {
	if entry%3 == agent%3 {
		return routing.SameZone
	}
	return routing.SameRegion
}

// poll asks every agent for its status.
func (e *entry) poll() {
	asked := e.w.now
	for i, a := range e.w.agents {
		e.w.after(oneWay, func() {
			s := a.report(e.number)
			e.w.after(oneWay, func() { e.observe(i, s, asked) })
		})
	}
	e.w.after(pollEvery, e.poll)
}

func (e *entry) observe(i int, s routing.Candidate, asked time.Duration) {
	c := &e.candidates[i]
	own, d, key := c.OwnInProgress, c.Distance, c.IDHash
	*c = s
	c.OwnInProgress, c.Distance, c.IDHash = own, d, key
	c.ReportedAt = asked
}

func (e *entry) budget(org string) *retry.Budget {
	b := e.budgets[org]
	if b == nil {
		b = retry.NewBudget(retry.DefaultRatio, retry.DefaultBurst)
		e.budgets[org] = b
	}
	return b
}

// take runs a request as the dispatcher of an entry does.
func (e *entry) take(r *request) {
	e.w.counts.requests++
	r.arrived = e.w.now
	e.next(r, code.NoUpstream)
}

// next makes another attempt after one that ended with last.
func (e *entry) next(r *request, last code.Code) {
	if r.attempt > 0 && (r.attempt >= maxAttempts || !retry.IsFreeRetry(last) && !e.budget(r.org).Withdraw()) {
		e.end(r, last)
		return
	}
	i := e.route(e, r)
	if i < 0 {
		e.end(r, last)
		return
	}
	c := &e.candidates[i]
	left := r.deadline - (e.w.now - r.arrived)
	service := time.Duration(c.ServiceMillis * float64(time.Millisecond))
	if h := retry.CheckWait(c.ExpectedWait(), left, service); h != code.OK && r.attempt == 0 {
		e.end(r, h)
		return
	}
	r.attempt++
	r.tried = append(r.tried, i)
	e.own[i]++
	c.OwnInProgress++
	e.w.counts.attempts++
	a := e.w.agents[i]
	startBy := retry.StartTimeout(left, service)
	e.w.after(oneWay, func() { a.take(e, r, startBy, left) })
}

// result takes in the end of an attempt at agent i.
func (e *entry) result(r *request, i int, c code.Code, s routing.Candidate) {
	e.own[i]--
	e.candidates[i].OwnInProgress--
	if c == code.UpstreamUnreachable {
		e.candidates[i].Excluded = true
	} else {
		e.observe(i, s, e.w.now)
	}
	if c == code.OK {
		e.end(r, c)
		return
	}
	if e.w.now-r.arrived >= r.deadline {
		e.end(r, code.DeadlineExceeded)
		return
	}
	e.next(r, c)
}

func (e *entry) end(r *request, c code.Code) {
	after := time.Duration(0)
	if c == code.OK {
		e.budget(r.org).Deposit()
	} else {
		after = e.pacer.RetryAfter(e.backlog(), e.w.clock(), e.w.rng.Float64())
	}
	e.w.after(callerTrip, func() { r.ended(c, after) })
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

// systemRoute decides as an entry of the system does.
func systemRoute(e *entry, r *request) int {
	e.turn++
	for _, i := range r.tried {
		e.candidates[i].Tried = true
	}
	e.knowledge.mark(e, r)
	q := routing.Request{
		Now: e.w.now, EntryHash: routing.Score(uint64(e.number), 3), Entries: entryCount, TieOffset: e.turn,
		PrefixHash: firstBlock(r), PromptBlocks: int32(len(r.blocks)),
	}
	i := routing.Choose(q, e.candidates)
	e.knowledge.unmark(e)
	for _, i := range r.tried {
		e.candidates[i].Tried = false
	}
	if i >= 0 {
		e.knowledge.learn(e, i, r)
	}
	return i
}

func firstBlock(r *request) uint64 {
	if len(r.blocks) == 0 {
		return 0
	}
	return r.blocks[0]
}

// usable reports whether a baseline may choose agent i.
func (e *entry) usable(i int, r *request) bool {
	c := &e.candidates[i]
	return !c.Excluded && e.w.now-c.ReportedAt <= routing.ReportTTL && !slices.Contains(r.tried, i)
}

func roundRobin(e *entry, r *request) int {
	for range e.candidates {
		e.turn++
		if i := e.turn % len(e.candidates); e.usable(i, r) {
			return i
		}
	}
	return -1
}

// leastRequests counts the requests of the entry itself.
func leastRequests(e *entry, r *request) int {
	best := -1
	e.turn++
	for n := range e.candidates {
		i := (n + e.turn) % len(e.candidates)
		if e.usable(i, r) && (best < 0 || e.own[i] < e.own[best]) {
			best = i
		}
	}
	return best
}

// twoChoices takes the less loaded of two, by report and own requests.
func twoChoices(e *entry, r *request) int {
	var list []int
	for i := range e.candidates {
		if e.usable(i, r) {
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
	a, b := list[e.w.rng.IntN(len(list))], list[e.w.rng.IntN(len(list))]
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

func name(prefix string, n int) string { return fmt.Sprintf("%s-%d", prefix, n) }
