// Package sharing bounds the work in progress in a group and divides the bound among the
// entries that start work.
//
// All ranks of a group advance in passes, and every running request makes a pass longer.
// Bound follows the time of a pass: it allows as much work as keeps a pass within what
// callers bear. Divide splits that among the entries by what they have under way and what
// waits at them, so that the parts never add up to more than the whole.
//
// The package has no I/O, no clock and no goroutines.
package sharing

import "time"

// Bound is the work that a group may have in progress. It is not safe for concurrent use.
type Bound struct {
	// Gap is the longest pass that callers bear.
	Gap time.Duration
	// Empty is the time of a pass without any work.
	Empty time.Duration
	// Least and Most limit the bound.
	Least int
	Most  int

	current float64
}

const (
	// targetPart is the part of what work may add to a pass that is aimed for: passes in
	// which long prompts are read take half as long again.
	targetPart = 0.65
	// slowestPart is the least that work may add, as a part of the gap, in a group whose
	// slowest rank alone takes nearly as long as callers bear: it serves late, but serves.
	slowestPart = 0.3
	// boundRise is the part by which the bound grows at most in one update, so that it
	// does not overshoot while a pass has not felt the last change yet.
	boundRise = 0.15
	// boundFall is the part by which it falls at most in one update.
	boundFall = 0.25
)

// Update takes in the newest time of a pass, the work in progress meanwhile, and how much
// longer than usual the slowest rank takes; 1 is usual. It returns the new bound. Passes get
// longer in proportion to the work.
func (b *Bound) Update(pass time.Duration, running int, pace float64) int {
	if b.current == 0 {
		b.current = float64(b.Most)
	}
	empty := b.EmptyPass(pace)
	if pass > empty && running > 0 {
		may := max(targetPart*float64(b.Gap-empty), slowestPart*float64(b.Gap))
		fits := float64(running) * may / float64(pass-empty)
		b.current = min(max(fits, b.current*(1-boundFall)), b.current*(1+boundRise))
	}
	b.current = min(max(b.current, float64(b.Least)), float64(b.Most))
	return int(b.current)
}

// EmptyPass returns the time of a pass without any work when the slowest rank has a pace.
func (b *Bound) EmptyPass(pace float64) time.Duration {
	return time.Duration(float64(b.Empty) * max(pace, 1))
}

// freshPart is the part of the most work that a group takes with its first map, with which
// one rank has over three times the mean.
const freshPart = 0.5

// Restart begins anew for a group that has just formed: what was measured before says nothing.
func (b *Bound) Restart() { b.current = freshPart * float64(b.Most) }

// Demand is what an entry has to do for a service.
type Demand struct {
	// Running is the work that it has in progress, and Waiting what waits for a permit.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Divide splits a bound among entries. Each gets what it asks for as long as that is no
// more than an equal part; what is left goes in equal parts to those that ask for more,
// and what nobody asks for to all, so that an idle entry may start some work at once.
func Divide(bound int, demands []Demand) []int {
	out := make([]int, len(demands))
	left := bound
	for left > 0 {
		hungry := 0
		for i, d := range demands {
			if out[i] < d.Running+d.Waiting {
				hungry++
			}
		}
		if hungry == 0 {
			break
		}
		part := max(1, left/hungry)
		for i, d := range demands {
			n := min(part, d.Running+d.Waiting-out[i], left)
			if n > 0 {
				out[i] += n
				left -= n
			}
		}
	}
	for i := range out {
		out[i] += left / len(out)
		if i < left%len(out) {
			out[i]++
		}
	}
	return out
}
