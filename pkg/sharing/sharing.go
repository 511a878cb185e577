// Package sharing limits the concurrent work of a group and divides the limit among the entries
// that start work.
//
// All ranks of a group advance in passes, and every running request makes a pass longer. Limit
// follows the measured duration of a pass, so that passes stay within what callers accept.
// Divide splits the limit among the entries by the requests that they have running and waiting;
// the shares never add up to more than the limit.
//
// The package does no I/O, reads no clock and starts no goroutines.
package sharing

import "time"

// Limit is the concurrency limit of a group, in requests. It is not safe for concurrent use.
type Limit struct {
	// MaxPassTime is the longest pass that callers accept.
	MaxPassTime time.Duration
	// EmptyPassTime is the duration of a pass without any requests.
	EmptyPassTime time.Duration
	// Min and Max are the range of the limit, in requests.
	Min int
	Max int

	current float64
}

const (
	// targetLoadShare is the share of the time between an empty pass and MaxPassTime that requests
	// should use. The rest is for passes that read long prompts, which take half as long again.
	targetLoadShare = 0.65
	// minLoadShare is the least time that requests may add to a pass, as a share of MaxPassTime.
	// It applies when the slowest rank alone takes nearly all of MaxPassTime: the group then
	// serves late rather than not at all.
	minLoadShare = 0.3
	// maxIncrease is the largest relative increase of the limit in one update. It avoids
	// overshoot while the last change has not yet affected the duration of a pass.
	maxIncrease = 0.15
	// maxDecrease is the largest relative decrease of the limit in one update.
	maxDecrease = 0.25
)

// Update adjusts the limit to the newest duration of a pass, the requests running meanwhile and
// the slowdown of the slowest rank, where 1 is the usual speed. It returns the new limit. The
// duration of a pass grows in proportion to the running requests.
func (l *Limit) Update(pass time.Duration, running int, slowdown float64) int {
	if l.current == 0 {
		l.current = float64(l.Max)
	}
	empty := l.EmptyPassAt(slowdown)
	if pass > empty && running > 0 {
		allowed := max(targetLoadShare*float64(l.MaxPassTime-empty), minLoadShare*float64(l.MaxPassTime))
		fits := float64(running) * allowed / float64(pass-empty)
		l.current = min(max(fits, l.current*(1-maxDecrease)), l.current*(1+maxIncrease))
	}
	l.current = min(max(l.current, float64(l.Min)), float64(l.Max))
	return int(l.current)
}

// Rescale adjusts the limit to a new expert map, with which the time that each request adds to a pass
// is divided by ratio. Without it, the limit would follow the shorter passes only step by step.
func (l *Limit) Rescale(ratio float64) {
	if ratio > 0 {
		l.current = min(max(l.current*ratio, float64(l.Min)), float64(l.Max))
	}
}

// EmptyPassAt returns the duration of a pass without any requests at a slowdown of the slowest
// rank.
func (l *Limit) EmptyPassAt(slowdown float64) time.Duration {
	return time.Duration(float64(l.EmptyPassTime) * max(slowdown, 1))
}

// initialShare is the share of the highest limit with which a new group starts. With its first
// map, one rank has over three times the mean load.
const initialShare = 0.5

// Reset resets the limit for a group that has just formed: earlier measurements no longer apply.
func (l *Limit) Reset() { l.current = initialShare * float64(l.Max) }

// Demand is the work of an entry for a service.
type Demand struct {
	// Running is the number of requests in progress, and Waiting the number that wait for a
	// permit.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// DemandForOne returns the part of an entry's running and waiting requests that it demands of one of several groups of a
// service. Each group divides a limit of its own: were all asked for the whole, entries with few requests would get more than
// they use, and the others too little.
func DemandForOne(running, waiting, groups int) Demand {
	groups = max(groups, 1)
	part := func(n int) int { return (n + groups - 1) / groups }
	return Demand{Running: part(running), Waiting: part(running+waiting) - part(running)}
}

// Divide splits a limit among entries. Each gets what it demands up to an equal share. What is
// left is split equally among those that demand more, and what exceeds all demands is split
// among all entries, so that an idle entry may start some work at once.
func Divide(limit int, demands []Demand) []int {
	out := make([]int, len(demands))
	left := limit
	for left > 0 {
		unsatisfied := 0
		for i, d := range demands {
			if out[i] < d.Running+d.Waiting {
				unsatisfied++
			}
		}
		if unsatisfied == 0 {
			break
		}
		share := max(1, left/unsatisfied)
		for i, d := range demands {
			n := min(share, d.Running+d.Waiting-out[i], left)
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
