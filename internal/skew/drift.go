package skew

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/coltsfootpitch/coltsfootpitch/pkg/placement"
)

// DriftKind is the kind of a drift: how the popularity of the experts changes over time.
type DriftKind string

// Kinds of drift.
const (
	// SeasonalDrift continuously swaps the popularity of random experts; each swap takes effect
	// gradually over about half an hour.
	SeasonalDrift DriftKind = "season"
	// SuddenDrift permutes the popularity of a quarter of the experts every 40 minutes.
	SuddenDrift DriftKind = "sudden"
	// HotOrganisationDrift has one organisation, with its own popularity of the experts, send 5%
	// and 60% of the tokens in turn, for ten minutes each.
	HotOrganisationDrift DriftKind = "hot-organisation"
	// AdversarialDrift raises the popularity of the experts on the most loaded rank by a tenth in
	// each interval, up to three times the base popularity.
	AdversarialDrift DriftKind = "adversary"
)

// DriftKinds lists all kinds of drift.
var DriftKinds = []DriftKind{SeasonalDrift, SuddenDrift, HotOrganisationDrift, AdversarialDrift}

// Parameters of the drifts. Durations are in intervals of 10 seconds.
const (
	seasonSwapIntervals      = 10
	seasonSmoothingIntervals = 30
	suddenChangeIntervals    = 240
	hotPhaseIntervals        = 60
	hotLowShare              = 0.05
	hotHighShare             = 0.6
	adversaryGrowth          = 1.1
	adversaryMaxBoost        = 3
	// adversaryDecay is the factor by which each boost above 1 shrinks in an interval.
	adversaryDecay = 0.95
	// loadNoise is the standard deviation of the random variation of an expert's load in each
	// interval, relative to the load.
	loadNoise = 0.01
)

// drift generates the popularity of the experts of one layer. The slices are indexed by expert.
type drift struct {
	kind           DriftKind
	random         *rand.Rand
	basePopularity []float64
	hotPopularity  []float64
	boost          []float64
	popularity     []float64
}

func newDrift(kind DriftKind, exponent float64, experts int, r *rand.Rand) *drift {
	d := &drift{kind: kind, random: r, basePopularity: ZipfPopularity(experts, exponent, r), hotPopularity: ZipfPopularity(experts, exponent, r)}
	d.popularity = slices.Clone(d.basePopularity)
	d.boost = make([]float64, experts)
	for e := range d.boost {
		d.boost[e] = 1
	}
	return d
}

// ZipfPopularity returns Zipf-distributed popularities of experts in random order; their sum is 1.
func ZipfPopularity(experts int, exponent float64, r *rand.Rand) []float64 {
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

// next returns the loads of an interval. AdversarialDrift uses l, the current placement.
func (d *drift) next(interval int, l *placement.Layer) []float64 {
	switch d.kind {
	case SeasonalDrift:
		d.advanceSeason(interval)
	case SuddenDrift:
		if interval > 0 && interval%suddenChangeIntervals == 0 {
			d.rotatePopularity(len(d.popularity) / 4)
		}
	case HotOrganisationDrift:
		d.mixHotOrganisation(interval)
	case AdversarialDrift:
		d.boostMostLoadedRank(l)
	}
	out := slices.Clone(d.popularity)
	for e := range out {
		out[e] *= math.Exp(loadNoise * d.random.NormFloat64())
	}
	return out
}

// advanceSeason swaps the base popularity of two experts every seasonSwapIntervals, and moves
// the current popularity towards it.
func (d *drift) advanceSeason(interval int) {
	if interval%seasonSwapIntervals == 0 {
		a, b := d.random.IntN(len(d.basePopularity)), d.random.IntN(len(d.basePopularity))
		d.basePopularity[a], d.basePopularity[b] = d.basePopularity[b], d.basePopularity[a]
	}
	for e := range d.popularity {
		d.popularity[e] += (d.basePopularity[e] - d.popularity[e]) / seasonSmoothingIntervals
	}
}

// rotatePopularity exchanges the popularity of n random experts cyclically.
func (d *drift) rotatePopularity(n int) {
	chosen := d.random.Perm(len(d.popularity))[:n]
	first := d.popularity[chosen[0]]
	for i := range n - 1 {
		d.popularity[chosen[i]] = d.popularity[chosen[i+1]]
	}
	d.popularity[chosen[n-1]] = first
}

func (d *drift) mixHotOrganisation(interval int) {
	share := hotLowShare
	if interval/hotPhaseIntervals%2 == 1 {
		share = hotHighShare
	}
	for e := range d.popularity {
		d.popularity[e] = (1-share)*d.basePopularity[e] + share*d.hotPopularity[e]
	}
}

func (d *drift) boostMostLoadedRank(l *placement.Layer) {
	for e := range d.boost {
		d.boost[e] = 1 + (d.boost[e]-1)*adversaryDecay
	}
	for _, e := range l.Experts(l.MostLoadedRank()) {
		d.boost[e] = min(d.boost[e]*adversaryGrowth, adversaryMaxBoost)
	}
	sum := 0.0
	for e := range d.popularity {
		d.popularity[e] = d.basePopularity[e] * d.boost[e]
		sum += d.popularity[e]
	}
	for e := range d.popularity {
		d.popularity[e] /= sum
	}
}
