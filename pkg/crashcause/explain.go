package crashcause

import (
	"slices"
	"time"
)

const (
	// minCrashes and minEpisodes are the crashes, and the episodes in which they lie, that convict a
	// trait with which no request was answered.
	minCrashes  = 3
	minEpisodes = 2
	// minAnsweredCrashes and minAnsweredEpisodes are those that convict a trait with which requests were
	// answered before, as when a new version of the upstream cannot bear it.
	minAnsweredCrashes  = 5
	minAnsweredEpisodes = 3
	// episodeTime is the time within which crashes may have one cause outside of the requests.
	episodeTime = time.Second
)

// explanation is how well a trait explains a set of crashes.
type explanation struct {
	trait          Trait
	answeredBefore bool
	// crashes are the upstreams whose ends it explains, sorted, and times when they ended.
	crashes []string
	times   []time.Time
}

// isSufficient reports whether the crashes convict the trait, if it needs this many more than usual.
func (e *explanation) isSufficient(more int) bool {
	crashes, episodes := minCrashes, minEpisodes
	if e.answeredBefore {
		crashes, episodes = minAnsweredCrashes, minAnsweredEpisodes
	}
	return len(e.crashes) >= crashes+more && e.episodes() >= episodes
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

// compare returns a negative number if e is to be preferred to o, 0 if neither is.
func (e *explanation) compare(o *explanation) int {
	if e.answeredBefore != o.answeredBefore {
		if e.answeredBefore {
			return 1
		}
		return -1
	}
	return len(o.crashes) - len(e.crashes)
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

// alwaysTogether reports whether two traits explain the same crashes, each with a request that has both.
func alwaysTogether(a, b *explanation, crashes map[string]*crash) bool {
	if a == b {
		return true
	}
	return slices.Equal(a.crashes, b.crashes) && !slices.ContainsFunc(a.crashes, func(id string) bool {
		return !crashes[id].hasRequestWith(a.trait, b.trait)
	})
}

// explanations returns, for each trait, the crashes that it explains: all with a request that has it,
// but those after which a request with it was answered.
func explanations(crashes map[string]*crash) map[Trait]*explanation {
	out := map[Trait]*explanation{}
	for id, c := range crashes {
		for t := range c.traits {
			if c.answeredSince[t] {
				continue
			}
			e := out[t]
			if e == nil {
				e = &explanation{trait: t}
				out[t] = e
			}
			e.answeredBefore = e.answeredBefore || c.answeredBefore[t]
			e.crashes = append(e.crashes, id)
			e.times = append(e.times, c.at)
		}
	}
	for _, e := range out {
		slices.Sort(e.crashes)
	}
	return out
}
