//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	passTime = 30 * time.Millisecond
	// stallTime is stall_ms, and formTime form_ms of the service's engine.
	stallTime = 1500 * time.Millisecond
	formTime  = 600 * time.Millisecond
	// rankSets and rankExperts are the sets of the engine and the experts in each.
	rankSets    = 4
	rankExperts = 64
)

// group is a stand-in for a group of ranks, as PROTOCOL.md has it: all execute each pass together. When a rank
// crashes, all stall, and after stallTime their work is cut off, or refused if it has not begun. When the rank is
// back, the group opens after formTime in a new epoch.
type group struct {
	bench *bench

	mu       sync.Mutex
	epoch    int64
	brokenAt time.Time // zero while the group is open
	step     int64
	ranks    []*worker // nil for one that is down
	running  []int
	counts   []int64 // of each expert, by rank; the requests choose all experts alike
}

func newGroup(b *bench, ranks int) *group {
	g := &group{bench: b, epoch: 1, ranks: make([]*worker, ranks), running: make([]int, ranks), counts: make([]int64, ranks)}
	go func() {
		for range time.Tick(passTime) {
			g.mu.Lock()
			busy := 0
			for _, n := range g.running {
				busy += n
			}
			if g.brokenAt.IsZero() && busy > 0 {
				g.step++ // an idle group makes no passes
			}
			g.mu.Unlock()
		}
	}()
	return g
}

// open returns the epoch, and when the group broke if it is broken.
func (g *group) open() (epoch int64, brokenAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.epoch, g.brokenAt
}

// crash ends a rank, which breaks the group.
func (g *group) crash(index int) {
	g.mu.Lock()
	w := g.ranks[index]
	g.ranks[index] = nil
	if g.brokenAt.IsZero() {
		g.brokenAt = time.Now()
	}
	g.mu.Unlock()
	w.crash()
}

// join puts a rank in its place. Once all are there, the group opens after formTime.
func (g *group) join(index int, w *worker) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[index], g.running[index], g.counts[index] = w, 0, 0
	if g.brokenAt.IsZero() {
		return
	}
	for _, w := range g.ranks {
		if w == nil {
			return
		}
	}
	opensAt := time.Now().Add(formTime)
	if at := g.brokenAt.Add(stallTime); at.After(opensAt) {
		opensAt = at
	}
	time.AfterFunc(time.Until(opensAt), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.epoch++
		g.brokenAt = time.Time{}
		g.bench.logf("  the group opens in epoch %d", g.epoch)
	})
}

// errStalled means that the group broke.
var errStalled = errors.New("the group is broken")

// pass waits for the next event of a stream that began in an epoch. It returns errStalled, after the stall, if the group
// has broken.
func (g *group) pass(r *http.Request, epoch int64) error {
	select {
	case <-r.Context().Done():
		return r.Context().Err()
	case <-time.After(passTime):
	}
	now, brokenAt := g.open()
	if now == epoch && brokenAt.IsZero() {
		return nil
	}
	if !brokenAt.IsZero() {
		select {
		case <-r.Context().Done():
			return r.Context().Err()
		case <-time.After(time.Until(brokenAt.Add(stallTime))):
		}
	}
	return errStalled
}

// control answers the calls of stewards. It reports false for any other request.
func (g *group) control(index int, w *worker, rw http.ResponseWriter, r *http.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case r.URL.Path == "/report":
		state := "open"
		if !g.brokenAt.IsZero() {
			state = "broken"
		}
		writeJSON(rw, http.StatusOK, map[string]any{
			"stage": "unified", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
			"busy": false, "sequence": 0, "queued": 0, "running": g.running[index], "kv_used": 0, "kv_total": 280000, "handles": 0,
			"group": map[string]any{"name": "g0", "epoch": g.epoch, "rank": index, "state": state}, "size": len(g.ranks), "pace": 1.0,
			"born": w.born, "step": g.step, "mapping": 0, "prepared": nil, "enabled": nil, "held": nil,
		})
	case r.URL.Path == "/picked" && r.URL.Query().Has("lists"):
		var experts [][]int
		for range rankSets {
			var on []int
			for e := index; e < rankExperts; e += len(g.ranks) {
				on = append(on, e)
			}
			experts = append(experts, on)
		}
		writeJSON(rw, http.StatusOK, map[string]any{"step": g.step, "epoch": g.epoch,
			"mapping": map[string]any{"version": 0, "experts": experts}, "prepared": nil, "born": w.born})
	case r.URL.Path == "/picked":
		counts := make([]int64, rankSets*rankExperts)
		for i := range counts {
			counts[i] = g.counts[index]
		}
		writeJSON(rw, http.StatusOK, map[string]any{"step": g.step, "epoch": g.epoch, "counts": counts, "born": w.born})
	case r.URL.Path == "/order":
		g.bench.logf("  rank %d gets an order and answers 409", index)
		rw.WriteHeader(http.StatusConflict)
	default:
		return false
	}
	return true
}

// stream answers a request with events from the one after Last-Event-Id up to last. After each one it calls sent,
// which may crash the rank.
func (g *group) stream(index int, w *worker, rw http.ResponseWriter, r *http.Request, last int, begins func(), sent func(event int) bool) {
	epoch, brokenAt := g.open()
	if !brokenAt.IsZero() || g.pass(r, epoch) != nil {
		if _, at := g.open(); !at.IsZero() {
			time.Sleep(time.Until(at.Add(stallTime)))
		}
		rw.Header().Del("X-Response-Signature")
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.mu.Lock()
	g.running[index]++
	g.counts[index] += 100
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.ranks[index] == w {
			g.running[index]--
		}
	}()
	begins()
	first := 1
	if id := r.Header.Get("Last-Event-Id"); id != "" {
		fmt.Sscan(id, &first)
		first++
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	for event := first; event <= last; event++ {
		if event > first && g.pass(r, epoch) != nil {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(rw, "id: %d\ndata: tokens %d of %s\n\n", event, event, r.Header.Get("X-Attempt-Id"))
		_ = http.NewResponseController(rw).Flush()
		if sent(event) {
			panic(http.ErrAbortHandler)
		}
	}
}

// rankIP is the address of the instance of a rank and its steward.
func (b *bench) rankIP(index int) string { return fmt.Sprintf("%s%d", b.network, 100+index) }

// stewardSettings is the settings file of a steward.
const stewardSettings = `node_name: "%[1]s"
role: "steward"
machine_class: "side"
serves: ["side"]
ip: "%[2]s"
zone: "gate-north"
region: "trondelag"
zones:
  gate-north: "trondelag"
listen: {}
port_range: [7340, 7355]
seeds: [%[3]s]
first_start: true
discovery: "platform"
entry: "registry"
heartbeat_ms: 1200
bounds:
  contact_ms: 3000
  grace_s: 8
  stall_ms: 1500
app: "%[4]s"
service: "%[5]s"
platform:
  address: "%[6]s"
  form: "objects"
`

// startStewards starts a steward beside each rank with the command of the deploy file.
func (b *bench) startStewards(addresses []string, service string) {
	for i, address := range addresses {
		name := fmt.Sprintf("side-%d", i+1)
		b.start(name, "target/coltsfoot-steward", fmt.Sprintf(stewardSettings, name, b.rankIP(i), b.seeds, address, service, b.store.address()))
	}
}

// isWhole reports whether a stream is complete up to its last event.
func isWhole(a answer, last int) bool {
	return a.err == nil && a.status == http.StatusOK && strings.Count(a.body, "\n\n") == last
}
