package policy

import (
	"iter"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/admission"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/code"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/fairness"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/prefix"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/routing"
)

const (
	agentColdLimit  = 2
	agentWarmLimit  = 16
	agentQueueLimit = 256
	// prefillTimePerBlock is the time for one block that is not cached and timePerToken the time
	// for one token, for a request that runs alone; both grow with the number of requests in
	// progress.
	prefillTimePerBlock = 10 * time.Millisecond
	timePerToken        = 10 * time.Millisecond
	// cacheSizeBlocks is the capacity of the prefix cache of an engine.
	cacheSizeBlocks = 400
	// Cache events arrive at the entries after cacheEventDelay; a share of cacheEventLoss is lost.
	cacheEventDelay = 2 * time.Second
	cacheEventLoss  = 0.1
)

// agent is a simulated agent with its modelled engine.
type agent struct {
	sim               *simulation
	number            int
	key               uint64
	limiter           *admission.Limiter
	queue             *fairness.Queue
	waiting           map[string]*attempt
	running           map[*attempt]bool
	inProgressByEntry [entryCount]int
	serviceMillis     float64
	speed             float64
	down              bool
	cache             *cache
	// cacheSequence is the sequence number of the newest cache event.
	cacheSequence int
	// failing makes every attempt fail after its start, while status reports stay normal.
	failing bool
	// zoneOut is set while the zone of the agent is taken out.
	zoneOut bool
}

// attempt is one attempt to run a request at an agent.
type attempt struct {
	e         *entry
	r         *request
	startedAt time.Duration
	run       *admission.Run
	deadline  time.Duration
}

func (sim *simulation) addAgents(n int) {
	for i := range n {
		sim.agents = append(sim.agents, &agent{
			sim: sim, number: i, key: routing.Score(uint64(i)+1, 11), speed: 1,
			limiter: admission.New(admission.Options{ColdLimit: agentColdLimit, MaxLimit: agentWarmLimit}),
			queue:   fairness.New(fairness.Options{MaxItems: agentQueueLimit}),
			waiting: map[string]*attempt{}, running: map[*attempt]bool{}, cache: newCache(cacheSizeBlocks),
		})
	}
}

// status returns the status that the agent reports to an entry.
func (a *agent) status(entry int) routing.Candidate {
	return routing.Candidate{
		Excluded: a.down || a.zoneOut, Limit: int32(a.limiter.Limit(a.sim.clock())), Running: int32(a.limiter.Running()),
		Queued: int32(a.queue.Len()), OwnReported: int32(a.inProgressByEntry[entry]), ServiceMillis: a.serviceMillis, Cold: a.limiter.IsCold(),
	}
}

// accept queues an attempt, or rejects it if the agent is down or its zone is out. startBy and
// left are the start budget and the time to the deadline.
func (a *agent) accept(e *entry, r *request, startBy, left time.Duration) {
	v := &attempt{e: e, r: r, deadline: a.sim.now + left}
	if a.down {
		a.respond(v, code.UpstreamUnreachable)
		return
	}
	if a.zoneOut {
		a.respond(v, code.ZoneOut)
		return
	}
	a.waiting[r.id] = v
	a.inProgressByEntry[e.number]++
	item := fairness.Item{ID: r.id, Organisation: r.org, Weight: organisationSettings.Weight, Cost: int64(r.tokens)}
	for _, out := range a.queue.Push(item) {
		a.rejectWaiting(a.waiting[out.ID], code.Overloaded)
	}
	a.sim.schedule(startBy, func() { a.expire(v) })
	a.startQueued()
}

// expire rejects an attempt that has not started when its start budget ends.
func (a *agent) expire(v *attempt) {
	if a.waiting[v.r.id] != v {
		return
	}
	a.rejectWaiting(v, code.StartBudgetExpired)
}

// rejectWaiting removes a queued attempt and responds with the code.
func (a *agent) rejectWaiting(v *attempt, c code.Code) {
	delete(a.waiting, v.r.id)
	a.queue.Remove(v.r.id)
	a.inProgressByEntry[v.e.number]--
	a.respond(v, c)
}

// startQueued starts queued attempts while the limiter permits.
func (a *agent) startQueued() {
	for {
		i, ok := a.queue.Peek()
		if !ok {
			return
		}
		run, ok := a.limiter.Start(a.sim.clock(), i.Cost, false)
		if !ok {
			return
		}
		a.queue.Pop()
		v := a.waiting[i.ID]
		v.run = run
		delete(a.waiting, i.ID)
		a.running[v] = true
		a.start(v)
	}
}

// start runs an attempt at the modelled engine.
func (a *agent) start(v *attempt) {
	v.startedAt = a.sim.now
	slowdown := (1 + float64(len(a.running))/agentWarmLimit) / a.speed
	cached := a.cache.cachedPrefix(v.r.blocks)
	a.sim.counts.cachedBlocks += cached
	a.sim.counts.promptBlocks += len(v.r.blocks)
	stored, removed := a.cache.add(v.r.blocks)
	a.publish(stored, removed)
	if a.failing {
		a.sim.schedule(timePerToken, func() { a.abort(v, code.UpstreamLost) })
		return
	}
	fill := time.Duration(float64(len(v.r.blocks)-cached) * float64(prefillTimePerBlock) * slowdown)
	step := time.Duration(float64(timePerToken) * slowdown)
	a.sim.schedule(fill+step, func() { a.recordToken(v) })
	a.sim.schedule(fill+2*step, func() { a.recordToken(v) })
	a.sim.schedule(fill+step, func() {
		if a.running[v] && v.r.resends == 0 {
			first := a.sim.now + oneWayDelay - v.r.arrived
			second := int(v.r.arrived / time.Second)
			a.sim.counts.firstTokenTimes = append(a.sim.counts.firstTokenTimes, first)
			a.sim.counts.firstTokenBySecond[second] = append(a.sim.counts.firstTokenBySecond[second], first)
		}
	})
	a.sim.schedule(fill+step*time.Duration(v.r.tokens), func() { a.finish(v) })
	// The entry cancels at the deadline.
	a.sim.schedule(v.deadline-a.sim.now, func() { a.cancelAtDeadline(v) })
}

// recordToken reports a token of the attempt to the limiter.
func (a *agent) recordToken(v *attempt) {
	if a.running[v] {
		a.limiter.RecordPart(v.run, a.sim.clock())
		a.startQueued()
	}
}

func (a *agent) finish(v *attempt) {
	if !a.running[v] {
		return
	}
	a.release(v, true)
	a.respond(v, code.OK)
	a.startQueued()
}

func (a *agent) cancelAtDeadline(v *attempt) { a.abort(v, code.DeadlineExceeded) }

func (a *agent) abort(v *attempt, c code.Code) {
	if !a.running[v] {
		return
	}
	a.release(v, false)
	a.respond(v, c)
	a.startQueued()
}

// serviceTimeGain is the weight of the newest attempt in the moving average of the service time.
const serviceTimeGain = 0.1

// release removes a running attempt and returns its permit; completed is whether it was completed.
func (a *agent) release(v *attempt, completed bool) {
	delete(a.running, v)
	a.inProgressByEntry[v.e.number]--
	a.limiter.End(v.run, a.sim.clock(), completed)
	took := float64((a.sim.now - v.startedAt).Milliseconds())
	a.serviceMillis += serviceTimeGain * (took - a.serviceMillis)
}

func (a *agent) respond(v *attempt, c code.Code) {
	s := a.status(v.e.number)
	a.sim.schedule(oneWayDelay, func() { v.e.handleResult(v.r, a.number, c, s) })
}

// crash fails all attempts, clears the cache and restarts the agent cold after downtime.
func (a *agent) crash(downtime time.Duration) {
	a.down = true
	for _, v := range sortByID(maps.Keys(a.running)) {
		a.release(v, false)
		a.respond(v, code.UpstreamLost)
	}
	a.rejectAllWaiting(code.UpstreamUnreachable)
	a.limiter.Reset()
	a.cache = newCache(cacheSizeBlocks)
	a.sim.schedule(downtime, func() { a.down = false })
}

// rejectAllWaiting rejects all queued attempts with the code.
func (a *agent) rejectAllWaiting(c code.Code) {
	for _, v := range sortByID(maps.Values(a.waiting)) {
		a.rejectWaiting(v, c)
	}
}

// publish sends a cache event to all entries, after cacheEventDelay and with losses.
func (a *agent) publish(stored, removed []uint64) {
	a.cacheSequence++
	if len(stored)+len(removed) == 0 || a.sim.rng.Float64() < cacheEventLoss {
		return
	}
	ev := prefix.Events{First: int64(a.cacheSequence - 1), Next: int64(a.cacheSequence), Stored: stored, Removed: removed}
	a.sim.schedule(cacheEventDelay, func() {
		for _, e := range a.sim.entries {
			e.caches.index.Apply(a.key, ev, a.sim.now)
		}
	})
}

// sortByID returns attempts in order of their request IDs, so that runs are deterministic.
func sortByID(list iter.Seq[*attempt]) []*attempt {
	return slices.SortedFunc(list, func(a, b *attempt) int { return strings.Compare(a.r.id, b.r.id) })
}
