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
	depth          int
	answeredBefore bool
	crashes        []string
	times          []time.Time
}

// isSufficient reports whether the crashes convict the trait. A trait that cannot be told apart from
// others needs one crash more.
func (e *explanation) isSufficient(isTied bool) bool {
	crashes, episodes := minCrashes, minEpisodes
	if e.answeredBefore {
		crashes, episodes = minAnsweredCrashes, minAnsweredEpisodes
	}
	if isTied {
		crashes++
	}
	return len(e.crashes) >= crashes && e.episodes() >= episodes
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

// compare returns a negative number if e is to be preferred to o, 0 if they cannot be told apart.
func (e *explanation) compare(o *explanation) int {
	switch {
	case len(e.crashes) != len(o.crashes):
		return len(o.crashes) - len(e.crashes)
	case e.answeredBefore != o.answeredBefore:
		if e.answeredBefore {
			return 1
		}
		return -1
	}
	return o.depth - e.depth
}

// explain returns the traits that the evidence convicts.
func (l *Ledger) explain() map[Trait]bool {
	convicted := map[Trait]bool{}
	unexplained := make(map[string]*crash, len(l.crashes))
	for id, c := range l.crashes {
		unexplained[id] = c
	}
	for {
		best := bestExplanations(unexplained)
		if len(best) == 0 {
			return convicted
		}
		for _, e := range best {
			convicted[e.trait] = true
			for _, id := range e.crashes {
				delete(unexplained, id)
			}
		}
	}
}

// bestExplanations returns the trait that convicts best, or several that cannot be told apart.
func bestExplanations(crashes map[string]*crash) []*explanation {
	var sufficient []*explanation
	for _, e := range explanations(crashes) {
		if e.isSufficient(false) {
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
	if tied > 1 && !sufficient[0].isSufficient(true) {
		return nil
	}
	return sufficient[:tied]
}

// explanations returns, for each trait, the crashes that it explains: all with a request that has it,
// but those after which a request with it was answered.
func explanations(crashes map[string]*crash) map[Trait]*explanation {
	out := map[Trait]*explanation{}
	for id, c := range crashes {
		for t, depth := range c.depths {
			if c.answeredSince[t] {
				continue
			}
			e := out[t]
			if e == nil {
				e = &explanation{trait: t}
				out[t] = e
			}
			e.depth = max(e.depth, depth)
			e.answeredBefore = e.answeredBefore || c.answeredBefore[t]
			e.crashes = append(e.crashes, id)
			e.times = append(e.times, c.at)
		}
	}
	return out
}
