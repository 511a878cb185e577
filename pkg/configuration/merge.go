package configuration

import (
	"fmt"
	"slices"
)

// Conflict is the error of an edit whose section was changed by another edit since its base version.
type Conflict struct {
	Section Section
	// BaseVersion is the version that the rejected edit was made from, CurrentVersion the newest one.
	BaseVersion    int64
	CurrentVersion int64
	// CurrentValue is the current value of the section and EditedValue that of the rejected edit, as
	// canonical JSON.
	CurrentValue []byte
	EditedValue  []byte
}

// Error implements error.
func (c *Conflict) Error() string {
	return fmt.Sprintf("section %s was changed by another edit between version %d and %d", c.Section, c.BaseVersion, c.CurrentVersion)
}

// MergePlan is the result of merging an edit with the current sections.
type MergePlan struct {
	// Set holds the sections that the edit changes, with their new hashes.
	Set SectionHashes
	// Conflicts lists the sections that both the edit and another edit since its base changed.
	Conflicts []Section
}

// Merge merges an edit with the current sections (a three-way merge by section). base holds the
// sections that the edit was made from and edited those that it results in. only limits the edit to
// some sections; empty means all. A section that the edit does not change keeps its current value.
func Merge(base, current, edited SectionHashes, only []Section) MergePlan {
	p := MergePlan{Set: SectionHashes{}}
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
