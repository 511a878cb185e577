package skew

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/placement"
)

// Kind names a drift.
type Kind string

// Kinds of drift.
const (
	// Season moves single experts up and down over half an hour each, all the time.
	Season Kind = "season"
	// Sudden gives a quarter of the experts each other's popularity, every 40 minutes.
	Sudden Kind = "sudden"
	// Hot lets an organisation with a taste of its own bring 5% or 60% of the tokens,
	// ten minutes each.
	Hot Kind = "hot-organisation"
	// Adversary raises the experts on the fullest rank by a tenth in each interval, up
	// to three times their popularity.
	Adversary Kind = "adversary"
)

// Kinds lists all kinds of drift.
var Kinds = []Kind{Season, Sudden, Hot, Adversary}

// Intervals of 10 seconds.
const (
	seasonEvery    = 10
	seasonLag      = 30
	suddenEvery    = 240
	hotEvery       = 60
	hotLow         = 0.05
	hotHigh        = 0.6
	adversaryStep  = 1.1
	adversaryTop   = 3
	adversaryDecay = 0.95
	// flutter is the standard deviation of each expert's load from interval to
	// interval, relative to it.
	flutter = 0.01
)

// drift is the popularity of the experts of one layer.
type drift struct {
	kind   Kind
	random *rand.Rand
	base   []float64
	taste  []float64
	boost  []float64
	now    []float64
}

func newDrift(kind Kind, exponent float64, experts int, r *rand.Rand) *drift {
	d := &drift{kind: kind, random: r, base: Zipf(experts, exponent, r), taste: Zipf(experts, exponent, r)}
	d.now = slices.Clone(d.base)
	d.boost = make([]float64, experts)
	for e := range d.boost {
		d.boost[e] = 1
	}
	return d
}

// Zipf returns the popularity of experts in random order; the sum is 1.
func Zipf(experts int, exponent float64, r *rand.Rand) []float64 {
	out := make([]float64, experts)
	sum := 0.0
	for i, e := range r.Perm(experts) {
		out[e] = math.Pow(float64(i+1), -exponent)
		sum += out[e]
	}
	for e := range out {
		out[e] /= sum
	}
	return out
}

// next returns the loads of an interval. The adversary looks at the placement in force.
func (d *drift) next(interval int, l *placement.Layer) []float64 {
	switch d.kind {
	case Season:
		d.season(interval)
	case Sudden:
		if interval > 0 && interval%suddenEvery == 0 {
			d.shuffle(len(d.now) / 4)
		}
	case Hot:
		d.mix(interval)
	case Adversary:
		d.attack(l)
	}
	out := slices.Clone(d.now)
	for e := range out {
		out[e] *= math.Exp(flutter * d.random.NormFloat64())
	}
	return out
}

func (d *drift) season(interval int) {
	if interval%seasonEvery == 0 {
		a, b := d.random.IntN(len(d.base)), d.random.IntN(len(d.base))
		d.base[a], d.base[b] = d.base[b], d.base[a]
	}
	for e := range d.now {
		d.now[e] += (d.base[e] - d.now[e]) / seasonLag
	}
}

func (d *drift) shuffle(n int) {
	chosen := d.random.Perm(len(d.now))[:n]
	first := d.now[chosen[0]]
	for i := range n - 1 {
		d.now[chosen[i]] = d.now[chosen[i+1]]
	}
	d.now[chosen[n-1]] = first
}

func (d *drift) mix(interval int) {
	part := hotLow
	if interval/hotEvery%2 == 1 {
		part = hotHigh
	}
	for e := range d.now {
		d.now[e] = (1-part)*d.base[e] + part*d.taste[e]
	}
}

func (d *drift) attack(l *placement.Layer) {
	for e := range d.boost {
		d.boost[e] = 1 + (d.boost[e]-1)*adversaryDecay
	}
	for _, e := range l.Experts(l.MostLoadedRank()) {
		d.boost[e] = min(d.boost[e]*adversaryStep, adversaryTop)
	}
	sum := 0.0
	for e := range d.now {
		d.now[e] = d.base[e] * d.boost[e]
		sum += d.now[e]
	}
	for e := range d.now {
		d.now[e] /= sum
	}
}
