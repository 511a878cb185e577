package steward

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/mapswitch"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/peer"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/roster"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/route"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/sharing"
	"github.com/coltsfootpitch/coltsfootpitch/pkg/standstill"
)

const (
	// shareInterval is the time between two divisions of the bound: about two passes.
	shareInterval = 100 * time.Millisecond
	// shareTimeout bounds the call of an entry.
	shareTimeout = 150 * time.Millisecond
	// usualGap is the pause aimed for where no route says one.
	usualGap = 120 * time.Millisecond
	// leastPerRank is the running requests per rank that are always allowed.
	leastPerRank = 2
)

// shares keeps the entries informed of their parts of the group's bound.
type shares struct {
	s       *Steward
	group   string
	fence   int64
	entries []roster.Entry
	bound   *sharing.Bound
	next    time.Time
	pass    time.Duration
	tokens  int
	loads   map[string]int
	paces   map[string]float64
	still   standstill.Clock
	state   standstill.State

	mu      sync.Mutex
	demands map[string]sharing.Demand
	busy    map[string]bool
}

func newShares(s *Steward, group string, fence int64) *shares {
	return &shares{s: s, group: group, fence: fence, demands: map[string]sharing.Demand{}, busy: map[string]bool{}}
}

// engine takes in the engines of the group, its ranks and the longest pause between events
// that callers aim for.
func (h *shares) engine(e *route.Engine, ranks int, gap time.Duration) {
	h.tokens = e.TokensPerPass
	h.still.Form = e.GroupFormTime
	h.bound = &sharing.Bound{
		Gap: gap, Empty: time.Duration(e.TokensPerPass) * e.StepTime,
		Least: leastPerRank * ranks, Most: e.MaxBatch * ranks,
	}
}

// list reads who the entries are.
func (h *shares) list(ctx context.Context) {
	entries, _, err := roster.List(ctx, h.s.store)
	if err != nil {
		h.s.log.Warn("entries-not-listed", "error", err.Error())
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries = entries
}

// update works the bound out and tells the entries their parts, without waiting for them.
func (h *shares) update(ctx context.Context, pass time.Duration, ranks []mapswitch.Rank, seen map[int]Observation, places map[int]Member, now time.Time) {
	if h.bound == nil {
		return
	}
	state := h.still.See(ranks, now)
	if state.Still != h.state.Still {
		h.bound.Restart()
		h.s.log.Info("group-state", "still", state.Still, "opens", state.Opens.Round(time.Millisecond), "seen", len(seen))
	} else if now.Before(h.next) {
		return
	}
	h.next = now.Add(shareInterval)
	h.state = state
	h.pass = pass
	running := runningIn(seen)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loads = make(map[string]int, len(seen))
	h.paces = map[string]float64{}
	for i, o := range seen {
		h.loads[places[i].Upstream] = o.Report.Running + o.Report.Queued
		if o.Report.Slowdown >= slowPace {
			h.paces[places[i].Upstream] = o.Report.Slowdown
		}
	}
	bound := h.bound.Update(pass, running, slowest(h.paces))
	heard := make([]roster.Entry, 0, len(h.entries))
	demands := make([]sharing.Demand, 0, len(h.entries))
	for _, e := range h.entries {
		d, ok := h.demands[e.Name]
		if !ok {
			// It is asked first, and counts once it has answered.
			h.tell(ctx, e, -1)
			continue
		}
		heard = append(heard, e)
		demands = append(demands, d)
	}
	if len(heard) == 0 {
		return
	}
	for i, part := range sharing.Divide(bound, demands) {
		h.tell(ctx, heard[i], part)
	}
	h.s.log.Debug("bound", "bound", bound, "running", running, "pass_time", pass.Round(time.Millisecond), "entries", len(heard))
}

// tell passes an entry its part unless the last call is still under way. An entry that
// does not answer is left out of the division. The caller holds h.mu.
func (h *shares) tell(ctx context.Context, e roster.Entry, part int) {
	if h.busy[e.Name] {
		return
	}
	h.busy[e.Name] = true
	limit := roster.Limit{Service: h.s.node.UpstreamService, Group: h.group, FencingToken: h.fence, Share: part,
		PassMillis: float64(h.pass) / float64(time.Millisecond), TokensPerPass: h.tokens,
		EmptyPassMillis: float64(h.bound.EmptyPass(slowest(h.paces))) / float64(time.Millisecond),
		Loads:           h.loads, Slowdowns: h.paces,
		Stalled: h.state.Still, ResumesInMillis: float64(h.state.Opens) / float64(time.Millisecond),
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, shareTimeout)
		defer cancel()
		c := h.s.client(e.PeerAddress)
		answer, err := peer.Call[roster.LimitResponse](ctx, c, roster.MethodLimit, limit)
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.busy, e.Name)
		if err != nil {
			delete(h.demands, e.Name)
			c.Close()
			h.s.log.Debug("entry-not-told", "entry", e.Name, "error", err.Error())
			return
		}
		h.demands[e.Name] = answer.Demand
	}()
}

// slowest returns the highest pace.
func slowest(paces map[string]float64) float64 {
	worst := 1.0
	for _, p := range paces {
		worst = max(worst, p)
	}
	return worst
}
