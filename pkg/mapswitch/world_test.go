package mapswitch

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// world is a group of ranks as their protocol describes them, with orders that may be
// lost, doubled or carried out late, stewards that fence, and owners that come and go.
type world struct {
	rng    *rand.Rand
	ranks  []worldRank
	epoch  int64
	pass   int64
	now    int
	late   []lateOrder
	owners []*worldOwner
	// fences is the newest fencing number that each steward has seen; 0 after a restart,
	// when it takes no fenced order until it has read the store.
	fences []int64
	fence  int64
	// version is the newest version in use anywhere.
	switched int
	// weak switches one protection off.
	weak weakness
}

type worldRank struct {
	running, prepared, armed, armedFor, held, highest int64
	readyAt                                           int
}

type lateOrder struct {
	at    int
	order Order
}

// worldOwner is an owner with its fencing number; several may believe in theirs.
type worldOwner struct {
	sw      *Switch
	fence   int64
	counter int64
	view    []Rank
	frozen  int
}

// weakness names the protection that is removed.
type weakness int

const (
	allProtections weakness = iota
	armWithoutHold
	releaseEarly
	armUnprepared
	noFence
	noEpoch
)

func newWorld(seed uint64, weak weakness) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), weak: weak, ranks: make([]worldRank, 4), fences: make([]int64, 4)}
	w.form()
	w.elect()
	return w
}

// form starts the group anew.
func (w *world) form() {
	w.epoch++
	w.pass = 0
	for i := range w.ranks {
		w.ranks[i] = worldRank{prepared: None, armed: None, held: None}
	}
}

// elect adds an owner with a higher fencing number; the former ones go on.
func (w *world) elect() {
	w.fence++
	w.owners = append(w.owners, &worldOwner{sw: New(), fence: w.fence})
	if len(w.owners) > 2 {
		w.owners = slices.Delete(w.owners, 0, 1)
	}
}

func (w *world) report(i int) Rank {
	r := w.ranks[i]
	prepared := r.prepared
	loading := None
	if w.now < r.readyAt {
		prepared, loading = None, r.prepared
	}
	return Rank{
		Known: true, Open: true, Epoch: w.epoch, Pass: w.pass,
		Running: r.running, Prepared: prepared, Loading: loading, Armed: r.armed, ArmedFor: r.armedFor, Held: r.held,
	}
}

// step lets one thing happen and returns a violation of the rule.
func (w *world) step() string {
	w.now++
	w.deliverLate()
	switch x := w.rng.IntN(100); {
	case x < 30:
		return w.beginPass()
	case x < 90:
		w.act(w.owners[w.rng.IntN(len(w.owners))])
	case x < 92:
		w.elect()
	case x < 94:
		w.owners[w.rng.IntN(len(w.owners))].frozen = w.rng.IntN(60)
	case x < 95:
		w.fences[w.rng.IntN(len(w.fences))] = 0
	case x < 96 && w.rng.IntN(10) == 0:
		w.form()
	}
	return w.deadlock()
}

// deadlock reports a rank that is armed with a map which another rank can never be armed
// with: the hold would never be released.
func (w *world) deadlock() string {
	for _, a := range w.ranks {
		for _, b := range w.ranks {
			if a.armed != None && b.armed != a.armed && b.highest > a.armed {
				return "a hold can never be released"
			}
		}
	}
	return ""
}

// beginPass begins the next pass unless a rank holds it.
func (w *world) beginPass() string {
	next := w.pass + 1
	for _, r := range w.ranks {
		if r.held == next {
			return ""
		}
	}
	w.pass = next
	for i := range w.ranks {
		r := &w.ranks[i]
		if r.armed != None && r.armedFor == next {
			r.running, r.prepared, r.armed = r.armed, None, None
			w.switched++
		}
	}
	for _, r := range w.ranks {
		if r.running != w.ranks[0].running {
			return "a pass began with two maps"
		}
	}
	return ""
}

// act lets an owner look and order. The look of one that was frozen may be old.
func (w *world) act(o *worldOwner) {
	if o.frozen > 0 {
		o.frozen--
		return
	}
	if w.rng.IntN(4) > 0 {
		o.view = nil
		for i := range w.ranks {
			o.view = append(o.view, w.report(i))
			w.meetFence(i, o.fence)
		}
		return
	}
	if o.view == nil {
		return
	}
	orders, phase := o.sw.Next(o.view)
	if phase == Idle || phase == Stuck {
		o.counter++
		o.sw.Start(Target{Version: o.fence*1000 + o.counter, Epoch: o.view[0].Epoch})
	}
	orders = w.spoil(o, orders)
	for _, order := range orders {
		w.send(o, order)
	}
	// Orders follow from a fresh look only.
	o.view = nil
}

// spoil changes orders as an owner without one of the protections would give them.
func (w *world) spoil(o *worldOwner, orders []Order) []Order {
	for i := range orders {
		order := &orders[i]
		switch {
		case w.weak == armWithoutHold && order.Op == Hold,
			w.weak == armUnprepared && order.Op == Hold && w.rng.IntN(2) == 0:
			orders = nil
			for k := range w.ranks {
				orders = append(orders, Order{Rank: k, Op: Arm, Epoch: order.Epoch, Version: o.sw.Target().Version, Pass: order.Pass})
			}
			return orders
		case w.weak == releaseEarly && order.Op == Arm && w.rng.IntN(2) == 0:
			orders = append(orders, Order{Rank: int(o.view[0].Epoch) % len(w.ranks), Op: Release, Epoch: order.Epoch, Pass: order.Pass})
			for k := range w.ranks {
				orders = append(orders, Order{Rank: k, Op: Release, Epoch: order.Epoch, Pass: order.Pass})
			}
			return orders
		case w.weak == noEpoch:
			order.Epoch = 0
		}
	}
	return orders
}

func (w *world) meetFence(rank int, fence int64) {
	if w.fences[rank] != 0 {
		w.fences[rank] = max(w.fences[rank], fence)
	} else if w.rng.IntN(2) == 0 {
		// The steward has read the newest number in the store.
		w.fences[rank] = w.fence
	}
}

// send passes an order through the steward of its rank, which carries it out now, late,
// twice or never.
func (w *world) send(o *worldOwner, order Order) {
	if order.Op == Prepare || order.Op == Hold {
		f := w.fences[order.Rank]
		if w.weak != noFence && (f == 0 || o.fence < f) {
			return
		}
	}
	switch w.rng.IntN(10) {
	case 0:
	case 1, 2, 3:
		w.late = append(w.late, lateOrder{w.now + 5 + w.rng.IntN(200), order})
	case 4:
		w.carryOut(order)
		w.late = append(w.late, lateOrder{w.now + 5 + w.rng.IntN(200), order})
	default:
		w.carryOut(order)
	}
}

func (w *world) deliverLate() {
	kept := w.late[:0]
	for _, l := range w.late {
		if l.at > w.now {
			kept = append(kept, l)
			continue
		}
		w.carryOut(l.order)
	}
	w.late = kept
}

// carryOut applies an order as a rank does.
func (w *world) carryOut(o Order) {
	if o.Epoch != w.epoch && o.Epoch != 0 {
		return
	}
	r := &w.ranks[o.Rank]
	switch o.Op {
	case Prepare:
		if o.Version > r.highest && r.armed == None {
			r.prepared, r.highest = o.Version, o.Version
			r.readyAt = w.now + w.rng.IntN(8)
		}
	case Hold:
		if o.Pass > w.pass && r.held == None {
			r.held = o.Pass
		}
	case Arm:
		if r.prepared == o.Version && w.now >= r.readyAt && o.Pass > w.pass {
			r.armed, r.armedFor = o.Version, o.Pass
		}
	case Release:
		if r.held == o.Pass {
			r.held = None
		}
	}
}

// play runs a world and returns the first violation and the switches made.
func play(seed uint64, steps int, weak weakness) (string, int) {
	w := newWorld(seed, weak)
	for range steps {
		if violation := w.step(); violation != "" {
			return violation, w.switched
		}
	}
	return "", w.switched
}

const (
	fuzzSeeds = 100
	fuzzSteps = 10_000 // a million actions over all seeds
)

func TestNoPassBeginsWithTwoMaps(t *testing.T) {
	switched := 0
	for seed := range uint64(fuzzSeeds) {
		violation, n := play(seed, fuzzSteps, allProtections)
		if violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		switched += n
	}
	if switched < fuzzSeeds*20 {
		t.Fatalf("only %d switches of ranks: the worlds prove little", switched)
	}
}

func TestEachProtectionIsNeeded(t *testing.T) {
	for name, weak := range map[string]weakness{
		"arm only what is held":           armWithoutHold,
		"arm only what is prepared":       armUnprepared,
		"release only when all are armed": releaseEarly,
		"fence":                           noFence,
		"epoch":                           noEpoch,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(fuzzSeeds) {
				if violation, _ := play(seed, fuzzSteps, weak); violation != "" {
					return
				}
			}
			t.Fatal("the removal of the protection was not caught")
		})
	}
}
