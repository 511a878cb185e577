package configuration

import (
	"fmt"
	"slices"
)

// Conflict says that another edit changed the same section since the base of an edit.
type Conflict struct {
	Section Section
	// Base is the version that the refused edit was made from, Current the newest one.
	Base    int64
	Current int64
	// Theirs and Mine are the two values, as canonical JSON.
	Theirs []byte
	Mine   []byte
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("section %s was changed by another edit between version %d and %d", c.Section, c.Base, c.Current)
}

// Plan is what an edit changes on top of a head.
type Plan struct {
	// Set holds the sections that the edit sets.
	Set Refs
	// Conflicts holds the sections that another edit changed meanwhile.
	Conflicts []Section
}

// Merge plans an edit on top of the current sections. Base holds the sections that the
// edit was made from and mine those that it leads to; only limits the edit to some
// sections, and empty means all. A section that the edit leaves as it was in base stays
// as it is now.
func Merge(base, current, mine Refs, only []Section) Plan {
	p := Plan{Set: Refs{}}
	for _, s := range Sections() {
		if len(only) > 0 && !slices.Contains(only, s) {
			continue
		}
		switch {
		case mine[s] == base[s], mine[s] == current[s]:
		case current[s] == base[s]:
			p.Set[s] = mine[s]
		default:
			p.Conflicts = append(p.Conflicts, s)
		}
	}
	return p
}
