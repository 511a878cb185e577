package fairness

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// The simulated upstream runs up to slots requests concurrently and generates one token of
// each per unit of time.
const (
	slots = 32
	// smallOrganisations is the number of small organisations.
	smallOrganisations = 9
	// meanTokens is the mean length of a response.
	meanTokens = 100.0
	// dominantLoadFactor is the load offered by the dominant organisation, relative to all
	// others together.
	dominantLoadFactor = 50
	// arrivalsEnd is the time at which arrivals end.
	arrivalsEnd = 30_000.0
	// burst is Options.Burst of the queue, in tokens.
	burst = 16_384
)

// arrival is a request with its arrival time and its actual cost in tokens.
type arrival struct {
	at     float64
	item   Item
	tokens int64
}

// arrivals returns Poisson arrivals of an organisation. Load is the offered load as a
// fraction of the capacity. The expected cost is up to twice the actual one.
func arrivals(r *rand.Rand, name string, load float64) []arrival {
	var out []arrival
	rate := load * slots / meanTokens
	for at := r.ExpFloat64() / rate; at < arrivalsEnd; at += r.ExpFloat64() / rate {
		tokens := 1 + int64(r.ExpFloat64()*meanTokens)
		out = append(out, arrival{at: at, tokens: tokens, item: Item{
			ID: fmt.Sprint(name, len(out)), Organisation: name, Cost: tokens + r.Int63n(tokens+1), Bytes: 1024,
		}})
	}
	return out
}

// running is a request that occupies a slot until end.
type running struct {
	end float64
	arrival
}

// runningHeap is a heap of running requests ordered by end time.
type runningHeap []running

func (h runningHeap) Len() int           { return len(h) }
func (h runningHeap) Less(i, j int) bool { return h[i].end < h[j].end }
func (h runningHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *runningHeap) Push(x any)        { *h = append(*h, x.(running)) }
func (h *runningHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// report is the service that one organisation received.
type report struct {
	// offered and served count requests; tokens is the actual cost of the served ones.
	offered, served, tokens int64
	// waits are the times from arrival to start, responses those from arrival to end.
	waits, responses []float64
}

func p95(list []float64) float64 {
	slices.Sort(list)
	if len(list) == 0 {
		return 0
	}
	return list[len(list)*95/100]
}

// simulate runs the arrivals through a queue. It returns the report of each organisation and
// the number of scheduling steps after which a slot was free although requests were waiting.
func simulate(all []arrival) (map[string]*report, int) {
	slices.SortStableFunc(all, func(a, b arrival) int {
		if a.at < b.at {
			return -1
		}
		return 1
	})
	q := New(Options{MaxItems: 256, MaxBytes: 1 << 20, Burst: burst})
	waiting := map[string]arrival{}
	reports := map[string]*report{}
	var inProgress runningHeap
	idleSlots := 0
	start := func(now float64) {
		for len(inProgress) < slots {
			i, ok := q.Pop()
			if !ok {
				return
			}
			a := waiting[i.ID]
			delete(waiting, i.ID)
			heap.Push(&inProgress, running{now + float64(a.tokens), a})
			reports[i.Organisation].waits = append(reports[i.Organisation].waits, now-a.at)
		}
		if q.Len() > 0 && len(inProgress) < slots {
			idleSlots++
		}
	}
	for _, a := range all {
		for len(inProgress) > 0 && inProgress[0].end <= a.at {
			d := heap.Pop(&inProgress).(running)
			r := reports[d.item.Organisation]
			r.served++
			r.tokens += d.tokens
			r.responses = append(r.responses, d.end-d.at)
			q.Settle(d.item.Organisation, d.item.Cost, d.tokens)
			start(d.end)
		}
		r := reports[a.item.Organisation]
		if r == nil {
			r = &report{}
			reports[a.item.Organisation] = r
		}
		r.offered++
		waiting[a.item.ID] = a
		for _, o := range q.Push(a.item) {
			delete(waiting, o.ID)
		}
		start(a.at)
	}
	return reports, idleSlots
}

// offeredArrivals returns the arrivals of the small organisations, each of which offers the
// given part of its fair share, and optionally those of the dominant one.
func offeredArrivals(part float64, dominant bool) []arrival {
	share := 1.0 / (smallOrganisations + 1)
	var all []arrival
	for n := range smallOrganisations {
		r := rand.New(rand.NewSource(int64(n) + 1))
		all = append(all, arrivals(r, fmt.Sprint("small-", n), part*share)...)
	}
	if dominant {
		r := rand.New(rand.NewSource(1000))
		all = append(all, arrivals(r, "dominant", dominantLoadFactor*part*share*smallOrganisations)...)
	}
	return all
}

// A dominant organisation must not take service from small ones that stay below their share,
// more than double their response times or leave capacity unused.
func TestDominantOrganisationDoesNotStarveSmallOnes(t *testing.T) {
	for _, part := range []float64{0.3, 0.6, 0.8, 0.9, 0.95} {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			is := is.New(t)
			without, _ := simulate(offeredArrivals(part, false))
			with, idleSlots := simulate(offeredArrivals(part, true))
			is.Equal(idleSlots, 0)
			total := int64(0)
			for _, r := range with {
				total += r.tokens
			}
			minServedRatio, maxResponseRatio, wait, waitAlone := 1.0, 0.0, 0.0, 0.0
			for name, w := range without {
				r := with[name]
				minServedRatio = min(minServedRatio, float64(r.served)/float64(w.served))
				wait = max(wait, p95(r.waits))
				waitAlone = max(waitAlone, p95(w.waits))
				maxResponseRatio = max(maxResponseRatio, p95(r.responses)/p95(w.responses))
			}
			utilisation := float64(total) / (slots * arrivalsEnd)
			t.Logf("small organisations offer %.2f of the capacity: lowest ratio of served requests %.4f, highest p95 wait %.1f token times (%.1f without the dominant one), highest ratio of p95 response times %.2f, capacity utilisation %.3f",
				part*smallOrganisations/(smallOrganisations+1), minServedRatio, wait, waitAlone, maxResponseRatio, utilisation)
			is.True(minServedRatio >= 0.99)
			is.True(maxResponseRatio <= 2)
			is.True(utilisation >= 0.99)
		})
	}
}
