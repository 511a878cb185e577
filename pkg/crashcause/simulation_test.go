package crashcause

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// callerRequest is a request as its caller sends it, once or twice.
type callerRequest struct {
	Request
	// cause is the trait that crashes workers, empty for a sound request.
	cause  Trait
	repeat bool
}

// attempt is a request on its way at one worker.
type attempt struct {
	req     *callerRequest
	gateway int
	life    int
	isRetry bool
	// isResumed is set if the attempt goes on after events of an earlier one.
	isResumed bool
	hasBegun  bool
	isDone    bool
	isResent  bool
}

// progress returns how far the answer has come.
func (a *attempt) progress() Progress {
	if a.hasBegun {
		return Begun
	}
	return NotBegun
}

type simWorker struct {
	isUp    bool
	life    int
	running []*attempt
	waiting []*attempt
}

type simGateway struct {
	ledger    *Ledger
	life      int
	startedAt time.Duration
	stored    map[Conviction]bool
	// isLost says of each peer whether the last message to it was lost.
	isLost []bool
}

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// arrival is a crashing request that reached a worker.
type arrival struct {
	at     time.Duration
	uptime time.Duration // of the gateway that sent it
}

// firstAttempt is the first attempt of a sound request.
type firstAttempt struct {
	at         time.Duration
	first      string // first part
	isRejected bool
}

// fleet is the state of a run: gateways and workers in virtual time.
type fleet struct {
	scenario
	rng      *rand.Rand
	now      time.Duration
	queue    simQueue
	seq      int
	gates    []*simGateway
	pool     []*simWorker
	broken   bool
	brokenAt time.Duration
	stalled  bool
	store    map[Conviction]bool
	requests int
	newParts []string
	together [][]string // the companions of each crashing part; an empty string is its place

	crashes      map[Trait][]time.Duration
	otherCrashes int
	arrivals     map[Trait][]arrival
	firsts       []firstAttempt
	sound        map[string]bool
	faults       []string
}

func newFleet(s scenario) *fleet {
	f := &fleet{
		scenario: s, rng: rand.New(rand.NewPCG(s.seed, 1)), store: map[Conviction]bool{},
		crashes: map[Trait][]time.Duration{}, arrivals: map[Trait][]arrival{}, sound: map[string]bool{},
	}
	for range s.gateways {
		f.gates = append(f.gates, &simGateway{ledger: New(), stored: map[Conviction]bool{}, isLost: make([]bool, s.gateways), startedAt: -time.Hour})
	}
	for range s.workers {
		f.pool = append(f.pool, &simWorker{isUp: true})
	}
	return f
}

func (f *fleet) clock() time.Time { return start.Add(f.now) }

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, simEvent{f.now + d, f.seq, do})
}

// between returns a random time between two.
func (f *fleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.rng.Int64N(int64(high-low)+1))
}

// next returns a random time to the next of events that come at random.
func (f *fleet) next(mean time.Duration) time.Duration {
	return time.Duration(f.rng.ExpFloat64() * float64(mean))
}

// run plays the scenario and then lets the gateways exchange all evidence.
func (f *fleet) run() {
	f.everyRandom(time.Duration(float64(time.Second)/f.scenario.arrivals), func() { f.arrive(f.soundRequest()) })
	warmup := f.between(3*time.Second, 6*time.Second)
	for i := range f.crashing {
		f.together = append(f.together, f.chainWithHole())
		f.after(warmup, func() {
			f.everyRandom(time.Second/time.Duration(f.rates[i]), func() { f.arrive(f.crashingRequest(i)) })
		})
	}
	if f.repeat > 0 {
		r := f.soundRequest()
		r.cause, r.repeat = Trait(requestPrefix+r.Fingerprint), true
		var again func()
		again = func() {
			f.arrive(r)
			f.after(f.between(f.repeat/2, f.repeat*3/2), again)
		}
		f.after(warmup, again)
	}
	if f.otherCrash > 0 {
		f.everyRandom(f.otherCrash, f.crashOther)
	}
	if f.restart > 0 {
		f.everyRandom(f.restart, f.restartGateway)
	}
	for g := range f.gates {
		f.after(f.between(0, f.gossip), func() { f.talk(g) })
	}
	for f.queue[0].at <= f.length {
		e := heap.Pop(&f.queue).(simEvent)
		f.now = e.at
		e.do()
	}
	f.exchangeAll()
}

func (f *fleet) everyRandom(mean time.Duration, do func()) {
	f.after(f.next(mean), func() {
		do()
		f.everyRandom(mean, do)
	})
}

// soundPart returns a shared part: one of some with skewed popularity, or one of those that are new.
func (f *fleet) soundPart() string {
	part := ""
	switch {
	case f.rng.IntN(50) == 0:
		part = fmt.Sprintf("new%d", len(f.newParts))
		f.newParts = append(f.newParts, part)
	case len(f.newParts) > 0 && f.rng.IntN(10) == 0:
		part = f.newParts[f.rng.IntN(len(f.newParts))]
	default:
		x := f.rng.Float64()
		part = fmt.Sprintf("p%d", int(sharedParts*x*x))
	}
	f.sound[part] = true
	return part
}

func (f *fleet) soundChain(n int) []string {
	var parts []string
	for len(parts) < n {
		if p := f.soundPart(); !slices.Contains(parts, p) {
			parts = append(parts, p)
		}
	}
	return parts
}

// chainWithHole returns a chain of up to three sound parts with an empty place for another.
func (f *fleet) chainWithHole() []string {
	parts := f.soundChain(f.rng.IntN(4))
	return slices.Insert(parts, f.rng.IntN(len(parts)+1), "")
}

func (f *fleet) soundRequest() *callerRequest {
	f.requests++
	return &callerRequest{Request: Request{
		Fingerprint: fmt.Sprintf("f%d", f.requests),
		// The last part, which belongs to the request itself, is not shared and left out.
		Parts: f.soundChain(1 + f.rng.IntN(4)),
	}}
}

func (f *fleet) crashingRequest(i int) *callerRequest {
	f.requests++
	parts := f.together[i]
	if !f.companions {
		parts = f.chainWithHole()
	}
	bad := fmt.Sprintf("bad%d", i)
	parts = slices.Clone(parts)
	parts[slices.Index(parts, "")] = bad
	return &callerRequest{
		Request: Request{Fingerprint: fmt.Sprintf("f%d", f.requests), Parts: parts},
		cause:   Trait(partPrefix + bad),
	}
}

// arrive brings a request from its caller to some gateway.
func (f *fleet) arrive(r *callerRequest) {
	a := &attempt{req: r, gateway: f.rng.IntN(len(f.gates))}
	isRejected := f.send(a, -1)
	if r.cause == "" {
		f.firsts = append(f.firsts, firstAttempt{f.now, r.Parts[0], isRejected})
	}
}

// fail ends an attempt: the gateway tries another worker once if the request had not begun or may be resumed, or
// else the caller sends it again once.
func (f *fleet) fail(a *attempt, worker int) {
	if f.gates[a.gateway].life == a.life && !a.isRetry && (!a.hasBegun || f.resumes) && worker >= 0 {
		retry := &attempt{req: a.req, gateway: a.gateway, isRetry: true, isResumed: a.hasBegun, isResent: a.isResent}
		f.send(retry, worker)
		return
	}
	if a.isResent || a.req.repeat {
		return
	}
	f.after(f.between(100*time.Millisecond, time.Second), func() {
		f.send(&attempt{req: a.req, gateway: f.rng.IntN(len(f.gates)), isResent: true}, -1)
	})
}

// send sends an attempt to a worker other than one, and reports whether the gateway rejects it as
// convicted.
func (f *fleet) send(a *attempt, except int) bool {
	g := f.gates[a.gateway]
	a.life = g.life
	if _, ok := g.ledger.FindConviction(a.req.Request, f.clock()); ok {
		f.fail(a, -1)
		return true
	}
	var candidates []int
	for i, w := range f.pool {
		if w.isUp && i != except {
			candidates = append(candidates, i)
		}
	}
	// Gateways notice a broken group after some time.
	if len(candidates) == 0 || f.broken && f.now-f.brokenAt > stallTime {
		f.fail(a, -1)
		return false
	}
	i := candidates[f.rng.IntN(len(candidates))]
	if a.req.cause != "" {
		f.arrivals[a.req.cause] = append(f.arrivals[a.req.cause], arrival{f.now, f.now - g.startedAt})
	}
	w := f.pool[i]
	switch {
	case len(w.running) < workerCapacity && !f.broken:
		f.begin(a, i)
	case len(w.waiting) < workerCapacity:
		w.waiting = append(w.waiting, a)
	default:
		f.fail(a, i)
	}
	return false
}

// begin lets a worker read a prompt.
func (f *fleet) begin(a *attempt, i int) {
	w := f.pool[i]
	w.running = append(w.running, a)
	d := f.between(30*time.Millisecond, 300*time.Millisecond)
	if f.isGroup {
		// All ranks execute each pass together.
		d = (f.now + d).Truncate(passTime) + passTime - f.now
	}
	f.after(d, func() { f.firstToken(a, i) })
}

func (f *fleet) firstToken(a *attempt, i int) {
	if a.isDone || f.broken && f.now > f.brokenAt {
		return
	}
	if a.req.cause != "" && f.crashAfter == 0 {
		f.crashBy(a, i)
		return
	}
	a.hasBegun = true
	f.atGateway(a, f.between(time.Millisecond, 5*time.Millisecond), func(l *Ledger) {
		l.RecordAnswer(a.req.Request, Begun, f.clock())
	})
	if a.req.cause != "" {
		f.after(f.between(f.crashAfter/2, f.crashAfter*3/2), func() {
			if !a.isDone && (!f.broken || f.now == f.brokenAt) {
				f.crashBy(a, i)
			}
		})
		return
	}
	f.after(f.between(100*time.Millisecond, 1500*time.Millisecond), func() { f.finish(a, i) })
}

func (f *fleet) finish(a *attempt, i int) {
	if a.isDone || f.broken {
		return
	}
	a.isDone = true
	if !a.isResumed {
		f.atGateway(a, time.Millisecond, func(l *Ledger) { l.RecordAnswer(a.req.Request, Whole, f.clock()) })
	}
	w := f.pool[i]
	w.running = slices.DeleteFunc(w.running, func(o *attempt) bool { return o == a })
	if len(w.waiting) > 0 {
		first := w.waiting[0]
		w.waiting = w.waiting[1:]
		f.begin(first, i)
	}
}

// clear ends all attempts at a worker.
func (f *fleet) clear(i int, each func(*attempt)) {
	w := f.pool[i]
	all := append(w.running, w.waiting...)
	w.running, w.waiting = nil, nil
	for _, a := range all {
		a.isDone = true
		each(a)
	}
}
