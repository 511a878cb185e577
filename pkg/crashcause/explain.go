package crashcause

import (
	"cmp"
	"slices"
	"time"
)

// threshold is the number of crashes, and of episodes in which they lie, that convicts a trait.
type threshold struct{ crashes, episodes int }

var (
	// thresholdNeverAnswered convicts a trait with which no request was answered.
	thresholdNeverAnswered = threshold{3, 2}
	// thresholdRepeated convicts a single request whatever else explains its crashes.
	thresholdRepeated = threshold{2, 2}
	// thresholdAnswered convicts one with which requests were answered before, as when a new version of the
	// upstream cannot bear it.
	thresholdAnswered = threshold{5, 4}
	// thresholdBroad and thresholdBroadAnswered are the same for a broad explanation.
	thresholdBroad         = threshold{5, 3}
	thresholdBroadAnswered = threshold{7, 4}
)

// episodeTime is the time within which crashes may have one cause outside of the requests.
const episodeTime = time.Second

// explanation is how well a set of crashes is explained by a trait that crashes upstreams before the answers
// to its requests come farther than a progress.
type explanation struct {
	trait          Trait
	progress       Progress
	answeredBefore bool
	// crashes are the upstreams whose ends it explains, sorted, and times when they ended.
	crashes []string
	times   []time.Time
}

// isSufficient reports whether the crashes convict the trait, if it needs this many more than usual.
func (e *explanation) isSufficient(more int) bool {
	t := e.threshold()
	t.crashes += more
	return e.reaches(t)
}

func (e *explanation) reaches(t threshold) bool {
	return len(e.crashes) >= t.crashes && e.episodes() >= t.episodes
}

func (e *explanation) threshold() threshold {
	switch {
	case e.isBroad() && e.answeredBefore:
		return thresholdBroadAnswered
	case e.isBroad():
		return thresholdBroad
	case e.answeredBefore:
		return thresholdAnswered
	}
	return thresholdNeverAnswered
}

// episodes returns the number of episodes in which the crashes lie.
func (e *explanation) episodes() int {
	slices.SortFunc(e.times, time.Time.Compare)
	n := 0
	var start time.Time
	for _, at := range e.times {
		if n == 0 || at.Sub(start) >= episodeTime {
			n++
			start = at
		}
	}
	return n
}

// isBroad reports whether the trait may have run at the crashes by chance: an upstream that ends runs many requests
// whose answers have begun, and parts in use everywhere are in most of them.
func (e *explanation) isBroad() bool { return e.trait.isPart() && e.progress > NotBegun }

// compare returns a negative number if e is to be preferred to o, 0 if neither is.
func (e *explanation) compare(o *explanation) int {
	return cmp.Or(
		compareBool(e.answeredBefore, o.answeredBefore), compareBool(e.isBroad(), o.isBroad()),
		cmp.Compare(len(o.crashes), len(e.crashes)), cmp.Compare(e.progress, o.progress),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// explain returns the convictions that follow from the evidence, sorted.
func (l *Ledger) explain() []Conviction {
	var convicted []Conviction
	unexplained := make(map[string]*crash, len(l.crashes))
	for id, c := range l.crashes {
		unexplained[id] = c
	}
	for {
		best := bestExplanations(unexplained)
		if len(best) == 0 {
			convicted = append(convicted, repeatedRequests(unexplained)...)
			slices.Sort(convicted)
			return convicted
		}
		convicted = append(convicted, convictions(best, unexplained)...)
		for _, e := range best {
			for _, id := range e.crashes {
				delete(unexplained, id)
			}
		}
	}
}

// repeatedRequests returns the convictions of single requests that ran at crashes in several episodes and were
// never answered. They explain no crash: to reject one costs no other request, and callers also send those again
// that crashed because of a part.
func repeatedRequests(crashes map[string]*crash) []Conviction {
	var out []Conviction
	for _, e := range explanations(crashes) {
		if e.progress == Begun && !e.trait.isPart() && !e.answeredBefore && e.reaches(thresholdRepeated) {
			out = append(out, newConviction([]Trait{e.trait}))
		}
	}
	return out
}

// bestExplanations returns the traits that convict best, which cannot be told apart.
func bestExplanations(crashes map[string]*crash) []*explanation {
	var sufficient []*explanation
	for _, e := range explanations(crashes) {
		if e.isSufficient(0) {
			sufficient = append(sufficient, e)
		}
	}
	if len(sufficient) == 0 {
		return nil
	}
	slices.SortFunc(sufficient, (*explanation).compare)
	tied := 1
	for tied < len(sufficient) && sufficient[0].compare(sufficient[tied]) == 0 {
		tied++
	}
	best := sufficient[:tied]
	if len(convictions(best, crashes)) > 1 && !best[0].isSufficient(1) {
		return nil
	}
	return best
}

// convictions returns one conviction for the traits that always crash together, and one each for those
// that do not: whether one of several traits of the same requests is at fault shows only in
// requests that do not have all of them.
func convictions(tied []*explanation, crashes map[string]*crash) []Conviction {
	var out []Conviction
	for _, e := range tied {
		var together []Trait
		for _, o := range tied {
			if alwaysTogether(e, o, crashes) {
				together = append(together, o.trait)
			}
		}
		if c := newConviction(together); !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	return out
}

// alwaysTogether reports whether two traits explain the same crashes at the same progress, each with a request
// that has both.
func alwaysTogether(a, b *explanation, crashes map[string]*crash) bool {
	if a == b {
		return true
	}
	return slices.Equal(a.crashes, b.crashes) && !slices.ContainsFunc(a.crashes, func(id string) bool {
		return !crashes[id].suspects[a.progress].hasRequestWith(a.trait, b.trait)
	})
}

// explanations returns, for each trait and progress, the crashes that it explains: all with a request that has
// the trait and had come no farther, but those after which a request with it came farther.
func explanations(crashes map[string]*crash) []*explanation {
	var out []*explanation
	for p := range Whole {
		byTrait := map[Trait]*explanation{}
		for id, c := range crashes {
			s := c.suspects[p]
			for t := range s.traits {
				if s.answeredSince[t] {
					continue
				}
				e := byTrait[t]
				if e == nil {
					e = &explanation{trait: t, progress: p}
					byTrait[t] = e
					out = append(out, e)
				}
				e.answeredBefore = e.answeredBefore || s.answeredBefore[t]
				e.crashes = append(e.crashes, id)
				e.times = append(e.times, c.at)
			}
		}
	}
	for _, e := range out {
		slices.Sort(e.crashes)
	}
	return out
}
