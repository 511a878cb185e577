package configuration

import (
	"fmt"
	"slices"
)

// Conflict is the error of an edit whose section was changed by another edit since its base version.
type Conflict struct {
	Section Section
	// Base is the version that the rejected edit was made from, Current the newest version.
	Base    int64
	Current int64
	// Theirs is the current value of the section and Mine that of the rejected edit, as canonical
	// JSON.
	Theirs []byte
	Mine   []byte
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("section %s was changed by another edit between version %d and %d", c.Section, c.Base, c.Current)
}

// Plan is the result of merging an edit with the current sections.
type Plan struct {
	// Set holds the sections that the edit changes, with their new hashes.
	Set Refs
	// Conflicts lists the sections that both the edit and another edit since its base changed.
	Conflicts []Section
}

// Merge merges an edit with the current sections (a three-way merge by section). base holds the
// sections that the edit was made from and edited those that it results in. only limits the edit to
// some sections; empty means all. A section that the edit does not change keeps its current value.
func Merge(base, current, edited Refs, only []Section) Plan {
	p := Plan{Set: Refs{}}
	for _, s := range Sections() {
		if len(only) > 0 && !slices.Contains(only, s) {
			continue
		}
		switch {
		case edited[s] == base[s], edited[s] == current[s]:
		case current[s] == base[s]:
			p.Set[s] = edited[s]
		default:
			p.Conflicts = append(p.Conflicts, s)
		}
	}
	return p
}
